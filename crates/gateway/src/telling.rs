//! What this entry tells the planner of the demand for models.
//!
//! Load pattern: the entry that plans is killed, stopped or frozen while the fleet is busy, and
//! another one, or the same one started anew, takes over. A planner that knows nothing of the demand
//! before would drop models that are asked for most. So a new planner is told the rates of the past.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use dispatch::ModelUsage;
use peers::PlannerIdentity;
use residency::{DemandRow, DemandTracker};

/// Models of which nothing is asked now and of whose past a new planner is told; a datagram has
/// room for about 200, and a deployment of the users has up to six busy ones.
const MAX_PAST_MODELS: usize = 32;

/// What was told last, and to whom.
#[derive(Debug)]
pub struct DemandTelling {
    own: VmId,
    past: DemandTracker,
    told: BTreeMap<ModelId, ModelUsage>,
    planner: Option<PlannerIdentity>,
}

impl DemandTelling {
    /// Nothing was told yet by the entry on `own`.
    pub fn new(own: VmId) -> Self {
        Self { own, past: DemandTracker::default(), told: BTreeMap::new(), planner: None }
    }

    /// What to tell `planner`, or to note if this entry plans; none if there is nothing to tell.
    pub fn rows(
        &mut self,
        uses: BTreeMap<ModelId, ModelUsage>,
        planner: Option<PlannerIdentity>,
        now: Instant,
    ) -> Option<Vec<DemandRow>> {
        let was_quiet = self.told.values().all(|model| model.waiting == 0 && model.runs.is_empty());
        let changed = changed_rows(&uses, &self.told);
        let is_quiet = changed.is_empty() && was_quiet;
        self.past.apply_report(self.own.clone(), changed.clone(), now);
        let is_new = self.planner != planner;
        self.planner = planner;
        let mut rows = if is_new { self.rows_for_new(&uses, now) } else { changed };
        self.told = uses;
        for row in &mut rows {
            row.past_rates = row.model.as_ref().map(|model| self.past.rates(model, now));
        }
        (!rows.is_empty() || !is_quiet).then_some(rows)
    }

    /// All models of which something is asked, and the busiest of the others.
    fn rows_for_new(&self, uses: &BTreeMap<ModelId, ModelUsage>, now: Instant) -> Vec<DemandRow> {
        let is_idle = |used: &&ModelUsage| used.waiting == 0 && used.runs.is_empty();
        let mut idle: Vec<(EventRate, &ModelId)> = uses
            .iter()
            .filter(|(_, used)| is_idle(used))
            .map(|(model, _)| (self.past.sustained_rate(model, now), model))
            .collect();
        idle.sort_by(|(a, _), (b, _)| b.0.total_cmp(&a.0));
        let left_out: BTreeSet<&ModelId> =
            idle.into_iter().skip(MAX_PAST_MODELS).map(|(_, model)| model).collect();
        let told = uses.iter().filter(|(model, _)| !left_out.contains(model));
        told.map(|(model, used)| demand_row(model, used)).collect()
    }
}

/// The models of which something is asked, or whose arrivals changed since they were told.
fn changed_rows(
    uses: &BTreeMap<ModelId, ModelUsage>,
    told: &BTreeMap<ModelId, ModelUsage>,
) -> Vec<DemandRow> {
    let is_told = |model: &ModelId, now: &ModelUsage| {
        now.waiting == 0
            && now.runs.is_empty()
            && told.get(model).is_some_and(|before| before.arrivals == now.arrivals)
    };
    let changed = uses.iter().filter(|(model, now)| !is_told(model, now));
    changed.map(|(model, now)| demand_row(model, now)).collect()
}

fn demand_row(model: &ModelId, used: &ModelUsage) -> DemandRow {
    DemandRow {
        model: Some(model.clone()),
        arrivals: used.arrivals,
        waiting: used.waiting,
        slack: used.slack,
        priority: used.priority,
        running: used.runs.iter().map(|(engine, runs)| (engine.clone(), *runs)).collect(),
        past_rates: None,
    }
}
