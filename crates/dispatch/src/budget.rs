//! The retry budget that all entries share.
//!
//! When a backend server or the store fails, every entry retries at once; the budget bounds the
//! extra load. The fleet's budget is divided by the number of entries, so that entries need not
//! coordinate.

use std::collections::VecDeque;

use base::prelude::*;

/// Retry budget of the whole fleet for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Number of retries allowed in each window on top of that.
    pub allowance: f64,
    /// Sliding window over which first attempts and retries are counted.
    pub window: Duration,
}

/// Share of the budget that is used. The rest is a reserve for entries that have joined and are not
/// yet known to the others.
const SAFETY_FACTOR: f64 = 0.8;

/// Number of steps into which a window is divided for counting.
const WINDOW_STEPS: u32 = 10;

#[derive(Debug, Default)]
struct WindowCount {
    steps: VecDeque<(Instant, f64)>,
}

impl WindowCount {
    fn add(&mut self, step: Duration, now: Instant) {
        match self.steps.back_mut() {
            Some((start, count)) if now.saturating_duration_since(*start) < step => *count += 1.0,
            _ => self.steps.push_back((now, 1.0)),
        }
    }

    fn remove_last(&mut self) {
        if let Some((_, count)) = self.steps.iter_mut().rev().find(|(_, count)| *count >= 1.0) {
            *count -= 1.0;
        }
    }

    fn total(&mut self, window: Duration, now: Instant) -> f64 {
        while self
            .steps
            .front()
            .is_some_and(|(start, _)| now.saturating_duration_since(*start) > window)
        {
            self.steps.pop_front();
        }
        self.steps.iter().map(|(_, count)| count).sum()
    }
}

/// One entry's share of the retry budget for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    first: WindowCount,
    retried: WindowCount,
}

impl RetryBudget {
    /// Creates a budget without counted requests.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, first: WindowCount::default(), retried: WindowCount::default() }
    }

    /// Changes the limits; requests counted so far remain counted.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts the first attempt of a request.
    pub fn record_first(&mut self, now: Instant) {
        self.first.add(self.limits.window / WINDOW_STEPS, now);
    }

    /// Takes one retry from the share of one of `entries` entries; returns false if none is left.
    pub fn try_take(&mut self, entries: usize, now: Instant) -> bool {
        let step = self.limits.window / WINDOW_STEPS;
        let first = self.first.total(self.limits.window, now);
        // Retries of a step that overlaps the window count in full, so that no sliding window
        // exceeds the budget.
        let retried = self.retried.total(self.limits.window + step, now);
        let share = self.limits.allowance / entries.max(1) as f64;
        let allowed = (share + self.limits.ratio * first) * SAFETY_FACTOR;
        if retried + 1.0 > allowed {
            return false;
        }
        self.retried.add(step, now);
        true
    }

    /// Returns a retry that was taken and not sent.
    pub fn put_back(&mut self) {
        self.retried.remove_last();
    }
}
