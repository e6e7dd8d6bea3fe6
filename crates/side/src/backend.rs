//! HTTP client of the backend server beside this process.

use std::{error::Error, io, net::SocketAddr};

use base::prelude::*;
use bytes::Bytes;
use connections::{ConnectSettings, ConnectionPool, Lease, PoolSettings, SendError};
use http::{Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use loading::LoadTarget;
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};
use tokio::{net::TcpStream, time};
use wire::run::RunRequest;

use crate::{listing::EngineListing, settings::BackendKind};

/// Largest answer of the engine's admin interface, in bytes.
const MAX_ADMIN_BYTES: usize = 1 << 20;
/// Time limit of a cancel or list call; load and unload calls take longer and have their own limit.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for connecting to the backend server, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection with unacknowledged data closes.
const USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest idle time of a connection.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// Size of the read buffer; an answer whose head is larger is invalid.
const READ_BUFFER: ByteSize = ByteSize(64 * 1_024);

/// A call to the backend server failed.
#[derive(Debug, Snafu)]
pub enum BackendError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("the backend server does not accept connections"))]
    NotSent,
    /// Nothing listens at the backend server's address; nothing was sent.
    #[snafu(display("nothing listens at the backend server's address"))]
    Refused,
    /// The connection failed after the call may have been sent.
    #[snafu(display("the connection to the backend server was lost"))]
    Lost,
    /// What arrived is not a valid answer; the call may have run.
    #[snafu(display("the backend server sent {reason}"))]
    InvalidAnswer {
        /// What is invalid, as text.
        reason: String,
    },
    /// The call cannot be expressed in HTTP; nothing was sent.
    #[snafu(display("the call is not valid HTTP: {source}"))]
    Invalid {
        /// Part of the call that is not valid.
        source: http::Error,
    },
    /// The backend server answered an admin call with an error status.
    #[snafu(display("the backend server answered {status}"))]
    Failed {
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The listing is not the expected JSON, or the body of an admin call could not be encoded.
    #[snafu(display("the backend server's answer could not be read"))]
    BadAnswer,
}

impl BackendError {
    /// Whether the backend server cannot have received the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, BackendError::NotSent | BackendError::Refused | BackendError::Invalid { .. })
    }
}

/// Result of a call to the backend server.
pub type Result<T, E = BackendError> = std::result::Result<T, E>;

/// JSON body of an order to load or unload. An order to unload has zero `bytes`.
#[derive(Debug, Clone, Serialize)]
struct EngineOrder {
    model: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<String>,
    bytes: u64,
    fencing: u64,
}

impl EngineOrder {
    fn new(target: &LoadTarget, memory: ByteSize, fencing: FencingNumber) -> Self {
        let adapter = match target {
            LoadTarget::Model(_) => None,
            LoadTarget::Adapter(_, adapter) => Some(adapter.to_string()),
        };
        Self { model: target.model().to_string(), adapter, bytes: memory.0, fencing: fencing.0 }
    }
}

/// The connection of a request that runs.
#[derive(Debug)]
pub struct RunConnection {
    lease: Lease,
    max_idle: Duration,
}

impl RunConnection {
    /// Keeps the connection for further requests; to be called after the end of the answer.
    pub fn finish(self) {
        self.lease.release(self.max_idle);
    }
}

fn failed_run(error: SendError) -> BackendError {
    match error {
        SendError::NotSent { .. } => BackendError::NotSent,
        SendError::NoAnswer { .. } => BackendError::Lost,
        SendError::InvalidAnswer { reason } => BackendError::InvalidAnswer { reason },
    }
}

/// HTTP client of one backend server; clones share its connections.
#[derive(Debug, Clone)]
pub struct BackendClient {
    /// Connections for requests of callers.
    pool: ConnectionPool,
    /// Client for admin calls.
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl BackendClient {
    /// Creates a client of the backend server at `address`; connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .retry_canceled_requests(false)
            .build(connector);
        let connect = ConnectSettings {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: USER_TIMEOUT,
            read_buffer: READ_BUFFER,
        };
        let settings = PoolSettings { connect, max_open: usize::MAX, max_idle: MAX_IDLE };
        Self { pool: ConnectionPool::new(address, settings), client, address }
    }

    /// Sends a caller's request to the backend server and returns the answer with its open body,
    /// and its connection, which resets when it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the request or the head of the answer is not valid HTTP, or the connection fails;
    /// [`BackendError::is_not_sent`] is true if the request cannot have run.
    pub async fn run(
        &self,
        request_id: RequestId,
        run: &RunRequest,
    ) -> Result<(Response<Incoming>, RunConnection)> {
        let method = Method::from_bytes(run.method.as_bytes());
        let method = method.map_err(http::Error::from).context(InvalidSnafu)?;
        let mut builder = Request::builder()
            .method(method)
            .uri(&*run.path)
            .header(header::HOST, self.address.to_string())
            .header("x-request-id", request_id.to_string());
        for field in &run.headers {
            builder = builder.header(field.name.as_str(), field.value.as_slice());
        }
        let call = builder.body(Full::new(run.body.clone())).context(InvalidSnafu)?;
        let mut lease = self.pool.lease(MAX_IDLE).await.map_err(failed_run)?;
        let answer = lease.send(call).await.map_err(failed_run)?;
        let closes = answer.headers().get_all(header::CONNECTION).into_iter().any(|value| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
        let max_idle = if closes { Duration::ZERO } else { MAX_IDLE };
        Ok((answer, RunConnection { lease, max_idle }))
    }

    /// Requests that the engine stop a request; errors are ignored.
    pub async fn cancel(&self, request_id: RequestId) {
        let body = serde_json::json!({ "request_id": request_id.to_string() });
        let _ = time::timeout(ADMIN_TIMEOUT, self.post("/v1/cancel", &body)).await;
    }

    /// Orders the engine to load `target` and waits until the load has ended.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses or the connection fails. After [`BackendError::Lost`] the engine
    /// may still be loading.
    pub async fn load(
        &self,
        target: &LoadTarget,
        fencing: FencingNumber,
        memory: ByteSize,
    ) -> Result<()> {
        let order = EngineOrder::new(target, memory, fencing);
        self.post("/admin/load", &order).await.map(drop)
    }

    /// Orders the engine to unload `target` and waits until the unload has ended.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses or the connection fails. After [`BackendError::Lost`] the engine
    /// may still hold the model.
    pub async fn unload(&self, target: &LoadTarget, fencing: FencingNumber) -> Result<()> {
        let order = EngineOrder::new(target, ByteSize::default(), fencing);
        self.post("/admin/unload", &order).await.map(drop)
    }

    /// Lists the models and adapters at the engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time, answers with an error or sends a body
    /// that is not a listing.
    pub async fn list(&self) -> Result<EngineListing> {
        let call =
            Request::get(self.uri("/admin/list")?).body(Full::default()).context(InvalidSnafu)?;
        let exchange = async {
            let answer = self.send(call).await?;
            read_admin_answer(answer).await
        };
        let body = time::timeout(ADMIN_TIMEOUT, exchange).await.unwrap_or(LostSnafu.fail())?;
        EngineListing::read(&body)
    }

    /// Checks that the backend server is reachable: lists the models of an engine, and opens a
    /// connection to a plain service. Returns the listing of an engine if it can be read.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not answer in time or answers with an error.
    pub async fn probe(&self, kind: BackendKind) -> Result<Option<EngineListing>> {
        match kind {
            BackendKind::Engine => match self.list().await {
                // An engine that sends a listing runs, whatever the listing contains.
                Err(BackendError::BadAnswer) => Ok(None),
                listing => listing.map(Some),
            },
            BackendKind::Plain => {
                let connect = TcpStream::connect(self.address);
                let connected = time::timeout(CONNECT_TIMEOUT, connect).await;
                let is_open = matches!(connected, Ok(Ok(_)));
                ensure!(is_open, NotSentSnafu);
                Ok(None)
            }
        }
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Bytes> {
        let body = serde_json::to_vec(body).map_err(|_| BackendError::BadAnswer)?;
        let call = Request::post(self.uri(path)?)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .context(InvalidSnafu)?;
        let answer = self.send(call).await?;
        read_admin_answer(answer).await
    }

    async fn send(&self, call: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.client.request(call).await.map_err(|error| match error.is_connect() {
            true if is_refused(&error) => BackendError::Refused,
            true => BackendError::NotSent,
            false => BackendError::Lost,
        })
    }

    fn uri(&self, path: &str) -> Result<Uri> {
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .context(InvalidSnafu)
    }
}

/// Whether the operating system refused the connection because nothing listens on the port.
fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
    kind == Some(io::ErrorKind::ConnectionRefused) || error.source().is_some_and(is_refused)
}

async fn read_admin_answer(answer: Response<Incoming>) -> Result<Bytes> {
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ADMIN_BYTES).collect().await;
    let bytes = body.map_err(|_| BackendError::Lost)?.to_bytes();
    ensure!(status.is_success(), FailedSnafu { status });
    Ok(bytes)
}
