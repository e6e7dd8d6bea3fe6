//! Events and actions of the run ledger, and the types they carry.

use std::fmt;

use base::prelude::*;
use bytes::Bytes;

use crate::fingerprint::RequestFingerprint;

/// Number of a period within an incarnation of a side process.
///
/// The side process announces its current epoch, and an order names the epoch in which it was
/// granted. Orders of epochs below the ledger's floor are refused, so that their records can be
/// dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunEpoch(pub u64);

impl fmt::Display for RunEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One attempt at a request, delivered to a single incarnation of a single side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// Request that is attempted.
    pub request: RequestId,
    /// Number of the attempt, unique per request.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}

/// The incarnation and epoch of the side process that an order is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunGrant {
    /// Incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// Epoch that the side process had announced when the grant was issued.
    pub epoch: RunEpoch,
}

/// A connection from an entry process, numbered by the side process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a run may share the engine with other runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunIsolation {
    /// The run may be batched with other runs.
    Shared,
    /// The run is suspected of crashing engines; no other run is at the engine at the same time.
    Alone,
}

/// An order from an entry process to run one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrder {
    /// Attempt to run.
    pub id: RunId,
    /// Incarnation and epoch that the order is addressed to.
    pub grant: RunGrant,
    /// Connection on which the order arrived.
    pub link: LinkId,
    /// Fingerprint of the request, reported if the engine crashes during the run.
    pub fingerprint: RequestFingerprint,
    /// Time at which the run is cancelled if it has not ended.
    pub deadline: Instant,
    /// Whether the run may share the engine with other runs.
    pub isolation: RunIsolation,
}

/// An order to stop one attempt, or to refuse it if it arrives later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelOrder {
    /// Attempt to cancel.
    pub id: RunId,
    /// Grant of the order that is cancelled.
    pub grant: RunGrant,
    /// Connection on which the cancel arrived.
    pub link: LinkId,
}

/// How much of a request was sent to the engine before the hand-over failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// The engine received no part of the request.
    NotTaken,
    /// The engine may have received a part of the request.
    PartlySent,
}

/// How a run at the engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEnd {
    /// The engine sent the complete answer.
    Complete,
    /// The engine failed or truncated its answer; the code says which.
    Failed(ResultCode),
    /// The engine confirmed the cancel.
    Cancelled,
}

/// Why the side process drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainCause {
    /// The VM list marks the VM as leaving.
    VmLeaving,
    /// The process received a termination signal.
    Signal,
}

/// Input of the run ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// An entry process orders a run.
    Order(RunOrder),
    /// An entry process cancels a run.
    Cancel(CancelOrder),
    /// The driver could not send a run to the engine.
    HandOverFailed {
        /// Attempt that failed.
        id: RunId,
        /// How much was sent.
        sent: SendState,
    },
    /// The engine sent a chunk of an answer.
    Chunk {
        /// Attempt that is answered.
        id: RunId,
        /// Bytes of the chunk.
        body: Bytes,
    },
    /// The engine ended a run.
    End {
        /// Attempt that ended.
        id: RunId,
        /// How it ended.
        end: EngineEnd,
    },
    /// The engine crashed; all calls to it have ended.
    EngineCrashed,
    /// The engine accepts calls again.
    EngineReady,
    /// The connection to an entry process is lost.
    LinkLost(LinkId),
    /// The side process starts to drain.
    Drain(DrainCause),
    /// A timer fired; deadlines and the epoch are checked.
    Tick,
}

/// Output of the run ledger, performed by its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAction {
    /// Send the request to the engine.
    HandOver {
        /// Attempt to send.
        id: RunId,
    },
    /// Report to the entry process that the attempt ended without a complete answer.
    Refuse {
        /// Attempt that is refused.
        id: RunId,
        /// Connection to reply on.
        link: LinkId,
        /// Reason; its run state holds for this incarnation of this side process only.
        code: ResultCode,
    },
    /// Cancel the attempt at the engine.
    CancelAtEngine {
        /// Attempt to cancel.
        id: RunId,
    },
    /// Acknowledge a cancel.
    AckCancel {
        /// Attempt that is cancelled.
        id: RunId,
        /// Connection to reply on.
        link: LinkId,
        /// Whether this side process may have run the attempt.
        state: RunState,
    },
    /// Send a chunk of the answer.
    Forward {
        /// Attempt that is answered.
        id: RunId,
        /// Connection to reply on.
        link: LinkId,
        /// Position of the chunk in the answer, in bytes.
        offset: u64,
        /// Bytes of the chunk.
        body: Bytes,
    },
    /// Send the explicit end of a complete answer.
    Finish {
        /// Attempt that is answered.
        id: RunId,
        /// Connection to reply on.
        link: LinkId,
        /// Length of the answer, in bytes.
        length: u64,
    },
    /// Report the runs in flight at a crash to their entry processes.
    ReportCrash(CrashReport),
    /// The drain has completed: no run is active, and the process may exit.
    DrainEnded,
}

/// A run in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Attempt that was at the engine.
    pub id: RunId,
    /// Connection on which its order arrived.
    pub link: LinkId,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
}

/// The runs in flight at one crash of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// Number of the crash in that incarnation, from one.
    pub crash: u64,
    /// The runs, in ascending order of their ids.
    pub runs: Vec<CrashedRun>,
}
