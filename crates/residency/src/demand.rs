//! Demand for models as the entries tell it.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use roster::InstanceId;

/// Time over which arrivals are averaged.
///
/// Demand moves to other models within about five seconds on the users' busiest days.
const RATE_SPAN: Duration = Duration::from_secs(5);
/// Time over which arrivals are averaged for what may be dropped: demand that moves between a few
/// models comes back to each within about half a minute on the users' busiest days.
const LONG_SPAN: Duration = Duration::from_secs(30);
/// An entry that tells nothing for this time has no demand any more; it tells it each quarter of a
/// second while there is any.
const SILENCE: Duration = Duration::from_secs(2);

/// Requests a second until now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandRates {
    /// Averaged over the last seconds.
    pub recent: EventRate,
    /// Averaged over a longer time.
    pub long: EventRate,
}

/// Demand for one model at one entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandRow {
    /// Model.
    pub model: Option<ModelId>,
    /// Requests since the entry started.
    pub arrivals: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Time until the first of them misses its goal; zero once it has.
    pub slack: Duration,
    /// Most urgent priority among them.
    pub priority: u32,
    /// Requests at engines.
    pub running: Vec<(InstanceId, u32)>,
    /// Demand until now, for a planner that has not been told of it before.
    pub past_rates: Option<DemandRates>,
}

/// Demand for one model at all entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that wait.
    pub waiting: u32,
    /// When the first of them misses its goal.
    pub due: Option<Instant>,
    /// Most urgent priority among those that wait.
    pub priority: u32,
    /// Requests at engines.
    pub running: BTreeMap<InstanceId, u32>,
}

impl ModelDemand {
    /// Requests at all engines.
    pub fn total_running(&self) -> u32 {
        self.running.values().sum()
    }
}

/// Arrivals, averaged over the last seconds and over a longer time.
#[derive(Debug, Clone)]
struct ArrivalRate {
    recent: f64,
    long: f64,
    updated: Instant,
}

impl ArrivalRate {
    fn new(now: Instant) -> Self {
        Self { recent: 0.0, long: 0.0, updated: now }
    }

    /// What is left of an average over `span`.
    fn decay(&self, span: Duration, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (-elapsed / span.as_secs_f64()).exp()
    }

    fn count(&mut self, arrivals: u64, now: Instant) {
        self.recent = self.recent * self.decay(RATE_SPAN, now) + arrivals as f64;
        self.long = self.long * self.decay(LONG_SPAN, now) + arrivals as f64;
        self.updated = now;
    }

    /// Takes in what an entry counted before it told any of it; at least one request.
    fn take_over(&mut self, past: DemandRates, now: Instant) {
        let sum = |rate: EventRate, span: Duration| (rate.0 * span.as_secs_f64()).max(1.0);
        self.count(0, now);
        self.recent += sum(past.recent, RATE_SPAN);
        self.long += sum(past.long, LONG_SPAN);
    }

    fn recent(&self, now: Instant) -> EventRate {
        EventRate(self.recent * self.decay(RATE_SPAN, now) / RATE_SPAN.as_secs_f64())
    }

    fn long(&self, now: Instant) -> EventRate {
        EventRate(self.long * self.decay(LONG_SPAN, now) / LONG_SPAN.as_secs_f64())
    }
}

#[derive(Debug, Default)]
struct EntryDemand {
    told: Option<Instant>,
    arrivals: HashMap<ModelId, u64>,
    rows: Vec<(DemandRow, Instant)>,
}

/// All demand.
#[derive(Debug, Default)]
pub struct DemandTracker {
    entries: BTreeMap<VmId, EntryDemand>,
    rates: HashMap<ModelId, ArrivalRate>,
}

impl DemandTracker {
    /// Takes in what an entry tells; it replaces what the entry told before.
    pub fn apply_report(&mut self, entry: VmId, rows: Vec<DemandRow>, now: Instant) {
        let known = self.entries.entry(entry).or_default();
        known.told = Some(now);
        known.rows.clear();
        for row in rows {
            let Some(model) = row.model.clone() else { continue };
            if row.arrivals > 0 {
                let before = known.arrivals.insert(model.clone(), row.arrivals);
                let rate = self.rates.entry(model).or_insert_with(|| ArrivalRate::new(now));
                match before {
                    // An entry that restarted counts from zero again.
                    Some(before) => rate.count(row.arrivals.saturating_sub(before), now),
                    None => rate.take_over(row.past_rates.unwrap_or_default(), now),
                }
            }
            known.rows.push((row, now));
        }
    }

    /// Requests a second for `model`, averaged over the last seconds.
    pub fn recent_rate(&self, model: &ModelId, now: Instant) -> EventRate {
        self.rates.get(model).map_or(EventRate(0.0), |rate| rate.recent(now))
    }

    /// Requests a second that a model would miss: demand that has moved away comes back.
    pub fn sustained_rate(&self, model: &ModelId, now: Instant) -> EventRate {
        let Some(rate) = self.rates.get(model) else { return EventRate(0.0) };
        EventRate(rate.recent(now).0.max(rate.long(now).0))
    }

    /// Demand for `model` until now.
    pub fn rates(&self, model: &ModelId, now: Instant) -> DemandRates {
        let rate = self.rates.get(model);
        rate.map_or_else(DemandRates::default, |rate| DemandRates {
            recent: rate.recent(now),
            long: rate.long(now),
        })
    }

    /// Demand by model.
    pub fn by_model(&self, now: Instant) -> BTreeMap<ModelId, ModelDemand> {
        let mut all: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
        let is_heard = |entry: &&EntryDemand| {
            entry.told.is_some_and(|told| now.saturating_duration_since(told) < SILENCE)
        };
        let rows = self.entries.values().filter(is_heard).flat_map(|entry| &entry.rows);
        for (row, told) in rows {
            let Some(model) = &row.model else { continue };
            let demand = all.entry(model.clone()).or_default();
            for (engine, runs) in &row.running {
                *demand.running.entry(engine.clone()).or_default() += runs;
            }
            if row.waiting > 0 {
                let due = *told + row.slack;
                demand.due = Some(demand.due.map_or(due, |first| first.min(due)));
                let is_first = demand.waiting == 0;
                let priority =
                    if is_first { row.priority } else { demand.priority.min(row.priority) };
                demand.priority = priority;
                demand.waiting += row.waiting;
            }
        }
        all
    }
}
