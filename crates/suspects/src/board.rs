//! What an entry knows of requests that crash backend servers.

use base::prelude::*;
use roster::InstanceId;

use crate::{
    answered::AnsweredKeys,
    blocks::{BlockDigest, BlockList, RequestBlock},
    evidence::{CrashSighting, EvidenceTable},
    key::SuspectKeys,
    severed::{SeveredAttempt, SeveredAttempts},
};

/// Severed attempts, evidence and blocks of one entry.
///
/// An entry counts the crashes under its own requests and those that others report to it. A block is
/// decided by any entry with enough evidence and applied by all.
#[derive(Debug, Default)]
pub struct SuspectBoard {
    severed: SeveredAttempts,
    answered: AnsweredKeys,
    evidence: EvidenceTable,
    blocks: BlockList,
}

impl SuspectBoard {
    /// Records an attempt whose connection broke before its answer began. Returns whether its
    /// backend server has to be probed.
    pub fn record_severed(&mut self, server: &InstanceId, attempt: SeveredAttempt) -> bool {
        self.severed.record(server, attempt)
    }

    /// Records the end of the probe of `server`; returns what was broken off there, as sightings of
    /// a crash.
    pub fn record_probe(&mut self, server: &InstanceId) -> Vec<CrashSighting> {
        let severed = self.severed.take(server).into_iter();
        severed.map(|attempt| self.sighting(attempt)).collect()
    }

    fn sighting(&self, attempt: SeveredAttempt) -> CrashSighting {
        let answered = attempt.keys.iter();
        let answered = answered.filter_map(|key| Some((key, self.answered.last_answer(key)?)));
        CrashSighting {
            answered: answered.collect(),
            keys: attempt.keys,
            sent: attempt.sent,
            crashed: attempt.severed,
        }
    }

    /// Records that a backend server answered a request with `keys`, or began to.
    pub fn record_answer(&mut self, keys: &SuspectKeys, now: Instant) {
        self.answered.record(keys, now);
        self.evidence.record_answer(keys);
        self.blocks.record_answer(keys);
    }

    /// Counts a crash; returns the block that follows from it, which is in force here.
    pub fn record_crash(&mut self, sighting: &CrashSighting, now: Instant) -> Option<RequestBlock> {
        let found = self.evidence.record_crash(sighting, &self.answered, now);
        let renewal = self.blocks.renewal(sighting, now);
        let first = || found.map(|found| RequestBlock::new(found.keys, found.since, now));
        let block = renewal.or_else(first)?;
        self.blocks.apply(&block, &self.answered, now).then_some(block)
    }

    /// Number of crashes counted for the key of `keys` with the most.
    pub fn crashes(&self, keys: &SuspectKeys) -> u32 {
        keys.iter().map(|key| self.evidence.crashes(key)).max().unwrap_or(0)
    }

    /// Applies a block that another entry has decided. Returns whether it was not known here.
    pub fn apply_block(&mut self, block: &RequestBlock, now: Instant) -> bool {
        self.blocks.apply(block, &self.answered, now)
    }

    /// When the block of a request with `keys` ends; none if the request is not blocked.
    pub fn blocked_until(&self, keys: &SuspectKeys, now: Instant) -> Option<Instant> {
        self.blocks.blocked_until(keys, now)
    }

    /// The blocks in force.
    pub fn active_blocks(&self, now: Instant) -> Vec<RequestBlock> {
        self.blocks.active(now).cloned().collect()
    }

    /// Digest of the blocks in force.
    pub fn digest(&self, now: Instant) -> BlockDigest {
        self.blocks.digest(now)
    }
}
