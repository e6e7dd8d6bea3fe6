//! When requests with a key were last answered.

use std::collections::HashMap;

use base::prelude::*;

use crate::key::{SuspectKey, SuspectKeys};

/// Keys after which the older generation is dropped.
const GENERATION_KEYS: usize = 4_096;

/// Time of the last answer by key. Keys that are used again and again stay; of the others, at most
/// two generations are kept.
#[derive(Debug, Default)]
pub struct AnsweredKeys {
    newer: HashMap<SuspectKey, Instant>,
    older: HashMap<SuspectKey, Instant>,
}

impl AnsweredKeys {
    /// Records that the answer to a request with `keys` began at `now`.
    pub fn record(&mut self, keys: &SuspectKeys, now: Instant) {
        if self.newer.len() >= GENERATION_KEYS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.extend(keys.iter().map(|key| (key, now)));
    }

    /// Those of `keys` that were in a request answered at `since` or later.
    pub fn answered_since(&self, keys: &SuspectKeys, since: Instant) -> SuspectKeys {
        keys.iter().filter(|key| self.last_answer(*key).is_some_and(|at| at >= since)).collect()
    }

    /// When a request with `key` was last answered; none if never or too long ago to be known.
    pub fn last_answer(&self, key: SuspectKey) -> Option<Instant> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }
}
