//! Bounds and checks of a shard of claims.

use base::prelude::*;

/// Bounds of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLimits {
    /// How long after its minting a key may be used.
    pub claim_lifetime: Duration,
    /// How far in the future a key may be minted by its caller's clock.
    pub max_clock_skew: Duration,
    /// Least time between the starts of two segment writes.
    pub min_write_interval: Duration,
    /// Time before a failed step is tried again.
    pub retry_delay: Duration,
    /// Time between two looks for expired segments.
    pub expiry_interval: Duration,
    /// Most calls that wait for a segment.
    pub max_queued_calls: usize,
    /// Memory for kept answers.
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

/// Checks of a shard; tests turn single ones off to see their faults found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardGuards {
    /// A segment's number that is taken fails the commit.
    pub fence: bool,
    /// A segment below the base is void.
    pub base: bool,
    /// A write whose answer was lost is read back.
    pub read_back: bool,
    /// A new owner replays the log.
    pub replay: bool,
    /// Expired keys are refused.
    pub expiry: bool,
    /// A release is confirmed only once it is durable.
    pub durable_release: bool,
}

impl Default for ShardGuards {
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
