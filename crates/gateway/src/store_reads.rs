//! The plan of the reads of the store, shared by the watches and the heartbeats of the process.

use std::sync::{Arc, Mutex, MutexGuard};

use base::{locks, prelude::*};
use peers::StoreSighting;
use roster::{ReadPlan, ReadPolicy, RosterRevision, StoreEra, StoreObservation, StorePosition};

/// Plans the reads of the store; clones share the plan.
#[derive(Debug, Clone)]
pub struct StoreReads {
    policy: Arc<Mutex<ReadPolicy>>,
}

impl StoreReads {
    /// Reads with which each change is known within `known_within`.
    pub fn new(known_within: Duration) -> Self {
        Self { policy: Arc::new(Mutex::new(ReadPolicy::new(known_within))) }
    }

    fn lock(&self) -> MutexGuard<'_, ReadPolicy> {
        locks::lock(&self.policy)
    }

    /// Plans the next call of a watch.
    pub fn plan(&self) -> ReadPlan {
        self.lock().plan(Instant::now())
    }

    /// Records a listing without lag that was requested at `sent`.
    pub fn record_listing(&self, position: StorePosition, sent: Instant) {
        self.lock().observe(StoreObservation { position, as_of: sent });
    }

    /// Latest time at which the store is known to have answered this or another entry.
    pub fn last_seen(&self) -> Option<Instant> {
        self.lock().newest().map(|newest| newest.as_of)
    }

    /// Records the answer to a watch, and returns the time until its next call is due.
    pub fn finish_watch(
        &self,
        plan: &ReadPlan,
        sent: Instant,
        since: StorePosition,
        answer: (StorePosition, bool),
    ) -> Duration {
        let now = Instant::now();
        if !self.lock().record_answer(plan, sent, since, answer, now) {
            let (position, min_position) = (answer.0, plan.min_position);
            log::warn!(
                "store: a copy lags behind (position {position}, at least {min_position} expected), \
                 reading without lag for a while"
            );
            return Duration::ZERO;
        }
        if answer.1 { plan.interval } else { Duration::ZERO }
    }

    /// Records that the store was not reached, or was restored: it is read without lag for a while.
    pub fn record_failure(&self) {
        self.lock().record_failure(Instant::now());
    }

    /// Sets whether this entry reads without lag for all entries.
    pub fn set_observer(&self, is_observer: bool) {
        self.lock().set_observer(is_observer);
    }

    /// The newest observation of the store, as sent to other entries.
    pub fn sighting(&self) -> Option<StoreSighting> {
        let newest = self.lock().newest()?;
        let age = newest.as_of.elapsed().as_millis();
        Some(StoreSighting {
            revision: newest.position.revision.0,
            age_ms: u64::try_from(age).ok()?,
            era: newest.position.era.0,
        })
    }

    /// Takes the observation that another entry has sent.
    pub fn apply_sighting(&self, sighting: StoreSighting) {
        let age = Duration::from_millis(sighting.age_ms);
        // An observation from before the start of the clock is too old to be of use.
        let Some(as_of) = Instant::now().checked_sub(age) else { return };
        let position = StorePosition {
            era: StoreEra(sighting.era),
            revision: RosterRevision(sighting.revision),
        };
        self.lock().observe(StoreObservation { position, as_of });
    }
}
