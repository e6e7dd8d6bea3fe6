//! Injects faults into the fleet and records them for the checks.

pub mod power_loss;

use std::{sync::Arc, time::Duration};

use base::prelude::Instant;
use platform_standin::{EngineFault, ServiceFault, StoreFault, StoreStandin};
use proof::{
    process::ManagedProcess,
    relay::{RelayMode, TcpRelay},
};
use tokio::{sync::Mutex, time};

use self::power_loss::{LossRecord, lose_power};
use crate::{
    fleet::{FIRST_EVENT, Fleet, STOP_GRACE},
    plan::{Fault, LinkFault, PowerLoss, ScheduledFault, StoreFaultKind, Target},
};

/// Delay of each chunk on a slow connection.
const LINK_DELAY: Duration = Duration::from_millis(120);
/// Delay of each call to a slow store.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Number of streams, orders or answers affected by one fault.
const FAULT_COUNT: u32 = 3;

/// What a server names that takes a limited number of requests a second.
const LIMIT: &str = "2";
/// Time for which the store is away while it is restored.
const RESTORE_TIME: Duration = Duration::from_millis(300);
/// Time after a restore in which servers and operators write what was lost again.
const REWRITE_DELAY: Duration = Duration::from_millis(600);

/// Faults injected into the fleet, as needed by the checks.
#[derive(Debug, Clone, Default)]
pub struct FaultLog {
    /// Start and end of each fault that killed, suspended or restarted a process or affected its
    /// connections to the store.
    pub process_faults: Vec<(Target, Instant, Instant)>,
    /// Start and end of each fault that killed or suspended a process.
    pub outages: Vec<(Target, Instant, Instant)>,
    /// Planned stops: time of SIGTERM, and whether the process then exited in time with status 0.
    pub stops: Vec<(Target, Instant, bool)>,
    /// Plain backend servers that drain, by index, and when the store listed them as draining.
    pub drained: Vec<(usize, Instant)>,
    /// Prefixes of the routes that were added, and when.
    pub added_routes: Vec<(String, Instant)>,
    /// Plain backend servers that named a limit, by index, from when on and until when.
    pub limits: Vec<(usize, Instant, Instant)>,
    /// Losses of power of all VMs, those aside that another loss took over.
    pub losses: Vec<LossRecord>,
    /// Start and end of each fault of the store.
    pub store_faults: Vec<(Instant, Instant)>,
    /// Start and end of each fault of backend servers or of the links to them.
    pub backend_faults: Vec<(Instant, Instant)>,
    /// Processes that exited unexpectedly or did not restart, backend servers that did not start,
    /// and tasks that failed to inject a fault.
    pub failures: Vec<String>,
}

/// Fleet and fault log of one run, shared by its tasks.
pub struct SoakRun {
    /// Fleet that faults are injected into.
    pub fleet: Mutex<Fleet>,
    /// Faults injected so far.
    pub fault_log: Mutex<FaultLog>,
}

fn relay_mode(fault: LinkFault) -> RelayMode {
    match fault {
        LinkFault::Cut => RelayMode::Cut,
        LinkFault::Silent => RelayMode::Stalled,
        LinkFault::OneWay => RelayMode::OneWay,
        LinkFault::Slow => RelayMode::Delayed(LINK_DELAY),
    }
}

/// Injects one fault, waits for its duration and clears it.
pub async fn inject(run: Arc<SoakRun>, scheduled: ScheduledFault) {
    let began = Instant::now();
    let duration = scheduled.duration;
    match scheduled.fault {
        Fault::Kill(target) => kill(&run, target, duration).await,
        Fault::Freeze(target) => freeze(&run, target, duration).await,
        Fault::Restart(target) => restart(&run, target).await,
        Fault::StoreLink(target, fault) => {
            inject_link_fault(&run, |fleet| &fleet.process_mut(target).store_link, fault, duration)
                .await;
            run.fault_log.lock().await.process_faults.push((target, began, Instant::now()));
        }
        Fault::EngineLink(index, fault) => {
            inject_link_fault(&run, |fleet| &fleet.engines[index].link, fault, duration).await;
        }
        Fault::ServiceLink(index, fault) => {
            inject_link_fault(&run, |fleet| &fleet.services[index].link, fault, duration).await;
        }
        Fault::Store(kind) => {
            inject_store_fault(&run, kind, duration).await;
            let ended = Instant::now();
            run.fault_log.lock().await.store_faults.push((began, ended));
        }
        Fault::EngineCrash(index) => {
            let incarnation = 2 + u64::try_from(began.elapsed().as_nanos()).unwrap_or(0);
            let fleet = run.fleet.lock().await;
            fleet.engines[index].engine.crash(incarnation + fleet.engines[index].engine.orders());
            fleet.publish_engine(index);
        }
        Fault::EngineSilent(index) => {
            let fault = EngineFault { is_unresponsive: true, ..EngineFault::default() };
            set_engine_fault(&run, index, fault).await;
            time::sleep(duration).await;
            set_engine_fault(&run, index, EngineFault::default()).await;
        }
        Fault::EngineBusy(index, delay) => {
            let engine = run.fleet.lock().await.engines[index].engine.clone();
            engine.set_first_event(delay);
            time::sleep(duration).await;
            engine.set_first_event(FIRST_EVENT);
            // Streams that it began meanwhile are still late.
            time::sleep(delay).await;
        }
        Fault::BrokenStreams(index) => {
            let fault = EngineFault {
                broken_streams: FAULT_COUNT,
                broken_heads: 1,
                ..EngineFault::default()
            };
            set_engine_fault(&run, index, fault).await;
        }
        Fault::LostOrders(index) => {
            let fault =
                EngineFault { dropped_order_answers: FAULT_COUNT, ..EngineFault::default() };
            set_engine_fault(&run, index, fault).await;
        }
        Fault::ServiceSilent(index) => {
            let fault = ServiceFault { is_unresponsive: true, ..ServiceFault::default() };
            set_service_fault(&run, index, fault).await;
            time::sleep(duration).await;
            set_service_fault(&run, index, ServiceFault::default()).await;
        }
        Fault::LostAnswers(index) => {
            let fault = ServiceFault { dropped_answers: FAULT_COUNT, ..ServiceFault::default() };
            set_service_fault(&run, index, fault).await;
        }
        Fault::CrossedAnswers(index) => {
            let fault = ServiceFault { mismatched_ids: FAULT_COUNT, ..ServiceFault::default() };
            set_service_fault(&run, index, fault).await;
        }
        Fault::Refusals(index) => {
            let fault = ServiceFault { refusals: FAULT_COUNT, ..ServiceFault::default() };
            set_service_fault(&run, index, fault).await;
        }
        Fault::Pause(index) => {
            let fault = ServiceFault {
                refusals: FAULT_COUNT,
                retry_after: Some("1"),
                ..ServiceFault::default()
            };
            set_service_fault(&run, index, fault).await;
        }
        Fault::Limit(index) => {
            set_limit(&run, index, Some(LIMIT)).await;
            time::sleep(duration).await;
            let ended = Instant::now();
            set_limit(&run, index, None).await;
            run.fault_log.lock().await.limits.push((index, began, ended));
        }
        Fault::LeavingAnswers(index) => {
            let fault = ServiceFault { is_leaving: true, ..ServiceFault::default() };
            set_service_fault(&run, index, fault).await;
            time::sleep(duration).await;
            drain_server(&run, index).await;
        }
        Fault::Leaving(index) => drain_server(&run, index).await,
        Fault::NewRoute => add_route(&run).await,
        Fault::PowerLoss(loss) => lose_power(&run, loss, duration).await,
        Fault::HangUp(target) => {
            if let Some(process) = &run.fleet.lock().await.process_mut(target).running {
                // Another fault may have ended it; unexpected exits are found after the run.
                let _ = process.hang_up();
            }
        }
    }
    if affects_backends(scheduled.fault) {
        let ended = Instant::now() + Duration::from_secs(1);
        run.fault_log.lock().await.backend_faults.push((began, ended));
    }
}

fn affects_backends(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::EngineLink(..)
            | Fault::ServiceLink(..)
            | Fault::EngineCrash(_)
            | Fault::EngineSilent(_)
            | Fault::BrokenStreams(_)
            | Fault::ServiceSilent(_)
            | Fault::LostAnswers(_)
            | Fault::CrossedAnswers(_)
            | Fault::PowerLoss(PowerLoss { with_engines: true, .. })
    )
}

async fn inject_link_fault(
    run: &SoakRun,
    link: impl Fn(&mut Fleet) -> &TcpRelay,
    fault: LinkFault,
    duration: Duration,
) {
    link(&mut *run.fleet.lock().await).set_mode(relay_mode(fault));
    time::sleep(duration).await;
    link(&mut *run.fleet.lock().await).set_mode(RelayMode::Open);
}

/// Takes a process that a fault ends; it is claimed until [`release_process`]. `None` if it does not
/// run.
async fn take_process(run: &SoakRun, target: Target) -> Option<ManagedProcess> {
    let mut fleet = run.fleet.lock().await;
    run.fault_log.lock().await.failures.extend(fleet.take_exit(target));
    let process = fleet.process_mut(target);
    let running = process.running.take();
    process.is_claimed |= running.is_some();
    running
}

async fn release_process(run: &SoakRun, target: Target) {
    run.fleet.lock().await.process_mut(target).is_claimed = false;
}

async fn kill(run: &SoakRun, target: Target, duration: Duration) {
    let began = Instant::now();
    let Some(mut process) = take_process(run, target).await else { return };
    process.kill().await;
    release_process(run, target).await;
    time::sleep(duration).await;
    restart_process(run, target).await;
    record_outage(run, target, began).await;
}

async fn freeze(run: &SoakRun, target: Target, duration: Duration) {
    let began = Instant::now();
    let was_frozen = match &mut run.fleet.lock().await.process_mut(target).running {
        Some(process) => process.freeze().is_ok(),
        None => false,
    };
    if !was_frozen {
        return;
    }
    time::sleep(duration).await;
    if let Some(process) = &mut run.fleet.lock().await.process_mut(target).running {
        // Another fault may have killed it in the meantime.
        let _ = process.resume();
    }
    record_outage(run, target, began).await;
}

async fn record_outage(run: &SoakRun, target: Target, began: Instant) {
    let mut fault_log = run.fault_log.lock().await;
    let ended = Instant::now();
    fault_log.process_faults.push((target, began, ended));
    fault_log.outages.push((target, began, ended));
}

async fn restart(run: &SoakRun, target: Target) {
    let mut power = run.fleet.lock().await.power.subscribe();
    let losses = power.borrow().losses;
    let Some(mut process) = take_process(run, target).await else { return };
    let signalled = Instant::now();
    let is_clean = match process.is_frozen() {
        // A suspended process cannot handle SIGTERM; it is killed, as the platform would do.
        true => None,
        false if process.terminate().is_ok() => tokio::select! {
            biased;
            exit = process.wait_for_exit(STOP_GRACE) => exit,
            _ = power.wait_for(|power| power.losses != losses) => None,
        },
        false => None,
    };
    if is_clean.is_none() {
        process.kill().await;
    }
    release_process(run, target).await;
    restart_process(run, target).await;
    let mut fault_log = run.fault_log.lock().await;
    // A stop that a loss of power cut short is none.
    if is_clean.is_some() || power.borrow().losses == losses {
        fault_log.stops.push((target, signalled, is_clean == Some(true)));
    }
    fault_log.process_faults.push((target, signalled + STOP_GRACE, Instant::now()));
}

async fn restart_process(run: &SoakRun, target: Target) {
    if let Err(error) = run.fleet.lock().await.restart_process(target).await {
        run.fault_log.lock().await.failures.push(format!("{target} failed to restart: {error}"));
    }
}

async fn inject_store_fault(run: &SoakRun, kind: StoreFaultKind, duration: Duration) {
    let store = run.fleet.lock().await.store.clone();
    match kind {
        StoreFaultKind::Busy => store.set_fault(StoreFault::Busy),
        StoreFaultKind::Silent => store.set_fault(StoreFault::Unresponsive),
        StoreFaultKind::Reset => store.set_fault(StoreFault::Reset),
        StoreFaultKind::Slow => store.set_delay(STORE_DELAY),
        StoreFaultKind::LostAnswers => store.drop_answers(FAULT_COUNT),
        StoreFaultKind::Compacted => store.compact(),
        StoreFaultKind::Restored => store.back_up(),
    }
    time::sleep(duration).await;
    match kind {
        StoreFaultKind::Busy | StoreFaultKind::Silent | StoreFaultKind::Reset => {
            store.set_fault(StoreFault::None);
        }
        StoreFaultKind::Slow => store.set_delay(Duration::ZERO),
        StoreFaultKind::LostAnswers | StoreFaultKind::Compacted => {}
        StoreFaultKind::Restored => restore_store(run, &store).await,
    }
}

async fn restore_store(run: &SoakRun, store: &StoreStandin) {
    store.set_fault(StoreFault::Reset);
    store.restore();
    time::sleep(RESTORE_TIME).await;
    store.set_fault(StoreFault::None);
    time::sleep(REWRITE_DELAY).await;
    let fleet = run.fleet.lock().await;
    let fault_log = run.fault_log.lock().await;
    (0..fleet.engines.len()).for_each(|index| fleet.publish_engine(index));
    for index in 0..fleet.services.len() {
        let is_drained = fault_log.drained.iter().any(|(drained, _)| *drained == index);
        fleet.publish_service(index, if is_drained { "draining" } else { "ready" });
    }
    fleet.publish_catalog();
}

async fn set_limit(run: &SoakRun, index: usize, limit: Option<&'static str>) {
    run.fleet.lock().await.services[index].service.set_limit(limit);
}

async fn set_engine_fault(run: &SoakRun, index: usize, fault: EngineFault) {
    run.fleet.lock().await.engines[index].engine.set_fault(fault);
}

async fn set_service_fault(run: &SoakRun, index: usize, fault: ServiceFault) {
    run.fleet.lock().await.services[index].service.set_fault(fault);
}

async fn drain_server(run: &SoakRun, index: usize) {
    let mut fleet = run.fleet.lock().await;
    let mut fault_log = run.fault_log.lock().await;
    if fault_log.drained.iter().any(|(drained, _)| *drained == index) {
        return;
    }
    if let Err(error) = fleet.add_service().await {
        fault_log.failures.push(format!("new backend server failed to start: {error}"));
    }
    fleet.publish_service(index, "draining");
    fault_log.drained.push((index, Instant::now()));
}

async fn add_route(run: &SoakRun) {
    let mut fleet = run.fleet.lock().await;
    add_route_to(&mut fleet, &mut *run.fault_log.lock().await);
}

fn add_route_to(fleet: &mut Fleet, fault_log: &mut FaultLog) {
    let prefix = format!("/added-{}/", fleet.added_routes.len());
    fleet.added_routes.push(prefix.clone());
    fleet.version += 3;
    fleet.publish_catalog();
    fault_log.added_routes.push((prefix, Instant::now()));
}
