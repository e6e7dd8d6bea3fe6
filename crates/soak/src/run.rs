//! Runs a plan: starts the fleet and the load, injects the faults and checks the invariants.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use connections::{ConnectSettings, Connection};
use futures::future::join_all;
use proof::binaries::ProgramPaths;
use tokio::{
    sync::{Mutex, mpsc},
    time,
};

use crate::{
    callers::{
        CALLER_TIMEOUT, CallReport, MAX_CALLER_TIMEOUT, hold_connection, request, send_requests,
    },
    checks::{
        DRAIN_LIMIT, Evidence, Violation, check_drained,
        power_losses::{self, RECOVER_TIME},
    },
    fleet::{Fleet, model_names},
    injection::{
        FaultLog, SoakRun, inject,
        power_loss::{READY_LIMIT, find_unready},
    },
    plan::SoakPlan,
};

/// Time for the processes to discover each other before requests are sent.
const WARM_UP: Duration = Duration::from_millis(900);
/// Time after the last fault within which the fleet must recover.
const RECOVERY: Duration = Duration::from_secs(4);
/// Time over which requests count after the fleet must have recovered from a loss of power.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Time between two checks whether a process has ended by itself.
const EXIT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last requests to end after the load has stopped, patient callers aside.
const LAST_REQUESTS: Duration = Duration::from_secs(4);

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct RunOutcome {
    /// Violations of invariants; empty if the run passed.
    pub violations: Vec<Violation>,
    /// Number of requests sent, those of the recovery check aside.
    pub requests: usize,
    /// Number of those answered with status 200.
    pub served: usize,
    /// How service came back after a loss of power, for the report.
    pub recovery: Option<String>,
}

/// Runs `plan` on addresses in 127.30.`subnet`.0/24, with settings and logs in `directory`.
///
/// # Errors
///
/// Fails if the fleet does not start.
pub async fn run_plan(
    plan: &SoakPlan,
    programs: &ProgramPaths,
    directory: &Path,
    subnet: u8,
) -> Result<RunOutcome, std::io::Error> {
    let fleet = Fleet::start(plan, programs, directory, subnet).await?;
    time::sleep(WARM_UP).await;
    let addresses: Vec<_> = (0..plan.gateways).map(|index| fleet.caller_address(index)).collect();
    let run =
        Arc::new(SoakRun { fleet: Mutex::new(fleet), fault_log: Mutex::new(FaultLog::default()) });
    let stop = Arc::new(AtomicBool::new(false));
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for (gateway, address) in addresses.iter().enumerate() {
        let seed = plan.seed ^ (gateway as u64) << 32;
        let sender = sender.clone();
        let stop = Arc::clone(&stop);
        if plan.has_power_loss() {
            let (stop, sender) = (Arc::clone(&stop), sender.clone());
            tokio::spawn(hold_connection(gateway, *address, seed, stop, sender));
        }
        let (address, rate, models) = (*address, plan.rate, model_names(plan.models));
        tokio::spawn(async move {
            send_requests(gateway, address, rate, &models, seed, stop, sender).await;
        });
    }
    drop(sender);
    let drained_watch = tokio::spawn(watch_drained(Arc::clone(&run), plan.last_fault_end()));
    let exit_watch = tokio::spawn(watch_exits(Arc::clone(&run)));
    inject_all(&run, plan).await;
    let back = Instant::now();
    let mut violations = Vec::new();
    if plan.has_power_loss() {
        violations.extend(check_ready(&run, back + READY_LIMIT).await);
        time::sleep_until(back + RECOVER_TIME + COUNTED_TIME).await;
    } else {
        time::sleep(RECOVERY).await;
    }
    violations.extend(check_recovery(&run, &addresses).await);
    stop.store(true, Ordering::Relaxed);
    time::sleep(LAST_REQUESTS).await;
    let reports = collect_reports(&mut receiver).await;
    violations.extend(drained_watch.await.unwrap_or_default());
    exit_watch.abort();
    record_exited_processes(&run).await;
    let fleet = run.fleet.lock().await;
    let fault_log = run.fault_log.lock().await;
    let evidence = Evidence { reports: &reports, fleet: &fleet, fault_log: &fault_log, back };
    let violations = [evidence.check(), violations].concat();
    let is_served = |report: &&CallReport| {
        matches!(report.outcome, crate::callers::CallOutcome::Complete { status: 200, .. })
    };
    let served = reports.iter().filter(is_served).count();
    let recovery = power_losses::describe(&reports, &fault_log.losses, back);
    Ok(RunOutcome { violations, requests: reports.len(), served, recovery })
}

/// Collects the reports of all callers, also of those that still wait.
async fn collect_reports(receiver: &mut mpsc::UnboundedReceiver<CallReport>) -> Vec<CallReport> {
    let limit = Instant::now() + MAX_CALLER_TIMEOUT;
    let mut reports = Vec::new();
    while let Ok(Some(report)) = time::timeout_at(limit, receiver.recv()).await {
        reports.push(report);
    }
    reports
}

async fn inject_all(run: &Arc<SoakRun>, plan: &SoakPlan) {
    let began = Instant::now();
    let mut running = Vec::new();
    for scheduled in &plan.faults {
        time::sleep_until(began + scheduled.at).await;
        running.push(tokio::spawn(inject(Arc::clone(run), *scheduled)));
    }
    for ended in join_all(running).await {
        if let Err(error) = ended {
            run.fault_log
                .lock()
                .await
                .failures
                .push(format!("task of a fault injection failed: {error}"));
        }
    }
}

/// Counts the requests that reach draining backend servers after their drain period. A server is
/// not checked if the store had a fault before the end of that period, and none is if a process had
/// a fault during the run, as gateways learn of a drain through the store.
async fn watch_drained(run: Arc<SoakRun>, fault_duration: Duration) -> Vec<Violation> {
    let mut counts: Vec<(usize, usize)> = Vec::new();
    let until = Instant::now() + fault_duration + RECOVERY;
    while Instant::now() < until {
        time::sleep(Duration::from_millis(100)).await;
        let drained = run.fault_log.lock().await.drained.clone();
        let store_faults = run.fault_log.lock().await.store_faults.clone();
        let fleet = run.fleet.lock().await;
        for (index, at) in drained {
            let is_due = at.elapsed() > DRAIN_LIMIT;
            let is_excused = !store_faults.is_empty() || at.elapsed() > DRAIN_LIMIT * 3;
            if is_due && !is_excused && !counts.iter().any(|(known, _)| *known == index) {
                counts.push((index, fleet.services[index].service.records().len()));
            }
        }
    }
    let process_faults = run.fault_log.lock().await.process_faults.clone();
    let fleet = run.fleet.lock().await;
    let late =
        counts.into_iter().filter(|_| process_faults.is_empty()).filter_map(|(index, count)| {
            check_drained(index, count, fleet.services[index].service.records().len())
        });
    late.collect()
}

/// Records processes that have ended by themselves.
async fn record_exited_processes(run: &SoakRun) {
    let mut fleet = run.fleet.lock().await;
    let mut fault_log = run.fault_log.lock().await;
    let targets = fleet.targets().into_iter();
    fault_log.failures.extend(targets.filter_map(|target| fleet.take_exit(target)));
}

async fn watch_exits(run: Arc<SoakRun>) {
    loop {
        time::sleep(EXIT_INTERVAL).await;
        record_exited_processes(&run).await;
    }
}

/// Checks that all processes are ready by `deadline`.
async fn check_ready(run: &SoakRun, deadline: Instant) -> Vec<Violation> {
    let unready = find_unready(run, deadline).await;
    let fleet = run.fleet.lock().await;
    let violations = unready.into_iter().map(|target| Violation {
        invariant: "processes are ready again after a loss of power",
        detail: format!("{target} is not; {}", fleet.process(target).last_lines()),
    });
    violations.collect()
}

/// Checks that every gateway serves the plain service, the added routes and streams again.
async fn check_recovery(run: &SoakRun, addresses: &[std::net::SocketAddr]) -> Vec<Violation> {
    let added = run.fleet.lock().await.added_routes.clone();
    let mut violations = Vec::new();
    for (gateway, address) in addresses.iter().enumerate() {
        let mut paths = vec![("POST", "/order/z".to_owned()), ("GET", "/read/z".to_owned())];
        paths.extend(added.iter().map(|prefix| ("GET", prefix.clone())));
        for (number, (method, path)) in paths.into_iter().enumerate() {
            let call = format!("recovery-{gateway}-{number}");
            if let Err(cause) = send_with_retries(*address, &call, method, &path, None).await {
                let detail = format!("{path} at gateway {gateway}: {cause}");
                violations
                    .push(Violation { invariant: "the fleet serves again after faults", detail });
            }
        }
        let call = format!("recovery-{gateway}-stream");
        if let Err(cause) = send_with_retries(*address, &call, "POST", "/report/", Some("m1")).await
        {
            let detail = format!("streams at gateway {gateway}: {cause}");
            violations.push(Violation { invariant: "the fleet serves again after faults", detail });
        }
    }
    violations
}

/// Sends a request up to four times, as callers do after a refusal, and returns the last error.
async fn send_with_retries(
    address: std::net::SocketAddr,
    call: &str,
    method: &str,
    path: &str,
    target: Option<&str>,
) -> Result<(), String> {
    let settings = ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(5),
        read_buffer: ByteSize(64 * 1024),
    };
    let mut last_error = String::new();
    for attempt in 0..4 {
        let call = format!("{call}-{attempt}");
        let request = request(&call, method, path, target, CALLER_TIMEOUT);
        let outcome = match Connection::open(address, &settings).await {
            Ok(mut connection) => {
                time::timeout(Duration::from_secs(3), connection.send(request)).await
            }
            Err(error) => Ok(Err(error)),
        };
        last_error = match outcome {
            Ok(Ok(response)) if response.status() == 200 => return Ok(()),
            Ok(Ok(response)) => format!("answered with status {}", response.status()),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in three seconds".to_owned(),
        };
        time::sleep(Duration::from_millis(400)).await;
    }
    Err(last_error)
}
