//! Limits and checks of a claim shard.

use base::prelude::*;

/// Limits of a claim shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLimits {
    /// How long after its creation a key may be claimed.
    pub claim_lifetime: Duration,
    /// How far a key's creation time may lie in the future, as clocks of callers differ.
    pub max_clock_skew: Duration,
    /// Shortest time between the starts of two segment writes.
    pub min_write_interval: Duration,
    /// Time before a failed step is retried.
    pub retry_delay: Duration,
    /// Time between two checks for expired segments.
    pub expiry_interval: Duration,
    /// Most calls that wait for a commit; further calls are refused.
    pub max_queued_calls: usize,
    /// Memory for cached answers, in bytes.
    pub answer_cache_size: ByteSize,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self {
            claim_lifetime: Duration::from_secs(3_600),
            max_clock_skew: Duration::from_secs(300),
            min_write_interval: Duration::from_millis(100),
            retry_delay: Duration::from_millis(250),
            expiry_interval: Duration::from_secs(60),
            max_queued_calls: 8_192,
            answer_cache_size: ByteSize::mib(8),
        }
    }
}

/// Checks of a shard; tests disable each one to show that the fault it prevents is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardChecks {
    /// Treats a commit as failed if a segment with its number exists.
    pub fence: bool,
    /// Treats a committed segment below the base as void.
    pub base: bool,
    /// Reads a segment back if the result of its write is uncertain.
    pub read_back: bool,
    /// Replays the log when a new owner starts.
    pub replay: bool,
    /// Refuses expired keys.
    pub expiry: bool,
    /// Confirms a release only once it is durable.
    pub durable_release: bool,
}

impl Default for ShardChecks {
    fn default() -> Self {
        Self {
            fence: true,
            base: true,
            read_back: true,
            replay: true,
            expiry: true,
            durable_release: true,
        }
    }
}
