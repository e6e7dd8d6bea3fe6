//! One connection of a caller, from its first request to its close.

use std::{
    convert::Infallible,
    future, io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use bytes::Bytes;
use http::{HeaderValue, Response, header};
use hyper::{
    Request,
    body::Incoming,
    server::conn::http1::{self, Parts},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time,
};

use crate::{
    call,
    process::Gateway,
    request_body::CallerBody,
    watched_connection::{ConnectionWatch, ReceiveBuffer, WatchedBody},
};

/// Longest request head that is buffered before the first configuration is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Smallest size of the read buffer, for a head of the length that the platform allows.
const MIN_READ_BUFFER: usize = 24 * 1024;
/// Most bytes that are read and discarded after a refusal, so that the caller can read the answer.
const MAX_DISCARDED: u64 = 256 * 1024;
/// Idle timeout of a connection that was accepted before the first configuration was read.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a caller closes its half of a connection that a stopping process has closed. A
/// process that closes its half at once resets the connection if the caller sends more, and the
/// caller then loses an answer that it has not read.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Number of open connections of callers, counting the listener as one.
#[derive(Debug, Default)]
pub struct OpenConnections {
    count: watch::Sender<usize>,
}

impl OpenConnections {
    /// Counts one connection until the guard is dropped.
    pub fn guard(self: &Arc<Self>) -> ConnectionGuard {
        self.count.send_modify(|count| *count += 1);
        ConnectionGuard { connections: Arc::clone(self) }
    }

    /// Waits until no connection is open and the listener is closed.
    pub async fn wait_until_none(&self) {
        // Waiting fails only without a sender, and this value holds it.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Number of open connections, the listener included.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Arc<OpenConnections>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.count.send_modify(|count| *count -= 1);
    }
}

/// What the requests of a connection have established.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// Whether a request has been read.
    has_request: AtomicBool,
    /// Whether an answer has announced that the connection closes.
    close_announced: AtomicBool,
    /// Whether the body of the current request has been read completely.
    body_read: AtomicBool,
}

impl ConnectionState {
    /// Sets whether the body of the current request has been read completely.
    pub fn set_body_read(&self, body_read: bool) {
        self.body_read.store(body_read, Ordering::Relaxed);
    }
}

/// Serves the requests of a connection until it is closed. `guard` counts it as open.
pub async fn serve(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    guard: ConnectionGuard,
    watch: ConnectionWatch,
) {
    let _guard = guard;
    let watch = Arc::new(watch);
    tokio::select! {
        () = serve_watched(stream, gateway, &watch) => {}
        () = watch.wait_for_close() => {}
    }
}

async fn serve_watched(stream: TcpStream, gateway: Arc<Gateway>, watch: &Arc<ConnectionWatch>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("front: failed to set up a connection, closing it: {error}");
        return;
    }
    let state = Arc::new(ConnectionState::default());
    let served = serve_requests(stream, &gateway, &state, watch).await;
    let Some((mut stream, read)) = served else { return };
    if !state.body_read.load(Ordering::Relaxed) && state.has_request.load(Ordering::Relaxed) {
        discard_body(stream).await;
        return;
    }
    if !gateway.is_draining() {
        return;
    }
    let is_announced = state.close_announced.load(Ordering::Relaxed);
    if !is_announced && (!read.is_empty() || has_unread_bytes(&stream)) {
        serve_last_request(&mut stream, read, &gateway, watch).await;
    }
    close_draining(stream).await;
}

/// Serves requests until the connection has no more; returns the stream, still open, and the bytes
/// that were read after the last request.
async fn serve_requests<I>(
    stream: I,
    gateway: &Arc<Gateway>,
    state: &Arc<ConnectionState>,
    watch: &Arc<ConnectionWatch>,
) -> Option<(I, Bytes)>
where
    I: AsyncRead + AsyncWrite + ReceiveBuffer + Unpin,
{
    let limits = gateway.catalog.borrow().as_ref().map(|catalog| *catalog.limits());
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let service = service_fn(|request| {
        let (gateway, state) = (Arc::clone(gateway), Arc::clone(state));
        let serving = serve_request(gateway, state, Arc::clone(watch), request);
        Box::pin(async move { Ok::<_, Infallible>(serving.await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(limits.map_or(MAX_HEAD_BYTES, |limits| read_buffer(limits.max_head)))
        .serve_connection(TokioIo::new(watch.observe(stream)), service);
    let serving = future::poll_fn(|context| connection.poll_without_shutdown(context));
    let mut result = tokio::select! {
        result = serving => Some(result),
        // A connection that is accepted after this time still serves one request.
        () = gateway.wait_until_connections_close(), if !gateway.closes_connections() => None,
    };
    if result.is_none() {
        // The caller of a connection without a request is about to send one, and the answer to
        // that announces the close.
        if state.has_request.load(Ordering::Relaxed) {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
        }
        result = Some(future::poll_fn(|context| connection.poll_without_shutdown(context)).await);
    }
    match result? {
        Ok(()) => {
            let Parts { io, read_buf, .. } = connection.into_parts();
            Some((io.into_inner().into_inner(), read_buf))
        }
        Err(error) => {
            log::debug!("front: a connection failed: {error}");
            None
        }
    }
}

async fn serve_request(
    gateway: Arc<Gateway>,
    state: Arc<ConnectionState>,
    watch: Arc<ConnectionWatch>,
    request: Request<Incoming>,
) -> Response<WatchedBody> {
    state.has_request.store(true, Ordering::Relaxed);
    let request = request.map(|body| CallerBody::new(body, Arc::clone(&state), Arc::clone(&watch)));
    let response = Box::pin(call::serve(Arc::clone(&gateway), request)).await;
    let mut response = response.map(|body| WatchedBody::new(body, watch));
    let is_unread = !state.body_read.load(Ordering::Relaxed);
    if is_unread || gateway.is_draining() {
        // In a planned stop, the balancer sends the caller's next connection to another VM.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        state.close_announced.store(true, Ordering::Relaxed);
    }
    response
}

/// Size of the read buffer for heads of up to `max_head`. The buffer may hold a head and the bytes
/// that were read with it.
fn read_buffer(max_head: ByteSize) -> usize {
    let max_head = usize::try_from(max_head.0).unwrap_or(MAX_HEAD_BYTES);
    max_head.saturating_add(max_head / 2).clamp(MIN_READ_BUFFER, MAX_HEAD_BYTES)
}

/// Closes a connection after a refusal without the rest of the body. The caller is likely to send
/// on, and a connection that closes with unread bytes is reset, which loses the answer.
async fn discard_body(mut stream: TcpStream) {
    let closing = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut (&mut stream).take(MAX_DISCARDED), &mut tokio::io::sink()).await
    };
    match time::timeout(LINGER_TIME, closing).await {
        Ok(Ok(_)) | Err(_) => {}
        Ok(Err(error)) => log_close_error(&error),
    }
}

/// Whether the kernel holds bytes of the caller that the process has not read. Asks the kernel
/// directly, because the runtime learns of them only when it polls for events.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|length| length > 0)
}

/// Serves a request that arrived while its connection, then idle, was being closed. `read` holds
/// its first bytes.
async fn serve_last_request(
    stream: &mut TcpStream,
    read: Bytes,
    gateway: &Arc<Gateway>,
    watch: &Arc<ConnectionWatch>,
) {
    let (reader, writer) = stream.split();
    let stream = tokio::io::join(read.chain(reader), writer);
    // A new state: this request announces the close.
    serve_requests(stream, gateway, &Arc::default(), watch).await;
}

/// Closes a connection in a planned stop, and waits for the caller to close its half.
async fn close_draining(mut stream: TcpStream) {
    let closing = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    match time::timeout(LINGER_TIME, closing).await {
        Ok(Ok(0)) | Err(_) => {}
        Ok(Ok(bytes)) => log::info!(
            "front: {bytes} bytes of a caller arrived after its connection was closed in a planned \
             stop; they were not read and have not run"
        ),
        Ok(Err(error)) => log_close_error(&error),
    }
}

fn log_close_error(error: &io::Error) {
    log::debug!("front: a connection was not closed in order: {error}");
}
