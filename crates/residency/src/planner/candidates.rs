//! The engines that can load a model, and what each load would cost.

use base::prelude::*;
use catalog::ModelSpec;
use roster::{InstanceId, SoftwareVersion};

use super::{
    EngineSnapshot, ORDER_LATENCY, WeightSource,
    capacity::offered_capacity,
    pass::{BUSY_MIN_RATE, EXTRA_HOLDER_VALUE, LOSS_PER_RATE, MIN_RESIDENCY, PlanningPass},
};

/// Time within which the engines report after a start of this process.
const FIRST_REPORT_TIME: Duration = Duration::from_millis(500);
/// Expected time until the running requests of a model that is to be unloaded have ended; a stream
/// in the users' workloads lasts two to eight seconds.
const EXPECTED_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Cost of a load of a rare model, in seconds, for each request per second for busy models at the
/// engine: half of the short requests use adapters, and those that have to be loaded wait until the
/// load of the rare model has ended.
const ADAPTER_DELAY_COST: f64 = 0.2;

/// Which engines a load is planned for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineChoice<'a> {
    /// All that have reported.
    All,
    /// Those of one software version.
    OfVersion(&'a SoftwareVersion),
    /// Those that name no limit of requests.
    WithoutLimit,
}

/// A possible change: an engine that can load the model, and the models that it would unload.
pub(super) struct Candidate {
    pub instance: InstanceId,
    pub unload: Vec<ModelId>,
    pub load_time: Duration,
    pub source: WeightSource,
    pub ready_at: Instant,
    pub starts_now: bool,
    /// Loss by the unloaded models, in request-seconds of waiting.
    pub loss: f64,
    /// Total cost in seconds; the candidate with the lowest cost is chosen.
    pub cost: f64,
}

impl PlanningPass<'_> {
    pub(super) fn best_candidate(&self, model: &ModelId, max_loss: f64) -> Option<Candidate> {
        self.candidates(model, max_loss, EngineChoice::All)
            .into_iter()
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// An empty engine without a copy of the model that can load it from the weight store; `None`
    /// if it would be the last load that the store serves at full speed, which is kept for waiting
    /// requests.
    pub(super) fn empty_engine_candidate(&self, model: &ModelId) -> Option<Candidate> {
        if !self.leaves_store_load() || !self.has_most_reports {
            return None;
        }
        let spec = self.spec.model(model)?;
        let engines = self.planner.engines.values();
        engines
            .filter(|engine| engine.residents.is_empty() && !engine.has_copy(model))
            .filter_map(|engine| self.candidate(engine, spec))
            .filter(|found| found.starts_now)
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Whether one more load from the weight store leaves one at full speed for waiting requests.
    pub(super) fn leaves_store_load(&self) -> bool {
        self.store_loads + 1 < self.planner.store_concurrency.limit()
    }

    /// Whether another load may read from the weight store.
    fn may_use_store(&self) -> bool {
        self.store_loads < self.planner.store_concurrency.limit() && self.has_most_reports
    }

    /// When a model will be loaded if an engine that has not reported yet has a copy on its disk;
    /// `None` once most engines have reported.
    pub(super) fn estimate_before_reports(&self, model: &ModelId) -> Option<Instant> {
        let spec = self.spec.model(model).filter(|_| !self.has_most_reports)?;
        Some(self.now + FIRST_REPORT_TIME + spec.disk_load)
    }

    /// The engines among `choice` that can load `model` at a loss below `max_loss`: those with a
    /// copy, and the others if the weight store would be faster.
    pub(super) fn candidates(
        &self,
        model: &ModelId,
        max_loss: f64,
        choice: EngineChoice<'_>,
    ) -> Vec<Candidate> {
        let Some(spec) = self.spec.model(model) else { return Vec::new() };
        let candidate =
            |engine| self.candidate(engine, spec).filter(|candidate| candidate.loss < max_loss);
        let is_eligible = |engine: &&EngineSnapshot| match choice {
            EngineChoice::All => true,
            EngineChoice::OfVersion(software) => engine.software == *software,
            EngineChoice::WithoutLimit => !self.planner.limits.contains_key(&engine.instance),
        };
        let (with_copy, others): (Vec<_>, Vec<_>) = self
            .planner
            .engines
            .values()
            .filter(is_eligible)
            .partition(|engine| engine.has_copy(model));
        let mut found: Vec<Candidate> = with_copy.into_iter().filter_map(candidate).collect();
        let first = found.iter().map(|candidate| candidate.ready_at).min();
        let is_slow = first.is_none_or(|at| at > self.now + spec.store_load);
        if is_slow && self.may_use_store() {
            found.extend(others.into_iter().filter_map(candidate));
        }
        found
    }

    fn source(&self, engine: &EngineSnapshot, model: &ModelSpec) -> (WeightSource, Duration) {
        if engine.copies_in_memory.contains(&model.id) {
            return (WeightSource::Memory, model.memory_load);
        }
        if engine.copies_on_disk.contains(&model.id) {
            return (WeightSource::Disk, model.disk_load);
        }
        (WeightSource::Store, model.store_load)
    }

    /// When the engine can start another change.
    fn free_at(&self, engine: &EngineSnapshot) -> Instant {
        if let Some(at) = self.busy_until.get(&engine.instance) {
            return *at;
        }
        let pending = self.planner.pending.get(&engine.instance).map(|pending| pending.ready_at);
        let loading = engine.loading.as_ref().map(|load| load.ready_at);
        match pending.or(loading) {
            Some(at) => at.max(self.now + ORDER_LATENCY),
            None if engine.takes_changes => self.now,
            // The engine waits for the running requests of a model that it unloads.
            None => self.now + EXPECTED_DRAIN_TIME,
        }
    }

    fn candidate(&self, engine: &EngineSnapshot, model: &ModelSpec) -> Option<Candidate> {
        if engine.residents.iter().any(|(held, _)| *held == model.id) {
            return None;
        }
        let (source, load_time) = self.source(engine, model);
        let free_at = self.free_at(engine);
        let unloads = self.plan_unloads(engine, model)?;
        let occupied = ORDER_LATENCY + unloads.wait + load_time;
        let ready_at = free_at + occupied;
        let wait = ready_at.saturating_duration_since(self.now);
        let cost = wait.as_secs_f64()
            + self.pressure * occupied.as_secs_f64()
            + unloads.loss
            + self.adapter_delay_cost(engine, &model.id)
            + self.limit_cost(engine);
        Some(Candidate {
            instance: engine.instance.clone(),
            unload: unloads.models,
            load_time,
            source,
            ready_at,
            starts_now: free_at <= self.now
                && (unloads.wait.is_zero() || self.is_overdue(&model.id)),
            loss: unloads.loss,
            cost,
        })
    }

    /// Cost, in seconds, of the engine refusing orders for adapters while it loads `model`.
    fn adapter_delay_cost(&self, engine: &EngineSnapshot, model: &ModelId) -> f64 {
        if self.rate(model) >= BUSY_MIN_RATE {
            return 0.0;
        }
        let busy = engine.residents.iter().map(|(held, _)| self.rate(held));
        busy.filter(|rate| *rate >= BUSY_MIN_RATE).sum::<f64>() * ADAPTER_DELAY_COST
    }

    /// Models to unload so that `model` fits, cheapest first by loss and drain time; `None` if it
    /// cannot fit.
    fn plan_unloads(&self, engine: &EngineSnapshot, model: &ModelSpec) -> Option<UnloadPlan> {
        let mut plan = UnloadPlan::default();
        let mut free = self.spec.weights_capacity.0 - self.used_memory(engine);
        let mut residents: Vec<(f64, Duration, &ModelId)> = engine
            .residents
            .iter()
            .filter_map(|(held, _)| {
                let (loss, wait) = self.unload_loss(engine, held)?;
                Some((loss, wait, held))
            })
            .collect();
        residents.sort_by(|a, b| (a.0 + a.1.as_secs_f64()).total_cmp(&(b.0 + b.1.as_secs_f64())));
        for (loss, wait, held) in residents {
            if free >= model.weights.0 {
                break;
            }
            free += self.resident_size(engine, held);
            plan.loss += loss;
            plan.wait = plan.wait.max(wait);
            plan.models.push(held.clone());
        }
        (free >= model.weights.0).then_some(plan)
    }

    fn resident_size(&self, engine: &EngineSnapshot, model: &ModelId) -> f64 {
        let adapters =
            engine.residents.iter().find(|(held, _)| held == model).map_or(0, |(_, n)| *n);
        let spec = self.spec.model(model);
        spec.map_or(0.0, |spec| spec.weights.0 + spec.adapter_size.0 * adapters as f64)
    }

    pub(super) fn used_memory(&self, engine: &EngineSnapshot) -> f64 {
        let held: f64 =
            engine.residents.iter().map(|(model, _)| self.resident_size(engine, model)).sum();
        let loading = engine
            .loading
            .as_ref()
            .filter(|load| !engine.residents.iter().any(|(held, _)| *held == load.model));
        let loading_spec = loading.and_then(|load| self.spec.model(&load.model));
        held + loading_spec.map_or(0.0, |spec| spec.weights.0)
    }

    /// Loss of unloading `model` at the engine, in request-seconds of waiting, and the expected
    /// time for its running requests to end; `None` if it must stay.
    fn unload_loss(&self, engine: &EngineSnapshot, model: &ModelId) -> Option<(f64, Duration)> {
        let key = (engine.instance.clone(), model.clone());
        let is_new = self
            .planner
            .loaded_at
            .get(&key)
            .is_some_and(|at| self.now.saturating_duration_since(*at) < MIN_RESIDENCY);
        let demand = self.demand.get(model);
        let is_requested =
            demand.is_some_and(|demand| demand.waiting > 0 || !demand.streams.is_empty());
        if is_new || is_requested || engine.unloading.as_ref() == Some(model) {
            return None;
        }
        let running = demand.and_then(|demand| demand.running.get(&engine.instance)).copied();
        let wait = if running.unwrap_or(0) > 0 { EXPECTED_DRAIN_TIME } else { Duration::ZERO };
        let rate = self.rate(model);
        let holders = self.holders(model);
        let loss = if holders > self.target_holders(model).max(1) {
            // Among models with more holders than needed, the one with the least demand goes first.
            rate * EXTRA_HOLDER_VALUE / holders as f64
        } else if holders > 1 {
            let offered = offered_capacity(self.planner, engine, model, self.tracker, self.now);
            let capacity = self.held_capacity(model) - offered;
            self.extra_holder_gain(model, holders - 1, capacity)
        } else {
            self.tracker.sustained_rate(model, self.now).0 * LOSS_PER_RATE
        };
        Some((loss, wait))
    }
}

/// Models that an engine would unload to free memory for a load; empty if enough is free.
#[derive(Debug, Default)]
struct UnloadPlan {
    /// Models to unload.
    models: Vec<ModelId>,
    /// Loss by unloading them, in request-seconds of waiting.
    loss: f64,
    /// Expected time until their running requests have ended.
    wait: Duration,
}
