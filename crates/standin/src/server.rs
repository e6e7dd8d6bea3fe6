//! HTTP server of the stand-ins: connections can be dropped at will, as a crash would.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;
use viz::{Request, RequestExt, Responder, Response, ResponseExt, Router, Tree};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A stand-in could not be started.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The listener has no address.
    #[snafu(display("the listener has no address"))]
    NoAddress {
        /// Cause given by the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a stand-in.
pub type Result<T, E = ServeError> = std::result::Result<T, E>;

/// Drops connections; clones share the connections of one server.
#[derive(Debug, Clone, Default)]
pub struct ConnectionBreaker {
    all: Arc<Mutex<CancellationToken>>,
}

impl ConnectionBreaker {
    /// Drops every open connection of the server.
    pub fn drop_all(&self) {
        let mut all = self.all.lock().expect("no holder panics");
        all.cancel();
        *all = CancellationToken::new();
    }

    fn new_connection(&self) -> ConnectionToken {
        let all = self.all.lock().expect("no holder panics");
        ConnectionToken(all.child_token())
    }
}

/// Drops the one connection that carried a request.
#[derive(Debug, Clone)]
struct ConnectionToken(CancellationToken);

/// A running stand-in; dropping the handle ends it and its connections.
#[derive(Debug)]
pub struct ServerHandle<S> {
    /// Address listened on.
    pub address: SocketAddr,
    /// State shared with the handlers, for use in one process.
    pub state: S,
    breaker: ConnectionBreaker,
    task: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl<S> ServerHandle<S> {
    /// Ends `task` together with the server.
    pub fn attach(&mut self, task: JoinHandle<()>) {
        self.background.push(task);
    }

    /// Waits until the server ends, which it does only when aborted.
    pub async fn wait(mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl<S> Drop for ServerHandle<S> {
    fn drop(&mut self) {
        self.task.abort();
        self.background.iter().for_each(JoinHandle::abort);
        self.breaker.drop_all();
    }
}

/// Serves `router` on `listener`; handlers find `state` as the request's state.
pub fn serve_router<S>(
    listener: TcpListener,
    router: Router,
    state: S,
    breaker: ConnectionBreaker,
) -> Result<ServerHandle<S>>
where
    S: Clone + Send + Sync + 'static,
{
    let address = listener.local_addr().context(NoAddressSnafu)?;
    let router = router.with(viz::types::State::new(state.clone()));
    let tree = Arc::new(Tree::from(router));
    let task = tokio::spawn(accept(listener, tree, breaker.clone()));
    Ok(ServerHandle { address, state, breaker, task, background: Vec::new() })
}

async fn accept(listener: TcpListener, tree: Arc<Tree>, breaker: ConnectionBreaker) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, tree.clone(), breaker.new_connection()));
            }
            Err(error) => {
                log::warn!("standin: accept failed: {error}");
                tokio::task::yield_now().await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, tree: Arc<Tree>, token: ConnectionToken) {
    let _unset = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(token.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), responder);
    tokio::select! {
        biased;
        () = token.0.cancelled() => {}
        ended = connection => {
            if let Err(error) = ended {
                log::debug!("standin: connection ended: {error}");
            }
        }
    }
}

/// Drops the connection of this request, so that the caller gets no answer.
pub async fn drop_connection(request: &Request) -> viz::Result<Response> {
    let token = request.extensions().get::<Option<ConnectionToken>>().cloned().flatten();
    if let Some(token) = token {
        token.0.cancel();
    }
    std::future::pending().await
}

/// The state given to [`serve_router`].
pub fn state_of<S>(request: &Request) -> S
where
    S: Clone + Send + Sync + 'static,
{
    request.state().expect("the router carries the state")
}

/// Reads the whole body, up to a bound.
pub async fn read_body(request: &mut Request) -> viz::Result<Bytes> {
    let body = request.incoming()?;
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(error_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
    }
}

/// Reads a JSON body.
pub async fn read_json<T>(request: &mut Request) -> viz::Result<T>
where
    T: DeserializeOwned,
{
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| error_answer(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// An answer with a JSON body.
pub fn json_answer<T>(status: StatusCode, message: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(message).expect("messages are plain data");
    let mut response = Response::with(Full::from(body), "application/json");
    *response.status_mut() = status;
    response
}

/// An empty answer with a status.
pub fn empty_answer(status: StatusCode) -> Response {
    let mut response = Response::new(viz::Body::empty());
    *response.status_mut() = status;
    response
}

/// An error answer with a JSON text.
pub fn error_answer(status: StatusCode, text: &str) -> viz::Error {
    let mut response = json_answer(status, &serde_json::json!({ "error": text }));
    response.headers_mut().remove(header::CONTENT_LENGTH);
    viz::Error::Responder(Box::new(response))
}
