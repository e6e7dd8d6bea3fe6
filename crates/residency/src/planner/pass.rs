//! One look of the planner at the fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use base::prelude::*;
use catalog::{EngineSpec, ModelSpec};
use roster::InstanceId;

use super::{
    ChangeReason, EngineSnapshot, ORDER_TIME, PlanOutcome, PlannedChange, Planner, WeightSource,
};
use crate::{
    controller::EngineChange,
    demand::{DemandTracker, ModelDemand},
};

/// Part of the listed engines that must have been heard before the weight store is used.
const HEARD_PART: f64 = 0.75;
/// Time in which engines are heard after a start.
const HEAR_TIME: Duration = Duration::from_millis(500);
/// Time after the first look in which nothing is loaded that nobody asks for, if all engines are
/// empty: all of them and this process have just started, and the requests of this time tell which
/// models are asked for most. The busy deployments of the users get ten to forty in it.
const FIRST_REQUESTS: Duration = Duration::from_millis(300);
/// Time by which another load must be faster than one that is under way.
const FASTER: Duration = Duration::from_millis(1_500);
/// Expected time until the requests of a model that is to be dropped have ended: a stream of the
/// users' sheets lasts two to eight seconds.
const RUN_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a load waits for a model that becomes idle. An engine that drops one with running
/// requests carries out no other order until they have ended.
const IDLE_WAIT: Duration = Duration::from_millis(3_000);
/// Time for which requests that are still to come count when loads are ranked.
const HORIZON: Duration = Duration::from_secs(2);
/// What a request that is late whatever is done counts for, beside one that can be in time. The
/// users' sheets pay a tenth to a third for late answers.
const LATE_VALUE: f64 = 0.3;
/// Requests from which on a load goes before those of rare models.
const GREAT_VALUE: f64 = 2.0;
/// Requests to come from which on a load is planned though none waits: while loads are planned for
/// seconds ahead, requests are refused at once with a time to come back.
const REFUSED_VALUE: f64 = 1.0;
/// A model that was loaded is kept at least this long, for the requests that waited for it.
const KEEP: Duration = Duration::from_millis(700);
/// What a request a second for a model that is dropped counts for, in time of waiting requests.
const LOSS_SPAN: f64 = 4.0;
/// Loss, in time of waiting requests, that a load may cause for each request that it serves. A
/// model that is dropped is away for one to two seconds if another engine has a copy, and longer
/// while its requests end; rare models would starve if each loss counted in full.
const LOSS_PER_VALUE: f64 = 3.0;
/// Requests a second for one model that one engine bears: it reads a prompt of the users' sheets in
/// 60 to 80 ms, and above a third of its time in reading prompts come together too often.
const RATE_PER_ENGINE: f64 = 5.0;
/// Requests at one engine for one model that it bears.
const RUNS_PER_ENGINE: f64 = 20.0;
/// Rate from which on one engine more should hold a model than have to, in case one is lost.
const SPARE_RATE: EventRate = EventRate(1.5);
/// Rate from which on a model counts as busy.
const BUSY_RATE: f64 = 1.0;
/// Most that another engine brings to a model that others hold, as much as an only holder of a
/// model is worth that just counts as busy.
const MAX_SPREAD_GAIN: f64 = BUSY_RATE * LOSS_SPAN;
/// What a load of a rare model costs for each request a second for busy models at the engine, in
/// seconds: half of the short requests ask for adapters, and those wait until it has ended.
const DISTURBANCE: f64 = 0.2;
/// What an engine counts for that holds a model beyond those that have to, in seconds of waiting.
const SPARE_VALUE: f64 = 0.3;

/// Order in which loads are planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadRank {
    /// Many requests wait or are to come; the value in thousandths, most first.
    Great(Reverse<u64>),
    /// A goal can still be met; when it ends.
    InTime(Instant),
    /// The goal is missed; the value in thousandths, most first.
    Late(Reverse<u64>),
}

struct Candidate {
    instance: InstanceId,
    unload: Vec<ModelId>,
    load_time: Duration,
    source: WeightSource,
    ready_at: Instant,
    starts_now: bool,
    /// What is lost with the models that go, in time of waiting requests.
    loss: f64,
    cost: f64,
}

/// How many engines hold each model and keep it.
fn holders(planner: &Planner) -> HashMap<&ModelId, usize> {
    let mut holders = HashMap::new();
    for engine in planner.engines.values() {
        let kept = engine.residents.iter().map(|(model, _)| model);
        let pending = planner.pending.get(&engine.instance);
        let goes = |model: &ModelId| {
            engine.unloading.as_ref() == Some(model)
                || pending.is_some_and(|pending| pending.unload.contains(model))
        };
        for model in kept.filter(|model| !goes(model)) {
            *holders.entry(model).or_insert(0) += 1;
        }
    }
    holders
}

/// When the loads that are under way or asked for end.
fn coming(planner: &Planner, now: Instant) -> HashMap<&ModelId, Instant> {
    let under_way = planner.engines.values().filter_map(|engine| engine.loading.as_ref());
    let loads = under_way.map(|load| (&load.model, load.ready_at));
    let pending = planner.pending.values();
    let asked = pending.filter_map(|pending| Some((pending.load.as_ref()?, pending.ready_at)));
    let mut coming: HashMap<&ModelId, Instant> = HashMap::new();
    for (model, ready_at) in loads.chain(asked) {
        let ready_at = ready_at.max(now + ORDER_TIME);
        let first = coming.entry(model).or_insert(ready_at);
        *first = ready_at.min(*first);
    }
    coming
}

/// One look at the fleet.
pub(super) struct Look<'a> {
    planner: &'a Planner,
    spec: &'a EngineSpec,
    book: &'a DemandTracker,
    demand: BTreeMap<ModelId, ModelDemand>,
    /// Engines that are planned for in this look, and when they can take another change.
    taken: BTreeMap<InstanceId, Instant>,
    /// Models that engines hold, and how many.
    holders: HashMap<&'a ModelId, usize>,
    /// Models whose load is under way, and when it ends.
    coming: HashMap<&'a ModelId, Instant>,
    /// Since when requests wait for a model that no engine holds or loads.
    pub(super) unmet: HashMap<ModelId, Instant>,
    /// Models whose load is planned in this look.
    planned: BTreeSet<ModelId>,
    store_loads: usize,
    /// Models that wait for an engine, for each engine: what a second of an engine is worth.
    pressure: f64,
    now: Instant,
}

impl<'a> Look<'a> {
    pub(super) fn new(
        planner: &'a Planner,
        spec: &'a EngineSpec,
        book: &'a DemandTracker,
        now: Instant,
    ) -> Self {
        let under_way = planner.engines.values().filter_map(|engine| engine.loading.as_ref());
        let store_loads = under_way.filter(|load| load.is_from_store).count()
            + planner.pending.values().filter(|pending| pending.is_from_store).count();
        let (demand, holders, coming) =
            (book.by_model(now), holders(planner), coming(planner, now));
        let unmet: HashMap<ModelId, Instant> = demand
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .filter(|(model, _)| !holders.contains_key(model) && !coming.contains_key(model))
            .map(|(model, _)| (model.clone(), planner.unmet.get(model).copied().unwrap_or(now)))
            .collect();
        let pressure = unmet.len() as f64 / planner.engines.len().max(1) as f64;
        Self {
            planner,
            spec,
            book,
            demand,
            taken: BTreeMap::new(),
            holders,
            coming,
            unmet,
            planned: BTreeSet::new(),
            store_loads,
            pressure,
            now,
        }
    }

    /// Whether requests have waited for `model` so long that the requests of another one are cut
    /// off from their engine for it.
    fn is_overdue(&self, model: &ModelId) -> bool {
        let unmet = self.unmet.get(model);
        unmet.is_some_and(|since| self.now.saturating_duration_since(*since) >= IDLE_WAIT)
    }

    /// When a load of `model` that is under way ends.
    fn expected(&self, model: &ModelId) -> Option<Instant> {
        self.coming.get(model).copied()
    }

    /// Whether a load of `model` is under way or planned.
    fn is_coming(&self, model: &ModelId) -> bool {
        self.planned.contains(model) || self.expected(model).is_some()
    }

    /// Requests a second for `model`.
    fn rate(&self, model: &ModelId) -> f64 {
        self.book.recent_rate(model, self.now).0
    }

    fn holders(&self, model: &ModelId) -> usize {
        self.holders.get(model).copied().unwrap_or(0)
    }

    /// Models that requests wait for, or come back for: first those that bring most, then those
    /// whose goal can still be met, by the time that is left, then the others.
    fn waiting_models(&self) -> Vec<(ModelId, ModelDemand)> {
        let waiting = self.demand.iter().filter(|(model, demand)| {
            demand.waiting > 0 || self.load_value(model, demand) >= REFUSED_VALUE
        });
        let mut ranked: Vec<(LoadRank, &ModelId, &ModelDemand)> =
            waiting.map(|(model, demand)| (self.rank(model, demand), model, demand)).collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(b.1)));
        ranked.into_iter().map(|(_, model, demand)| (model.clone(), demand.clone())).collect()
    }

    fn rank(&self, model: &ModelId, demand: &ModelDemand) -> LoadRank {
        let value = self.load_value(model, demand);
        match (value >= GREAT_VALUE, self.is_late(model, demand)) {
            (true, _) => LoadRank::Great(Reverse((value * 1000.0) as u64)),
            (false, false) => LoadRank::InTime(demand.due.unwrap_or(self.now)),
            (false, true) => LoadRank::Late(Reverse((value * 1000.0) as u64)),
        }
    }

    /// Whether the first request that waits for a model is late even if a load begins now.
    fn is_late(&self, model: &ModelId, demand: &ModelDemand) -> bool {
        let load = self.spec.model(model).map_or(Duration::ZERO, |spec| spec.disk_load);
        demand.due.unwrap_or(self.now) < self.now + load
    }

    /// What a load of a model brings, in requests.
    fn load_value(&self, model: &ModelId, demand: &ModelDemand) -> f64 {
        let part = if self.is_late(model, demand) { LATE_VALUE } else { 1.0 };
        let coming = self.rate(model) * HORIZON.as_secs_f64();
        f64::from(demand.waiting) * part + coming
    }

    pub(super) fn serve_waiting(&mut self, outcome: &mut PlanOutcome) {
        for (model, demand) in self.waiting_models() {
            let expected = self.expected(&model);
            if expected.is_none() && self.holders(&model) > 0 {
                continue;
            }
            let is_faster = |found: &Candidate| {
                expected.is_none_or(|ready_at| found.ready_at + FASTER < ready_at)
            };
            let most_loss = self.load_value(&model, &demand) * LOSS_PER_VALUE;
            let Some(best) = self.best_candidate(&model, most_loss).filter(is_faster) else {
                let outlook = expected.or_else(|| self.first_outlook(&model));
                outcome.load_estimates.push((model, outlook));
                continue;
            };
            outcome.load_estimates.push((model.clone(), Some(best.ready_at)));
            if best.starts_now {
                self.take(outcome, model, best, ChangeReason::Waiting, demand.waiting);
            } else {
                // The engine is needed for this model next; others come after it.
                self.taken.insert(best.instance, best.ready_at + KEEP);
            }
        }
    }

    /// How many engines the requests for a model fill.
    fn filled_engines(&self, model: &ModelId) -> f64 {
        let runs = self.demand.get(model).map_or(0, ModelDemand::total_running);
        let by_runs = f64::from(runs) / RUNS_PER_ENGINE;
        let by_rate = self.rate(model) / RATE_PER_ENGINE;
        by_runs.max(by_rate)
    }

    /// Engines that have to hold a model for the requests that it gets.
    fn needed_holders(&self, model: &ModelId) -> usize {
        self.filled_engines(model).ceil() as usize
    }

    /// What one more engine brings to a model that `holders` hold, in time of waiting requests: the
    /// requests that those don't bear, and that it isn't missed if one is lost.
    fn spread_gain(&self, model: &ModelId, holders: usize) -> f64 {
        let excess = (self.filled_engines(model) - holders as f64).max(0.0);
        let rate = self.rate(model);
        let spare = SPARE_VALUE + rate * SPARE_VALUE / (holders + 1) as f64;
        (excess * RATE_PER_ENGINE * LOSS_SPAN + spare).min(MAX_SPREAD_GAIN)
    }

    /// Engines that should hold it, in case one is lost.
    fn wanted_holders(&self, model: &ModelId) -> usize {
        let spare = usize::from(self.book.recent_rate(model, self.now) >= SPARE_RATE);
        self.needed_holders(model) + spare
    }

    /// Lets another engine hold a model whose engines have too much to do, or that would be missed
    /// if its engine were lost and nothing else waits. Models that bring more stay.
    pub(super) fn spread_busy(&mut self, outcome: &mut PlanOutcome) {
        let models: Vec<ModelId> = self.demand.keys().cloned().collect();
        for model in models {
            let wanted = match self.pressure > 0.0 {
                true => self.needed_holders(&model),
                false => self.wanted_holders(&model),
            };
            let holders = self.holders(&model);
            if holders == 0 || holders >= wanted || self.is_coming(&model) {
                continue;
            }
            let gain = self.spread_gain(&model, holders);
            let best = self
                .best_candidate(&model, gain)
                .filter(|best| best.starts_now && best.source != WeightSource::Store)
                .or_else(|| self.fresh_candidate(&model));
            if let Some(best) = best {
                self.take(outcome, model, best, ChangeReason::Busy, 0);
            }
        }
    }

    /// Fills free memory with models that nobody holds, from copies only.
    pub(super) fn fill_spare(&mut self, outcome: &mut PlanOutcome) {
        if self.pressure > 0.0 || !self.has_room() || self.awaits_requests() {
            return;
        }
        let mut models: Vec<ModelId> =
            self.spec.models.iter().map(|spec| spec.id.clone()).collect();
        let asked = |model: &ModelId| self.book.sustained_rate(model, self.now).0;
        models.sort_by(|a, b| asked(b).total_cmp(&asked(a)));
        for model in models {
            if self.holders(&model) > 0 || self.is_coming(&model) {
                continue;
            }
            let best = self
                .candidates(&model, f64::INFINITY)
                .into_iter()
                .filter(|found| found.starts_now && found.unload.is_empty())
                .filter(|found| found.source != WeightSource::Store)
                .min_by(|a, b| a.cost.total_cmp(&b.cost));
            if let Some(best) = best {
                self.take(outcome, model, best, ChangeReason::Spare, 0);
            }
        }
    }

    /// Whether all engines are empty and there was no time yet to see what is asked for.
    fn awaits_requests(&self) -> bool {
        let began = self.planner.began.unwrap_or(self.now);
        self.now.saturating_duration_since(began) < FIRST_REQUESTS
            && self.planner.engines.values().all(|engine| engine.residents.is_empty())
    }

    /// Whether an engine that takes changes has room for the smallest model.
    fn has_room(&self) -> bool {
        let sizes = self.spec.models.iter().map(|spec| spec.weights.0);
        let least = sizes.fold(f64::INFINITY, f64::min);
        self.planner.engines.values().any(|engine| {
            engine.takes_changes
                && !self.taken.contains_key(&engine.instance)
                && self.used(engine) + least <= self.spec.weights_capacity.0
        })
    }

    fn take(
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
        for dropped in &found.unload {
            if let Some(holders) = self.holders.get_mut(dropped) {
                *holders -= 1;
            }
        }
        self.store_loads += usize::from(is_from_store);
        self.taken.insert(found.instance.clone(), found.ready_at + KEEP);
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

    fn best_candidate(&self, model: &ModelId, most_loss: f64) -> Option<Candidate> {
        self.candidates(model, most_loss).into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// An engine that holds nothing and has no copy yet, if the weight store can serve a load and
    /// one more for requests that wait.
    fn fresh_candidate(&self, model: &ModelId) -> Option<Candidate> {
        if self.store_loads + 1 >= self.planner.store_pace.limit() || !self.knows_fleet() {
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

    /// Whether most of the listed engines have been heard.
    fn knows_fleet(&self) -> bool {
        self.planner.engines.len() as f64 >= self.planner.listed as f64 * HEARD_PART
    }

    /// Whether another load may read from the weight store.
    fn may_use_store(&self) -> bool {
        self.store_loads < self.planner.store_pace.limit() && self.knows_fleet()
    }

    /// When a model can be there that an engine not heard yet has probably on its disk.
    fn first_outlook(&self, model: &ModelId) -> Option<Instant> {
        let spec = self.spec.model(model).filter(|_| !self.knows_fleet())?;
        Some(self.now + HEAR_TIME + spec.disk_load)
    }

    /// Engines that can load `model` and lose less than `most_loss` by it: those with a copy, and
    /// the others if the weight store would be faster.
    fn candidates(&self, model: &ModelId, most_loss: f64) -> Vec<Candidate> {
        let Some(spec) = self.spec.model(model) else { return Vec::new() };
        let candidate =
            |engine| self.candidate(engine, spec).filter(|candidate| candidate.loss < most_loss);
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

    /// When the engine can begin with another change.
    fn free_at(&self, engine: &EngineSnapshot) -> Instant {
        if let Some(at) = self.taken.get(&engine.instance) {
            return *at;
        }
        let pending = self.planner.pending.get(&engine.instance).map(|pending| pending.ready_at);
        let loading = engine.loading.as_ref().map(|load| load.ready_at);
        match pending.or(loading) {
            Some(at) => at.max(self.now + ORDER_TIME),
            None if engine.takes_changes => self.now,
            // It waits until the requests of a model that it drops have ended.
            None => self.now + RUN_TIME,
        }
    }

    fn candidate(&self, engine: &EngineSnapshot, model: &ModelSpec) -> Option<Candidate> {
        if engine.residents.iter().any(|(held, _)| *held == model.id) {
            return None;
        }
        let (source, load_time) = self.source(engine, model);
        let free_at = self.free_at(engine);
        let room = self.make_room(engine, model)?;
        let occupied = ORDER_TIME + room.wait + load_time;
        let ready_at = free_at + occupied;
        let wait = ready_at.saturating_duration_since(self.now);
        let cost = wait.as_secs_f64()
            + self.pressure * occupied.as_secs_f64()
            + room.loss
            + self.disturbance(engine, &model.id);
        Some(Candidate {
            instance: engine.instance.clone(),
            unload: room.unload,
            load_time,
            source,
            ready_at,
            starts_now: free_at <= self.now && (room.wait.is_zero() || self.is_overdue(&model.id)),
            loss: room.loss,
            cost,
        })
    }

    /// What it costs that the engine takes no order for an adapter while it loads `model`.
    fn disturbance(&self, engine: &EngineSnapshot, model: &ModelId) -> f64 {
        if self.rate(model) >= BUSY_RATE {
            return 0.0;
        }
        let busy = engine.residents.iter().map(|(held, _)| self.rate(held));
        busy.filter(|rate| *rate >= BUSY_RATE).sum::<f64>() * DISTURBANCE
    }

    /// What has to go for `model`: idle models of least worth first.
    fn make_room(&self, engine: &EngineSnapshot, model: &ModelSpec) -> Option<Room> {
        let mut room = Room::default();
        let mut free = self.spec.weights_capacity.0 - self.used(engine);
        let mut residents: Vec<(f64, Duration, &ModelId)> = engine
            .residents
            .iter()
            .filter_map(|(held, _)| {
                let (loss, wait) = self.loss(engine, held)?;
                Some((loss, wait, held))
            })
            .collect();
        residents.sort_by(|a, b| (a.0 + a.1.as_secs_f64()).total_cmp(&(b.0 + b.1.as_secs_f64())));
        for (loss, wait, held) in residents {
            if free >= model.weights.0 {
                break;
            }
            free += self.size(engine, held);
            room.loss += loss;
            room.wait = room.wait.max(wait);
            room.unload.push(held.clone());
        }
        (free >= model.weights.0).then_some(room)
    }

    fn size(&self, engine: &EngineSnapshot, model: &ModelId) -> f64 {
        let adapters =
            engine.residents.iter().find(|(held, _)| held == model).map_or(0, |(_, n)| *n);
        let spec = self.spec.model(model);
        spec.map_or(0.0, |spec| spec.weights.0 + spec.adapter_size.0 * adapters as f64)
    }

    fn used(&self, engine: &EngineSnapshot) -> f64 {
        let held: f64 = engine.residents.iter().map(|(model, _)| self.size(engine, model)).sum();
        let loading = engine
            .loading
            .as_ref()
            .filter(|load| !engine.residents.iter().any(|(held, _)| *held == load.model));
        let coming = loading.and_then(|load| self.spec.model(&load.model));
        held + coming.map_or(0.0, |spec| spec.weights.0)
    }

    /// What it costs to drop `model` there, and how long that takes; `None` if it must stay.
    fn loss(&self, engine: &EngineSnapshot, model: &ModelId) -> Option<(f64, Duration)> {
        let key = (engine.instance.clone(), model.clone());
        let is_fresh = self
            .planner
            .arrived
            .get(&key)
            .is_some_and(|at| self.now.saturating_duration_since(*at) < KEEP);
        let demand = self.demand.get(model);
        let is_asked_for = demand.is_some_and(|demand| demand.waiting > 0);
        if is_fresh || is_asked_for || engine.unloading.as_ref() == Some(model) {
            return None;
        }
        let runs = demand.and_then(|demand| demand.running.get(&engine.instance)).copied();
        let wait = if runs.unwrap_or(0) > 0 { RUN_TIME } else { Duration::ZERO };
        let rate = self.rate(model);
        let holders = self.holders(model);
        let loss = if holders > self.wanted_holders(model).max(1) {
            // Which of several goes is told by how much it is asked for.
            rate * SPARE_VALUE / holders as f64
        } else if holders > 1 {
            self.spread_gain(model, holders - 1)
        } else {
            self.book.sustained_rate(model, self.now).0 * LOSS_SPAN
        };
        Some((loss, wait))
    }
}

#[derive(Debug, Default)]
struct Room {
    unload: Vec<ModelId>,
    loss: f64,
    wait: Duration,
}
