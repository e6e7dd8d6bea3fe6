//! Reports of the demand for models, from this entry to the planner.
//!
//! If the entry that plans is killed, stopped or frozen while the fleet is busy, another entry, or
//! the same one after a restart, takes over. A planner that knows nothing of earlier demand would
//! unload the models with the most requests. So the first report to a new planner holds the past
//! arrival rates.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use dispatch::ModelUsage;
use peers::PlannerIdentity;
use residency::{DemandRow, DemandTracker};

/// Limit for the idle models in the first report to a new planner; a datagram holds about 200
/// models, and a deployment has up to six busy ones.
const MAX_IDLE_MODELS: usize = 32;

/// Builds the reports of one entry; each holds the models with demand and those with arrivals since
/// the last report.
#[derive(Debug)]
pub struct DemandReporter {
    own: VmId,
    demand: DemandTracker,
    reported: BTreeMap<ModelId, ModelUsage>,
    planner: Option<PlannerIdentity>,
}

impl DemandReporter {
    /// A reporter of the entry on `own` that has sent nothing yet.
    pub fn new(own: VmId) -> Self {
        Self { own, demand: DemandTracker::default(), reported: BTreeMap::new(), planner: None }
    }

    /// Returns the rows of the next report, or `None` if nothing has to be reported. An empty
    /// report means that all models are idle. `planner` is `None` if this entry plans itself.
    pub fn rows(
        &mut self,
        usage: BTreeMap<ModelId, ModelUsage>,
        planner: Option<PlannerIdentity>,
        now: Instant,
    ) -> Option<Vec<DemandRow>> {
        let was_idle = self.reported.values().all(ModelUsage::is_idle);
        let changed = changed_rows(&usage, &self.reported);
        let stays_idle = changed.is_empty() && was_idle;
        self.demand.apply_report(self.own.clone(), changed.clone(), now);
        let is_new = self.planner != planner;
        self.planner = planner;
        let mut rows = if is_new { self.rows_for_new_planner(&usage, now) } else { changed };
        self.reported = usage;
        for row in &mut rows {
            row.past_rates = row.model.as_ref().map(|model| self.demand.rates(model, now));
        }
        (!rows.is_empty() || !stays_idle).then_some(rows)
    }

    /// All models with requests in the queue or running, and the busiest of the idle ones.
    fn rows_for_new_planner(
        &self,
        usage: &BTreeMap<ModelId, ModelUsage>,
        now: Instant,
    ) -> Vec<DemandRow> {
        let mut idle: Vec<(EventRate, &ModelId)> = usage
            .iter()
            .filter(|(_, usage)| usage.is_idle())
            .map(|(model, _)| (self.demand.sustained_rate(model, now), model))
            .collect();
        idle.sort_by(|(a, _), (b, _)| b.0.total_cmp(&a.0));
        let left_out: BTreeSet<&ModelId> =
            idle.into_iter().skip(MAX_IDLE_MODELS).map(|(_, model)| model).collect();
        let reported = usage.iter().filter(|(model, _)| !left_out.contains(model));
        reported.map(|(model, usage)| demand_row(model, usage)).collect()
    }
}

/// The models with requests in the queue or running, or with arrivals since the last report.
fn changed_rows(
    usage: &BTreeMap<ModelId, ModelUsage>,
    reported: &BTreeMap<ModelId, ModelUsage>,
) -> Vec<DemandRow> {
    let is_reported = |model: &ModelId, now: &ModelUsage| {
        now.is_idle() && reported.get(model).is_some_and(|before| before.arrivals == now.arrivals)
    };
    let changed = usage.iter().filter(|(model, now)| !is_reported(model, now));
    changed.map(|(model, now)| demand_row(model, now)).collect()
}

fn demand_row(model: &ModelId, usage: &ModelUsage) -> DemandRow {
    DemandRow {
        model: Some(model.clone()),
        arrivals: usage.arrivals,
        waiting: usage.waiting,
        slack: usage.slack,
        priority: usage.priority,
        streams: usage.streams.iter().map(|(software, count)| (software.clone(), *count)).collect(),
        running: usage.running.iter().map(|(engine, count)| (engine.clone(), *count)).collect(),
        past_rates: None,
    }
}
