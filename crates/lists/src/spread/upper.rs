//! The choice of the node from which a node pulls.

use base::prelude::*;

use crate::spread::SpreadSettings;

/// The upper nodes of one node in the order in which they are tried, and the one in use.
#[derive(Debug)]
pub struct UpperChoice {
    names: Vec<VmId>,
    index: usize,
    /// Since when the present one is in use, or when it was heard last.
    heard: Instant,
    chosen: Instant,
    probed: Instant,
    known_members: u64,
}

impl UpperChoice {
    /// A choice without candidates.
    pub fn new(now: Instant) -> Self {
        let names = Vec::new();
        Self { names, index: 0, heard: now, chosen: now, probed: now, known_members: 0 }
    }

    /// Replaces the candidates; the present one stays in use if it still is the proper one.
    pub fn replace(&mut self, names: Vec<VmId>, now: Instant) {
        if self.names == names {
            return;
        }
        let is_same = self.current().is_some() && self.current() == names.first();
        self.names = names;
        self.index = 0;
        if !is_same {
            self.restart(now);
        }
    }

    /// The upper node in use.
    pub fn current(&self) -> Option<&VmId> {
        self.names.get(self.index)
    }

    /// The first candidates, to be asked by a starting node.
    pub fn candidates(&self) -> &[VmId] {
        &self.names
    }

    /// Whether `peer` is the upper node in use.
    pub fn is_current(&self, peer: &VmId) -> bool {
        self.current() == Some(peer)
    }

    /// Notes an answer of the upper node in use, which knows these members below this node.
    pub fn heard(&mut self, known_members: u64, now: Instant) {
        self.heard = now;
        self.known_members = known_members;
    }

    /// Whether the upper node in use answered lately.
    pub fn is_alive(&self, settings: &SpreadSettings, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.heard);
        self.current().is_some() && silence < settings.silent_after && self.heard > self.chosen
    }

    /// Checksum of the members that the upper node in use knows.
    pub fn known_members(&self) -> u64 {
        self.known_members
    }

    /// Goes to the next candidate if the present one is silent, or if its news are stale although
    /// it had time to renew them.
    pub fn check(&mut self, age: Duration, settings: &SpreadSettings, now: Instant) {
        let silence = now.saturating_duration_since(self.heard);
        let tenure = now.saturating_duration_since(self.chosen);
        let is_stale = age > settings.stale_after && tenure > settings.stale_after;
        if silence > settings.silent_after || is_stale {
            self.advance(now);
        }
    }

    /// Goes to the next candidate.
    pub fn advance(&mut self, now: Instant) {
        if self.names.len() > 1 {
            self.index = (self.index + 1) % self.names.len();
        }
        self.restart(now);
    }

    /// The proper upper node, if a substitute is in use and a look at it is due.
    pub fn probe(&mut self, settings: &SpreadSettings, now: Instant) -> Option<VmId> {
        let is_due = now.saturating_duration_since(self.probed) >= settings.return_after;
        if self.index == 0 || !is_due {
            return None;
        }
        self.probed = now;
        self.names.first().cloned()
    }

    /// Returns to the proper upper node if that is the one that answered a look.
    pub fn return_to(&mut self, peer: &VmId, now: Instant) {
        if self.index > 0 && self.names.first() == Some(peer) {
            self.index = 0;
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Instant) {
        self.heard = now;
        self.chosen = now;
        self.probed = now;
        self.known_members = 0;
    }
}
