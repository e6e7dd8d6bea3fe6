//! Selection of the parent from which a node pulls.

use base::prelude::*;

use crate::spread::SpreadSettings;

/// The candidates for a node's parent in the order in which they are tried, and the one in use.
///
/// The first candidate is the preferred parent, the others are substitutes.
#[derive(Debug)]
pub struct ParentSelector {
    candidates: Vec<VmId>,
    index: usize,
    /// Last answer of the current parent, or the time of its selection before the first one.
    last_answer: Instant,
    chosen_at: Instant,
    probed_at: Instant,
    known_members: u64,
}

impl ParentSelector {
    /// Creates a selector without candidates.
    pub fn new(now: Instant) -> Self {
        let candidates = Vec::new();
        Self {
            candidates,
            index: 0,
            last_answer: now,
            chosen_at: now,
            probed_at: now,
            known_members: 0,
        }
    }

    /// Replaces the candidates and selects the first one, unless they are the same as before.
    ///
    /// The timers continue if the first one already is the current parent.
    pub fn replace(&mut self, candidates: Vec<VmId>, now: Instant) {
        if self.candidates == candidates {
            return;
        }
        let is_same = self.current().is_some() && self.current() == candidates.first();
        self.candidates = candidates;
        self.index = 0;
        if !is_same {
            self.restart(now);
        }
    }

    /// The current parent; `None` without candidates.
    pub fn current(&self) -> Option<&VmId> {
        self.candidates.get(self.index)
    }

    /// All candidates, in the order in which they are tried.
    pub fn candidates(&self) -> &[VmId] {
        &self.candidates
    }

    /// Whether `peer` is the current parent.
    pub fn is_current(&self, peer: &VmId) -> bool {
        self.current() == Some(peer)
    }

    /// Records an answer of the current parent.
    ///
    /// `known_members` is the checksum of the members that it knows of this node's subtree.
    pub fn record_answer(&mut self, known_members: u64, now: Instant) {
        self.last_answer = now;
        self.known_members = known_members;
    }

    /// Whether the current parent answered since its selection and within the heartbeat timeout.
    pub fn is_alive(&self, settings: &SpreadSettings, now: Instant) -> bool {
        let since_answer = now.saturating_duration_since(self.last_answer);
        self.current().is_some()
            && since_answer < settings.heartbeat_timeout
            && self.last_answer > self.chosen_at
    }

    /// Checksum of the members that the current parent knows of this node's subtree; zero if none.
    pub fn known_members(&self) -> u64 {
        self.known_members
    }

    /// Selects the next candidate if the current parent exceeded the heartbeat timeout, or if it
    /// was in use for longer than the staleness limit and `age` exceeds that limit.
    ///
    /// `age` is the time since a relay was last known to be alive.
    pub fn check(&mut self, age: Duration, settings: &SpreadSettings, now: Instant) {
        let since_answer = now.saturating_duration_since(self.last_answer);
        let since_chosen = now.saturating_duration_since(self.chosen_at);
        let is_stale = age > settings.max_staleness && since_chosen > settings.max_staleness;
        if since_answer > settings.heartbeat_timeout || is_stale {
            self.advance(now);
        }
    }

    /// Selects the next candidate, starting over after the last.
    pub fn advance(&mut self, now: Instant) {
        if self.candidates.len() > 1 {
            self.index = (self.index + 1) % self.candidates.len();
        }
        self.restart(now);
    }

    /// Returns the preferred parent if a substitute is in use and the next probe is due.
    pub fn probe(&mut self, settings: &SpreadSettings, now: Instant) -> Option<VmId> {
        let is_due = now.saturating_duration_since(self.probed_at) >= settings.probe_interval;
        if self.index == 0 || !is_due {
            return None;
        }
        self.probed_at = now;
        self.candidates.first().cloned()
    }

    /// Selects the preferred parent again if `peer`, which answered a probe, is that one.
    pub fn fail_back(&mut self, peer: &VmId, now: Instant) {
        if self.index > 0 && self.candidates.first() == Some(peer) {
            self.index = 0;
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Instant) {
        self.last_answer = now;
        self.chosen_at = now;
        self.probed_at = now;
        self.known_members = 0;
    }
}
