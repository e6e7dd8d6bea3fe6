//! Probation of slow replicas: a replica on probation gets only single trial requests until several
//! in a row are fast enough, unless no other replica accepts work.

use base::prelude::*;

/// A replica that is this many times slower than the median is put on probation.
pub(crate) const SLOW_FACTOR: f64 = 2.0;
/// A trial succeeds if it takes at most this many times the median.
const MAX_TRIAL_FACTOR: f64 = 1.6;
/// Successful trials in a row that end the probation.
const GOOD_TRIALS_TO_END: u32 = 3;
/// Limit of the doubling interval between trials, as a multiple of the first interval.
const MAX_INTERVAL_FACTOR: u32 = 16;

/// Probation state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlowProbation {
    /// Not on probation.
    Normal,
    /// On probation, with the state of its trials.
    Slow(TrialState),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TrialState {
    next_due: Instant,
    first_interval: Duration,
    interval: Duration,
    successes: u32,
    is_running: bool,
}

impl SlowProbation {
    /// Starts a probation whose first trial is due after `interval`.
    pub(crate) fn start(now: Instant, interval: Duration) -> Self {
        SlowProbation::Slow(TrialState {
            next_due: now + interval,
            first_interval: interval,
            interval,
            successes: 0,
            is_running: false,
        })
    }

    pub(crate) fn is_slow(&self) -> bool {
        matches!(self, SlowProbation::Slow(_))
    }

    pub(crate) fn is_trial_due(&self, now: Instant) -> bool {
        match self {
            SlowProbation::Normal => false,
            SlowProbation::Slow(trial) => !trial.is_running && trial.next_due <= now,
        }
    }

    pub(crate) fn start_trial(&mut self) {
        if let SlowProbation::Slow(trial) = self {
            trial.is_running = true;
        }
    }

    /// Records a trial that took `factor` times the median; `None` if it was not served.
    ///
    /// After a failed trial the interval to the next one doubles. Returns whether the probation has
    /// ended.
    pub(crate) fn end_trial(&mut self, factor: Option<f64>, now: Instant) -> bool {
        let SlowProbation::Slow(trial) = self else { return false };
        trial.is_running = false;
        if factor.is_some_and(|factor| factor <= MAX_TRIAL_FACTOR) {
            trial.successes += 1;
            trial.next_due = now;
        } else {
            trial.successes = 0;
            trial.interval = (trial.interval * 2).min(trial.first_interval * MAX_INTERVAL_FACTOR);
            trial.next_due = now + trial.interval;
        }
        let has_ended = trial.successes >= GOOD_TRIALS_TO_END;
        if has_ended {
            *self = SlowProbation::Normal;
        }
        has_ended
    }
}
