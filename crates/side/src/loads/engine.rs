//! Calls to the engine that the ledger asks for; each ends in an event for the ledger.

use std::sync::{Arc, atomic::Ordering};

use base::prelude::*;
use http::StatusCode;
use loading::{
    EngineAnswer, EngineCallId, EngineIncarnation, EngineListing, LedgerAction, LedgerEvent,
    ListedTarget, ListingNumber, LoadTarget,
};
use tokio::time;

use super::feed;
use crate::{
    backend::{self, BackendError, ListedModel},
    process::SideState,
};

/// Time after which the fate of a load or unload call counts as unknown.
const CALL_LIMIT: Duration = Duration::from_secs(900);

/// Begins a call in a task of its own.
pub fn perform(state: &Arc<SideState>, action: LedgerAction) {
    match action {
        LedgerAction::ListEngine(number) => {
            tokio::spawn(list(Arc::clone(state), number));
        }
        LedgerAction::LoadAtEngine { call, target, fence } => {
            state.loads.engine_calls.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(load(Arc::clone(state), call, target, fence));
        }
        LedgerAction::UnloadAtEngine { call: attempt, target, fence } => {
            state.loads.engine_calls.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(unload(Arc::clone(state), attempt, target, fence));
        }
        LedgerAction::Confirm(..) | LedgerAction::Deny(..) => {}
    }
}

async fn load(
    state: Arc<SideState>,
    attempt: EngineCallId,
    target: LoadTarget,
    fence: FencingNumber,
) {
    let size = state.loads.size_of(&target);
    log::info!("loads: loading {target}");
    let answer = time::timeout(CALL_LIMIT, state.backend.load(&target, fence, size)).await;
    let answer = match answer.unwrap_or(Err(BackendError::Lost)) {
        Err(BackendError::Failed { status: StatusCode::CONFLICT }) => EngineAnswer::StaleFence,
        answer => read_answer(answer, &target),
    };
    end_call(&state, attempt, answer);
}

async fn unload(
    state: Arc<SideState>,
    attempt: EngineCallId,
    target: LoadTarget,
    fence: FencingNumber,
) {
    log::info!("loads: unloading {target}");
    let answer = time::timeout(CALL_LIMIT, state.backend.unload(&target, fence)).await;
    end_call(&state, attempt, read_answer(answer.unwrap_or(Err(BackendError::Lost)), &target));
}

fn read_answer(answer: backend::Result<()>, target: &LoadTarget) -> EngineAnswer {
    let Err(error) = answer else { return EngineAnswer::Done };
    log::warn!("loads: {target}: {error}");
    match error {
        BackendError::Failed { .. } => EngineAnswer::Failed,
        error if error.is_not_sent() => EngineAnswer::Failed,
        _ => EngineAnswer::Lost,
    }
}

fn end_call(state: &Arc<SideState>, attempt: EngineCallId, answer: EngineAnswer) {
    state.loads.engine_calls.fetch_sub(1, Ordering::SeqCst);
    feed(state, LedgerEvent::Answered(attempt, answer));
}

async fn list(state: Arc<SideState>, number: ListingNumber) {
    match state.backend.list().await {
        Ok(listing) => {
            let targets = listing.models.iter().filter_map(listed_target).collect();
            *state.loads.cached.lock().expect("no holder panics") = listing.cached;
            let life = EngineIncarnation(listing.life);
            feed(&state, LedgerEvent::Listed(EngineListing { number, incarnation: life, targets }));
        }
        Err(error) => {
            log::warn!("loads: the engine cannot be listed: {error}");
            feed(&state, listing_failure(&state, &error));
        }
    }
}

/// The engine has ended if nothing listens any more and no call to it is open.
fn listing_failure(state: &SideState, error: &BackendError) -> LedgerEvent {
    let has_calls = state.loads.engine_calls.load(Ordering::SeqCst) > 0;
    match error {
        BackendError::Refused if !has_calls => LedgerEvent::EngineDied,
        _ => LedgerEvent::ListingFailed,
    }
}

fn listed_target(listed: &ListedModel) -> Option<ListedTarget> {
    let model: ModelId = listed.model.parse().ok()?;
    let target = match &listed.adapter {
        Some(adapter) => LoadTarget::Adapter(model, adapter.parse().ok()?),
        None => LoadTarget::Model(model),
    };
    Some(ListedTarget { target, size: ByteSize(listed.bytes) })
}
