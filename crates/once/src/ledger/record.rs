//! Records of the run ledger.

use base::prelude::*;

use crate::{
    fingerprint::RequestFingerprint,
    run::{LinkId, RunEpoch, RunIsolation},
};

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Waits for the engine to be empty.
    Waiting,
    /// At the engine; so many bytes of its answer were forwarded.
    Running { offset: u64 },
    /// At the engine, with nobody waiting for its answer.
    Cancelling,
    /// Was at the engine.
    Ended,
    /// Never was and never will be at the engine.
    NotRun(ResultCode),
}

/// What is remembered of one request.
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
    /// Whether the engine has the run.
    pub(super) fn at_engine(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. } | RunPhase::Cancelling)
    }

    /// Whether the run waits for or is at the engine.
    pub(super) fn is_active(&self) -> bool {
        self.at_engine() || self.phase == RunPhase::Waiting
    }
}
