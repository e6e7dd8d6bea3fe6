//! Records of the run ledger.

use base::prelude::*;

use crate::{
    fingerprint::RequestFingerprint,
    run::{LinkId, RunEpoch, RunIsolation},
};

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Waits until no other run is active.
    Waiting,
    /// At the engine; `offset` bytes of its answer were forwarded.
    Running { offset: u64 },
    /// At the engine; a cancel was sent and its answer is discarded.
    Cancelling,
    /// No longer at the engine; it may have run.
    Ended,
    /// Did not reach the engine, and never will.
    NotRun(ResultCode),
}

/// Ledger entry of one attempt.
#[derive(Debug, Clone)]
pub(super) struct RunRecord {
    pub(super) epoch: RunEpoch,
    pub(super) link: LinkId,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) deadline: Instant,
    pub(super) isolation: RunIsolation,
    pub(super) phase: RunPhase,
}

impl RunRecord {
    /// Whether the run is at the engine.
    pub(super) fn at_engine(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. } | RunPhase::Cancelling)
    }

    /// Whether the run waits for the engine or is at the engine.
    pub(super) fn is_active(&self) -> bool {
        self.at_engine() || self.phase == RunPhase::Waiting
    }
}
