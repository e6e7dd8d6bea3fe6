//! One planning pass over the engines of a service.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use base::prelude::*;
use catalog::EngineSpec;
use roster::InstanceId;

use super::{
    ChangeReason, ORDER_LATENCY, PlanOutcome, PlannedChange, Planner, WeightSource,
    candidates::{Candidate, EngineChoice},
    capacity::{HeldCapacity, held_capacities},
};
use crate::{
    change::EngineChange,
    demand::{DemandTracker, ModelDemand},
};

/// Time after the first pass in which only requested models are loaded if all engines are empty.
/// All engines and this process have then just restarted, and the requests of this time show which
/// models have the most demand; busy deployments of the users get ten to forty requests in it.
const INITIAL_DEMAND_WINDOW: Duration = Duration::from_millis(300);
/// A second load of a model is planned only if it ends this much earlier than the one in progress.
const MIN_TIME_SAVED: Duration = Duration::from_millis(1_500);
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
pub(super) const MIN_RESIDENCY: Duration = Duration::from_millis(700);
/// Loss for each request per second for an unloaded model, in request-seconds of waiting.
pub(super) const LOSS_PER_RATE: f64 = 4.0;
/// Loss that a load may cause for each request that it serves, in request-seconds of waiting. An
/// unloaded model is missing for one to two seconds if another engine has a copy, and longer while
/// its requests end; rare models would starve if each loss counted in full.
pub(super) const MAX_LOSS_PER_VALUE: f64 = 3.0;
/// Requests per second for one model that one engine can serve. Prefill of a prompt in the users'
/// workloads takes 60 to 80 ms; once prefill takes more than a third of the engine's time, prompts
/// too often arrive during the prefill of another.
pub(super) const MAX_RATE_PER_ENGINE: f64 = 5.0;
/// Running requests for one model that one engine can serve.
const MAX_RUNNING_PER_ENGINE: f64 = 20.0;
/// Rate from which one more engine than required should hold a model, in case one is lost.
const REDUNDANCY_MIN_RATE: EventRate = EventRate(1.5);
/// Rate from which a model counts as busy, in requests per second.
pub(super) const BUSY_MIN_RATE: f64 = 1.0;
/// Upper bound of the gain of one more engine that holds a model, in request-seconds of waiting:
/// the loss of the only holder of a model that just counts as busy.
const MAX_EXTRA_HOLDER_GAIN: f64 = BUSY_MIN_RATE * LOSS_PER_RATE;
/// Value of an engine that holds a model beyond the required ones, in request-seconds of waiting.
pub(super) const EXTRA_HOLDER_VALUE: f64 = 0.3;

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
    pub(super) planner: &'a Planner,
    pub(super) spec: &'a EngineSpec,
    pub(super) tracker: &'a DemandTracker,
    pub(super) demand: BTreeMap<ModelId, ModelDemand>,
    /// Engines with a change planned in this pass, and when they can start another one.
    pub(super) busy_until: BTreeMap<InstanceId, Instant>,
    /// Number of engines that hold each model.
    pub(super) holders: HashMap<&'a ModelId, usize>,
    /// What the holders of each model offer.
    pub(super) capacities: HashMap<&'a ModelId, HeldCapacity>,
    /// When each load in progress or requested ends.
    pub(super) loading: HashMap<&'a ModelId, Instant>,
    /// Since when requests wait for each model that no engine holds or loads.
    pub(super) unmet: HashMap<ModelId, Instant>,
    /// Models whose load is planned in this pass.
    pub(super) planned: BTreeSet<ModelId>,
    /// Loads from the weight store that are in progress, requested or planned.
    pub(super) store_loads: usize,
    /// Models in `unmet` per engine; the cost of one second of an engine's time.
    pub(super) pressure: f64,
    /// Whether most of the engines that are listed and may still report have reported.
    pub(super) has_most_reports: bool,
    pub(super) now: Instant,
}

impl<'a> PlanningPass<'a> {
    pub(super) fn new(
        planner: &'a Planner,
        spec: &'a EngineSpec,
        tracker: &'a DemandTracker,
        now: Instant,
    ) -> Self {
        let in_progress = planner.engines.values().filter_map(|engine| engine.loading.as_ref());
        // An engine that drains goes on with its load, and one that ended may have left it in the store.
        let store_loads = in_progress.filter(|load| load.is_from_store).count()
            + planner.abandoned_loads.len()
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
            capacities: held_capacities(planner, tracker, now),
            loading,
            unmet,
            planned: BTreeSet::new(),
            store_loads,
            pressure,
            has_most_reports: planner.has_most_reports(now),
            now,
        }
    }

    /// Whether requests have waited for `model` so long that a model with running requests may be
    /// unloaded for it.
    pub(super) fn is_overdue(&self, model: &ModelId) -> bool {
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
    pub(super) fn rate(&self, model: &ModelId) -> f64 {
        self.tracker.recent_rate(model, self.now).0
    }

    pub(super) fn holders(&self, model: &ModelId) -> usize {
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
            let is_held = expected.is_none() && self.holders(&model) > 0;
            // A load that was planned for streams also serves other requests.
            if is_held || self.planned.contains(&model) {
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
    pub(super) fn engine_demand(&self, model: &ModelId) -> f64 {
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
    /// waiting: it serves the requests beyond their `capacity`, and takes over if one of them is
    /// lost.
    pub(super) fn extra_holder_gain(&self, model: &ModelId, holders: usize, capacity: f64) -> f64 {
        let excess = (self.engine_demand(model) - capacity).max(0.0);
        let rate = self.rate(model);
        let redundancy = EXTRA_HOLDER_VALUE + rate * EXTRA_HOLDER_VALUE / (holders + 1) as f64;
        (excess * MAX_RATE_PER_ENGINE * LOSS_PER_RATE + redundancy).min(MAX_EXTRA_HOLDER_GAIN)
    }

    /// Engines that should hold a model, including one in case another is lost.
    pub(super) fn target_holders(&self, model: &ModelId) -> usize {
        let redundant =
            usize::from(self.tracker.recent_rate(model, self.now) >= REDUNDANCY_MIN_RATE);
        self.required_holders(model).saturating_add(redundant)
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
            let is_short = self.is_short_by_limits(&model);
            if holders == 0 || (holders >= target && !is_short) || self.is_load_expected(&model) {
                continue;
            }
            let gain = self.extra_holder_gain(&model, holders, self.held_capacity(&model));
            let may_use_store = is_short && self.leaves_store_load();
            let choice = if is_short { EngineChoice::WithoutLimit } else { EngineChoice::All };
            let best = self
                .candidates(&model, gain, choice)
                .into_iter()
                .filter(|found| found.starts_now)
                .filter(|found| found.source != WeightSource::Store || may_use_store)
                .min_by(|a, b| a.cost.total_cmp(&b.cost))
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
                .candidates(&model, f64::INFINITY, EngineChoice::All)
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

    pub(super) fn plan_change(
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
}
