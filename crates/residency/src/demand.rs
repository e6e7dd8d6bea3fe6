//! Demand for models as the entries tell it.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use roster::InstanceId;

/// Time over which arrivals are averaged.
///
/// Demand moves to other models within about five seconds on the users' busiest days.
const RATE_SPAN: Duration = Duration::from_secs(5);
/// An entry that tells nothing for this time has no demand any more; it tells it each quarter of a
/// second while there is any.
const SILENCE: Duration = Duration::from_secs(2);

/// Demand for one model at one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
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
    pub runs: Vec<(InstanceId, u32)>,
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
    pub runs: BTreeMap<InstanceId, u32>,
}

impl ModelDemand {
    /// Requests at all engines.
    pub fn all_runs(&self) -> u32 {
        self.runs.values().sum()
    }
}

#[derive(Debug, Clone)]
struct ArrivalRate {
    events: f64,
    updated: Instant,
}

impl ArrivalRate {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.events *= (-elapsed / RATE_SPAN.as_secs_f64()).exp();
        self.updated = now;
    }

    fn at(&self, now: Instant) -> EventRate {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let span = RATE_SPAN.as_secs_f64();
        EventRate(self.events * (-elapsed / span).exp() / span)
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
pub struct DemandBook {
    entries: BTreeMap<VmId, EntryDemand>,
    rates: HashMap<ModelId, ArrivalRate>,
}

impl DemandBook {
    /// Takes in what an entry tells; it replaces what the entry told before.
    pub fn tell(&mut self, entry: VmId, rows: Vec<DemandRow>, now: Instant) {
        let known = self.entries.entry(entry).or_default();
        known.told = Some(now);
        known.rows.clear();
        for row in rows {
            let Some(model) = row.model.clone() else { continue };
            if row.arrivals > 0 {
                let before = known.arrivals.insert(model.clone(), row.arrivals);
                // An entry that restarted counts from zero again.
                let new = match before {
                    Some(before) => row.arrivals.saturating_sub(before),
                    None => 1,
                };
                let rate =
                    self.rates.entry(model).or_insert(ArrivalRate { events: 0.0, updated: now });
                rate.decay(now);
                rate.events += new as f64;
            }
            known.rows.push((row, now));
        }
    }

    /// Requests a second for `model`, averaged over the last seconds.
    pub fn rate(&self, model: &ModelId, now: Instant) -> EventRate {
        self.rates.get(model).map_or(EventRate(0.0), |rate| rate.at(now))
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
            for (engine, runs) in &row.runs {
                *demand.runs.entry(engine.clone()).or_default() += runs;
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
