//! The planner: which engine loads which model next, and what makes room for it.
//!
//! Load pattern: many rare models, of which engines hold a few at a time and keep copies of more
//! on their disks. Requests for models that no engine holds come in bursts at many entries; a load
//! from disk takes a second or two, one from the weight store many, and only a few of those run at
//! full speed. One entry plans for all, so that a burst begins one load; the side processes decide
//! whether a change is safe.

mod pass;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use base::prelude::*;
use catalog::EngineSpec;
use roster::{IncarnationStart, InstanceId};

use self::pass::Look;
use crate::{
    controller::{CurrentLoad, EngineChange},
    demand::DemandTracker,
    engine::OrderCount,
    store_concurrency::StoreConcurrency,
};

/// What the planner knows of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSnapshot {
    /// Name.
    pub instance: InstanceId,
    /// Start of its incarnation.
    pub started: Option<IncarnationStart>,
    /// Orders accepted.
    pub orders: OrderCount,
    /// Models that it holds, with the number of their adapters.
    pub residents: Vec<(ModelId, usize)>,
    /// A load in progress.
    pub loading: Option<CurrentLoad>,
    /// A model that is being dropped.
    pub unloading: Option<ModelId>,
    /// Copies in memory.
    pub copies_in_memory: BTreeSet<ModelId>,
    /// Copies on disk.
    pub copies_on_disk: BTreeSet<ModelId>,
    /// Whether the side process can give orders now.
    pub takes_changes: bool,
}

impl EngineSnapshot {
    /// Whether the engine has a copy of the weights of `model`.
    fn has_copy(&self, model: &ModelId) -> bool {
        self.copies_in_memory.contains(model) || self.copies_on_disk.contains(model)
    }
}

/// Where the weights for a load come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// The memory of the engine's VM.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

impl WeightSource {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            WeightSource::Memory => "memory",
            WeightSource::Disk => "disk",
            WeightSource::Store => "store",
        }
    }
}

/// Why a change is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// Requests wait for the model.
    Waiting,
    /// The model is asked for more than its engines can bear.
    Busy,
    /// There is room, and nobody holds the model.
    Spare,
}

impl ChangeReason {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            ChangeReason::Waiting => "waiting",
            ChangeReason::Busy => "busy",
            ChangeReason::Spare => "spare",
        }
    }
}

/// A change with its reason.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedChange {
    /// The change.
    pub change: EngineChange,
    /// Why it is wanted.
    pub reason: ChangeReason,
    /// Where the weights come from.
    pub source: WeightSource,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// What a look at the fleet brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanOutcome {
    /// Changes to ask for.
    pub changes: Vec<PlannedChange>,
    /// When the models that requests wait for are expected; none if not soon.
    pub load_estimates: Vec<(ModelId, Option<Instant>)>,
}

/// A change that was asked for and is not seen after this time was lost on the way.
const PENDING: Duration = Duration::from_millis(500);
/// Time from an order to its execution, and from the end of a load to the first request.
const ORDER_TIME: Duration = Duration::from_millis(60);

#[derive(Debug)]
struct Pending {
    until: Instant,
    orders: OrderCount,
    load: Option<ModelId>,
    unload: Vec<ModelId>,
    ready_at: Instant,
    is_from_store: bool,
}

/// The planner of one service.
#[derive(Debug, Default)]
pub struct Planner {
    spec: Option<Arc<EngineSpec>>,
    engines: BTreeMap<InstanceId, EngineSnapshot>,
    listed: usize,
    store_pace: StoreConcurrency,
    pending: HashMap<InstanceId, Pending>,
    arrived: HashMap<(InstanceId, ModelId), Instant>,
    /// What the last look found unmet.
    unmet: HashMap<ModelId, Instant>,
    /// When the first look was.
    began: Option<Instant>,
}

impl Planner {
    /// Takes in the sizes of models.
    pub fn set_spec(&mut self, spec: Arc<EngineSpec>) {
        self.spec = Some(spec);
    }

    /// Takes in how many engines are listed; not all of them have been heard after a start.
    pub fn set_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Takes in the state of an engine.
    pub fn update_engine(&mut self, facts: EngineSnapshot, now: Instant) {
        let instance = facts.instance.clone();
        if let Some(pending) = self.pending.get(&instance) {
            let is_seen = facts.loading.is_some() || facts.orders != pending.orders;
            if is_seen {
                self.pending.remove(&instance);
            }
        }
        self.learn_store(&facts, now);
        let before = self.engines.get(&instance);
        for (model, _) in &facts.residents {
            let is_new = before
                .is_some_and(|before| !before.residents.iter().any(|(held, _)| held == model));
            if is_new {
                self.arrived.insert((instance.clone(), model.clone()), now);
            }
        }
        self.engines.insert(instance, facts);
    }

    fn learn_store(&mut self, facts: &EngineSnapshot, now: Instant) {
        let from_store = facts.loading.as_ref().filter(|load| load.is_from_store);
        let spec = self.spec.as_ref();
        let open = from_store.and_then(|load| Some((load.ready_at, spec?.model(&load.model)?)));
        match open {
            Some((ready_at, model)) => {
                let began = ready_at.checked_sub(model.store_load).unwrap_or(now);
                self.store_pace.record_start(&facts.instance, model.store_load, began);
            }
            None => self.store_pace.record_end(&facts.instance, now),
        }
    }

    /// Drops an engine that is gone, leaves, or is not heard of.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.engines.remove(instance);
        self.store_pace.discard(instance);
        self.pending.remove(instance);
        self.arrived.retain(|(engine, _), _| engine != instance);
    }

    /// Engines that are known.
    pub fn engines(&self) -> impl Iterator<Item = &EngineSnapshot> {
        self.engines.values()
    }

    /// Looks at the demand and says what to change.
    pub fn plan(&mut self, book: &DemandTracker, now: Instant) -> PlanOutcome {
        let Some(spec) = self.spec.clone() else { return PlanOutcome::default() };
        self.pending.retain(|_, pending| pending.until > now);
        self.began.get_or_insert(now);
        let mut look = Look::new(self, &spec, book, now);
        let mut outcome = PlanOutcome::default();
        look.serve_waiting(&mut outcome);
        look.spread_busy(&mut outcome);
        look.fill_spare(&mut outcome);
        self.unmet = look.unmet;
        for planned in &outcome.changes {
            self.note(&planned.change, now);
        }
        outcome
    }

    fn note(&mut self, change: &EngineChange, now: Instant) {
        let pending = Pending {
            until: now + PENDING,
            orders: change.orders,
            load: change.load.clone(),
            unload: change.unload.clone(),
            ready_at: now + ORDER_TIME + change.load_time,
            is_from_store: change.is_from_store,
        };
        self.pending.insert(change.instance.clone(), pending);
    }
}
