//! What engines offer for the models that they hold, also those that name a limit of requests.

use std::collections::HashMap;

use base::prelude::*;

use super::{
    EngineSnapshot, Planner,
    pass::{MAX_RATE_PER_ENGINE, PlanningPass},
};
use crate::demand::DemandTracker;

/// Upper bound of the cost of an engine that names a limit, in seconds.
const MAX_LIMIT_COST: f64 = 4.0;

/// What the engines that hold a model offer for it, in engines without a limit.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeldCapacity {
    pub total: f64,
    /// Whether one of the engines names a limit.
    pub is_limited: bool,
}

/// What one engine offers for each model that it holds. An engine with a limit offers a part of an
/// engine, which its models share by their demand.
pub(super) fn offered_capacity(
    planner: &Planner,
    engine: &EngineSnapshot,
    model: &ModelId,
    tracker: &DemandTracker,
    now: Instant,
) -> f64 {
    let Some(limit) = planner.limits.get(&engine.instance) else { return 1.0 };
    let rate = |model: &ModelId| tracker.recent_rate(model, now).0;
    let total: f64 = engine.residents.iter().map(|(held, _)| rate(held)).sum();
    let share = if total > 0.0 { rate(model) / total } else { 1.0 };
    (limit.0 / MAX_RATE_PER_ENGINE).min(1.0) * share
}

pub(super) fn held_capacities<'a>(
    planner: &'a Planner,
    tracker: &DemandTracker,
    now: Instant,
) -> HashMap<&'a ModelId, HeldCapacity> {
    let mut capacities: HashMap<&ModelId, HeldCapacity> = HashMap::new();
    for engine in planner.engines.values() {
        for (model, _) in &engine.residents {
            let capacity = capacities.entry(model).or_default();
            capacity.total += offered_capacity(planner, engine, model, tracker, now);
            capacity.is_limited |= planner.limits.contains_key(&engine.instance);
        }
    }
    capacities
}

impl PlanningPass<'_> {
    /// Whether the holders of a model take fewer requests than there are, because of limits that
    /// they name.
    pub(super) fn is_short_by_limits(&self, model: &ModelId) -> bool {
        let held = self.capacities.get(model).copied().unwrap_or_default();
        held.is_limited && held.total < self.engine_demand(model)
    }

    /// What the holders of a model offer, in engines without a limit.
    pub(super) fn held_capacity(&self, model: &ModelId) -> f64 {
        self.capacities.get(model).map_or(0.0, |held| held.total)
    }

    /// Cost, in seconds, of the limit that an engine names: the time between two requests.
    pub(super) fn limit_cost(&self, engine: &EngineSnapshot) -> f64 {
        let limit = self.planner.limits.get(&engine.instance);
        limit.map_or(0.0, |limit| (1.0 / limit.0).min(MAX_LIMIT_COST))
    }
}
