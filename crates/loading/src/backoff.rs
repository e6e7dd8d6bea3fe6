//! Bounded exponential backoff after failed loads.

use base::prelude::*;

/// Wait after the first failure.
const FIRST_WAIT: Duration = Duration::from_secs(1);

/// Longest wait after any number of failures.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// When a load that failed may be tried again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl RetryBackoff {
    /// Counts a failure at `now`.
    pub fn fail(&mut self, now: Instant) {
        let wait = FIRST_WAIT.saturating_mul(1 << self.failures.min(16)).min(LONGEST_WAIT);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + wait);
    }

    /// Whether a new try is allowed at `now`.
    pub fn allows(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
