//! Loads and unloads at the engine, within its memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use wire::load::{HeldModel, LoadOrder, OrderOutcome, UnloadOrder};

use crate::{
    backend::{EngineListing, ListedStage},
    process::SideState,
};

/// Where a model stands at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldStage {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug, Clone)]
struct HeldEntry {
    stage: HeldStage,
    memory: ByteSize,
    in_flight: u32,
    used: Instant,
}

/// Models at the engine and the memory reserved for them.
#[derive(Debug, Default)]
pub struct LoadBook {
    held: Mutex<BTreeMap<ModelId, HeldEntry>>,
}

impl LoadBook {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ModelId, HeldEntry>> {
        self.held.lock().expect("no holder panics")
    }

    /// Takes over what the engine already holds.
    pub fn adopt(&self, model: ModelId, memory: ByteSize, is_loaded: bool) {
        let stage = if is_loaded { HeldStage::Loaded } else { HeldStage::Loading };
        let entry = HeldEntry { stage, memory, in_flight: 0, used: Instant::now() };
        self.lock().insert(model, entry);
    }

    /// Gives up loaded models that the engine's listing lacks after a restart.
    pub fn restarted(&self, listing: &Option<EngineListing>) {
        let Some(listing) = listing else { return };
        let is_listed =
            |model: &ModelId| listing.models.iter().any(|listed| listed.model == model.as_str());
        self.lock().retain(|model, entry| entry.stage != HeldStage::Loaded || is_listed(model));
    }

    /// Memory reserved for all models.
    pub fn reserved(&self) -> ByteSize {
        self.lock().values().fold(ByteSize(0), |sum, entry| sum.plus(entry.memory))
    }

    /// All models for a report.
    pub fn models(&self) -> Vec<HeldModel> {
        let held = self.lock();
        let model = |(id, entry): (&ModelId, &HeldEntry)| HeldModel {
            model: id.to_string(),
            is_loaded: entry.stage == HeldStage::Loaded,
            in_flight: entry.in_flight,
        };
        held.iter().map(model).collect()
    }

    /// Counts a request on a loaded model; `false` if the model is not loaded.
    pub fn start_request(&self, model: &ModelId) -> bool {
        let mut held = self.lock();
        let Some(entry) = held.get_mut(model) else { return false };
        if entry.stage != HeldStage::Loaded {
            return false;
        }
        entry.in_flight += 1;
        entry.used = Instant::now();
        true
    }

    /// Ends a request counted by [`LoadBook::start_request`].
    pub fn end_request(&self, model: &ModelId) {
        if let Some(entry) = self.lock().get_mut(model) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.used = Instant::now();
        }
    }

    fn reserve(&self, model: &ModelId, memory: ByteSize, total: ByteSize) -> ReserveOutcome {
        let mut held = self.lock();
        match held.get(model).map(|entry| entry.stage) {
            Some(HeldStage::Loaded) => return ReserveOutcome::AlreadyLoaded,
            Some(HeldStage::Loading) => return ReserveOutcome::AlreadyLoading,
            Some(HeldStage::Unloading) => return ReserveOutcome::NoMemory,
            None => {}
        }
        let reserved = held.values().fold(ByteSize(0), |sum, entry| sum.plus(entry.memory));
        if reserved.plus(memory) > total {
            let victim = idle_victim(&mut held);
            return victim.map_or(ReserveOutcome::NoMemory, ReserveOutcome::EvictFirst);
        }
        let entry =
            HeldEntry { stage: HeldStage::Loading, memory, in_flight: 0, used: Instant::now() };
        held.insert(model.clone(), entry);
        ReserveOutcome::Reserved
    }

    fn begin_unload(&self, model: &ModelId) -> bool {
        let mut held = self.lock();
        let Some(entry) = held.get_mut(model) else { return false };
        let is_idle = entry.stage == HeldStage::Loaded && entry.in_flight == 0;
        if is_idle {
            entry.stage = HeldStage::Unloading;
        }
        is_idle
    }

    fn finish_load(&self, model: &ModelId) {
        if let Some(entry) = self.lock().get_mut(model) {
            entry.stage = HeldStage::Loaded;
        }
    }

    fn forget(&self, model: &ModelId) {
        self.lock().remove(model);
    }
}

fn idle_victim(held: &mut BTreeMap<ModelId, HeldEntry>) -> Option<ModelId> {
    let idle = held
        .iter_mut()
        .filter(|(_, entry)| entry.stage == HeldStage::Loaded && entry.in_flight == 0)
        .min_by_key(|(_, entry)| entry.used)?;
    idle.1.stage = HeldStage::Unloading;
    Some(idle.0.clone())
}

/// What became of an attempt to reserve memory.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReserveOutcome {
    Reserved,
    AlreadyLoaded,
    AlreadyLoading,
    EvictFirst(ModelId),
    NoMemory,
}

/// Carries an order to load out and tells what became of it.
pub async fn load(state: Arc<SideState>, order: LoadOrder) -> OrderOutcome {
    let code = match order.model.parse::<ModelId>() {
        Ok(model) => load_model(&state, &model, &order).await,
        Err(_) => ResultCode::MalformedRequest,
    };
    let is_loaded = code == ResultCode::Success;
    state.metrics.loads.with_label_values(&[&code.number().to_string()]).inc();
    OrderOutcome { model: order.model, fencing: order.fencing, is_loaded, code: code.number() }
}

async fn load_model(state: &Arc<SideState>, model: &ModelId, order: &LoadOrder) -> ResultCode {
    if order.incarnation != state.identity.incarnation.0 {
        return ResultCode::NoReplica;
    }
    let memory = ByteSize(order.memory);
    let total = state.settings.backend.memory;
    loop {
        match state.loads.reserve(model, memory, total) {
            ReserveOutcome::Reserved => break,
            ReserveOutcome::AlreadyLoaded | ReserveOutcome::AlreadyLoading => {
                return ResultCode::Success;
            }
            ReserveOutcome::NoMemory => return ResultCode::NoReplica,
            ReserveOutcome::EvictFirst(victim) => {
                unload_engine(state, &victim, order.fencing).await
            }
        }
    }
    log::info!("loads: loading {model}");
    let loaded = state.backend.load(model, FencingNumber(order.fencing), memory).await;
    match loaded {
        Ok(()) => {
            state.loads.finish_load(model);
            log::info!("loads: loaded {model}");
            ResultCode::Success
        }
        Err(error) => {
            log::warn!("loads: {model} failed: {error}");
            reconcile(state, model).await;
            ResultCode::LoadFailed
        }
    }
}

/// Carries an order to unload out and tells what became of it.
pub async fn unload(state: Arc<SideState>, order: UnloadOrder) -> OrderOutcome {
    let code = match order.model.parse::<ModelId>() {
        Ok(model) if state.loads.begin_unload(&model) => {
            unload_engine(&state, &model, order.fencing).await;
            ResultCode::Success
        }
        Ok(_) => ResultCode::NoReplica,
        Err(_) => ResultCode::MalformedRequest,
    };
    OrderOutcome {
        model: order.model,
        fencing: order.fencing,
        is_loaded: false,
        code: code.number(),
    }
}

async fn unload_engine(state: &Arc<SideState>, model: &ModelId, fencing: u64) {
    if let Err(error) = state.backend.unload(model, FencingNumber(fencing)).await {
        log::warn!("loads: unloading {model} failed: {error}");
    }
    reconcile(state, model).await;
}

/// Frees the reservation of `model` once the engine's listing no longer shows it.
async fn reconcile(state: &Arc<SideState>, model: &ModelId) {
    loop {
        match state.backend.list().await {
            Ok(listing) => {
                let held = listing.models.iter().find(|held| held.model == model.as_str());
                match held {
                    None => return state.loads.forget(model),
                    Some(held) if held.state == ListedStage::Loaded => {
                        return state.loads.finish_load(model);
                    }
                    Some(_) => {}
                }
            }
            Err(error) => log::warn!("loads: the engine's listing failed: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
