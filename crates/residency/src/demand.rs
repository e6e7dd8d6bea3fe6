//! Demand for models, as reported by the entries.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use roster::{InstanceId, SoftwareVersion};

/// Time constant of the recent arrival rate; on the users' busiest days demand moves to other
/// models within about five seconds.
const RECENT_RATE_WINDOW: Duration = Duration::from_secs(5);
/// Time constant of the long-term arrival rate, which decides what may be unloaded; on the users'
/// busiest days demand that moves between a few models returns to each within about half a minute.
const LONG_TERM_RATE_WINDOW: Duration = Duration::from_secs(30);
/// Time after the start of a tracker in which side processes report the demand of the past. Their
/// first reports take under a second; later ones say nothing that entries have not counted.
const SERVED_REPORT_WINDOW: Duration = Duration::from_secs(3);
/// Demand of an entry expires after this time without a report; an entry with demand reports four
/// times a second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Arrival rates of one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandRates {
    /// Average over about five seconds.
    pub recent: EventRate,
    /// Average over about 30 seconds.
    pub long_term: EventRate,
}

/// Demand for one model at one entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandRow {
    /// Model; a row without one is ignored.
    pub model: Option<ModelId>,
    /// Requests since the entry started; ignored if zero.
    pub arrivals: u64,
    /// Requests that wait for an engine.
    pub waiting: u32,
    /// Time until the first of them misses its latency goal; zero once it has.
    pub slack: Duration,
    /// Most urgent priority among them; lower is more urgent.
    pub priority: u32,
    /// Streams that wait for an engine of the software version that began them. They are not among
    /// `waiting`.
    pub streams: Vec<(SoftwareVersion, u32)>,
    /// Requests running at each engine.
    pub running: Vec<(InstanceId, u32)>,
    /// Arrival rates at the entry; used only in the first report of the entry on this model, so
    /// that a planner that takes over starts with the rates of the past.
    pub past_rates: Option<DemandRates>,
}

/// Demand for one model, summed over all entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that wait for an engine.
    pub waiting: u32,
    /// When the first of them misses its latency goal; `None` if none waits.
    pub due: Option<Instant>,
    /// Most urgent priority among those that wait; lower is more urgent.
    pub priority: u32,
    /// Streams that wait for an engine of the software version that began them.
    pub streams: BTreeMap<SoftwareVersion, u32>,
    /// Requests running at each engine.
    pub running: BTreeMap<InstanceId, u32>,
}

impl ModelDemand {
    /// Requests running at all engines together.
    pub fn total_running(&self) -> u32 {
        self.running.values().fold(0, |sum, count| sum.saturating_add(*count))
    }
}

/// Arrivals of one model as two exponentially decaying sums.
#[derive(Debug, Clone)]
struct ArrivalRate {
    recent: f64,
    long_term: f64,
    updated: Instant,
}

impl ArrivalRate {
    fn new(now: Instant) -> Self {
        Self { recent: 0.0, long_term: 0.0, updated: now }
    }

    /// Decay factor since the last update for the time constant `window`.
    fn decay(&self, window: Duration, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (-elapsed / window.as_secs_f64()).exp()
    }

    fn count(&mut self, arrivals: u64, now: Instant) {
        self.recent = self.recent * self.decay(RECENT_RATE_WINDOW, now) + arrivals as f64;
        self.long_term = self.long_term * self.decay(LONG_TERM_RATE_WINDOW, now) + arrivals as f64;
        self.updated = now;
    }

    /// Adds the arrivals that an entry counted before its first report; at least one request.
    fn add_past_rates(&mut self, past_rates: DemandRates, now: Instant) {
        let sum = |rate: EventRate, window: Duration| (rate.0 * window.as_secs_f64()).max(1.0);
        self.count(0, now);
        self.recent += sum(past_rates.recent, RECENT_RATE_WINDOW);
        self.long_term += sum(past_rates.long_term, LONG_TERM_RATE_WINDOW);
    }

    fn recent(&self, now: Instant) -> EventRate {
        EventRate(
            self.recent * self.decay(RECENT_RATE_WINDOW, now) / RECENT_RATE_WINDOW.as_secs_f64(),
        )
    }

    fn long_term(&self, now: Instant) -> EventRate {
        EventRate(
            self.long_term * self.decay(LONG_TERM_RATE_WINDOW, now)
                / LONG_TERM_RATE_WINDOW.as_secs_f64(),
        )
    }

    fn rates(&self, now: Instant) -> DemandRates {
        DemandRates { recent: self.recent(now), long_term: self.long_term(now) }
    }
}

/// Arrivals of requests at one engine, by model, as its side process counts them. Entries lose what
/// they know of the demand when they are killed together; side processes run on other VMs.
#[derive(Debug, Default)]
pub struct ServedArrivals {
    rates: HashMap<ModelId, ArrivalRate>,
}

impl ServedArrivals {
    /// Counts one request for `model`.
    pub fn record(&mut self, model: &ModelId, now: Instant) {
        self.rates.entry(model.clone()).or_insert_with(|| ArrivalRate::new(now)).count(1, now);
    }

    /// Arrival rates of `model`; zero for an unknown model.
    pub fn rates(&self, model: &ModelId, now: Instant) -> DemandRates {
        self.rates.get(model).map_or_else(DemandRates::default, |rate| rate.rates(now))
    }
}

/// Arrival rates at one engine when its side process reported them.
#[derive(Debug)]
struct ServedReport {
    reported_at: Instant,
    rates: BTreeMap<ModelId, DemandRates>,
}

#[derive(Debug, Default)]
struct EntryDemand {
    reported_at: Option<Instant>,
    arrivals: HashMap<ModelId, u64>,
    rows: Vec<(DemandRow, Instant)>,
}

/// Demand for all models at all entries.
#[derive(Debug, Default)]
pub struct DemandTracker {
    entries: BTreeMap<VmId, EntryDemand>,
    rates: HashMap<ModelId, ArrivalRate>,
    /// When the first report came.
    began: Option<Instant>,
    served: BTreeMap<InstanceId, ServedReport>,
}

impl DemandTracker {
    /// Applies the report of an entry, which replaces its previous one.
    pub fn apply_report(&mut self, entry: VmId, rows: Vec<DemandRow>, now: Instant) {
        self.began.get_or_insert(now);
        let known = self.entries.entry(entry).or_default();
        known.reported_at = Some(now);
        known.rows.clear();
        for row in rows {
            let Some(model) = row.model.clone() else { continue };
            if row.arrivals > 0 {
                let before = known.arrivals.insert(model.clone(), row.arrivals);
                let rate = self.rates.entry(model).or_insert_with(|| ArrivalRate::new(now));
                match before {
                    // The counter of a restarted entry begins at zero again and may be below
                    // `before`.
                    Some(before) => rate.count(row.arrivals.saturating_sub(before), now),
                    None => rate.add_past_rates(row.past_rates.unwrap_or_default(), now),
                }
            }
            known.rows.push((row, now));
        }
    }

    /// Applies the arrival rates that the side process of an engine reports. They replace those that
    /// it reported before, and count only if this tracker has just begun.
    pub fn apply_served_rates(
        &mut self,
        engine: InstanceId,
        rates: BTreeMap<ModelId, DemandRates>,
        now: Instant,
    ) {
        let began = *self.began.get_or_insert(now);
        if now.saturating_duration_since(began) < SERVED_REPORT_WINDOW {
            self.served.insert(engine, ServedReport { reported_at: now, rates });
        }
    }

    /// Requests per second for `model`, averaged over about five seconds.
    pub fn recent_rate(&self, model: &ModelId, now: Instant) -> EventRate {
        self.rates(model, now).recent
    }

    /// The larger of the recent and the long-term rate of `model`, in requests per second. Used to
    /// decide what may be unloaded, since demand that has moved away tends to return.
    pub fn sustained_rate(&self, model: &ModelId, now: Instant) -> EventRate {
        let rates = self.rates(model, now);
        EventRate(rates.recent.0.max(rates.long_term.0))
    }

    /// Recent and long-term arrival rates of `model`; zero for an unknown model. The arrivals that
    /// entries report count, or those that side processes have seen if these are more.
    pub fn rates(&self, model: &ModelId, now: Instant) -> DemandRates {
        let rate = self.rates.get(model);
        let reported = rate.map_or_else(DemandRates::default, |rate| rate.rates(now));
        let served = self.served_rates(model, now);
        DemandRates {
            recent: EventRate(reported.recent.0.max(served.recent.0)),
            long_term: EventRate(reported.long_term.0.max(served.long_term.0)),
        }
    }

    /// Arrival rates of `model` at all engines, as if nothing had arrived since their reports.
    fn served_rates(&self, model: &ModelId, now: Instant) -> DemandRates {
        let mut sum = DemandRates::default();
        for report in self.served.values() {
            let Some(rates) = report.rates.get(model) else { continue };
            let age = now.saturating_duration_since(report.reported_at).as_secs_f64();
            let decay = |window: Duration| (-age / window.as_secs_f64()).exp();
            sum.recent.0 += rates.recent.0 * decay(RECENT_RATE_WINDOW);
            sum.long_term.0 += rates.long_term.0 * decay(LONG_TERM_RATE_WINDOW);
        }
        sum
    }

    /// Current demand of each model; entries without a recent report are left out.
    pub fn by_model(&self, now: Instant) -> BTreeMap<ModelId, ModelDemand> {
        let mut all: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
        let is_current = |entry: &&EntryDemand| {
            entry.reported_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_TIMEOUT)
        };
        let rows = self.entries.values().filter(is_current).flat_map(|entry| &entry.rows);
        for (row, reported_at) in rows {
            let Some(model) = &row.model else { continue };
            let demand = all.entry(model.clone()).or_default();
            for (engine, count) in &row.running {
                let running = demand.running.entry(engine.clone()).or_default();
                *running = running.saturating_add(*count);
            }
            for (software, count) in &row.streams {
                let streams = demand.streams.entry(software.clone()).or_default();
                *streams = streams.saturating_add(*count);
            }
            if row.waiting > 0 {
                let due = *reported_at + row.slack;
                demand.due = Some(demand.due.map_or(due, |first| first.min(due)));
                let is_first = demand.waiting == 0;
                let priority =
                    if is_first { row.priority } else { demand.priority.min(row.priority) };
                demand.priority = priority;
                demand.waiting = demand.waiting.saturating_add(row.waiting);
            }
        }
        all
    }
}
