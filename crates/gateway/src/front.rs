//! Connections of callers.

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

/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a head that are buffered; a configuration may allow less.
const MAX_HEAD: usize = 64 * 1024;
/// Rest of a connection as long as no configuration says more.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);

/// Accepts connections until the end of a planned stop. The listener closes first, so that callers
/// who come later know that nothing read their requests.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = gateway.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&gateway)));
            }
            Err(error) => {
                log::warn!("front: a connection could not be accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

/// Tells the caller to open its next connection, which the balancer brings to another VM.
fn close_if_draining<B>(mut response: Response<B>, gateway: &Gateway) -> Response<B> {
    if gateway.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve_connection(stream: TcpStream, gateway: Arc<Gateway>) {
    if let Err(error) = prepare(&stream) {
        log::debug!("front: a connection ended at once: {error}");
        return;
    }
    let limits = gateway.catalog.borrow().as_ref().map(|catalog| *catalog.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let serving = Arc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&serving);
        async move {
            let response = call::serve(Arc::clone(&gateway), request).await;
            Ok::<_, Infallible>(close_if_draining(response, &gateway))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // A connection accepted later still carries one request.
        () = gateway.turned_away(), if !gateway.turns_away() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("front: a connection ended: {error}");
    }
}
