//! Injects faults into a running fleet and clears them.

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

/// Time for which a reclaimed VM is listed as leaving before it is removed.
const RECLAIM_NOTICE: Duration = Duration::from_secs(7);
/// Delay of every call to a slow platform.
const PLATFORM_DELAY_MS: u64 = 800;
/// Factor by which reads from a slow weight store take longer.
const WEIGHTS_SLOW_FACTOR: f64 = 5.0;
/// Number of writes that take effect but lose their answers.
const LOST_ANSWER_COUNT: u32 = 3;

async fn stop_backend(fleet: &Fleet, target: FaultTarget) -> Result<()> {
    match target {
        FaultTarget::Entry(_) => Ok(()),
        FaultTarget::Engine(index) => {
            let fault = EngineFault { down: true, ..EngineFault::default() };
            set_fault(&fleet.engines[index].server, &fault).await
        }
        FaultTarget::ServiceReplica(index) => {
            let fault = ServiceFault { down: true, ..ServiceFault::default() };
            set_fault(&fleet.service_replicas[index].server, &fault).await
        }
    }
}

async fn set_fault<T>(server: &ManagedProcess, fault: &T) -> Result<()>
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

fn resume(node: &mut SystemNode) -> Result<()> {
    match node.process.is_running() && node.process.is_frozen() {
        true => Ok(node.process.resume()?),
        false => Ok(()),
    }
}

/// Injects `fault` into `target`. Returns when the platform listed the target as leaving, in
/// milliseconds since the Unix epoch, if the fault reclaims its VM.
///
/// # Errors
///
/// Fails if a process cannot be signalled or a stand-in does not answer.
pub async fn inject(
    fleet: &mut Fleet,
    fault: FaultKind,
    target: FaultTarget,
) -> Result<Option<u64>> {
    match fault {
        FaultKind::Kill => node(fleet, target).process.kill().await,
        FaultKind::Freeze | FaultKind::LeaseLapsed => freeze(node(fleet, target))?,
        FaultKind::Cut => node(fleet, target).peer_relay.set_mode(RelayMode::Cut),
        FaultKind::HalfOpen => node(fleet, target).peer_relay.set_mode(RelayMode::Stalled),
        FaultKind::PlatformDown => {
            let down = PlatformFault { down: true, ..PlatformFault::default() };
            set_fault(&fleet.platform, &down).await?;
        }
        FaultKind::PlatformSlow => {
            let delay_ms = PLATFORM_DELAY_MS;
            set_fault(&fleet.platform, &PlatformFault { delay_ms, ..PlatformFault::default() })
                .await?;
        }
        FaultKind::AnswerLost => {
            let lost_answers = LOST_ANSWER_COUNT;
            let fault = PlatformFault { lost_answers, ..PlatformFault::default() };
            set_fault(&fleet.platform, &fault).await?;
        }
        FaultKind::WeightsSlow => {
            let slow_factor = WEIGHTS_SLOW_FACTOR;
            set_fault(&fleet.weights, &WeightFault { slow_factor, ..WeightFault::default() })
                .await?;
        }
        FaultKind::VmReclaimed => return reclaim(fleet, target).await.map(Some),
        FaultKind::ListLate => {
            node(fleet, target).is_removed = true;
            node(fleet, target).process.kill().await;
            stop_backend(fleet, target).await?;
        }
        FaultKind::RacingEdits => {}
        FaultKind::PoisonRequest => {
            let crash_marker = Some(CRASH_MARKER.to_owned());
            let fault = EngineFault { crash_marker, ..EngineFault::default() };
            for pair in &fleet.engines {
                set_fault(&pair.server, &fault).await?;
            }
        }
    }
    Ok(None)
}

async fn reclaim(fleet: &mut Fleet, target: FaultTarget) -> Result<u64> {
    node(fleet, target).listed_state = Some(VmState::Leaving);
    fleet.publish_vms().await?;
    let leaving_ms = since_epoch().as_millis() as u64;
    time::sleep(RECLAIM_NOTICE).await;
    node(fleet, target).is_removed = true;
    node(fleet, target).process.kill().await;
    stop_backend(fleet, target).await?;
    node(fleet, target).delist();
    fleet.publish_vms().await?;
    Ok(leaving_ms)
}

/// Clears `fault` and restores its target, unless the VM was removed.
///
/// # Errors
///
/// Fails if a process cannot be signalled or restarted, or a stand-in does not answer.
pub async fn clear(fleet: &mut Fleet, fault: FaultKind, target: FaultTarget) -> Result<()> {
    match fault {
        FaultKind::Kill if node(fleet, target).is_removed => {}
        FaultKind::Kill => node(fleet, target).restart().await?,
        FaultKind::Freeze | FaultKind::LeaseLapsed => resume(node(fleet, target))?,
        FaultKind::Cut | FaultKind::HalfOpen => {
            node(fleet, target).peer_relay.set_mode(RelayMode::Open);
        }
        FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::AnswerLost => {
            set_fault(&fleet.platform, &PlatformFault::default()).await?;
        }
        FaultKind::WeightsSlow => set_fault(&fleet.weights, &WeightFault::default()).await?,
        FaultKind::ListLate => {
            node(fleet, target).delist();
            fleet.publish_vms().await?;
        }
        FaultKind::VmReclaimed | FaultKind::RacingEdits => {}
        FaultKind::PoisonRequest => {
            for pair in &fleet.engines {
                set_fault(&pair.server, &EngineFault::default()).await?;
            }
        }
    }
    Ok(())
}
