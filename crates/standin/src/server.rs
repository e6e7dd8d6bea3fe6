//! HTTP server of the stand-ins. Its connections can be dropped at any time, as by a crash.

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

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Error from the start of a stand-in.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The local address of the listener could not be read.
    #[snafu(display("cannot read the local address of the listener"))]
    NoAddress {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a stand-in.
pub type Result<T, E = ServeError> = std::result::Result<T, E>;

/// Open connections of one server; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionSet {
    /// Cancelled and replaced to drop all connections; each connection has a child of it.
    parent_token: Arc<Mutex<CancellationToken>>,
}

impl ConnectionSet {
    /// Drops all open connections; later ones are not affected.
    pub fn drop_all(&self) {
        let mut parent_token =
            self.parent_token.lock().expect("no thread panics while holding the lock");
        parent_token.cancel();
        *parent_token = CancellationToken::new();
    }

    fn new_connection(&self) -> ConnectionToken {
        let parent_token =
            self.parent_token.lock().expect("no thread panics while holding the lock");
        ConnectionToken(parent_token.child_token())
    }
}

/// Cancels one connection; part of the extensions of its requests.
#[derive(Debug, Clone)]
struct ConnectionToken(CancellationToken);

/// A running stand-in; dropping the handle stops it and drops its connections.
#[derive(Debug)]
pub struct ServerHandle<S> {
    /// Local address of the listener.
    pub address: SocketAddr,
    /// State shared with the request handlers, for tests in the same process.
    pub state: S,
    connections: ConnectionSet,
    task: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl<S> ServerHandle<S> {
    /// Adds a background task that is aborted when the handle is dropped.
    pub fn attach(&mut self, task: JoinHandle<()>) {
        self.background.push(task);
    }

    /// Waits until the accept loop ends, which happens only if its task panics or the runtime
    /// stops.
    pub async fn wait(mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl<S> Drop for ServerHandle<S> {
    fn drop(&mut self) {
        self.task.abort();
        self.background.iter().for_each(JoinHandle::abort);
        self.connections.drop_all();
    }
}

/// Serves `router` on `listener`; handlers get `state` by [`state_of`].
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn serve_router<S>(
    listener: TcpListener,
    router: Router,
    state: S,
    connections: ConnectionSet,
) -> Result<ServerHandle<S>>
where
    S: Clone + Send + Sync + 'static,
{
    let address = listener.local_addr().context(NoAddressSnafu)?;
    let router = router.with(viz::types::State::new(state.clone()));
    let tree = Arc::new(Tree::from(router));
    let task = tokio::spawn(accept(listener, tree, connections.clone()));
    Ok(ServerHandle { address, state, connections, task, background: Vec::new() })
}

async fn accept(listener: TcpListener, tree: Arc<Tree>, connections: ConnectionSet) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, tree.clone(), connections.new_connection()));
            }
            Err(error) => {
                log::warn!("standin: cannot accept a connection: {error}; retrying");
                tokio::task::yield_now().await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, tree: Arc<Tree>, token: ConnectionToken) {
    let _ignored = stream.set_nodelay(true);
    let responder = Responder::new(tree, Some(token.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), responder);
    tokio::select! {
        biased;
        () = token.0.cancelled() => {}
        result = connection => {
            if let Err(error) = result {
                log::debug!("standin: connection failed: {error}");
            }
        }
    }
}

/// Drops the connection of this request, so that the caller gets no answer. Never returns.
pub async fn drop_connection(request: &Request) -> viz::Result<Response> {
    let token = request.extensions().get::<Option<ConnectionToken>>().cloned().flatten();
    if let Some(token) = token {
        token.0.cancel();
    }
    std::future::pending().await
}

/// State that was given to [`serve_router`].
///
/// # Panics
///
/// Panics if the router was given a state of another type.
pub fn state_of<S>(request: &Request) -> S
where
    S: Clone + Send + Sync + 'static,
{
    request.state().expect("the router carries the state")
}

/// Reads the request body; a body above 4 MiB is answered with status 413.
pub async fn read_body(request: &mut Request) -> viz::Result<Bytes> {
    let body = request.incoming()?;
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(error_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
    }
}

/// Parses the request body as JSON; a malformed body is answered with status 400.
pub async fn read_json<T>(request: &mut Request) -> viz::Result<T>
where
    T: DeserializeOwned,
{
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| error_answer(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Creates an answer with a JSON body.
pub fn json_answer<T>(status: StatusCode, message: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(message).expect("messages are plain data");
    let mut response = Response::with(Full::from(body), "application/json");
    *response.status_mut() = status;
    response
}

/// Creates an answer without a body.
pub fn empty_answer(status: StatusCode) -> Response {
    let mut response = Response::new(viz::Body::empty());
    *response.status_mut() = status;
    response
}

/// Creates an error answer with the JSON body `{"error": text}`.
pub fn error_answer(status: StatusCode, text: &str) -> viz::Error {
    let mut response = json_answer(status, &serde_json::json!({ "error": text }));
    response.headers_mut().remove(header::CONTENT_LENGTH);
    viz::Error::Responder(Box::new(response))
}
