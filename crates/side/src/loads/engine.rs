//! Calls to the engine that the memory ledger requests; each ends with an event for the ledger.

use std::sync::{Arc, atomic::Ordering};

use base::{ids::IdError, prelude::*};
use http::StatusCode;
use loading::{
    EngineAnswer, EngineCallId, EngineIncarnation, EngineListing, LedgerAction, LedgerEvent,
    ListedTarget, ListingNumber, LoadTarget,
};
use tokio::time;

use super::apply_event;
use crate::{
    backend::{self, BackendError},
    listing::ListedModel,
    process::SideState,
};

/// Time limit of a load or unload call, after which its outcome counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(900);

/// Starts the engine call of `action` in its own task; ignores replies to orders.
pub fn perform(state: &Arc<SideState>, action: LedgerAction) {
    match action {
        LedgerAction::ListEngine(number) => {
            tokio::spawn(list(Arc::clone(state), number));
        }
        LedgerAction::LoadAtEngine { call, target, fence } => {
            state.loads.engine_calls.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(load(Arc::clone(state), call, target, fence));
        }
        LedgerAction::UnloadAtEngine { call, target, fence } => {
            state.loads.engine_calls.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(unload(Arc::clone(state), call, target, fence));
        }
        LedgerAction::Confirm(..) | LedgerAction::Deny(..) => {}
    }
}

async fn load(state: Arc<SideState>, call: EngineCallId, target: LoadTarget, fence: FencingNumber) {
    let size = state.loads.reserved_size(&target);
    log::info!("loads: loading {target}");
    let answer = time::timeout(CALL_TIMEOUT, state.backend.load(&target, fence, size)).await;
    let answer = match answer.unwrap_or(Err(BackendError::Lost)) {
        Err(BackendError::Failed { status: StatusCode::CONFLICT }) => EngineAnswer::StaleFence,
        answer => engine_answer(answer, &target),
    };
    finish_call(&state, call, answer);
}

async fn unload(
    state: Arc<SideState>,
    call: EngineCallId,
    target: LoadTarget,
    fence: FencingNumber,
) {
    log::info!("loads: unloading {target}");
    let answer = time::timeout(CALL_TIMEOUT, state.backend.unload(&target, fence)).await;
    finish_call(&state, call, engine_answer(answer.unwrap_or(Err(BackendError::Lost)), &target));
}

fn engine_answer(answer: backend::Result<()>, target: &LoadTarget) -> EngineAnswer {
    let Err(error) = answer else { return EngineAnswer::Done };
    log::warn!("loads: the engine call for {target} failed: {error}");
    match error {
        BackendError::Failed { .. } => EngineAnswer::Failed,
        error if error.is_not_sent() => EngineAnswer::Failed,
        _ => EngineAnswer::Lost,
    }
}

fn finish_call(state: &Arc<SideState>, call: EngineCallId, answer: EngineAnswer) {
    state.loads.engine_calls.fetch_sub(1, Ordering::SeqCst);
    apply_event(state, LedgerEvent::Answered(call, answer));
}

async fn list(state: Arc<SideState>, number: ListingNumber) {
    match state.backend.list().await {
        Ok(listing) => {
            let targets = listing.models.iter().filter_map(listed_target).collect();
            *state.loads.cached.lock().expect("no thread panics while holding the lock") =
                listing.cached;
            let incarnation = EngineIncarnation(listing.incarnation);
            apply_event(
                &state,
                LedgerEvent::Listed(EngineListing { number, incarnation, targets }),
            );
        }
        Err(error) => {
            log::warn!("loads: listing the engine's models failed: {error}");
            apply_event(&state, listing_failure(&state, &error));
        }
    }
}

/// Maps a failed listing to an event: the engine has died if nothing listens on its port and no
/// load or unload call is open; otherwise its state is unknown.
fn listing_failure(state: &SideState, error: &BackendError) -> LedgerEvent {
    let has_calls = state.loads.engine_calls.load(Ordering::SeqCst) > 0;
    match error {
        BackendError::Refused if !has_calls => LedgerEvent::EngineDied,
        _ => LedgerEvent::ListingFailed,
    }
}

/// The target of a listed model; `None` if its names are such that no order can have loaded it.
fn listed_target(listed: &ListedModel) -> Option<ListedTarget> {
    let target = parse_target(listed).inspect_err(|error| {
        log::warn!("loads: leaving out the listed model {:?}: {error}", listed.model);
    });
    Some(ListedTarget { target: target.ok()?, size: ByteSize(listed.bytes) })
}

fn parse_target(listed: &ListedModel) -> Result<LoadTarget, IdError> {
    let model = listed.model.parse()?;
    Ok(match &listed.adapter {
        Some(adapter) => LoadTarget::Adapter(model, adapter.parse()?),
        None => LoadTarget::Model(model),
    })
}
