//! Runs a deployed fleet beside objects of another writer, through a plain restart, a loss of power
//! and the return.

pub mod plan;

use std::{fmt::Write, io};

use base::prelude::*;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time;

use self::plan::{OddNamesPlan, WritingTime};
use crate::{
    callers::CallReport,
    checks::power_losses::{RECOVER_TIME, ServedCount},
    deployed::{
        DeployedFleet,
        lag::LagMeter,
        run::{
            COUNTED_TIME, CallerLoad, GRACE, LossTimes, POLL_INTERVAL, RunReport, WARM_UP,
            check_service, find_wrong, stop_all,
        },
    },
    injection::power_loss::is_ready,
};

/// Path of the readiness check.
const READY_PATH: &str = "/api/readyz";
/// Read calls that all processes may make in a second, as their settings state it.
const READS_PER_S: f64 = 2_000.0;
/// Kinds whose listings are counted.
const LISTED_KINDS: [&str; 5] =
    ["config", "servers", "fescuewalk-entries", "fescuewalk-blocks", "fescuewalk-versions"];
/// Time of service between two steps of a run.
const STEP_TIME: Duration = Duration::from_secs(2);
/// Time until a server writes its entry again.
const CHECK_IN_TIME: Duration = Duration::from_millis(600);
/// Id that no server ever has.
const STRANGER: &str = "h3-never";

/// Runs `plan` on a fleet of which no process is started.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn run_plan(plan: &OddNamesPlan, fleet: &mut DeployedFleet) -> io::Result<RunReport> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let began = Instant::now();
    fleet.store.set_page_size(plan.page_size);
    let write_at = |fleet: &DeployedFleet, at: WritingTime| {
        if plan.written == at {
            let objects = plan.objects.iter();
            objects.for_each(|odd| fleet.store.write_raw(odd.kind, &odd.name, &odd.object));
        }
    };
    write_at(fleet, WritingTime::BeforeStart);
    fleet.start_all(&mut random).await?;
    time::sleep(WARM_UP).await;
    let mut report = RunReport::default();
    check_ready(fleet, "the first start", &mut report).await;
    let load = CallerLoad::start(fleet, plan.seed);
    let lag = LagMeter::start();
    time::sleep(STEP_TIME).await;
    write_at(fleet, WritingTime::BeforeRestart);
    restart_all(fleet, &mut random).await?;
    time::sleep(STEP_TIME).await;
    disturb_entries(plan, fleet).await;
    time::sleep(STEP_TIME).await;
    write_at(fleet, WritingTime::BeforeLoss);
    let lost = Instant::now();
    fleet.lose_power();
    time::sleep(plan.down).await;
    write_at(fleet, WritingTime::WhileDown);
    let returned = Instant::now();
    fleet.publish_engines();
    fleet.start_all(&mut random).await?;
    time::sleep_until(returned + RECOVER_TIME + COUNTED_TIME).await;
    check_ready(fleet, "the return", &mut report).await;
    let loss = LossTimes { began: lost, returned };
    let reports = load.finish().await;
    fleet.note_exits();
    // The first findings are printed, and an end of a process matters most.
    report.findings.splice(0..0, std::mem::take(&mut fleet.exits));
    report.findings.extend(stop_all(fleet).await);
    report.findings.extend(find_wrong(&reports));
    // Writing to a string does not fail.
    let _ = write!(report.summary, "{:?}, pages of {}", plan.written, plan.page_size);
    let _ = write!(report.summary, "; harness late by {} ms at most", lag.longest().as_millis());
    check_service(&loss, &reports, &mut report);
    check_gateways(&loss, &reports, &mut report);
    check_servers(fleet, returned, &mut report);
    check_listings(fleet, began.elapsed(), &mut report);
    Ok(report)
}

/// Stops all processes at once and starts them when all have ended.
async fn restart_all(fleet: &mut DeployedFleet, random: &mut ChaCha8Rng) -> io::Result<()> {
    fleet.note_exits();
    for vm in &mut fleet.vms {
        vm.expect_exit();
        vm.signal(Signal::SIGTERM);
    }
    let deadline = Instant::now() + GRACE;
    while Instant::now() < deadline && fleet.vms.iter().any(|vm| vm.is_started()) {
        for vm in &mut fleet.vms {
            _ = vm.take_exit();
        }
        time::sleep(POLL_INTERVAL).await;
    }
    fleet.start_all(random).await
}

/// Writes odd entries among the servers during service, until those of servers are written anew.
async fn disturb_entries(plan: &OddNamesPlan, fleet: &DeployedFleet) {
    let odd = json!({ "service": 3, "address": [] });
    if let Some(index) = plan.shadowed {
        fleet.store.write("servers", &fleet.engines[index].instance(), &odd);
    }
    if plan.has_stranger {
        fleet.store.write("servers", STRANGER, &odd);
    }
    time::sleep(CHECK_IN_TIME).await;
    fleet.publish_engines();
}

async fn check_ready(fleet: &DeployedFleet, after: &str, report: &mut RunReport) {
    for (gateway, address) in fleet.ready_addresses().into_iter().enumerate() {
        if !is_ready(address, READY_PATH).await {
            report.findings.push(format!("gateway {gateway} is not ready after {after}"));
        }
    }
}

/// Checks that each gateway serves again.
fn check_gateways(loss: &LossTimes, reports: &[CallReport], report: &mut RunReport) {
    let from = loss.returned + RECOVER_TIME;
    let gateways = reports.iter().map(|call| call.gateway).max().map_or(0, |last| last + 1);
    for gateway in 0..gateways {
        let own = reports.iter().filter(|call| call.gateway == gateway && call.sent >= from);
        let count = ServedCount::of(own);
        if count.served == 0 {
            report.findings.push(format!("gateway {gateway} serves nothing: {count}"));
        }
    }
}

/// Checks that requests reach each server after the return.
fn check_servers(fleet: &DeployedFleet, returned: Instant, report: &mut RunReport) {
    let is_reached = |arrivals: Vec<Instant>| arrivals.iter().any(|at| *at >= returned);
    let engines = fleet.engines.iter().map(|engine| (engine.instance(), engine.arrivals()));
    let services = fleet.services.iter().enumerate();
    let services = services.map(|(index, service)| (format!("s-{index}"), service.arrivals()));
    let unreached: Vec<String> = engines
        .chain(services)
        .filter_map(|(name, arrivals)| (!is_reached(arrivals)).then_some(name))
        .collect();
    if !unreached.is_empty() {
        report.findings.push(format!("no request after the return at {}", unreached.join(" ")));
    }
}

/// Checks that the processes stay within their rate of reads.
fn check_listings(fleet: &DeployedFleet, duration: Duration, report: &mut RunReport) {
    let counts = LISTED_KINDS.map(|kind| (kind, fleet.store.listing_calls(kind)));
    let total: u64 = counts.iter().map(|(_, count)| count).sum();
    let text = counts.map(|(kind, count)| format!("{kind} {count}")).join(", ");
    let _ = write!(report.summary, "; pages read: {text}");
    if total as f64 > READS_PER_S * duration.as_secs_f64() {
        let seconds = duration.as_secs();
        report.findings.push(format!("{total} pages of listings read in {seconds} s: {text}"));
    }
}
