//! HTTP endpoints `/metrics`, `/healthz` and `/readyz` of the side process.

use std::sync::Arc;

use base::log_output::dropped_lines;
use tokio::net::TcpListener;
use viz::{Request, RequestExt, Response, ResponseExt, Router, StatusCode, types::State};

use crate::{drain::DrainStage, process::SideState};

type AdminState = State<Arc<SideState>>;

/// Serves the endpoints until the process ends.
pub async fn serve(listener: TcpListener, state: Arc<SideState>) {
    let router = Router::new()
        .get("/metrics", metrics)
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .with(State::new(state));
    monitoring::serve(listener, router).await;
}

async fn extract_state(request: &mut Request) -> viz::Result<Arc<SideState>> {
    let State(state) = request.extract::<AdminState>().await?;
    Ok(state)
}

async fn metrics(mut request: Request) -> viz::Result<Response> {
    let state = extract_state(&mut request).await?;
    state.metrics.reserved.set(i64::try_from(state.loads.reserved().0).unwrap_or(i64::MAX));
    state.metrics.dropped_lines.set(i64::try_from(dropped_lines()).unwrap_or(i64::MAX));
    Ok(Response::text(state.metrics.render()))
}

async fn healthz(_: Request) -> viz::Result<Response> {
    Ok(Response::text("ok\n"))
}

async fn readyz(mut request: Request) -> viz::Result<Response> {
    let state = extract_state(&mut request).await?;
    if state.drain.stage() == DrainStage::Serving {
        return Ok(Response::text("ready\n"));
    }
    let mut response = Response::text("draining\n");
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    Ok(response)
}
