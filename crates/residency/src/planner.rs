//! Plans which engine loads which model next, and which models it unloads to free memory.
//!
//! An engine holds a few of many rare models at a time and keeps copies of more on its disk.
//! Requests for models that no engine holds come in bursts at many entries. A load from disk takes
//! a second or two; a load from the weight store takes many seconds, and only a few of those run at
//! full speed in parallel. One entry plans for all, so that a burst starts a single load; the side
//! process of the engine decides whether a change is safe.

mod candidates;
mod capacity;
mod pass;
mod reports;
mod streams;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use base::prelude::*;
use catalog::EngineSpec;
use roster::{IncarnationStart, InstanceId, SoftwareVersion};

use self::{pass::PlanningPass, reports::UnansweredHeartbeats};
use crate::{
    change::{CurrentLoad, EngineChange},
    demand::DemandTracker,
    engine::OrderCount,
    store_concurrency::StoreConcurrency,
};

/// State of one engine as last reported to the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSnapshot {
    /// Instance of the engine.
    pub instance: InstanceId,
    /// Start of its incarnation; `None` if the engine does not report it.
    pub started: Option<IncarnationStart>,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Orders accepted in this incarnation.
    pub orders: OrderCount,
    /// Resident models, with the number of adapters of each.
    pub residents: Vec<(ModelId, usize)>,
    /// The load in progress.
    pub loading: Option<CurrentLoad>,
    /// The model that is being unloaded.
    pub unloading: Option<ModelId>,
    /// Models with a copy of the weights in the host memory of the engine's VM.
    pub copies_in_memory: BTreeSet<ModelId>,
    /// Models with a copy of the weights on the engine's disk.
    pub copies_on_disk: BTreeSet<ModelId>,
    /// Whether the side process can start a change now.
    pub takes_changes: bool,
}

impl EngineSnapshot {
    /// Whether the engine has a copy of the weights of `model` in memory or on disk.
    fn has_copy(&self, model: &ModelId) -> bool {
        self.copies_in_memory.contains(model) || self.copies_on_disk.contains(model)
    }
}

/// Where the weights for a load are read from, fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// The host memory of the engine's VM.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

impl WeightSource {
    /// Label in decision logs.
    pub fn text(self) -> &'static str {
        match self {
            WeightSource::Memory => "memory",
            WeightSource::Disk => "disk",
            WeightSource::Store => "store",
        }
    }
}

/// Why a change is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// Requests wait for the model.
    Waiting,
    /// The model needs more engines for its demand, or one more in case an engine is lost.
    Busy,
    /// An engine has free memory, and no engine holds the model.
    Spare,
}

impl ChangeReason {
    /// Label in decision logs.
    pub fn text(self) -> &'static str {
        match self {
            ChangeReason::Waiting => "waiting",
            ChangeReason::Busy => "busy",
            ChangeReason::Spare => "spare",
        }
    }
}

/// A change of an engine with the reason for it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedChange {
    /// The change to request from the engine's side process.
    pub change: EngineChange,
    /// Why it is planned.
    pub reason: ChangeReason,
    /// Where the weights are read from.
    pub source: WeightSource,
    /// Requests that wait for the model.
    pub waiting: u32,
}

/// Result of one planning pass.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanOutcome {
    /// Changes to request.
    pub changes: Vec<PlannedChange>,
    /// When each model that requests wait for is expected to be loaded; `None` if no time
    /// can be estimated.
    pub load_estimates: Vec<(ModelId, Option<Instant>)>,
    /// The same for streams that wait for an engine of the software version that began them.
    pub stream_estimates: Vec<(ModelId, SoftwareVersion, Option<Instant>)>,
}

/// When the load from the weight store ends that the engine carries out, if any.
fn store_load_end(engine: &EngineSnapshot) -> Option<Instant> {
    engine.loading.as_ref().filter(|load| load.is_from_store).map(|load| load.ready_at)
}

/// A requested change that no report of the engine shows after this time counts as lost.
const PENDING_CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the listed engines that must have reported before the weight store is used; those that do
/// not answer are left out.
const MIN_REPORTED_SHARE: f64 = 0.75;
/// Overhead of a load: from the order to its execution, and from the end of the load to the first
/// request.
const ORDER_LATENCY: Duration = Duration::from_millis(60);

#[derive(Debug)]
struct PendingChange {
    expires_at: Instant,
    orders: OrderCount,
    load: Option<ModelId>,
    unload: Vec<ModelId>,
    ready_at: Instant,
    is_from_store: bool,
}

/// Planner of the engines of one service.
#[derive(Debug, Default)]
pub struct Planner {
    spec: Option<Arc<EngineSpec>>,
    engines: BTreeMap<InstanceId, EngineSnapshot>,
    /// Number of engines in the roster, whether they have reported or not.
    listed: usize,
    /// Heartbeats to engines that have not reported.
    unanswered: UnansweredHeartbeats,
    /// Engines that have reported and restarted since, until the roster lists their new incarnations.
    restarted: HashSet<InstanceId>,
    /// Requests a second that an engine takes, for those that name a limit.
    limits: HashMap<InstanceId, EventRate>,
    store_concurrency: StoreConcurrency,
    /// When the loads from the weight store end whose engines left or restarted meanwhile, by engine.
    abandoned_loads: HashMap<InstanceId, Instant>,
    /// Changes that were requested and that no report shows yet.
    pending: HashMap<InstanceId, PendingChange>,
    /// When each resident model was loaded, for loads seen since the planner started.
    loaded_at: HashMap<(InstanceId, ModelId), Instant>,
    /// Since when requests wait for each model that no engine holds or loads, as of the last pass.
    unmet: HashMap<ModelId, Instant>,
    /// Time of the first planning pass.
    first_pass: Option<Instant>,
}

impl Planner {
    /// Sets the engine's specification, which contains the sizes and load times of models.
    pub fn set_spec(&mut self, spec: Arc<EngineSpec>) {
        self.spec = Some(spec);
    }

    /// Sets the number of engines in the roster; after a start, not all of them have reported.
    pub fn set_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Records a heartbeat that is sent to an engine in the roster. One that leaves several unanswered
    /// is no longer waited for, though it is still listed.
    pub fn record_heartbeat(&mut self, instance: &InstanceId, now: Instant) {
        if !self.has_reported(instance) {
            self.unanswered.record_sent(instance, now);
        }
    }

    /// Forgets what an engine held that answers heartbeats as another incarnation than the roster
    /// lists. If it had reported, the planner does not wait for it until its new incarnation is listed.
    pub fn mark_restarted(&mut self, instance: &InstanceId) {
        let had_reported = self.has_reported(instance);
        self.remove(instance);
        if had_reported {
            self.restarted.insert(instance.clone());
        }
    }

    /// Sets the requests a second that each engine takes which names a limit.
    pub fn set_limits(&mut self, limits: HashMap<InstanceId, EventRate>) {
        self.limits = limits;
    }

    /// Applies the reported state of an engine.
    pub fn update_engine(&mut self, snapshot: EngineSnapshot, now: Instant) {
        let instance = snapshot.instance.clone();
        self.unanswered.clear(&instance);
        self.restarted.remove(&instance);
        if let Some(pending) = self.pending.get(&instance) {
            let is_started = snapshot.loading.is_some() || snapshot.orders != pending.orders;
            if is_started {
                self.pending.remove(&instance);
            }
        }
        self.update_store_concurrency(&snapshot, now);
        let before = self.engines.get(&instance);
        match before.filter(|before| before.started != snapshot.started).and_then(store_load_end) {
            Some(ready_at) => _ = self.abandoned_loads.insert(instance.clone(), ready_at),
            // The load counts again as one of its engine.
            None if snapshot.loading.is_some() => _ = self.abandoned_loads.remove(&instance),
            None => {}
        }
        for (model, _) in &snapshot.residents {
            let is_new = before
                .is_some_and(|before| !before.residents.iter().any(|(held, _)| held == model));
            if is_new {
                self.loaded_at.insert((instance.clone(), model.clone()), now);
            }
        }
        self.engines.insert(instance, snapshot);
    }

    fn update_store_concurrency(&mut self, snapshot: &EngineSnapshot, now: Instant) {
        let from_store = snapshot.loading.as_ref().filter(|load| load.is_from_store);
        let spec = self.spec.as_ref();
        let open = from_store.and_then(|load| Some((load.ready_at, spec?.model(&load.model)?)));
        match open {
            Some((ready_at, model)) => {
                let started = ready_at.checked_sub(model.store_load).unwrap_or(now);
                self.store_concurrency.record_start(&snapshot.instance, model.store_load, started);
            }
            None => self.store_concurrency.record_end(&snapshot.instance, now),
        }
    }

    /// Removes an engine that left the roster, drains, or has stopped reporting.
    pub fn remove(&mut self, instance: &InstanceId) {
        let removed = self.engines.remove(instance);
        self.unanswered.clear(instance);
        self.restarted.remove(instance);
        if let Some(ready_at) = removed.as_ref().and_then(store_load_end) {
            self.abandoned_loads.insert(instance.clone(), ready_at);
        }
        self.store_concurrency.discard(instance);
        self.pending.remove(instance);
        self.loaded_at.retain(|(engine, _), _| engine != instance);
    }

    /// Whether an engine has reported to this planner, be it before a restart.
    fn has_reported(&self, instance: &InstanceId) -> bool {
        self.engines.contains_key(instance) || self.restarted.contains(instance)
    }

    /// Whether most of the listed engines have reported, apart from those that do not answer.
    fn has_most_reports(&self, now: Instant) -> bool {
        let answering = self.listed.saturating_sub(self.unanswered.silent_engines(now));
        // If none answers, the first to return is awaited.
        let awaited = answering.max(self.listed.min(1));
        let reported = self.engines.len() + self.restarted.len();
        reported as f64 >= awaited as f64 * MIN_REPORTED_SHARE
    }

    /// Engines that have reported, in the order of their names.
    pub fn engines(&self) -> impl Iterator<Item = &EngineSnapshot> {
        self.engines.values()
    }

    /// Runs a planning pass on the current demand and records the changes that it plans as pending.
    /// Returns an empty outcome before the specification is set.
    pub fn plan(&mut self, tracker: &DemandTracker, now: Instant) -> PlanOutcome {
        let Some(spec) = self.spec.clone() else { return PlanOutcome::default() };
        self.pending.retain(|_, pending| pending.expires_at > now);
        self.abandoned_loads.retain(|_, ready_at| *ready_at > now);
        self.first_pass.get_or_insert(now);
        let mut pass = PlanningPass::new(self, &spec, tracker, now);
        let mut outcome = PlanOutcome::default();
        pass.plan_for_streams(&mut outcome);
        pass.plan_for_waiting(&mut outcome);
        pass.plan_for_busy(&mut outcome);
        pass.plan_for_spare(&mut outcome);
        self.unmet = pass.unmet;
        for planned in &outcome.changes {
            self.record_pending(&planned.change, now);
        }
        outcome
    }

    fn record_pending(&mut self, change: &EngineChange, now: Instant) {
        let pending = PendingChange {
            expires_at: now + PENDING_CHANGE_TIMEOUT,
            orders: change.orders,
            load: change.load.clone(),
            unload: change.unload.clone(),
            ready_at: now + ORDER_LATENCY + change.load_time,
            is_from_store: change.is_from_store,
        };
        self.pending.insert(change.instance.clone(), pending);
    }
}
