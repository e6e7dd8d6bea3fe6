//! Runs a day's length of troubles on a deployed fleet whose processes have the processor shares and the
//! memory of their VMs, and ends it with a loss of all VMs.

use std::{
    fmt::Write,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use futures::future::join_all;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::{Mutex, mpsc},
    task::JoinHandle,
    time,
};

use super::{
    DeployedFleet, LENDING_SIZE,
    day_plan::DayPlan,
    lag::LagMeter,
    run::{RunReport, find_wrong, stop_all},
    troubles::{DayState, next_incarnation},
};
use crate::{
    callers::{CallReport, MAX_CALLER_TIMEOUT, hold_connection, send_requests},
    checks::power_losses::{RECOVER_TIME, ServedCount},
    fleet::model_names,
    injection::power_loss::is_ready,
};

/// Time from the first start to the first request.
const WARM_UP: Duration = Duration::from_secs(10);
/// Path of readiness checks.
const READY_PATH: &str = "/api/readyz";
/// Requests of the callers of one gateway in a second.
const RATE: f64 = 9.0;
/// Time over which requests count before the final loss, and after the machines must serve again.
const COUNTED_TIME: Duration = Duration::from_secs(8);
/// Time between two turns of the supervisor.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);

fn start_load(state: &DayState, addresses: Vec<SocketAddr>, stop: &Arc<AtomicBool>) {
    for (gateway, address) in addresses.into_iter().enumerate() {
        let seed = state.seed ^ (gateway as u64) << 32;
        let (held_stop, sender) = (Arc::clone(stop), state.reports.clone());
        tokio::spawn(hold_connection(gateway, address, seed, held_stop, sender));
        let (stop, sender) = (Arc::clone(stop), state.reports.clone());
        let models = model_names(LENDING_SIZE.models);
        tokio::spawn(async move {
            send_requests(gateway, address, RATE, &models, seed, stop, sender).await;
        });
    }
}

fn start_supervisor(fleet: Arc<Mutex<DeployedFleet>>) -> JoinHandle<io::Result<()>> {
    tokio::spawn(async move {
        loop {
            fleet.lock().await.supervise()?;
            time::sleep(SUPERVISION_INTERVAL).await;
        }
    })
}

/// Runs `plan` on a fleet with relays, of which no process is started.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run_day(plan: &DayPlan, mut fleet: DeployedFleet) -> io::Result<RunReport> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    fleet.set_quotas();
    fleet.start_all(&mut random).await?;
    let addresses = fleet.caller_addresses();
    let ready_addresses = fleet.ready_addresses();
    let fleet = Arc::new(Mutex::new(fleet));
    let supervisor = start_supervisor(Arc::clone(&fleet));
    time::sleep(WARM_UP).await;
    let unready = find_unready(ready_addresses).await;
    let (sender, mut received) = mpsc::unbounded_channel();
    let state = DayState { fleet: Arc::clone(&fleet), reports: sender, seed: plan.seed };
    let stop = Arc::<AtomicBool>::default();
    start_load(&state, addresses, &stop);
    let lag = LagMeter::start();
    let began = Instant::now();
    let troubles: Vec<_> = plan
        .troubles
        .iter()
        .map(|scheduled| {
            let (state, scheduled) = (state.clone(), scheduled.clone());
            tokio::spawn(async move {
                time::sleep_until(began + scheduled.at).await;
                state.carry_out(scheduled).await;
            })
        })
        .collect();
    time::sleep_until(began + plan.length).await;
    let lost = Instant::now();
    lose_all(plan, &fleet).await;
    time::sleep(plan.loss.duration).await;
    fleet.lock().await.publish_engines();
    // Troubles that last beyond the loss delay the return.
    join_all(troubles).await;
    let returned = Instant::now();
    time::sleep(RECOVER_TIME + COUNTED_TIME).await;
    stop.store(true, Ordering::Relaxed);
    supervisor.abort();
    drop(state);
    let mut reports = Vec::new();
    let limit = Instant::now() + MAX_CALLER_TIMEOUT;
    while let Ok(Some(report)) = time::timeout_at(limit, received.recv()).await {
        reports.push(report);
    }
    let mut fleet = fleet.lock().await;
    let mut report = RunReport { findings: std::mem::take(&mut fleet.exits), ..Default::default() };
    report.findings.extend(unready);
    report.findings.extend(stop_all(&mut fleet).await);
    report.findings.extend(find_wrong(&reports));
    check_return(plan, lost, returned, &reports, &mut report);
    let peak = fleet.vms.iter().map(|vm| vm.noted_memory).max().unwrap_or(0);
    // Writing to a string does not fail.
    let _ = write!(
        report.summary,
        "; peak {} MiB; harness late by {} ms at most",
        peak / 1024,
        lag.longest().as_millis()
    );
    Ok(report)
}

/// Gateways that do not say that they are ready when traffic starts.
async fn find_unready(addresses: Vec<SocketAddr>) -> Vec<String> {
    let checks = addresses.into_iter().map(|address| async move {
        let is_ready = is_ready(address, READY_PATH).await;
        (!is_ready).then(|| format!("{address} is not ready {WARM_UP:?} after the start"))
    });
    join_all(checks).await.into_iter().flatten().collect()
}

/// Takes the power from all VMs right after a change of the configuration was written.
async fn lose_all(plan: &DayPlan, fleet: &Mutex<DeployedFleet>) {
    let mut fleet = fleet.lock().await;
    fleet.add_routes(1);
    for vm in &mut fleet.vms {
        vm.signal(Signal::SIGKILL);
        vm.kill_for(plan.loss.duration);
    }
    if plan.loss.has_engines {
        fleet.engines.iter().for_each(|engine| engine.crash(next_incarnation()));
    }
}

/// Checks that a quarter of the requests is served again if as many were before.
fn check_return(
    plan: &DayPlan,
    lost: Instant,
    returned: Instant,
    reports: &[CallReport],
    report: &mut RunReport,
) {
    let count = |from: Instant, to: Instant| {
        let sent = |call: &&CallReport| (from..to).contains(&call.sent);
        ServedCount::of(reports.iter().filter(sent))
    };
    let (whole, before) = (count(lost - plan.length, lost), count(lost - COUNTED_TIME, lost));
    let after = count(returned + RECOVER_TIME, returned + RECOVER_TIME + COUNTED_TIME);
    // Writing to a string does not fail.
    let _ = write!(
        report.summary,
        "{} troubles; {whole} served over the day, {before} before the loss, {after} after the return",
        plan.troubles.len()
    );
    if whole.served == 0 {
        report.findings.push("no request was served".to_owned());
    }
    if before.served * 4 >= before.sent && after.served * 4 < after.sent {
        report.findings.push(format!("service is not back: {after}, {before} before"));
    }
}
