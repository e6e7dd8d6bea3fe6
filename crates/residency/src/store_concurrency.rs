//! How many loads the weight store serves together at full speed, learned from loads that ended.
//!
//! Load pattern: many models without a copy on any disk are asked for at once. Beyond a number that
//! is nowhere told, loads that read together take longer in proportion, and each keeps its engine
//! from other loads in the meantime.

use std::collections::HashMap;

use base::prelude::*;
use roster::InstanceId;

/// Loads assumed before the first has ended; the users' deployments serve two to four.
const FIRST_LIMIT: usize = 3;
/// Most loads that are allowed together.
const MAX_LIMIT: usize = 8;
/// A load that takes at most this many times its time alone ran at full speed.
const FULL_SPEED: f64 = 1.15;

#[derive(Debug, Clone, Copy)]
struct OpenLoad {
    began: Instant,
    alone: Duration,
    together: usize,
}

/// Loads that read from the weight store.
#[derive(Debug)]
pub struct StoreConcurrency {
    limit: usize,
    open: HashMap<InstanceId, OpenLoad>,
}

impl Default for StoreConcurrency {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, open: HashMap::new() }
    }
}

impl StoreConcurrency {
    /// Loads that may read together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// A load is seen at `engine` that began at `began` and takes `alone` if no other reads.
    pub fn record_start(&mut self, engine: &InstanceId, alone: Duration, began: Instant) {
        if let Some(open) = self.open.get_mut(engine) {
            // The load was planned first and begins once its engine has room.
            open.began = began;
            return;
        }
        let together = self.open.len() + 1;
        self.open.insert(engine.clone(), OpenLoad { began, alone, together });
        for load in self.open.values_mut() {
            load.together = load.together.max(together);
        }
    }

    /// The load at `engine` has ended with its model there.
    pub fn record_end(&mut self, engine: &InstanceId, now: Instant) {
        let Some(load) = self.open.remove(engine) else { return };
        let took = now.saturating_duration_since(load.began).as_secs_f64();
        let stretch = took / load.alone.as_secs_f64().max(f64::MIN_POSITIVE);
        if stretch <= FULL_SPEED {
            self.limit = self.limit.max((load.together + 1).min(MAX_LIMIT));
        } else {
            let at_full_speed = (load.together as f64 / stretch).round() as usize;
            self.limit = at_full_speed.clamp(1, MAX_LIMIT);
        }
    }

    /// The load at `engine` ended in another way, or the engine is gone.
    pub fn discard(&mut self, engine: &InstanceId) {
        self.open.remove(engine);
    }
}
