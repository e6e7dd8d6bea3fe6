//! Accepts and serves the connections of callers.

use std::{convert::Infallible, io, sync::Arc};

use base::prelude::*;
use http::{HeaderValue, Response, header};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::{call, process::Gateway};

/// Delay after a failed accept, which occurs when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest request head that is buffered; the configuration may allow less.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Idle timeout of a connection that was accepted before the first configuration was read.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts connections until a planned stop closes the listener. It closes before the process ends,
/// so that later callers get a refused connection and know that their request has not run.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = gateway.wait_until_listener_closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&gateway)));
            }
            Err(error) => {
                log::warn!("front: failed to accept a connection, retrying: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

/// Asks the caller to open a new connection for its next request, which the balancer sends to
/// another VM.
fn close_if_draining<B>(mut response: Response<B>, gateway: &Gateway) -> Response<B> {
    if gateway.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve_connection(stream: TcpStream, gateway: Arc<Gateway>) {
    if let Err(error) = set_socket_options(&stream) {
        log::debug!("front: failed to set up a connection, closing it: {error}");
        return;
    }
    let limits = gateway.catalog.borrow().as_ref().map(|catalog| *catalog.limits());
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let shared = Arc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&shared);
        async move {
            let response = call::serve(Arc::clone(&gateway), request).await;
            Ok::<_, Infallible>(close_if_draining(response, &gateway))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        // A connection that is accepted after this time still serves one request.
        () = gateway.wait_until_connections_close(), if !gateway.closes_connections() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("front: a connection failed: {error}");
    }
}
