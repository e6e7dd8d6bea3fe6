//! Test fixtures.

#![allow(dead_code, reason = "each test uses some of them")]

use std::time::Duration;

use roster::InstanceId;
use suspects::{CrashSighting, SuspectKey, SuspectKeys};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub fn keys(numbers: &[u64]) -> SuspectKeys {
    numbers.iter().copied().map(SuspectKey).collect()
}

pub fn sighting(numbers: &[u64], sent: Instant, crashed: Instant) -> CrashSighting {
    CrashSighting { keys: keys(numbers), answered: Vec::new(), sent, crashed }
}

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

pub fn engine(number: usize) -> InstanceId {
    format!("e-{number}").parse().expect("a valid name")
}

/// Rank of an entry for a key.
pub fn rank(key: SuspectKey, entry: usize) -> u64 {
    xxh3_64_with_seed(&entry.to_be_bytes(), key.0)
}
