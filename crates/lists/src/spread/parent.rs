//! The choice of the node from which a node pulls.

use base::prelude::*;

use crate::spread::SpreadSettings;

/// The upper nodes of one node in the order in which they are tried, and the one in use.
#[derive(Debug)]
pub struct ParentSelector {
    candidates: Vec<VmId>,
    index: usize,
    /// Since when the present one is in use, or when it was last_answer last.
    last_answer: Instant,
    chosen_at: Instant,
    probed_at: Instant,
    known_members: u64,
}

impl ParentSelector {
    /// A choice without candidates.
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

    /// Replaces the candidates; the present one stays in use if it still is the proper one.
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

    /// The upper node in use.
    pub fn current(&self) -> Option<&VmId> {
        self.candidates.get(self.index)
    }

    /// The first candidates, to be asked by a starting node.
    pub fn candidates(&self) -> &[VmId] {
        &self.candidates
    }

    /// Whether `peer` is the upper node in use.
    pub fn is_current(&self, peer: &VmId) -> bool {
        self.current() == Some(peer)
    }

    /// Notes an answer of the upper node in use, which knows these members below this node.
    pub fn record_answer(&mut self, known_members: u64, now: Instant) {
        self.last_answer = now;
        self.known_members = known_members;
    }

    /// Whether the upper node in use answered lately.
    pub fn is_alive(&self, settings: &SpreadSettings, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_answer);
        self.current().is_some()
            && silence < settings.heartbeat_timeout
            && self.last_answer > self.chosen_at
    }

    /// Checksum of the members that the upper node in use knows.
    pub fn known_members(&self) -> u64 {
        self.known_members
    }

    /// Goes to the next candidate if the present one is silent, or if its news are stale although
    /// it had time to renew them.
    pub fn check(&mut self, age: Duration, settings: &SpreadSettings, now: Instant) {
        let silence = now.saturating_duration_since(self.last_answer);
        let tenure = now.saturating_duration_since(self.chosen_at);
        let is_stale = age > settings.max_staleness && tenure > settings.max_staleness;
        if silence > settings.heartbeat_timeout || is_stale {
            self.advance(now);
        }
    }

    /// Goes to the next candidate.
    pub fn advance(&mut self, now: Instant) {
        if self.candidates.len() > 1 {
            self.index = (self.index + 1) % self.candidates.len();
        }
        self.restart(now);
    }

    /// The proper upper node, if a substitute is in use and a look at it is due.
    pub fn probe(&mut self, settings: &SpreadSettings, now: Instant) -> Option<VmId> {
        let is_due = now.saturating_duration_since(self.probed_at) >= settings.failback_delay;
        if self.index == 0 || !is_due {
            return None;
        }
        self.probed_at = now;
        self.candidates.first().cloned()
    }

    /// Returns to the proper upper node if that is the one that answered a look.
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
