//! Faults, their injection and their end.

use std::{fmt, str::FromStr, time::Duration};

use base::clock::since_epoch;
use platform::VmState;
use snafu::Snafu;
use standin::{
    engine::EngineFault, platform::PlatformFault, service::ServiceFault, weights::WeightFault,
};
use tokio::time;

use crate::{
    admin,
    fleet::{Fleet, Result},
    nodes::SystemNode,
    plan::CRASH_MARKER,
    process::ManagedProcess,
    relay::RelayMode,
};

/// Time for which a reclaimed VM is shown as leaving before it is gone.
const RECLAIM_NOTICE: Duration = Duration::from_secs(7);
/// Delay of every call to a slow platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 800;
/// Factor of a slow weight store.
const WEIGHTS_SLOW_FACTOR: f64 = 5.0;
/// Writes whose answers are lost.
const LOST_ANSWERS: u32 = 3;

/// A name of a fault or step is not known.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{name:?} is not known"))]
pub struct NameError {
    name: String,
}

impl NameError {
    /// An error about `name`.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned() }
    }
}

/// Faults of the brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// A process is killed and started again.
    Kill,
    /// A process is frozen for a moment.
    Freeze,
    /// Connections to a process are cut.
    Cut,
    /// Connections to a process stay open but move nothing.
    HalfOpen,
    /// The platform refuses every call.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// Writes to the platform take effect but lose their answers.
    AnswerLost,
    /// The weight store is slow.
    WeightsSlow,
    /// A VM is shown as leaving and then gone.
    VmReclaimed,
    /// A VM is gone while the VM list still shows it.
    ListLate,
    /// A process is frozen until others take it for dead, and then wakes.
    LeaseLapsed,
    /// Two operators edit the lists at the same time.
    RacingEdits,
    /// A request crashes every engine that runs it, and its caller sends it again.
    PoisonRequest,
}

impl FaultKind {
    /// Every fault.
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
    pub fn hold(self) -> Duration {
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

    /// Whether the fault takes the process of its target away, at least for a while.
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

/// The process that a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// An entry process.
    Entry(usize),
    /// The side process of an engine.
    Engine(usize),
    /// The side process of a replica of the plain service.
    Desk(usize),
}

impl FaultTarget {
    fn node(self, fleet: &mut Fleet) -> Option<&mut SystemNode> {
        match self {
            FaultTarget::Entry(index) => fleet.entries.get_mut(index),
            FaultTarget::Engine(index) => fleet.engines.get_mut(index).map(|pair| &mut pair.side),
            FaultTarget::Desk(index) => fleet.desks.get_mut(index).map(|pair| &mut pair.side),
        }
    }
}

async fn take_backend_down(fleet: &Fleet, target: FaultTarget) -> Result<()> {
    match target {
        FaultTarget::Entry(_) => Ok(()),
        FaultTarget::Engine(index) => {
            let fault = EngineFault { down: true, ..EngineFault::default() };
            set(&fleet.engines[index].server, &fault).await
        }
        FaultTarget::Desk(index) => {
            let fault = ServiceFault { down: true, ..ServiceFault::default() };
            set(&fleet.desks[index].server, &fault).await
        }
    }
}

async fn set<T>(server: &ManagedProcess, fault: &T) -> Result<()>
where
    T: serde::Serialize + Sync,
{
    Ok(admin::replace(server.address("http")?, "/admin/fault", fault).await?)
}

fn node(fleet: &mut Fleet, target: FaultTarget) -> &mut SystemNode {
    target.node(fleet).expect("targets are chosen among the nodes of the fleet")
}

/// Injects `fault`. Returns when the platform showed the target as leaving, if it did.
///
/// # Errors
///
/// Fails if a process or stand-in does not react.
pub async fn inject(
    fleet: &mut Fleet,
    fault: FaultKind,
    target: FaultTarget,
) -> Result<Option<u64>> {
    match fault {
        FaultKind::Kill => node(fleet, target).process.kill().await,
        FaultKind::Freeze | FaultKind::LeaseLapsed => node(fleet, target).process.freeze()?,
        FaultKind::Cut => node(fleet, target).peers.set_mode(RelayMode::Cut),
        FaultKind::HalfOpen => node(fleet, target).peers.set_mode(RelayMode::Silent),
        FaultKind::PlatformDown => {
            let down = PlatformFault { down: true, ..PlatformFault::default() };
            set(&fleet.platform, &down).await?;
        }
        FaultKind::PlatformSlow => {
            let delay_ms = PLATFORM_DELAY_MS;
            set(&fleet.platform, &PlatformFault { delay_ms, ..PlatformFault::default() }).await?;
        }
        FaultKind::AnswerLost => {
            let lost_answers = LOST_ANSWERS;
            let fault = PlatformFault { lost_answers, ..PlatformFault::default() };
            set(&fleet.platform, &fault).await?;
        }
        FaultKind::WeightsSlow => {
            let slow_factor = WEIGHTS_SLOW_FACTOR;
            set(&fleet.weights, &WeightFault { slow_factor, ..WeightFault::default() }).await?;
        }
        FaultKind::VmReclaimed => return reclaim(fleet, target).await.map(Some),
        FaultKind::ListLate => {
            node(fleet, target).process.kill().await;
            take_backend_down(fleet, target).await?;
        }
        FaultKind::RacingEdits => {}
        FaultKind::PoisonRequest => {
            let crash_marker = Some(CRASH_MARKER.to_owned());
            let fault = EngineFault { crash_marker, ..EngineFault::default() };
            for pair in &fleet.engines {
                set(&pair.server, &fault).await?;
            }
        }
    }
    Ok(None)
}

async fn reclaim(fleet: &mut Fleet, target: FaultTarget) -> Result<u64> {
    node(fleet, target).listed = Some(VmState::Leaving);
    fleet.publish_vms().await?;
    let leaving_ms = since_epoch().as_millis() as u64;
    time::sleep(RECLAIM_NOTICE).await;
    node(fleet, target).process.kill().await;
    take_backend_down(fleet, target).await?;
    node(fleet, target).listed = None;
    fleet.publish_vms().await?;
    Ok(leaving_ms)
}

/// Ends `fault`.
///
/// # Errors
///
/// Fails if a process or stand-in does not react.
pub async fn heal(fleet: &mut Fleet, fault: FaultKind, target: FaultTarget) -> Result<()> {
    match fault {
        FaultKind::Kill => node(fleet, target).restart().await?,
        FaultKind::Freeze | FaultKind::LeaseLapsed => node(fleet, target).process.wake()?,
        FaultKind::Cut | FaultKind::HalfOpen => {
            node(fleet, target).peers.set_mode(RelayMode::Open);
        }
        FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::AnswerLost => {
            set(&fleet.platform, &PlatformFault::default()).await?;
        }
        FaultKind::WeightsSlow => set(&fleet.weights, &WeightFault::default()).await?,
        FaultKind::ListLate => {
            node(fleet, target).listed = None;
            fleet.publish_vms().await?;
        }
        FaultKind::VmReclaimed | FaultKind::RacingEdits => {}
        FaultKind::PoisonRequest => {
            for pair in &fleet.engines {
                set(&pair.server, &EngineFault::default()).await?;
            }
        }
    }
    Ok(())
}
