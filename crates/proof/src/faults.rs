//! Faults of the matrix and the processes that they are injected into.

use std::{fmt, str::FromStr, time::Duration};

use snafu::Snafu;

use crate::{fleet::Fleet, nodes::SystemNode};

/// The name of a fault, step or cell is unknown.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{name:?} is not the name of a fault, step or cell"))]
pub struct NameError {
    name: String,
}

impl NameError {
    /// Creates an error about `name`.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned() }
    }
}

/// Kind of an injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The process is killed, and restarted when the fault ends.
    Kill,
    /// The process is suspended for a short time.
    Freeze,
    /// Connections to the peer port of the process are dropped.
    Cut,
    /// Connections to the peer port of the process stay open but carry nothing.
    HalfOpen,
    /// The platform refuses every call.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow,
    /// Writes to the platform take effect but lose their answers.
    AnswerLost,
    /// The weight store serves weights slowly.
    WeightsSlow,
    /// A VM is listed as leaving and removed a few seconds later.
    VmReclaimed,
    /// A VM fails while the VM list still contains it.
    ListLate,
    /// The process is suspended until its peers consider it failed, and then resumed.
    LeaseLapsed,
    /// Two operators edit the lists at the same time.
    RacingEdits,
    /// A request crashes every engine that runs it, and its caller retries it.
    PoisonRequest,
}

impl FaultKind {
    /// All faults, in the order of the matrix.
    pub const ALL: [FaultKind; 13] = [
        FaultKind::Kill,
        FaultKind::Freeze,
        FaultKind::Cut,
        FaultKind::HalfOpen,
        FaultKind::PlatformDown,
        FaultKind::PlatformSlow,
        FaultKind::AnswerLost,
        FaultKind::WeightsSlow,
        FaultKind::VmReclaimed,
        FaultKind::ListLate,
        FaultKind::LeaseLapsed,
        FaultKind::RacingEdits,
        FaultKind::PoisonRequest,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::Freeze => "freeze",
            FaultKind::Cut => "cut",
            FaultKind::HalfOpen => "half-open",
            FaultKind::PlatformDown => "platform-down",
            FaultKind::PlatformSlow => "platform-slow",
            FaultKind::AnswerLost => "answer-lost",
            FaultKind::WeightsSlow => "weights-slow",
            FaultKind::VmReclaimed => "vm-reclaimed",
            FaultKind::ListLate => "list-late",
            FaultKind::LeaseLapsed => "lease-lapsed",
            FaultKind::RacingEdits => "racing-edits",
            FaultKind::PoisonRequest => "poison-request",
        }
    }

    /// Time from the injection to the end of the fault.
    pub fn duration(self) -> Duration {
        let millis = match self {
            FaultKind::Kill => 1_000,
            FaultKind::Freeze | FaultKind::Cut => 1_500,
            FaultKind::HalfOpen => 5_000,
            FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::WeightsSlow => 4_000,
            FaultKind::AnswerLost | FaultKind::RacingEdits => 2_000,
            FaultKind::VmReclaimed => 500,
            FaultKind::ListLate => 4_000,
            FaultKind::LeaseLapsed => 6_000,
            FaultKind::PoisonRequest => 8_000,
        };
        Duration::from_millis(millis)
    }

    /// Whether the fault kills or suspends its target.
    pub fn stops_process(self) -> bool {
        matches!(
            self,
            FaultKind::Kill
                | FaultKind::Freeze
                | FaultKind::VmReclaimed
                | FaultKind::ListLate
                | FaultKind::LeaseLapsed
        )
    }

    /// Whether the fault can break a streamed answer that its target is sending.
    pub fn breaks_streams(self) -> bool {
        let is_cut = matches!(self, FaultKind::Cut | FaultKind::HalfOpen);
        self.stops_process() || is_cut || self == FaultKind::PoisonRequest
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for FaultKind {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::ALL.into_iter().find(|fault| fault.name() == text).ok_or(NameError::new(text))
    }
}

/// The process that a fault is injected into, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// An entry process.
    Entry(usize),
    /// The side process of an engine.
    Engine(usize),
    /// The side process of a replica of the plain service.
    ServiceReplica(usize),
}

impl FaultTarget {
    /// The node in `fleet`; `None` if the index is out of range.
    pub fn node(self, fleet: &mut Fleet) -> Option<&mut SystemNode> {
        match self {
            FaultTarget::Entry(index) => fleet.entries.get_mut(index),
            FaultTarget::Engine(index) => fleet.engines.get_mut(index).map(|pair| &mut pair.side),
            FaultTarget::ServiceReplica(index) => {
                fleet.service_replicas.get_mut(index).map(|pair| &mut pair.side)
            }
        }
    }
}
