//! Detects a crash of the backend server and its recovery.

use std::sync::Arc;

use base::prelude::*;
use loading::LedgerEvent;
use once::RunEvent;
use tokio::{sync::Mutex, time};

use crate::{backend::BackendError, loads, process::SideState, requests};

/// Time between probes of a backend server that is down.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serializes crash checks, so that one crash is reported once.
#[derive(Debug, Default)]
pub struct EngineWatch {
    check_lock: Mutex<()>,
}

/// Probes the backend server after a call to it was lost.
///
/// If the probe fails, the run ledger records a crash with all runs in flight before this returns,
/// and a task polls the backend server until it answers again.
pub async fn check_engine(state: &Arc<SideState>) {
    let _guard = state.engine_watch.check_lock.lock().await;
    if !state.requests.is_engine_up() {
        return;
    }
    let Err(error) = state.backend.probe(state.settings.backend.kind).await else { return };
    requests::apply_event(state, RunEvent::EngineCrashed).await;
    if matches!(error, BackendError::Refused) {
        loads::apply_event(state, LedgerEvent::EngineDied);
    }
    tokio::spawn(wait_for_recovery(Arc::clone(state)));
}

async fn wait_for_recovery(state: Arc<SideState>) {
    while !is_reachable(&state).await {
        time::sleep(RECOVERY_POLL_INTERVAL).await;
    }
    log::info!("requests: the backend server answers again");
    requests::apply_event(&state, RunEvent::EngineReady).await;
}

async fn is_reachable(state: &SideState) -> bool {
    state.backend.probe(state.settings.backend.kind).await.is_ok()
}
