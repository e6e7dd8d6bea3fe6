//! What an entry knows of requests that crash backend servers.

use base::prelude::*;
use roster::InstanceId;

use crate::{
    blocks::{BlockDigest, BlockList, RequestBlock},
    evidence::{CrashSighting, EvidenceTable},
    key::SuspectKeys,
    severed::{SeveredAttempt, SeveredAttempts},
};

/// Severed attempts, evidence and blocks of one entry.
///
/// Evidence is gathered where it is: an entry counts the crashes under its own requests and those
/// that others report to it. A block is decided by any entry with enough evidence and applied by
/// all.
#[derive(Debug, Default)]
pub struct SuspectBoard {
    severed: SeveredAttempts,
    evidence: EvidenceTable,
    blocks: BlockList,
}

impl SuspectBoard {
    /// Records an attempt whose connection broke before its answer began. Returns whether its
    /// backend server has to be probed.
    pub fn record_severed(&mut self, server: &InstanceId, attempt: SeveredAttempt) -> bool {
        self.severed.record(server, attempt)
    }

    /// Records the end of the probe of `server`; returns what was broken off there.
    pub fn record_probe(&mut self, server: &InstanceId) -> Vec<SeveredAttempt> {
        self.severed.take(server)
    }

    /// Records that a backend server answered a request with `keys`, or began to.
    pub fn record_answer(&mut self, keys: &SuspectKeys) {
        self.evidence.record_answer(keys);
    }

    /// Counts a crash; returns the block that follows from it, which is in force here.
    pub fn record_crash(&mut self, sighting: &CrashSighting, now: Instant) -> Option<RequestBlock> {
        let suspects = self.evidence.record_crash(sighting, now);
        let renewal = self.blocks.renewal(&sighting.keys, now);
        let block = renewal
            .or_else(|| (!suspects.is_empty()).then(|| RequestBlock::new(suspects.clone(), now)))?;
        self.evidence.remove(&block.keys);
        self.blocks.apply(&block, now).then_some(block)
    }

    /// Number of crashes counted for the key of `keys` with the most.
    pub fn crashes(&self, keys: &SuspectKeys) -> u32 {
        keys.iter().map(|key| self.evidence.crashes(key)).max().unwrap_or(0)
    }

    /// Applies a block that another entry has decided. Returns whether it was not known here.
    pub fn apply_block(&mut self, block: &RequestBlock, now: Instant) -> bool {
        self.blocks.apply(block, now)
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
