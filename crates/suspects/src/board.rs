//! What an entry knows of requests that crash backend servers.

use base::prelude::*;
use roster::InstanceId;

use crate::{
    answered::AnsweredKeys,
    block::RequestBlock,
    blocks::{AppliedBlock, BlockDigest, BlockList},
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

    /// Records that a backend server answered a request with `keys`, or began to. Returns the
    /// blocks that have fewer suspect keys now, which the other entries have to know.
    pub fn record_answer(&mut self, keys: &SuspectKeys, now: Instant) -> Vec<RequestBlock> {
        self.answered.record(keys, now);
        self.evidence.record_answer(keys);
        self.blocks.record_answer(keys, now)
    }

    /// Counts a crash; returns the block that follows from it, which the other entries have to know.
    pub fn record_crash(&mut self, sighting: &CrashSighting, now: Instant) -> Option<RequestBlock> {
        let found = self.evidence.record_crash(sighting, &self.answered, now);
        let renewal = self.blocks.renewal(sighting, now);
        let block = renewal.or_else(|| self.blocks.block_for(&found?, now))?;
        self.blocks.add_own(block.clone(), now);
        Some(block)
    }

    /// Number of crashes counted for the key of `keys` with the most.
    pub fn crashes(&self, keys: &SuspectKeys) -> u32 {
        keys.iter().map(|key| self.evidence.crashes(key)).max().unwrap_or(0)
    }

    /// Applies what another entry knows of a block.
    pub fn apply_block(&mut self, block: &RequestBlock, now: Instant) -> AppliedBlock {
        self.blocks.apply(block, &self.answered, now)
    }

    /// Adds a block that was stored, also one that has ended.
    pub fn restore_block(&mut self, block: &RequestBlock, now: Instant) {
        self.blocks.restore(block, now);
    }

    /// The block with `keys`, if keys of it are cleared here and the other entries do not know.
    pub fn objection(&mut self, keys: &SuspectKeys) -> Option<RequestBlock> {
        self.blocks.objection(keys)
    }

    /// When the block of a request with `keys` ends; none if the request is not blocked.
    pub fn blocked_until(&self, keys: &SuspectKeys, now: Instant) -> Option<Instant> {
        self.blocks.blocked_until(keys, now)
    }

    /// The blocks that have not ended.
    pub fn active_blocks(&self, now: Instant) -> Vec<RequestBlock> {
        self.blocks.active(now).cloned().collect()
    }

    /// Digest of the blocks that have not ended.
    pub fn digest(&self, now: Instant) -> BlockDigest {
        self.blocks.digest(now)
    }
}
