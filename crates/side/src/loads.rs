//! Drives the memory ledger: feeds it orders, answers and listings, and performs its actions.

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

/// What became of an order.
type OrderReply = Result<OrderOutcome, DenyReason>;

/// The ledger and those who wait for what becomes of their orders.
#[derive(Debug)]
pub struct LoadDriver {
    ledger: Mutex<MemoryLedger>,
    replies: Mutex<HashMap<OrderId, oneshot::Sender<OrderReply>>>,
    cached: Mutex<BTreeMap<String, CacheTier>>,
    engine_calls: AtomicUsize,
    next_order: AtomicU64,
}

impl LoadDriver {
    /// A driver for the backend server of the side process `holder`.
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
        self.ledger.lock().expect("no holder panics")
    }

    /// Memory taken or reserved.
    pub fn reserved(&self) -> ByteSize {
        self.ledger().reserved()
    }

    /// Whether orders are accepted.
    pub fn is_ready(&self) -> bool {
        self.ledger().is_ready()
    }

    /// What is known of each model and adapter.
    pub fn status(&self) -> Vec<TargetStatus> {
        self.ledger().status()
    }

    /// All models for a report.
    pub fn models(&self) -> Vec<ModelStatus> {
        let bases = self.status().into_iter().filter(|status| !status.target.is_adapter());
        bases.map(|status| held_model(&status)).collect()
    }

    /// Models whose checkpoints are cached, for a report.
    pub fn cached(&self) -> Vec<CachedModel> {
        let cached = self.cached.lock().expect("no holder panics");
        let near = cached.iter().filter(|(_, tier)| **tier != CacheTier::Remote);
        let model = |(model, tier): (&String, &CacheTier)| CachedModel {
            model: model.clone(),
            is_in_memory: *tier == CacheTier::Memory,
        };
        near.map(model).collect()
    }

    /// Counts a request on a loaded target; `false` if it may not be used now.
    fn start_request(&self, target: &LoadTarget) -> bool {
        let mut ledger = self.ledger();
        let is_serving = ledger.can_serve(target);
        if is_serving {
            let started = LedgerEvent::RequestStarted(target.clone());
            let actions = ledger.step(started, Instant::now());
            debug_assert!(actions.is_empty(), "a request starts nothing");
        }
        is_serving
    }

    /// Memory reserved for one target.
    fn size_of(&self, target: &LoadTarget) -> ByteSize {
        self.ledger().size_of(target)
    }

    fn draw_order(&self) -> OrderId {
        OrderId(self.next_order.fetch_add(1, Ordering::Relaxed))
    }
}

/// The model or adapter that a request needs; `None` for plain services.
///
/// # Errors
///
/// Fails if a name is malformed.
fn target_of(run: &RunRequest) -> Result<Option<LoadTarget>, ResultCode> {
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

/// Feeds one event to the ledger and performs what follows.
pub fn feed(state: &Arc<SideState>, event: LedgerEvent) {
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
    let waiter = state.loads.replies.lock().expect("no holder panics").remove(&order);
    if let Some(waiter) = waiter {
        let _ = waiter.send(reply);
    }
}

/// Feeds an order and waits for what becomes of it.
async fn place_order(state: &Arc<SideState>, id: OrderId, order: LedgerEvent) -> OrderReply {
    let (sender, receiver) = oneshot::channel();
    state.loads.replies.lock().expect("no holder panics").insert(id, sender);
    feed(state, order);
    receiver.await.unwrap_or(Err(DenyReason::NotReady))
}

/// Carries an owner's order to load out and tells what became of it.
pub async fn load(state: Arc<SideState>, order: LoadOrder) -> wire::load::OrderOutcome {
    let reply = match order.model.parse::<ModelId>() {
        Ok(model) => {
            let id = state.loads.draw_order();
            let load = loading::LoadOrder {
                id,
                target: LoadTarget::Model(model),
                size: ByteSize(order.memory),
                holder: ProcessIncarnation(order.incarnation),
                fence: FencingNumber(order.fencing),
                worth: KeepWorth(order.worth),
            };
            place_order(&state, id, LedgerEvent::Load(load)).await.map_err(code_of)
        }
        Err(_) => Err(ResultCode::MalformedRequest),
    };
    let outcome = outcome(order.model, order.fencing, reply, true);
    state.metrics.loads.with_label_values(&[&outcome.code.to_string()]).inc();
    outcome
}

/// Carries an owner's order to unload out and tells what became of it.
pub async fn unload(state: Arc<SideState>, order: UnloadOrder) -> wire::load::OrderOutcome {
    let reply = match order.model.parse::<ModelId>() {
        Ok(model) => {
            let id = state.loads.draw_order();
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
            place_order(&state, id, LedgerEvent::Unload(unload)).await.map_err(code_of)
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

fn code_of(reason: DenyReason) -> ResultCode {
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

/// Counts a request on its model, after loading its adapter if that is missing; `None` for plain
/// services.
///
/// # Errors
///
/// Fails if the model or adapter cannot be used; nothing was handed to the engine.
pub async fn acquire(
    state: &Arc<SideState>,
    run: &RunRequest,
) -> Result<Option<LoadTarget>, ResultCode> {
    let Some(target) = target_of(run)? else { return Ok(None) };
    if state.loads.start_request(&target) {
        return Ok(Some(target));
    }
    if !target.is_adapter() {
        return Err(ResultCode::NoReplica);
    }
    load_adapter(state, &target, ByteSize(run.adapter_memory)).await.map_err(code_of)?;
    match state.loads.start_request(&target) {
        true => Ok(Some(target)),
        false => Err(ResultCode::NoReplica),
    }
}

/// An adapter rides on the slot of its model and needs no order of an owner.
async fn load_adapter(state: &Arc<SideState>, target: &LoadTarget, size: ByteSize) -> OrderReply {
    let fence = state.loads.ledger().held_fence(target.model()).ok_or(DenyReason::StaleFence)?;
    let id = state.loads.draw_order();
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
    feed(state, LedgerEvent::RequestEnded(target.clone()));
}

fn held_model(status: &TargetStatus) -> ModelStatus {
    ModelStatus {
        model: status.target.model().to_string(),
        is_loaded: status.phase == TargetPhase::Loaded && !status.is_unload_pending,
        in_flight: status.requests,
        stage: status.phase.to_string(),
    }
}
