//! Test fixtures.

#![allow(dead_code, reason = "each test uses some of them")]

use std::time::Duration;

use suspects::{CrashSighting, SuspectKey, SuspectKeys};
use tokio::time::Instant;

pub fn keys(numbers: &[u64]) -> SuspectKeys {
    numbers.iter().copied().map(SuspectKey).collect()
}

pub fn sighting(numbers: &[u64], sent: Instant, crashed: Instant) -> CrashSighting {
    CrashSighting { keys: keys(numbers), answered: Vec::new(), sent, crashed }
}

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}
