//! HTTP servers for readiness checks and for metrics.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::TcpListener;
use viz::{Request, RequestExt, Response, ResponseExt, Router, StatusCode, types::State};
use wire::listen::listen_for_metrics;

use crate::process::Gateway;

async fn extract_gateway(request: &mut Request) -> viz::Result<Arc<Gateway>> {
    let State(gateway) = request.extract::<State<Arc<Gateway>>>().await?;
    Ok(gateway)
}

async fn ready(mut request: Request) -> viz::Result<Response> {
    let gateway = extract_gateway(&mut request).await?;
    let mut response = Response::text("");
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

async fn metrics(mut request: Request) -> viz::Result<Response> {
    let gateway = extract_gateway(&mut request).await?;
    let dropped = i64::try_from(gateway.log.dropped_lines()).unwrap_or(i64::MAX);
    gateway.metrics.dropped_log_lines.set(dropped);
    Ok(Response::text(gateway.metrics.render()))
}

async fn serve(listener: TcpListener, router: Router) {
    if let Err(error) = viz::serve(listener, router).await {
        log::error!("ops: an HTTP listener failed and is closed: {error}");
    }
}

/// Serves readiness checks on every path: 200 if the process is ready, 503 otherwise.
pub async fn serve_ready(listener: TcpListener, gateway: Arc<Gateway>) {
    serve(listener, Router::new().get("/*", ready).with(State::new(gateway))).await;
}

/// Serves the metrics at `/metrics`, as soon as `address` can be bound.
pub async fn serve_metrics(
    listener: wire::listen::Result<TcpListener>,
    address: SocketAddr,
    gateway: Arc<Gateway>,
) {
    let listener = listen_for_metrics(listener, address).await;
    serve(listener, Router::new().get("/metrics", metrics).with(State::new(gateway))).await;
}
