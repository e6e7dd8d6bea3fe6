//! Finds out whether the backend server has crashed, and when it is back.

use std::sync::Arc;

use base::prelude::*;
use loading::LedgerEvent;
use once::RunEvent;
use tokio::{sync::Mutex, time};

use crate::{backend::BackendError, loads, process::SideState, requests};

/// Time between looks at a backend server that is down.
const RETURN_POLL: Duration = Duration::from_millis(100);

/// Lets one task at a time look.
#[derive(Debug, Default)]
pub struct EngineWatch {
    looking: Mutex<()>,
}

/// Looks whether the backend server still stands after a call to it was lost.
///
/// When this returns, the ledger knows of a crash, and all runs in flight at it were named.
pub async fn look(state: &Arc<SideState>) {
    let _looking = state.engine_watch.looking.lock().await;
    if !state.requests.is_engine_up() {
        return;
    }
    let Err(error) = state.backend.probe(state.settings.backend.kind).await else { return };
    requests::tell(state, RunEvent::EngineCrashed).await;
    if matches!(error, BackendError::Refused) {
        loads::feed(state, LedgerEvent::EngineDied);
    }
    tokio::spawn(wait_for_return(Arc::clone(state)));
}

async fn wait_for_return(state: Arc<SideState>) {
    while !is_standing(&state).await {
        time::sleep(RETURN_POLL).await;
    }
    log::info!("requests: the engine is back");
    requests::tell(&state, RunEvent::EngineReady).await;
}

async fn is_standing(state: &SideState) -> bool {
    state.backend.probe(state.settings.backend.kind).await.is_ok()
}
