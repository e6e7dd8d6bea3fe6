//! Which reads of the platform's store may be answered from a copy that lags behind.
//!
//! Reads that may lag are cheap and do not count towards the store's rate limit, but do not show
//! how old their answer is. The entries therefore pass on what the newest answer without lag has
//! shown: that the store had reached a revision at some time. A copy that has not reached that
//! revision lags, and is not used any more for a while. One entry reads without lag for all, so
//! the number of such reads does not grow with the number of entries.

use base::prelude::*;

use crate::StorePosition;

/// Largest age of an observation with which a read may lag, as a fraction of the time within which a
/// change must be known, like all fractions here. A lag shorter than that age is not noticed.
const OBSERVATION_LIFE_FRACTION: f64 = 0.5;
/// Time between two reads that may lag, and longest wait of such a watch. A change is known after two
/// of them, whatever the lag: the observation of the second read is made after the change.
const LAGGING_INTERVAL_FRACTION: f64 = 0.35;
/// Time between two reads, and longest wait, of the entry that reads without lag for all. Together
/// with the interval of heartbeats it is shorter than the largest age at the other entries.
const OBSERVER_INTERVAL_FRACTION: f64 = 0.2;
/// Longest wait of a watch without lag of any other entry. A connection that hangs is noticed after
/// this time plus the timeout of the call.
const LATEST_WAIT_FRACTION: f64 = 0.6;
/// Time between two reads without lag of any other entry, so that several changes arrive in one call.
const LATEST_INTERVAL_FRACTION: f64 = 0.45;
/// Time without reads that may lag after a lag was seen or the store was not reached: what the
/// store lists after an outage must be known at once.
const LATEST_ONLY_TIME: Duration = Duration::from_secs(15);

/// How a call reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// The answer shows everything that the store has acknowledged.
    Latest,
    /// The answer may come from a copy that lags behind. Cheaper, and without a rate limit.
    MayLag,
}

/// What an answer without lag has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreObservation {
    /// Position of the store in the answer.
    pub position: StorePosition,
    /// The position covers all changes that the store had acknowledged by this time.
    pub as_of: Instant,
}

/// How to make the next watch call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadPlan {
    /// Whether the answer may lag.
    pub mode: ReadMode,
    /// Longest wait for changes.
    pub wait: Duration,
    /// Time between an answer with changes and the next call.
    pub interval: Duration,
    /// Position that the answer of a read that may lag must have reached; else the copy lags.
    pub min_position: StorePosition,
}

/// Plans the reads of one entry.
#[derive(Debug)]
pub struct ReadPolicy {
    known_within: Duration,
    is_observer: bool,
    newest: Option<StoreObservation>,
    latest_only_until: Option<Instant>,
}

impl ReadPolicy {
    /// A policy with which each change is known within `known_within`.
    pub fn new(known_within: Duration) -> Self {
        Self { known_within, is_observer: false, newest: None, latest_only_until: None }
    }

    /// Sets whether this entry reads without lag for all entries.
    pub fn set_observer(&mut self, is_observer: bool) {
        self.is_observer = is_observer;
    }

    /// Takes an observation of this or another entry, if it is newer than the one before. One that
    /// was made before a restore of the store is older than all since.
    pub fn observe(&mut self, observation: StoreObservation) {
        let rank = |seen: &StoreObservation| (seen.position.era, seen.as_of);
        if self.newest.is_none_or(|newest| rank(&newest) < rank(&observation)) {
            self.newest = Some(observation);
        }
    }

    /// The newest observation, for the other entries.
    pub fn newest(&self) -> Option<StoreObservation> {
        self.newest
    }

    /// Plans the next call of a watch.
    pub fn plan(&self, now: Instant) -> ReadPlan {
        let life_fraction = match self.is_observer {
            true => OBSERVER_INTERVAL_FRACTION,
            false => OBSERVATION_LIFE_FRACTION,
        };
        let life = self.known_within.mul_f64(life_fraction);
        let newest = self.newest.filter(|newest| newest.as_of + life > now);
        let is_latest_only = self.latest_only_until.is_some_and(|until| now < until);
        let (mode, wait, interval) = match newest {
            Some(_) if !is_latest_only => {
                (ReadMode::MayLag, LAGGING_INTERVAL_FRACTION, LAGGING_INTERVAL_FRACTION)
            }
            _ if self.is_observer => {
                (ReadMode::Latest, OBSERVER_INTERVAL_FRACTION, OBSERVER_INTERVAL_FRACTION)
            }
            _ => (ReadMode::Latest, LATEST_WAIT_FRACTION, LATEST_INTERVAL_FRACTION),
        };
        ReadPlan {
            mode,
            wait: self.known_within.mul_f64(wait),
            interval: self.known_within.mul_f64(interval),
            min_position: newest.map(|newest| newest.position).unwrap_or_default(),
        }
    }

    /// Records an answer to a call that was planned as `plan` and sent at `sent`. `since` is the
    /// position of the watch, `position` that of the answer. Returns whether the answer is as new
    /// as it must be; if not, the copy lags, and the next calls read without lag.
    pub fn record_answer(
        &mut self,
        plan: &ReadPlan,
        sent: Instant,
        since: StorePosition,
        (position, has_changes): (StorePosition, bool),
        now: Instant,
    ) -> bool {
        match plan.mode {
            ReadMode::Latest => {
                // A watch without changes answers at the end of its wait.
                let as_of = if has_changes { sent } else { now.min(sent + plan.wait) };
                self.observe(StoreObservation { position, as_of });
                true
            }
            ReadMode::MayLag => {
                let is_new_enough = position >= plan.min_position.max(since);
                if !is_new_enough {
                    self.read_latest_only(now);
                }
                is_new_enough
            }
        }
    }

    /// Records that the store was not reached, or was restored.
    pub fn record_failure(&mut self, now: Instant) {
        self.read_latest_only(now);
    }

    fn read_latest_only(&mut self, now: Instant) {
        self.latest_only_until = Some(now + LATEST_ONLY_TIME);
    }
}
