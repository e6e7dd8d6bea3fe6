//! Runs a plan on a deployed fleet under the load of its callers.

use std::{
    fmt::Write,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, time};

use super::{
    DeployedFleet, LENDING_SIZE,
    lag::LagMeter,
    plan::{DeploymentPlan, LossPrelude, PlannedLoss},
};
use crate::{
    callers::{CallOutcome, CallReport, MAX_CALLER_TIMEOUT, hold_connection, send_requests},
    checks::power_losses::{RECOVER_TIME, ServedCount},
    fleet::model_names,
};

/// Time from the first start to the first request.
pub(crate) const WARM_UP: Duration = Duration::from_secs(4);
/// Requests of the callers of one gateway in a second.
const RATE: f64 = 9.0;
/// Time over which requests count after the machines must serve again.
pub(crate) const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Time between two stops of a rolling restart.
const ROLLING_GAP: Duration = Duration::from_millis(300);
/// Time from SIGTERM until the platform kills a process.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// Time between two checks of processes.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// What must not happen; empty if the run passed.
    pub findings: Vec<String>,
    /// How it went.
    pub summary: String,
}

/// A loss of power that was carried out.
pub(crate) struct LossTimes {
    pub began: Instant,
    pub returned: Instant,
}

/// The callers of all gateways.
pub(crate) struct CallerLoad {
    stop: Arc<AtomicBool>,
    reports: mpsc::UnboundedReceiver<CallReport>,
}

impl CallerLoad {
    pub fn start(fleet: &DeployedFleet, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, reports) = mpsc::unbounded_channel();
        for (gateway, address) in fleet.caller_addresses().into_iter().enumerate() {
            let seed = seed ^ (gateway as u64) << 32;
            let (held_stop, held_sender) = (Arc::clone(&stop), sender.clone());
            tokio::spawn(hold_connection(gateway, address, seed, held_stop, held_sender));
            let (stop, sender) = (Arc::clone(&stop), sender.clone());
            let models = model_names(LENDING_SIZE.models);
            tokio::spawn(async move {
                send_requests(gateway, address, RATE, &models, seed, stop, sender).await;
            });
        }
        Self { stop, reports }
    }

    /// Ends the load and returns all reports.
    pub async fn finish(mut self) -> Vec<CallReport> {
        self.stop.store(true, Ordering::Relaxed);
        let limit = Instant::now() + MAX_CALLER_TIMEOUT;
        let mut reports = Vec::new();
        while let Ok(Some(report)) = time::timeout_at(limit, self.reports.recv()).await {
            reports.push(report);
        }
        reports
    }
}

/// Runs `plan` on a fleet of which no process is started.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run_plan(plan: &DeploymentPlan, fleet: &mut DeployedFleet) -> io::Result<RunReport> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    fleet.rules = plan.rules.clone();
    fleet.start_all(&mut random).await?;
    time::sleep(WARM_UP).await;
    let load = CallerLoad::start(fleet, plan.seed);
    let lag = LagMeter::start();
    let mut losses = Vec::new();
    let mut peak = 0;
    for loss in &plan.losses {
        time::sleep(loss.after).await;
        peak = peak.max(fleet.vms.iter().filter_map(|vm| vm.peak_memory()).max().unwrap_or(0));
        losses.push(carry_out(loss, fleet, &mut random).await?);
    }
    let reports = load.finish().await;
    fleet.note_exits();
    let mut report = RunReport { findings: std::mem::take(&mut fleet.exits), ..Default::default() };
    report.findings.extend(stop_all(fleet).await);
    report.findings.extend(find_wrong(&reports));
    let (limits, fields) = (&plan.rules.limits, plan.rules.fields.keys());
    let fields = fields.map(String::as_str).collect::<Vec<_>>().join(" ");
    // Writing to a string does not fail.
    let _ = write!(report.summary, "{limits:?} {fields:?}; peak {} MiB", peak / 1024);
    let _ = write!(report.summary, "; harness late by {} ms at most", lag.longest().as_millis());
    for loss in &losses {
        check_service(loss, &reports, &mut report);
    }
    Ok(report)
}

async fn carry_out(
    loss: &PlannedLoss,
    fleet: &mut DeployedFleet,
    random: &mut ChaCha8Rng,
) -> io::Result<LossTimes> {
    fleet.note_exits();
    let began = Instant::now();
    match loss.prelude {
        LossPrelude::Calm => {}
        LossPrelude::HangUp => fleet.vms.iter().for_each(|vm| vm.signal(Signal::SIGHUP)),
        LossPrelude::RollingRestart => restart_all(fleet).await?,
        LossPrelude::ShortReturn(duration) => {
            fleet.lose_power();
            fleet.start_all(random).await?;
            time::sleep(duration).await;
        }
    }
    fleet.lose_power();
    time::sleep(loss.duration).await;
    let returned = Instant::now();
    fleet.publish_engines();
    fleet.hide_settings(loss.settings_after > Duration::ZERO);
    fleet.start_all(random).await?;
    time::sleep(loss.settings_after).await;
    fleet.reveal_settings()?;
    time::sleep_until(returned + loss.settings_after + RECOVER_TIME + COUNTED_TIME).await;
    Ok(LossTimes { began, returned: returned + loss.settings_after })
}

/// Stops and starts all processes one after the other; they overlap.
async fn restart_all(fleet: &mut DeployedFleet) -> io::Result<()> {
    for index in 0..fleet.vms.len() {
        fleet.vms[index].signal(Signal::SIGTERM);
        fleet.vms[index].expect_exit();
        time::sleep(ROLLING_GAP).await;
        fleet.restart_stopped()?;
    }
    Ok(())
}

/// Stops all processes, and returns those that do not end as they should.
pub(crate) async fn stop_all(fleet: &mut DeployedFleet) -> Vec<String> {
    for vm in &fleet.vms {
        vm.signal(Signal::SIGTERM);
    }
    let deadline = Instant::now() + GRACE;
    let mut findings = Vec::new();
    while Instant::now() < deadline && fleet.vms.iter().any(|vm| vm.is_started()) {
        for vm in &mut fleet.vms {
            if let Some(status) = vm.take_exit()
                && !status.success()
            {
                findings.push(format!("{} ended with {status} after SIGTERM", vm.spec.name));
            }
        }
        time::sleep(POLL_INTERVAL).await;
    }
    let late = fleet.vms.iter().filter(|vm| vm.is_started());
    findings.extend(late.map(|vm| format!("{} runs {GRACE:?} after SIGTERM", vm.spec.name)));
    findings
}

pub(crate) fn find_wrong(reports: &[CallReport]) -> impl Iterator<Item = String> + '_ {
    let wrong = reports.iter().filter(|report| {
        matches!(
            report.outcome,
            CallOutcome::Complete { is_correct: false, .. }
                | CallOutcome::Truncated { is_correct: false }
        )
    });
    wrong.map(|report| format!("wrong answer: {report:?}"))
}

/// Checks that a quarter of the requests is served again.
pub(crate) fn check_service(loss: &LossTimes, reports: &[CallReport], report: &mut RunReport) {
    let count = |from: Instant, to: Instant| {
        let sent = |call: &&CallReport| (from..to).contains(&call.sent);
        ServedCount::of(reports.iter().filter(sent))
    };
    let before = count(loss.began - COUNTED_TIME, loss.began);
    let back = loss.returned + RECOVER_TIME;
    let after = count(back, back + COUNTED_TIME);
    let _ = write!(
        report.summary,
        "; {before} served before, {} in the first 12 s, {after} then",
        count(loss.returned, back)
    );
    if after.served * 4 < after.sent {
        report.findings.push(format!("service is not back: {after}, {before} before"));
    }
}
