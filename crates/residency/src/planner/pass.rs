//! One planning pass over the engines of a service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use base::prelude::*;
use catalog::{EngineSpec, ModelSpec};
use roster::InstanceId;

use super::{
    ChangeReason, EngineSnapshot, ORDER_LATENCY, PlanOutcome, PlannedChange, Planner, WeightSource,
};
use crate::{
    controller::EngineChange,
    demand::{DemandTracker, ModelDemand},
};

/// Share of the listed engines that must have reported before the weight store is used.
const MIN_REPORTED_SHARE: f64 = 0.75;
/// Time within which the engines report after a start of this process.
const FIRST_REPORT_TIME: Duration = Duration::from_millis(500);
/// Time after the first pass in which only requested models are loaded if all engines are empty.
/// All engines and this process have then just restarted, and the requests of this time show which
/// models have the most demand; busy deployments of the users get ten to forty requests in it.
const INITIAL_DEMAND_WINDOW: Duration = Duration::from_millis(300);
/// A second load of a model is planned only if it ends this much earlier than the one in progress.
const MIN_TIME_SAVED: Duration = Duration::from_millis(1_500);
/// Expected time until the running requests of a model that is to be unloaded have ended; a stream
/// in the users' workloads lasts two to eight seconds.
const EXPECTED_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a load waits for a model to become idle before one with running requests is
/// unloaded. An engine that unloads such a model carries out no other order until they have ended.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(3_000);
/// Expected arrivals within this time count towards the value of a load.
const ARRIVAL_HORIZON: Duration = Duration::from_secs(2);
/// Value of a request that cannot meet its latency goal any more, relative to one that can; the
/// users pay a tenth to a third for late answers.
const LATE_REQUEST_VALUE: f64 = 0.3;
/// Value, in requests, from which a load is planned before those of rare models.
const HIGH_VALUE: f64 = 2.0;
/// Value, in requests, from which a load is planned although no request waits. While loads are
/// planned for seconds ahead, requests are refused at once with a time to retry after.
const MIN_VALUE_WITHOUT_WAITING: f64 = 1.0;
/// A loaded model is kept at least this long, for the requests that waited for it.
const MIN_RESIDENCY: Duration = Duration::from_millis(700);
/// Loss for each request per second for an unloaded model, in request-seconds of waiting.
const LOSS_PER_RATE: f64 = 4.0;
/// Loss that a load may cause for each request that it serves, in request-seconds of waiting. An
/// unloaded model is missing for one to two seconds if another engine has a copy, and longer while
/// its requests end; rare models would starve if each loss counted in full.
const MAX_LOSS_PER_VALUE: f64 = 3.0;
/// Requests per second for one model that one engine can serve. Prefill of a prompt in the users'
/// workloads takes 60 to 80 ms; once prefill takes more than a third of the engine's time, prompts
/// too often arrive during the prefill of another.
const MAX_RATE_PER_ENGINE: f64 = 5.0;
/// Running requests for one model that one engine can serve.
const MAX_RUNNING_PER_ENGINE: f64 = 20.0;
/// Rate from which one more engine than required should hold a model, in case one is lost.
const REDUNDANCY_MIN_RATE: EventRate = EventRate(1.5);
/// Rate from which a model counts as busy, in requests per second.
const BUSY_MIN_RATE: f64 = 1.0;
/// Upper bound of the gain of one more engine that holds a model, in request-seconds of waiting:
/// the loss of the only holder of a model that just counts as busy.
const MAX_EXTRA_HOLDER_GAIN: f64 = BUSY_MIN_RATE * LOSS_PER_RATE;
/// Cost of a load of a rare model, in seconds, for each request per second for busy models at the
/// engine: half of the short requests use adapters, and those that have to be loaded wait until the
/// load of the rare model has ended.
const ADAPTER_DELAY_COST: f64 = 0.2;
/// Value of an engine that holds a model beyond the required ones, in request-seconds of waiting.
const EXTRA_HOLDER_VALUE: f64 = 0.3;

/// Order in which loads are planned; values are in thousandths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadRank {
    /// Many requests wait or are expected; highest value first.
    HighValue(Reverse<u64>),
    /// The latency goal can still be met; earliest goal first.
    InTime(Instant),
    /// The latency goal is missed; highest value first.
    Late(Reverse<u64>),
}

/// A possible change: an engine that can load the model, and the models that it would unload.
struct Candidate {
    instance: InstanceId,
    unload: Vec<ModelId>,
    load_time: Duration,
    source: WeightSource,
    ready_at: Instant,
    starts_now: bool,
    /// Loss by the unloaded models, in request-seconds of waiting.
    loss: f64,
    /// Total cost in seconds; the candidate with the lowest cost is chosen.
    cost: f64,
}

/// Number of engines that hold each model and are not unloading it.
fn count_holders(planner: &Planner) -> HashMap<&ModelId, usize> {
    let mut holders = HashMap::new();
    for engine in planner.engines.values() {
        let held = engine.residents.iter().map(|(model, _)| model);
        let pending = planner.pending.get(&engine.instance);
        let is_unloading = |model: &ModelId| {
            engine.unloading.as_ref() == Some(model)
                || pending.is_some_and(|pending| pending.unload.contains(model))
        };
        for model in held.filter(|model| !is_unloading(model)) {
            *holders.entry(model).or_insert(0) += 1;
        }
    }
    holders
}

/// When the first load of each model that is in progress or requested ends.
fn loads_in_progress(planner: &Planner, now: Instant) -> HashMap<&ModelId, Instant> {
    let in_progress = planner.engines.values().filter_map(|engine| engine.loading.as_ref());
    let loads = in_progress.map(|load| (&load.model, load.ready_at));
    let pending = planner.pending.values();
    let requested = pending.filter_map(|pending| Some((pending.load.as_ref()?, pending.ready_at)));
    let mut expected: HashMap<&ModelId, Instant> = HashMap::new();
    for (model, ready_at) in loads.chain(requested) {
        let ready_at = ready_at.max(now + ORDER_LATENCY);
        let first = expected.entry(model).or_insert(ready_at);
        *first = ready_at.min(*first);
    }
    expected
}

/// State of one planning pass.
pub(super) struct PlanningPass<'a> {
    planner: &'a Planner,
    spec: &'a EngineSpec,
    tracker: &'a DemandTracker,
    demand: BTreeMap<ModelId, ModelDemand>,
    /// Engines with a change planned in this pass, and when they can start another one.
    busy_until: BTreeMap<InstanceId, Instant>,
    /// Number of engines that hold each model.
    holders: HashMap<&'a ModelId, usize>,
    /// When each load in progress or requested ends.
    loading: HashMap<&'a ModelId, Instant>,
    /// Since when requests wait for each model that no engine holds or loads.
    pub(super) unmet: HashMap<ModelId, Instant>,
    /// Models whose load is planned in this pass.
    planned: BTreeSet<ModelId>,
    /// Loads from the weight store that are in progress, requested or planned.
    store_loads: usize,
    /// Models in `unmet` per engine; the cost of one second of an engine's time.
    pressure: f64,
    now: Instant,
}

impl<'a> PlanningPass<'a> {
    pub(super) fn new(
        planner: &'a Planner,
        spec: &'a EngineSpec,
        tracker: &'a DemandTracker,
        now: Instant,
    ) -> Self {
        let in_progress = planner.engines.values().filter_map(|engine| engine.loading.as_ref());
        let store_loads = in_progress.filter(|load| load.is_from_store).count()
            + planner.pending.values().filter(|pending| pending.is_from_store).count();
        let (demand, holders, loading) =
            (tracker.by_model(now), count_holders(planner), loads_in_progress(planner, now));
        let unmet: HashMap<ModelId, Instant> = demand
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .filter(|(model, _)| !holders.contains_key(model) && !loading.contains_key(model))
            .map(|(model, _)| (model.clone(), planner.unmet.get(model).copied().unwrap_or(now)))
            .collect();
        let pressure = unmet.len() as f64 / planner.engines.len().max(1) as f64;
        Self {
            planner,
            spec,
            tracker,
            demand,
            busy_until: BTreeMap::new(),
            holders,
            loading,
            unmet,
            planned: BTreeSet::new(),
            store_loads,
            pressure,
            now,
        }
    }

    /// Whether requests have waited for `model` so long that a model with running requests may be
    /// unloaded for it.
    fn is_overdue(&self, model: &ModelId) -> bool {
        let unmet = self.unmet.get(model);
        unmet.is_some_and(|since| self.now.saturating_duration_since(*since) >= MAX_IDLE_WAIT)
    }

    /// When a load of `model` that is in progress or requested ends.
    fn expected_load(&self, model: &ModelId) -> Option<Instant> {
        self.loading.get(model).copied()
    }

    /// Whether a load of `model` is in progress, requested or planned.
    fn is_load_expected(&self, model: &ModelId) -> bool {
        self.planned.contains(model) || self.expected_load(model).is_some()
    }

    /// Recent requests per second for `model`.
    fn rate(&self, model: &ModelId) -> f64 {
        self.tracker.recent_rate(model, self.now).0
    }

    fn holders(&self, model: &ModelId) -> usize {
        self.holders.get(model).copied().unwrap_or(0)
    }

    /// Models that requests wait for or are expected to retry for, in the order of [`LoadRank`].
    fn waiting_models(&self) -> Vec<(ModelId, ModelDemand)> {
        let waiting = self.demand.iter().filter(|(model, demand)| {
            demand.waiting > 0 || self.load_value(model, demand) >= MIN_VALUE_WITHOUT_WAITING
        });
        let mut ranked: Vec<(LoadRank, &ModelId, &ModelDemand)> =
            waiting.map(|(model, demand)| (self.rank(model, demand), model, demand)).collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(b.1)));
        ranked.into_iter().map(|(_, model, demand)| (model.clone(), demand.clone())).collect()
    }

    fn rank(&self, model: &ModelId, demand: &ModelDemand) -> LoadRank {
        let value = self.load_value(model, demand);
        match (value >= HIGH_VALUE, self.is_late(model, demand)) {
            (true, _) => LoadRank::HighValue(Reverse((value * 1000.0) as u64)),
            (false, false) => LoadRank::InTime(demand.due.unwrap_or(self.now)),
            (false, true) => LoadRank::Late(Reverse((value * 1000.0) as u64)),
        }
    }

    /// Whether the first waiting request misses its latency goal even if a load starts now.
    fn is_late(&self, model: &ModelId, demand: &ModelDemand) -> bool {
        let load = self.spec.model(model).map_or(Duration::ZERO, |spec| spec.disk_load);
        demand.due.unwrap_or(self.now) < self.now + load
    }

    /// Value of a load of the model, in requests: those that wait and those expected soon.
    fn load_value(&self, model: &ModelId, demand: &ModelDemand) -> f64 {
        let waiting_value = if self.is_late(model, demand) { LATE_REQUEST_VALUE } else { 1.0 };
        let expected = self.rate(model) * ARRIVAL_HORIZON.as_secs_f64();
        f64::from(demand.waiting) * waiting_value + expected
    }

    /// Plans loads of models that requests wait for.
    pub(super) fn plan_for_waiting(&mut self, outcome: &mut PlanOutcome) {
        for (model, demand) in self.waiting_models() {
            let expected = self.expected_load(&model);
            if expected.is_none() && self.holders(&model) > 0 {
                continue;
            }
            let is_faster = |found: &Candidate| {
                expected.is_none_or(|ready_at| found.ready_at + MIN_TIME_SAVED < ready_at)
            };
            let max_loss = self.load_value(&model, &demand) * MAX_LOSS_PER_VALUE;
            let Some(best) = self.best_candidate(&model, max_loss).filter(is_faster) else {
                let load_estimate = expected.or_else(|| self.estimate_before_reports(&model));
                outcome.load_estimates.push((model, load_estimate));
                continue;
            };
            outcome.load_estimates.push((model.clone(), Some(best.ready_at)));
            if best.starts_now {
                self.plan_change(outcome, model, best, ChangeReason::Waiting, demand.waiting);
            } else {
                // Reserves the engine for this model, so that later models of this pass follow it.
                self.busy_until.insert(best.instance, best.ready_at + MIN_RESIDENCY);
            }
        }
    }

    /// Engines that the requests for a model keep busy, as a fraction.
    fn engine_demand(&self, model: &ModelId) -> f64 {
        let running = self.demand.get(model).map_or(0, ModelDemand::total_running);
        let by_running = f64::from(running) / MAX_RUNNING_PER_ENGINE;
        let by_rate = self.rate(model) / MAX_RATE_PER_ENGINE;
        by_running.max(by_rate)
    }

    /// Engines that must hold a model to serve its requests.
    fn required_holders(&self, model: &ModelId) -> usize {
        self.engine_demand(model).ceil() as usize
    }

    /// Gain of one more holder of a model that `holders` engines hold, in request-seconds of
    /// waiting: it serves the requests beyond their capacity, and takes over if one of them is
    /// lost.
    fn extra_holder_gain(&self, model: &ModelId, holders: usize) -> f64 {
        let excess = (self.engine_demand(model) - holders as f64).max(0.0);
        let rate = self.rate(model);
        let redundancy = EXTRA_HOLDER_VALUE + rate * EXTRA_HOLDER_VALUE / (holders + 1) as f64;
        (excess * MAX_RATE_PER_ENGINE * LOSS_PER_RATE + redundancy).min(MAX_EXTRA_HOLDER_GAIN)
    }

    /// Engines that should hold a model, including one in case another is lost.
    fn target_holders(&self, model: &ModelId) -> usize {
        let redundant =
            usize::from(self.tracker.recent_rate(model, self.now) >= REDUNDANCY_MIN_RATE);
        self.required_holders(model) + redundant
    }

    /// Plans additional holders for models whose holders are overloaded and, if no requests wait
    /// for a missing model, for models that need one in case a holder is lost. Models of higher
    /// value are not unloaded for this.
    pub(super) fn plan_for_busy(&mut self, outcome: &mut PlanOutcome) {
        let models: Vec<ModelId> = self.demand.keys().cloned().collect();
        for model in models {
            let target = match self.pressure > 0.0 {
                true => self.required_holders(&model),
                false => self.target_holders(&model),
            };
            let holders = self.holders(&model);
            if holders == 0 || holders >= target || self.is_load_expected(&model) {
                continue;
            }
            let gain = self.extra_holder_gain(&model, holders);
            let best = self
                .best_candidate(&model, gain)
                .filter(|best| best.starts_now && best.source != WeightSource::Store)
                .or_else(|| self.empty_engine_candidate(&model));
            if let Some(best) = best {
                self.plan_change(outcome, model, best, ChangeReason::Busy, 0);
            }
        }
    }

    /// Fills free memory with models that no engine holds, from copies in memory or on disk only.
    pub(super) fn plan_for_spare(&mut self, outcome: &mut PlanOutcome) {
        if self.pressure > 0.0 || !self.has_free_memory() || self.awaits_first_requests() {
            return;
        }
        let mut models: Vec<ModelId> =
            self.spec.models.iter().map(|spec| spec.id.clone()).collect();
        let demand_of = |model: &ModelId| self.tracker.sustained_rate(model, self.now).0;
        models.sort_by(|a, b| demand_of(b).total_cmp(&demand_of(a)));
        for model in models {
            if self.holders(&model) > 0 || self.is_load_expected(&model) {
                continue;
            }
            let best = self
                .candidates(&model, f64::INFINITY)
                .into_iter()
                .filter(|found| found.starts_now && found.unload.is_empty())
                .filter(|found| found.source != WeightSource::Store)
                .min_by(|a, b| a.cost.total_cmp(&b.cost));
            if let Some(best) = best {
                self.plan_change(outcome, model, best, ChangeReason::Spare, 0);
            }
        }
    }

    /// Whether all engines are empty and the demand after a start is not known yet.
    fn awaits_first_requests(&self) -> bool {
        let first_pass = self.planner.first_pass.unwrap_or(self.now);
        self.now.saturating_duration_since(first_pass) < INITIAL_DEMAND_WINDOW
            && self.planner.engines.values().all(|engine| engine.residents.is_empty())
    }

    /// Whether an engine that can start a change has free memory for the smallest model.
    fn has_free_memory(&self) -> bool {
        let sizes = self.spec.models.iter().map(|spec| spec.weights.0);
        let smallest = sizes.fold(f64::INFINITY, f64::min);
        self.planner.engines.values().any(|engine| {
            engine.takes_changes
                && !self.busy_until.contains_key(&engine.instance)
                && self.used_memory(engine) + smallest <= self.spec.weights_capacity.0
        })
    }

    fn plan_change(
        &mut self,
        outcome: &mut PlanOutcome,
        model: ModelId,
        found: Candidate,
        reason: ChangeReason,
        waiting: u32,
    ) {
        let Some(engine) = self.planner.engines.get(&found.instance) else { return };
        let is_from_store = found.source == WeightSource::Store;
        self.planned.insert(model.clone());
        for unloaded in &found.unload {
            if let Some(holders) = self.holders.get_mut(unloaded) {
                *holders -= 1;
            }
        }
        self.store_loads += usize::from(is_from_store);
        self.busy_until.insert(found.instance.clone(), found.ready_at + MIN_RESIDENCY);
        let change = EngineChange {
            instance: found.instance,
            started: engine.started,
            orders: engine.orders,
            unload: found.unload,
            load: Some(model),
            load_time: found.load_time,
            is_from_store,
        };
        let source = found.source;
        outcome.changes.push(PlannedChange { change, reason, source, waiting });
    }

    fn best_candidate(&self, model: &ModelId, max_loss: f64) -> Option<Candidate> {
        self.candidates(model, max_loss).into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// An empty engine without a copy of the model that can load it from the weight store; `None`
    /// if it would be the last load that the store serves at full speed, which is kept for waiting
    /// requests.
    fn empty_engine_candidate(&self, model: &ModelId) -> Option<Candidate> {
        if self.store_loads + 1 >= self.planner.store_concurrency.limit()
            || !self.has_most_reports()
        {
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

    /// Whether most of the listed engines have reported.
    fn has_most_reports(&self) -> bool {
        self.planner.engines.len() as f64 >= self.planner.listed as f64 * MIN_REPORTED_SHARE
    }

    /// Whether another load may read from the weight store.
    fn may_use_store(&self) -> bool {
        self.store_loads < self.planner.store_concurrency.limit() && self.has_most_reports()
    }

    /// When a model will be loaded if an engine that has not reported yet has a copy on its disk;
    /// `None` once most engines have reported.
    fn estimate_before_reports(&self, model: &ModelId) -> Option<Instant> {
        let spec = self.spec.model(model).filter(|_| !self.has_most_reports())?;
        Some(self.now + FIRST_REPORT_TIME + spec.disk_load)
    }

    /// Engines that can load `model` at a loss below `max_loss`: those with a copy, and the others
    /// if the weight store would be faster.
    fn candidates(&self, model: &ModelId, max_loss: f64) -> Vec<Candidate> {
        let Some(spec) = self.spec.model(model) else { return Vec::new() };
        let candidate =
            |engine| self.candidate(engine, spec).filter(|candidate| candidate.loss < max_loss);
        let engines = self.planner.engines.values();
        let mut found: Vec<Candidate> =
            engines.filter(|engine| engine.has_copy(model)).filter_map(candidate).collect();
        let first = found.iter().map(|candidate| candidate.ready_at).min();
        let is_slow = first.is_none_or(|at| at > self.now + spec.store_load);
        if is_slow && self.may_use_store() {
            let others = self.planner.engines.values().filter(|engine| !engine.has_copy(model));
            found.extend(others.filter_map(candidate));
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
            + self.adapter_delay_cost(engine, &model.id);
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

    fn used_memory(&self, engine: &EngineSnapshot) -> f64 {
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
        let is_requested = demand.is_some_and(|demand| demand.waiting > 0);
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
            self.extra_holder_gain(model, holders - 1)
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
