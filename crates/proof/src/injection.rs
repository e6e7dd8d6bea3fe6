//! Injection of faults into a running fleet, and their end.

use std::time::Duration;

use base::clock::since_epoch;
use object_api::VmState;
use serde::Serialize;
use standin::{
    engine::EngineFault, platform::PlatformFault, service::ServiceFault, weights::WeightFault,
};
use tokio::time;

use crate::{
    admin,
    faults::{FaultKind, FaultTarget},
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
    T: Serialize + Sync,
{
    Ok(admin::replace(server.address("http")?, "/admin/fault", fault).await?)
}

fn node(fleet: &mut Fleet, target: FaultTarget) -> &mut SystemNode {
    target.node(fleet).expect("targets are chosen among the nodes of the fleet")
}

/// Freezes the process, unless an earlier fault has ended it.
fn freeze(node: &mut SystemNode) -> Result<()> {
    match node.process.is_running() {
        true => Ok(node.process.freeze()?),
        false => Ok(()),
    }
}

fn wake(node: &mut SystemNode) -> Result<()> {
    match node.process.is_running() && node.process.is_frozen() {
        true => Ok(node.process.wake()?),
        false => Ok(()),
    }
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
        FaultKind::Freeze | FaultKind::LeaseLapsed => freeze(node(fleet, target))?,
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
            node(fleet, target).is_gone = true;
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
    node(fleet, target).is_gone = true;
    node(fleet, target).process.kill().await;
    take_backend_down(fleet, target).await?;
    node(fleet, target).delist();
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
        FaultKind::Kill if node(fleet, target).is_gone => {}
        FaultKind::Kill => node(fleet, target).restart().await?,
        FaultKind::Freeze | FaultKind::LeaseLapsed => wake(node(fleet, target))?,
        FaultKind::Cut | FaultKind::HalfOpen => {
            node(fleet, target).peers.set_mode(RelayMode::Open);
        }
        FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::AnswerLost => {
            set(&fleet.platform, &PlatformFault::default()).await?;
        }
        FaultKind::WeightsSlow => set(&fleet.weights, &WeightFault::default()).await?,
        FaultKind::ListLate => {
            node(fleet, target).delist();
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
