//! The budget of repeated requests that all entries share.
//!
//! Load pattern: a backend server or the store fails, and every entry sends again at once. The
//! fleet's budget is divided by the number of entries, so that no entry has to ask another.

use std::collections::VecDeque;

use base::prelude::*;

/// The fleet's budget for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each first request.
    pub ratio: f64,
    /// Repeats allowed in each window besides.
    pub allowance: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Part of the budget that is kept back, for entries that join before others know of them.
const SAFETY_FACTOR: f64 = 0.8;

/// Steps in which a window is counted.
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

/// One entry's part of the budget for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    first: WindowCount,
    repeated: WindowCount,
}

impl RetryBudget {
    /// A budget within `limits`.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, first: WindowCount::default(), repeated: WindowCount::default() }
    }

    /// Changes the limits; what was counted stays counted.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first(&mut self, now: Instant) {
        self.first.add(self.limits.window / WINDOW_STEPS, now);
    }

    /// Takes one repeat out of the part of one of `entries` entries, if there is one left.
    pub fn try_take(&mut self, entries: usize, now: Instant) -> bool {
        let step = self.limits.window / WINDOW_STEPS;
        // A step that began before the window still counts whole.
        let first = self.first.total(self.limits.window, now);
        let repeated = self.repeated.total(self.limits.window + step, now);
        let part = self.limits.allowance / entries.max(1) as f64;
        let allowed = (part + self.limits.ratio * first) * SAFETY_FACTOR;
        if repeated + 1.0 > allowed {
            return false;
        }
        self.repeated.add(step, now);
        true
    }
}
