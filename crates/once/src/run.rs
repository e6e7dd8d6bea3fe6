//! Messages of the run ledger: what it is told and what it asks its driver to do.

use std::fmt;

use base::prelude::*;
use bytes::Bytes;

use crate::fingerprint::RequestFingerprint;

/// A period of a side process's life.
///
/// The side process announces its current epoch, and an order names the epoch it was granted in.
/// Runs of epochs below the ledger's floor are refused, so that they may be forgotten.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunEpoch(pub u64);

impl fmt::Display for RunEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One attempt at one request; each is delivered to one life of one side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}

/// The life and epoch of the side process that an order is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunGrant {
    /// Life of the side process.
    pub incarnation: ProcessIncarnation,
    /// Epoch announced when the grant was given.
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

/// Whether a run may share the engine with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunIsolation {
    /// The run is batched with others.
    Shared,
    /// The run is suspected of crashing engines and runs with no other beside it.
    Alone,
}

/// An order to run one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrder {
    /// The attempt.
    pub id: RunId,
    /// Life and epoch the order is meant for.
    pub grant: RunGrant,
    /// Connection the order came by.
    pub link: LinkId,
    /// Fingerprint named at a crash.
    pub fingerprint: RequestFingerprint,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Whether the run may share the engine.
    pub isolation: RunIsolation,
}

/// An order to stop one request, or never to start it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelOrder {
    /// The attempt.
    pub id: RunId,
    /// The grant of the order that is cancelled.
    pub grant: RunGrant,
    /// Connection the order came by.
    pub link: LinkId,
}

/// How far a failed hand-over got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// The engine took no part of the request.
    NotTaken,
    /// The engine may have taken some of it.
    PartlySent,
}

/// How the engine ended a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEnd {
    /// The engine sent the whole answer.
    Complete,
    /// The engine failed or cut its answer; the code says how.
    Failed(ResultCode),
    /// The engine confirmed a cancel.
    Cancelled,
}

/// Why the side process leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainCause {
    /// The VM list marks the VM as leaving.
    VmLeaving,
    /// The process was sent a signal.
    Signal,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// An entry process orders a run.
    Order(RunOrder),
    /// An entry process cancels a run.
    Cancel(CancelOrder),
    /// The driver could not hand a run over.
    HandOverFailed {
        /// The attempt.
        id: RunId,
        /// How far it got.
        sent: SendState,
    },
    /// The engine sent a part of an answer.
    Chunk {
        /// The attempt.
        id: RunId,
        /// The part.
        body: Bytes,
    },
    /// The engine ended a run.
    End {
        /// The attempt.
        id: RunId,
        /// How it ended.
        end: EngineEnd,
    },
    /// The engine crashed; every call to it is over.
    EngineCrashed,
    /// The engine takes calls again.
    EngineReady,
    /// The connection to an entry process is lost.
    LinkLost(LinkId),
    /// The side process is to leave.
    Drain(DrainCause),
    /// Some time has passed.
    Tick,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAction {
    /// Send the request to the engine.
    HandOver {
        /// The attempt.
        id: RunId,
    },
    /// Tell the entry process that the request has ended without its whole answer.
    Refuse {
        /// The attempt.
        id: RunId,
        /// Connection to answer by.
        link: LinkId,
        /// Reason; its run state speaks for this incarnation of this side process.
        code: ResultCode,
    },
    /// Cancel the request at the engine.
    CancelAtEngine {
        /// The attempt.
        id: RunId,
    },
    /// Answer a cancel.
    AckCancel {
        /// The attempt.
        id: RunId,
        /// Connection to answer by.
        link: LinkId,
        /// Whether this side process can have run the request.
        state: RunState,
    },
    /// Send a part of the answer.
    Forward {
        /// The attempt.
        id: RunId,
        /// Connection to answer by.
        link: LinkId,
        /// Bytes of the answer before this part.
        offset: u64,
        /// The part.
        body: Bytes,
    },
    /// Send the explicit end of a whole answer.
    Finish {
        /// The attempt.
        id: RunId,
        /// Connection to answer by.
        link: LinkId,
        /// Length of the answer, in bytes.
        length: u64,
    },
    /// Report the runs in flight at a crash to their entry processes.
    ReportCrash(CrashReport),
    /// No run is in flight any more; the process may end.
    DrainEnded,
}

/// A run in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The attempt.
    pub id: RunId,
    /// Connection it came by.
    pub link: LinkId,
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
}

/// The runs in flight at one crash of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Life of the side process.
    pub incarnation: ProcessIncarnation,
    /// Number of the crash in that life, from one.
    pub crash: u64,
    /// The runs, in the order of their ids.
    pub runs: Vec<CrashedRun>,
}
