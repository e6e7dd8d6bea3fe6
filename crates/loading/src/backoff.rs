//! Bounded exponential backoff after failed loads.

use base::prelude::*;

/// Wait after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Longest wait after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// When a load that failed may be tried again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryBackoff {
    failures: u32,
    retry_at: Option<Instant>,
}

impl RetryBackoff {
    /// Counts a failure at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        let wait = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + wait);
    }

    /// Whether a new try is allowed at `now`.
    pub fn allows_retry(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|until| now >= until)
    }

    /// Consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
