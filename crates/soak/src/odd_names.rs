//! Runs a deployed fleet beside objects of another writer, through a plain restart, a loss of power
//! and the return.

mod objects;
pub mod plan;
mod unknown_routes;
mod wide;

use std::{fmt::Write, io, ops::Range};

use base::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time;

use self::{
    plan::{OddEntry, OddNamesPlan, WritingTime},
    unknown_routes::{UnknownCall, UnknownCallers},
};
use crate::{
    callers::{CALLER_TIMEOUT, CallOutcome, CallReport},
    checks::power_losses::{RECOVER_TIME, ServedCount},
    deployed::{
        DeployedFleet,
        lag::LagMeter,
        run::{
            COUNTED_TIME, CallerLoad, LossTimes, POLL_INTERVAL, RunReport, WARM_UP, check_service,
            find_wrong, stop_all,
        },
    },
    injection::power_loss::{READY_LIMIT, is_ready},
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
/// Time from the return until odd entries change once more.
const LATE_CHANGE_TIME: Duration = Duration::from_millis(600);
/// Id that no server ever has.
const STRANGER: &str = "h3-never";
/// Id of a server that leaves.
const FORMER: &str = "h3-former";
/// Status of the refusal of an unknown route.
const UNKNOWN_ROUTE: u16 = 404;
/// Statuses of refusals while a gateway starts or stops.
const UNAVAILABLE: u16 = 503;

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
            write_objects(plan, fleet);
        }
    };
    write_at(fleet, WritingTime::BeforeStart);
    fleet.start_all(&mut random).await?;
    time::sleep(WARM_UP).await;
    let mut report = RunReport::default();
    check_ready(fleet, "the first start", &mut report).await;
    let load = CallerLoad::start(fleet, plan.seed);
    let mut unknown_callers = UnknownCallers::start(fleet.caller_addresses());
    let lag = LagMeter::start();
    let first_life = Instant::now();
    time::sleep(STEP_TIME).await;
    write_at(fleet, WritingTime::BeforeRestart);
    fleet.note_exits();
    let stopped = Instant::now();
    report.findings.extend(stop_all(fleet).await);
    start_again(plan, fleet, &mut random).await?;
    let restarted = Instant::now();
    await_ready(fleet, restarted + READY_LIMIT, &mut report).await;
    let second_life = Instant::now();
    time::sleep_until(restarted + STEP_TIME).await;
    disturb_entries(plan, fleet).await;
    time::sleep(STEP_TIME).await;
    write_at(fleet, WritingTime::BeforeLoss);
    let lost = Instant::now();
    fleet.lose_power();
    time::sleep(plan.down).await;
    write_at(fleet, WritingTime::WhileDown);
    let returned = Instant::now();
    fleet.publish_engines();
    start_again(plan, fleet, &mut random).await?;
    if plan.has_late_change {
        time::sleep_until(returned + LATE_CHANGE_TIME).await;
        disturb_entries(plan, fleet).await;
    }
    let third_life = returned + RECOVER_TIME..returned + RECOVER_TIME + COUNTED_TIME;
    time::sleep_until(third_life.end).await;
    check_ready(fleet, "the return", &mut report).await;
    let unknown_calls = unknown_callers.take();
    drop(unknown_callers);
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
    check_gateways(second_life..lost, &reports, &mut report);
    check_gateways(third_life.clone(), &reports, &mut report);
    let lives = [first_life..stopped, second_life..lost, third_life];
    check_unknown_routes(&lives, &unknown_calls, &reports, &mut report);
    check_servers(fleet, returned, &mut report);
    check_listings(fleet, began.elapsed(), &mut report);
    Ok(report)
}

fn write_objects(plan: &OddNamesPlan, fleet: &DeployedFleet) {
    let objects = plan.objects.iter();
    objects.for_each(|odd| fleet.store.write_raw(odd.kind, &odd.name, &odd.object));
}

/// Starts all processes, which are stopped.
async fn start_again(
    plan: &OddNamesPlan,
    fleet: &mut DeployedFleet,
    random: &mut ChaCha8Rng,
) -> io::Result<()> {
    if plan.is_rewritten {
        plan.objects.iter().for_each(|odd| fleet.store.remove(odd.kind, &odd.name));
    }
    fleet.start_all(random).await?;
    if plan.is_rewritten {
        write_objects(plan, fleet);
    }
    Ok(())
}

/// Writes odd entries among the servers during service, until those of servers are written anew.
async fn disturb_entries(plan: &OddNamesPlan, fleet: &DeployedFleet) {
    if plan.odd_entries.contains(&OddEntry::Former) {
        let mut entry = fleet.store.read("servers", "s-0").unwrap_or_default();
        entry["state"] = json!("draining");
        fleet.store.write("servers", FORMER, &entry);
        time::sleep(CHECK_IN_TIME).await;
        fleet.store.remove("servers", FORMER);
        time::sleep(CHECK_IN_TIME).await;
    }
    for entry in &plan.odd_entries {
        let id = match entry {
            OddEntry::Engine(index) => fleet.engines[*index].instance(),
            OddEntry::Stranger => STRANGER.to_owned(),
            OddEntry::Former => FORMER.to_owned(),
        };
        // Writing the same once more is no change.
        let odd = json!({ "service": 3, "address": [], "sequence": fleet.store.revision() });
        fleet.store.write("servers", &id, &odd);
    }
    time::sleep(CHECK_IN_TIME).await;
    fleet.publish_engines();
}

/// Waits until all gateways are ready, and records those that are not by `deadline`.
async fn await_ready(fleet: &DeployedFleet, deadline: Instant, report: &mut RunReport) {
    let mut gateways: Vec<_> = fleet.ready_addresses().into_iter().enumerate().collect();
    while !gateways.is_empty() && Instant::now() < deadline {
        let mut unready = Vec::new();
        for (gateway, address) in gateways {
            if !is_ready(address, READY_PATH).await {
                unready.push((gateway, address));
            }
        }
        gateways = unready;
        time::sleep(POLL_INTERVAL).await;
    }
    let late = gateways.into_iter().map(|(gateway, _)| gateway);
    report.findings.extend(
        late.map(|late| format!("gateway {late} is not ready {READY_LIMIT:?} after the restart")),
    );
}

async fn check_ready(fleet: &DeployedFleet, after: &str, report: &mut RunReport) {
    for (gateway, address) in fleet.ready_addresses().into_iter().enumerate() {
        let waited = || fleet.vms[gateway].processor_wait().unwrap_or_default();
        let before = waited();
        if !is_ready(address, READY_PATH).await {
            let wait = waited().saturating_sub(before);
            report.findings.push(format!(
                "gateway {gateway} is not ready after {after}, and waited {wait:?} for a processor"
            ));
        }
    }
}

/// Checks that each gateway serves requests that are sent within `range`.
fn check_gateways(range: Range<Instant>, reports: &[CallReport], report: &mut RunReport) {
    let gateways = reports.iter().map(|call| call.gateway).max().map_or(0, |last| last + 1);
    for gateway in 0..gateways {
        let is_own = |call: &&CallReport| call.gateway == gateway && range.contains(&call.sent);
        let count = ServedCount::of(reports.iter().filter(is_own));
        if count.served == 0 {
            report.findings.push(format!("gateway {gateway} serves nothing: {count}"));
        }
    }
}

/// Checks that unknown routes are refused at once while the gateways serve, and no others with that status.
fn check_unknown_routes(
    lives: &[Range<Instant>],
    calls: &[UnknownCall],
    reports: &[CallReport],
    report: &mut RunReport,
) {
    let is_within = |call: &UnknownCall| {
        lives.iter().any(|life| life.contains(&call.sent) && call.sent + CALLER_TIMEOUT < life.end)
    };
    for call in calls {
        let is_refused = match call.status {
            Some(UNKNOWN_ROUTE) => true,
            None | Some(UNAVAILABLE) => !is_within(call),
            Some(_) => false,
        };
        if !is_refused {
            let UnknownCall { gateway, status, .. } = call;
            let finding = format!("gateway {gateway} answers an unknown route with {status:?}");
            report.findings.push(finding);
        }
    }
    let refused = calls.iter().filter(|call| call.status == Some(UNKNOWN_ROUTE));
    let slowest = refused.clone().map(|call| call.duration).max().unwrap_or_default();
    let (refused, sent) = (refused.count(), calls.len());
    let _ =
        write!(report.summary, "; {refused} of {sent} for unknown routes refused in {slowest:?}");
    let unknown = reports
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Complete { status: UNKNOWN_ROUTE, .. }));
    report.findings.extend(unknown.map(|call| format!("a known route is unknown: {call:?}")));
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
