//! Requests, decisions and failures that pass between the dispatcher and its driver.

use std::fmt;

use base::prelude::*;
use catalog::{RouteKind, RouteName, WorkspaceName};
use limits::LimitQuery;
use roster::{IncarnationStart, InstanceId, SoftwareVersion};
use suspects::{RequestBlock, SuspectKeys};

use crate::{call::Generation, waiting::LoadEstimate};

/// A request to be dispatched.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Route of the request.
    pub route: RouteName,
    /// Form of the answer and whether the request may be retried.
    pub kind: RouteKind,
    /// Service that handles it.
    pub service: ServiceName,
    /// Generation parameters; none for plain services.
    pub generation: Option<Generation>,
    /// Software version that began the stream, the only one that may go on with it; none for a
    /// stream that has not begun, and for other answers.
    pub software: Option<SoftwareVersion>,
    /// When the entry received it.
    pub arrived: Instant,
    /// Latency goal of its route.
    pub goal: Duration,
    /// When its caller gives up if no first byte has come.
    pub first_byte_deadline: Instant,
    /// Deadline of its answer.
    pub deadline: Instant,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Workspace of its caller; none where callers have none.
    pub workspace: Option<WorkspaceName>,
    /// Maximum number of backend servers on which it may run.
    pub max_attempts: u32,
    /// Keys by which it is recognized if it crashes backend servers.
    pub suspect_keys: SuspectKeys,
    /// Size of its body, which a backend server holds until it answers.
    pub body: ByteSize,
}

/// The backend server of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Name of the backend server.
    pub server: InstanceId,
    /// Start of its incarnation; none if it is not registered with one.
    pub started: Option<IncarnationStart>,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Address of the backend server.
    pub address: std::net::SocketAddr,
    /// Number of the attempt, starting from one.
    pub attempt: u32,
    /// Estimated number of requests there, without this one.
    pub load: u32,
    /// Age of the last reported load there.
    pub load_age: Duration,
    /// Expected time from now to the first byte.
    pub expected_first_byte: Duration,
    /// Whether a permit of the side process is needed before the request is sent.
    pub needs_permit: bool,
    /// When the wait for the permit ends.
    pub permit_deadline: Instant,
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// No engine holds the model.
    ModelMissing,
    /// The engines that hold the model are busy with the prefill of other prompts.
    PrefillBusy,
    /// No backend server is usable at the moment.
    NoServer,
    /// All backend servers that could take the request want none for a moment.
    ServersPaused,
    /// All backend servers that could take the request name a limit, and this entry may not send one
    /// yet.
    ServersLimited,
    /// All backend servers that could take the request hold as many bodies of this entry as they may.
    ServersFull,
}

impl WaitReason {
    /// Name in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::ModelMissing => "model-missing",
            WaitReason::PrefillBusy => "engines-reading",
            WaitReason::NoServer => "no-server",
            WaitReason::ServersPaused => "servers-paused",
            WaitReason::ServersLimited => "servers-limited",
            WaitReason::ServersFull => "servers-full",
        }
    }
}

/// Refusal of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Result code of the answer.
    pub code: ResultCode,
    /// Time after which the caller may retry; none if unspecified.
    pub retry_after: Option<Duration>,
    /// Cause, for the decision log and the caller.
    pub reason: &'static str,
    /// Load estimate of its model, if the refusal is based on it.
    pub estimate: Option<LoadEstimate>,
}

impl Refusal {
    /// Refusal because the process is stopping. The caller may return after `retry_after`, to
    /// another entry.
    pub fn stopping(retry_after: Duration) -> Self {
        Self::with_retry_after(ResultCode::ProcessStopping, retry_after, "the process is stopping")
    }

    /// A refusal without a retry-after.
    pub fn new(code: ResultCode, reason: &'static str) -> Self {
        Self { code, retry_after: None, reason, estimate: None }
    }

    /// Adds the load estimate on which the refusal is based.
    pub fn with_estimate(self, estimate: LoadEstimate) -> Self {
        Self { estimate: Some(estimate), ..self }
    }

    /// A refusal with a retry-after.
    pub fn with_retry_after(code: ResultCode, retry_after: Duration, reason: &'static str) -> Self {
        Self { code, retry_after: Some(retry_after), reason, estimate: None }
    }
}

/// Next step of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchDecision {
    /// It is sent to a backend server.
    Send(Assignment),
    /// It waits, about until the given time if that is known; another decision follows.
    Wait(WaitReason, Option<Instant>),
    /// It is refused or has failed for good.
    Refuse(Refusal),
}

/// An action that the driver has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// The waiting request with this key has a new decision.
    Decide(u64, DispatchDecision),
    /// An answer has cleared keys of these blocks; the other entries have to know.
    ShareBlocks(Vec<RequestBlock>),
    /// The entry that shares out the limit of a backend server has to be asked or told.
    QueryLimit(LimitQuery),
    /// Requests broke off at this backend server before their answers began; it has to be probed.
    Probe {
        /// Name of the backend server.
        server: InstanceId,
        /// Address of the backend server.
        address: std::net::SocketAddr,
    },
}

/// Why a request that was assigned to a backend server may not be sent there any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendObstacle {
    /// The process is about to end.
    ProcessEnds,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// Requests like it crashed backend servers.
    Blocked,
    /// The backend server is no longer listed, or at another address.
    ServerLeft,
    /// The backend server drains.
    ServerDrains,
    /// The engine of the backend server does not respond, or has restarted.
    ServerDown,
    /// The backend server wants no requests for a while.
    ServerPaused,
    /// The backend server names a limit, and the request has no slot there.
    ServerLimited,
    /// The backend server has another software version than when it was chosen.
    SoftwareChanged,
}

impl fmt::Display for SendObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendObstacle::ProcessEnds => "not sent, the process ends",
            SendObstacle::DeadlinePassed => "not sent, the deadline has passed",
            SendObstacle::Blocked => "not sent, requests like it crashed backend servers",
            SendObstacle::ServerLeft => "not sent, the backend server has left",
            SendObstacle::ServerDrains => "not sent, the backend server drains",
            SendObstacle::ServerDown => "not sent, the backend server is down",
            SendObstacle::ServerPaused => "not sent, the backend server wants no requests",
            SendObstacle::ServerLimited => "not sent, the backend server names a limit",
            SendObstacle::SoftwareChanged => "not sent, the backend server has another version",
        })
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// The backend server states that it did not run the request because it has no free capacity.
    Full,
    /// The backend server states that it does not hold the model or the adapter, or that it is not
    /// the expected one.
    Misdirected,
    /// The backend server ran the request and reports a failure.
    Failed,
    /// The connection broke before the answer began: the backend server may have crashed.
    Severed,
    /// The outcome is unknown for another reason; the request may have run.
    Lost,
    /// The request was not sent, because its caller may not run it any more by the current
    /// configuration.
    KeyRevoked,
    /// The request was not sent, because its backend server or the request itself was ruled out while
    /// the connection was opened.
    Withdrawn,
}

impl AttemptFailure {
    /// Name in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::Full => "full",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Failed => "failed",
            AttemptFailure::Severed => "severed",
            AttemptFailure::Lost => "lost",
            AttemptFailure::KeyRevoked => "key-revoked",
            AttemptFailure::Withdrawn => "withdrawn",
        }
    }

    /// Whether the backend server may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, AttemptFailure::Failed | AttemptFailure::Severed | AttemptFailure::Lost)
    }
}
