//! Exponential backoff after failed loads: 1 s, doubled with each failure, up to 60 s.

use base::prelude::*;

const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Backoff state of one load target, or of one slot at the scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryBackoff {
    failures: u32,
    retry_at: Option<Instant>,
}

impl RetryBackoff {
    /// Counts a failure at `now` and delays the next attempt.
    pub fn record_failure(&mut self, now: Instant) {
        let wait = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + wait);
    }

    /// Whether the delay after the latest failure has passed at `now`.
    pub fn allows_retry(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// Number of consecutive failures; the caller resets the state after a success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
