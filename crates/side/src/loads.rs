//! Driver of the memory ledger: applies orders, engine answers and listings to it, and performs the
//! actions that it returns.

mod engine;
mod start;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use base::prelude::*;
use loading::{
    CacheTier, DenyReason, KeepWorth, LedgerAction, LedgerEvent, LedgerSettings, LoadTarget,
    MemoryLedger, OrderId, OrderOutcome, TargetStatus, UnloadPurpose, ledger::TargetPhase,
};
use tokio::sync::oneshot;
use wire::{
    load::{CachedModel, LoadOrder, ModelStatus, UnloadOrder},
    run::RunRequest,
};

use crate::{process::SideState, settings::BackendSettings};

pub use self::start::run;

/// Result of an order: done, or the reason for which it was denied.
type OrderReply = Result<OrderOutcome, DenyReason>;

/// The memory ledger, with the tasks that wait for the results of orders.
#[derive(Debug)]
pub struct LoadDriver {
    ledger: Mutex<MemoryLedger>,
    replies: Mutex<HashMap<OrderId, oneshot::Sender<OrderReply>>>,
    cached: Mutex<BTreeMap<String, CacheTier>>,
    engine_calls: AtomicUsize,
    next_order: AtomicU64,
}

impl LoadDriver {
    /// Creates a driver for the backend server beside the side process with incarnation `holder`.
    pub fn new(backend: &BackendSettings, holder: ProcessIncarnation) -> Self {
        let settings = LedgerSettings {
            capacity: backend.memory,
            largest_adapter: backend.largest_adapter,
            fence_check: backend.fencing,
            holder,
        };
        Self {
            ledger: Mutex::new(MemoryLedger::new(settings)),
            replies: Mutex::default(),
            cached: Mutex::default(),
            engine_calls: AtomicUsize::new(0),
            next_order: AtomicU64::new(1),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, MemoryLedger> {
        self.ledger.lock().expect("no thread panics while holding the lock")
    }

    /// Memory taken by models and adapters or reserved for them.
    pub fn reserved(&self) -> ByteSize {
        self.ledger().reserved()
    }

    /// Whether orders are accepted.
    pub fn is_ready(&self) -> bool {
        self.ledger().is_ready()
    }

    /// Status of each known model and adapter.
    pub fn status(&self) -> Vec<TargetStatus> {
        self.ledger().status()
    }

    /// Status of all models, without adapters, for a report.
    pub fn models(&self) -> Vec<ModelStatus> {
        let bases = self.status().into_iter().filter(|status| !status.target.is_adapter());
        bases.map(|status| model_status(&status)).collect()
    }

    /// Models whose checkpoints are cached in memory or on disk, for a report.
    pub fn cached(&self) -> Vec<CachedModel> {
        let cached = self.cached.lock().expect("no thread panics while holding the lock");
        let cached_locally = cached.iter().filter(|(_, tier)| **tier != CacheTier::Remote);
        let model = |(model, tier): (&String, &CacheTier)| CachedModel {
            model: model.clone(),
            is_in_memory: *tier == CacheTier::Memory,
        };
        cached_locally.map(model).collect()
    }

    /// Counts a request on a loaded target; returns `false` without counting if the target cannot
    /// serve requests now.
    fn start_request(&self, target: &LoadTarget) -> bool {
        let mut ledger = self.ledger();
        let is_serving = ledger.can_serve(target);
        if is_serving {
            let started = LedgerEvent::RequestStarted(target.clone());
            let actions = ledger.step(started, Instant::now());
            debug_assert!(actions.is_empty(), "starting a request causes no action");
        }
        is_serving
    }

    fn reserved_size(&self, target: &LoadTarget) -> ByteSize {
        self.ledger().size_of(target)
    }

    fn next_order_id(&self) -> OrderId {
        OrderId(self.next_order.fetch_add(1, Ordering::Relaxed))
    }
}

/// Returns the model or adapter that a request needs; `None` for plain services.
///
/// # Errors
///
/// Fails if a name is malformed.
fn parse_target(run: &RunRequest) -> Result<Option<LoadTarget>, ResultCode> {
    if run.model.is_empty() {
        return Ok(None);
    }
    let model: ModelId = run.model.parse().map_err(|_| ResultCode::MalformedRequest)?;
    if run.adapter.is_empty() {
        return Ok(Some(LoadTarget::Model(model)));
    }
    let adapter = run.adapter.parse().map_err(|_| ResultCode::MalformedRequest)?;
    Ok(Some(LoadTarget::Adapter(model, adapter)))
}

/// Applies one event to the memory ledger and performs the actions that it returns.
pub fn apply_event(state: &Arc<SideState>, event: LedgerEvent) {
    let actions = state.loads.ledger().step(event, Instant::now());
    for action in actions {
        match action {
            LedgerAction::Confirm(order, outcome) => reply(state, order, Ok(outcome)),
            LedgerAction::Deny(order, reason) => reply(state, order, Err(reason)),
            call => engine::perform(state, call),
        }
    }
}

fn reply(state: &SideState, order: OrderId, reply: OrderReply) {
    let waiter =
        state.loads.replies.lock().expect("no thread panics while holding the lock").remove(&order);
    if let Some(waiter) = waiter {
        let _ = waiter.send(reply);
    }
}

/// Applies an order to the ledger and waits for its result.
async fn place_order(state: &Arc<SideState>, id: OrderId, order: LedgerEvent) -> OrderReply {
    let (sender, receiver) = oneshot::channel();
    state.loads.replies.lock().expect("no thread panics while holding the lock").insert(id, sender);
    apply_event(state, order);
    receiver.await.unwrap_or(Err(DenyReason::NotReady))
}

/// Performs an owner's order to load a model and returns the outcome to send to the owner.
pub async fn load(state: Arc<SideState>, order: LoadOrder) -> wire::load::OrderOutcome {
    let reply = match order.model.parse::<ModelId>() {
        Ok(model) => {
            let id = state.loads.next_order_id();
            let load = loading::LoadOrder {
                id,
                target: LoadTarget::Model(model),
                size: ByteSize(order.memory),
                holder: ProcessIncarnation(order.incarnation),
                fence: FencingNumber(order.fencing),
                worth: KeepWorth(order.worth),
            };
            place_order(&state, id, LedgerEvent::Load(load)).await.map_err(result_code)
        }
        Err(_) => Err(ResultCode::MalformedRequest),
    };
    let outcome = outcome(order.model, order.fencing, reply, true);
    state.metrics.loads.with_label_values(&[&outcome.code.to_string()]).inc();
    outcome
}

/// Performs an owner's order to unload a model and returns the outcome to send to the owner.
pub async fn unload(state: Arc<SideState>, order: UnloadOrder) -> wire::load::OrderOutcome {
    let reply = match order.model.parse::<ModelId>() {
        Ok(model) => {
            let id = state.loads.next_order_id();
            let unload = loading::UnloadOrder {
                id,
                target: LoadTarget::Model(model),
                holder: ProcessIncarnation(order.incarnation),
                fence: FencingNumber(order.fencing),
                purpose: match order.is_release {
                    true => UnloadPurpose::Release,
                    false => UnloadPurpose::Idle,
                },
            };
            place_order(&state, id, LedgerEvent::Unload(unload)).await.map_err(result_code)
        }
        Err(_) => Err(ResultCode::MalformedRequest),
    };
    outcome(order.model, order.fencing, reply, false)
}

fn outcome(
    model: String,
    fencing: u64,
    reply: Result<OrderOutcome, ResultCode>,
    is_load: bool,
) -> wire::load::OrderOutcome {
    let code = reply.err().unwrap_or(ResultCode::Success);
    let is_loaded = reply == Ok(OrderOutcome::Loaded);
    wire::load::OrderOutcome { model, fencing, is_loaded, code: code.number(), is_load }
}

fn result_code(reason: DenyReason) -> ResultCode {
    match reason {
        DenyReason::LoadFailed
        | DenyReason::LoadUncertain
        | DenyReason::EngineDied
        | DenyReason::BackingOff => ResultCode::LoadFailed,
        DenyReason::Draining => ResultCode::ProcessStopping,
        DenyReason::QueueFull => ResultCode::QueueFull,
        DenyReason::NotReady
        | DenyReason::WrongHolder
        | DenyReason::StaleFence
        | DenyReason::InsufficientMemory
        | DenyReason::BaseMissing
        | DenyReason::Unloading => ResultCode::NoReplica,
    }
}

/// Counts a request on its model or adapter, and loads a missing adapter first. Returns `None` for
/// plain services.
///
/// # Errors
///
/// Fails if a name is malformed, the model is not loaded or the adapter cannot be loaded; the
/// request was not sent to the engine.
pub async fn acquire(
    state: &Arc<SideState>,
    run: &RunRequest,
) -> Result<Option<LoadTarget>, ResultCode> {
    let Some(target) = parse_target(run)? else { return Ok(None) };
    if state.loads.start_request(&target) {
        return Ok(Some(target));
    }
    if !target.is_adapter() {
        return Err(ResultCode::NoReplica);
    }
    load_adapter(state, &target, ByteSize(run.adapter_memory)).await.map_err(result_code)?;
    match state.loads.start_request(&target) {
        true => Ok(Some(target)),
        false => Err(ResultCode::NoReplica),
    }
}

/// Loads an adapter with the fencing number of its model's slot; this needs no order of an owner.
async fn load_adapter(state: &Arc<SideState>, target: &LoadTarget, size: ByteSize) -> OrderReply {
    let fence = state.loads.ledger().held_fence(target.model()).ok_or(DenyReason::StaleFence)?;
    let id = state.loads.next_order_id();
    let order = loading::LoadOrder {
        id,
        target: target.clone(),
        size,
        holder: state.identity.incarnation,
        fence,
        worth: KeepWorth::default(),
    };
    place_order(state, id, LedgerEvent::Load(order)).await
}

/// Ends a request counted by [`acquire`].
pub fn release(state: &Arc<SideState>, target: &LoadTarget) {
    apply_event(state, LedgerEvent::RequestEnded(target.clone()));
}

fn model_status(status: &TargetStatus) -> ModelStatus {
    ModelStatus {
        model: status.target.model().to_string(),
        is_loaded: status.phase == TargetPhase::Loaded && !status.is_unload_pending,
        in_flight: status.requests,
        stage: status.phase.to_string(),
    }
}
