//! Estimates how many loads the weight store serves in parallel at full speed, from completed
//! loads.
//!
//! The limit of the store is not published. Beyond it, parallel loads take longer in proportion,
//! and each keeps its engine from other loads in the meantime. This happens when many models
//! without a copy on any disk are requested at once.

use std::collections::HashMap;

use base::prelude::*;
use roster::InstanceId;

/// Limit before the first load has completed; the users' deployments serve two to four.
const INITIAL_LIMIT: usize = 3;
/// Upper bound of the estimate.
const MAX_LIMIT: usize = 8;
/// A load that takes at most this many times its solo time counts as full speed.
const FULL_SPEED_FACTOR: f64 = 1.15;

#[derive(Debug, Clone, Copy)]
struct OpenLoad {
    started_at: Instant,
    solo_time: Duration,
    /// Loads that were certainly open when this one began, itself included.
    loads_at_start: usize,
    /// Most loads that were open at the same time as this one, itself included.
    parallel_loads: usize,
}

/// Loads that read from the weight store, and the estimated limit of parallel loads.
#[derive(Debug)]
pub struct StoreConcurrency {
    limit: usize,
    open: HashMap<InstanceId, OpenLoad>,
}

impl Default for StoreConcurrency {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, open: HashMap::new() }
    }
}

impl StoreConcurrency {
    /// Estimated number of loads that the store serves in parallel at full speed; at least one.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Records a load from the store that `engine` started at `started_at`; it takes `solo_time` if
    /// no other runs in parallel.
    pub fn record_start(&mut self, engine: &InstanceId, solo_time: Duration, started_at: Instant) {
        if let Some(open) = self.open.get_mut(engine) {
            // A load is first reported as planned and starts only when its engine has free memory.
            open.started_at = started_at;
            return;
        }
        let parallel_loads = self.open.len() + 1;
        // One whose solo time has passed may have ended without a report of it yet.
        let certain =
            self.open.values().filter(|load| load.started_at + load.solo_time > started_at);
        let loads_at_start = certain.count() + 1;
        let load = OpenLoad { started_at, solo_time, loads_at_start, parallel_loads };
        self.open.insert(engine.clone(), load);
        for load in self.open.values_mut() {
            load.parallel_loads = load.parallel_loads.max(parallel_loads);
        }
    }

    /// Records that the load at `engine` has ended, and updates the limit by the time that it took.
    pub fn record_end(&mut self, engine: &InstanceId, now: Instant) {
        let Some(load) = self.open.remove(engine) else { return };
        let took = now.saturating_duration_since(load.started_at).as_secs_f64();
        let slowdown = took / load.solo_time.as_secs_f64().max(f64::MIN_POSITIVE);
        if slowdown <= FULL_SPEED_FACTOR {
            // Loads that began later may have run slower without slowing this one.
            self.limit = self.limit.max((load.loads_at_start + 1).min(MAX_LIMIT));
        } else {
            let at_full_speed = (load.parallel_loads as f64 / slowdown).round() as usize;
            self.limit = at_full_speed.clamp(1, MAX_LIMIT);
        }
    }

    /// Drops the load at `engine` without updating the limit; used when the engine is removed, as
    /// the end of the load is not seen then.
    pub fn discard(&mut self, engine: &InstanceId) {
        self.open.remove(engine);
    }
}
