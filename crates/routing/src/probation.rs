//! Probation of slow backend servers: no new work but single trials, until trials are fast again.

use base::prelude::*;

/// A replica this many times slower than the median is put on probation.
pub(crate) const SLOW_FACTOR: f64 = 2.0;
/// A trial at most this many times slower than the median is good.
const GOOD_TRIAL_FACTOR: f64 = 1.6;
/// Good trials in a row that end a probation.
const TRIALS_TO_RETURN: u32 = 3;
/// Longest time between trials, in first intervals.
const MAX_INTERVAL_FACTOR: u32 = 16;

/// Whether a replica gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlowProbation {
    /// It gets its part of the work.
    Normal,
    /// It gets single trials.
    Slow(TrialState),
}

/// Trials of a slow replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TrialState {
    next: Instant,
    first_interval: Duration,
    interval: Duration,
    good: u32,
    is_running: bool,
}

impl SlowProbation {
    /// Starts a probation whose first trial comes after `interval`.
    pub(crate) fn start(now: Instant, interval: Duration) -> Self {
        SlowProbation::Slow(TrialState {
            next: now + interval,
            first_interval: interval,
            interval,
            good: 0,
            is_running: false,
        })
    }

    pub(crate) fn is_slow(&self) -> bool {
        matches!(self, SlowProbation::Slow(_))
    }

    /// Whether a trial is due.
    pub(crate) fn is_trial_due(&self, now: Instant) -> bool {
        match self {
            SlowProbation::Normal => false,
            SlowProbation::Slow(trial) => !trial.is_running && trial.next <= now,
        }
    }

    pub(crate) fn start_trial(&mut self) {
        if let SlowProbation::Slow(trial) = self {
            trial.is_running = true;
        }
    }

    /// Ends a trial that took `factor` times the median, or did not end in time (`None`).
    ///
    /// Returns whether the probation has ended with it.
    pub(crate) fn end_trial(&mut self, factor: Option<f64>, now: Instant) -> bool {
        let SlowProbation::Slow(trial) = self else { return false };
        trial.is_running = false;
        if factor.is_some_and(|factor| factor <= GOOD_TRIAL_FACTOR) {
            trial.good += 1;
            trial.next = now;
        } else {
            trial.good = 0;
            trial.interval = (trial.interval * 2).min(trial.first_interval * MAX_INTERVAL_FACTOR);
            trial.next = now + trial.interval;
        }
        let has_returned = trial.good >= TRIALS_TO_RETURN;
        if has_returned {
            *self = SlowProbation::Normal;
        }
        has_returned
    }
}
