//! One run of a plan.

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
    callers::{CallReport, request, send_requests},
    checks::{Broken, Evidence, LEAVING_BOUND, check_leaving},
    plan::{SoakPlan, Target},
    strike::{Chronicle, Scene, carry_out},
    world::World,
};

/// Time for the processes to find each other before requests are sent.
const WARM_UP: Duration = Duration::from_millis(900);
/// Time after the last fault before the fleet must serve again.
const RECOVERY: Duration = Duration::from_secs(4);
/// Time that the last requests get.
const LAST_REQUESTS: Duration = Duration::from_secs(4);

/// What a run brought.
#[derive(Debug, Clone, Default)]
pub struct RunOutcome {
    /// Promises that were broken.
    pub broken: Vec<Broken>,
    /// Requests.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
}

/// Runs `plan` with logs in `directory`.
///
/// # Errors
///
/// Fails if the fleet does not start.
pub async fn run_plan(
    plan: &SoakPlan,
    programs: &ProgramPaths,
    directory: &Path,
    net: u8,
) -> Result<RunOutcome, std::io::Error> {
    let world = World::start(plan, programs, directory, net).await?;
    time::sleep(WARM_UP).await;
    let addresses: Vec<_> = (0..plan.gateways).map(|index| world.callers(index)).collect();
    let scene =
        Arc::new(Scene { world: Mutex::new(world), chronicle: Mutex::new(Chronicle::default()) });
    let stop = Arc::new(AtomicBool::new(false));
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for (gateway, address) in addresses.iter().enumerate() {
        let seed = plan.seed ^ (gateway as u64) << 32;
        let sender = sender.clone();
        let stop = Arc::clone(&stop);
        tokio::spawn(send_requests(gateway, *address, plan.rate, seed, stop, sender));
    }
    drop(sender);
    let leaving = tokio::spawn(watch_leaving(Arc::clone(&scene), plan.calm_from()));
    strike_all(&scene, plan).await;
    time::sleep(RECOVERY).await;
    let mut broken = check_recovery(&scene, &addresses).await;
    stop.store(true, Ordering::Relaxed);
    time::sleep(LAST_REQUESTS).await;
    let mut reports: Vec<CallReport> = Vec::new();
    while let Ok(report) = receiver.try_recv() {
        reports.push(report);
    }
    broken.extend(leaving.await.unwrap_or_default());
    find_ended(&scene).await;
    let world = scene.world.lock().await;
    let chronicle = scene.chronicle.lock().await;
    let evidence = Evidence { reports: &reports, world: &world, chronicle: &chronicle };
    broken.extend(evidence.check());
    let is_served = |report: &&CallReport| {
        matches!(report.seen, crate::callers::Seen::Whole { status: 200, .. })
    };
    let served = reports.iter().filter(is_served).count();
    Ok(RunOutcome { broken, requests: reports.len(), served })
}

async fn strike_all(scene: &Arc<Scene>, plan: &SoakPlan) {
    let began = Instant::now();
    let mut running = Vec::new();
    for strike in &plan.strikes {
        time::sleep_until(began + strike.at).await;
        running.push(tokio::spawn(carry_out(Arc::clone(scene), *strike)));
    }
    for ended in join_all(running).await {
        if let Err(error) = ended {
            scene
                .chronicle
                .lock()
                .await
                .ended
                .push(format!("a fault was not carried out: {error}"));
        }
    }
}

/// Counts what reaches backend servers that left, from the end of their time on.
async fn watch_leaving(scene: Arc<Scene>, span: Duration) -> Vec<Broken> {
    let mut counts: Vec<(usize, usize)> = Vec::new();
    let until = Instant::now() + span + RECOVERY;
    while Instant::now() < until {
        time::sleep(Duration::from_millis(100)).await;
        let left = scene.chronicle.lock().await.left.clone();
        let troubles = scene.chronicle.lock().await.store_troubles.clone();
        let world = scene.world.lock().await;
        for (index, at) in left {
            let is_due = at.elapsed() > LEAVING_BOUND;
            let is_excused = !troubles.is_empty() || at.elapsed() > LEAVING_BOUND * 3;
            if is_due && !is_excused && !counts.iter().any(|(known, _)| *known == index) {
                counts.push((index, world.services[index].service.records().len()));
            }
        }
    }
    let struck = scene.chronicle.lock().await.struck.clone();
    let world = scene.world.lock().await;
    let late = counts.into_iter().filter(|_| struck.is_empty()).filter_map(|(index, count)| {
        check_leaving(index, count, world.services[index].service.records().len())
    });
    late.collect()
}

async fn find_ended(scene: &Scene) {
    let mut world = scene.world.lock().await;
    let mut ended = Vec::new();
    let gateways = world.gateways.len();
    let targets = (0..gateways).map(Target::Gateway);
    let agents = (0..world.agents.len()).map(Target::Agent);
    for target in targets.chain(agents).collect::<Vec<_>>() {
        if let Some(process) = &mut world.member_mut(target).process
            && process.wait_for_exit(Duration::from_millis(1)).await.is_some()
        {
            ended.push(format!("{target} ended"));
        }
    }
    scene.chronicle.lock().await.ended.extend(ended);
}

/// Every gateway serves every route again, those that were added too.
async fn check_recovery(scene: &Scene, addresses: &[std::net::SocketAddr]) -> Vec<Broken> {
    let added = scene.world.lock().await.added.clone();
    let mut broken = Vec::new();
    for (gateway, address) in addresses.iter().enumerate() {
        let mut paths = vec![("POST", "/order/z".to_owned()), ("GET", "/read/z".to_owned())];
        paths.extend(added.iter().map(|prefix| ("GET", prefix.clone())));
        for (number, (method, path)) in paths.into_iter().enumerate() {
            let call = format!("recovery-{gateway}-{number}");
            if let Err(what) = try_often(*address, &call, method, &path, None).await {
                let what = format!("{path} at gateway {gateway}: {what}");
                broken.push(Broken { promise: "the fleet serves again after faults", what });
            }
        }
        let call = format!("recovery-{gateway}-stream");
        if let Err(what) = try_often(*address, &call, "POST", "/report/", Some("m1")).await {
            let what = format!("streams at gateway {gateway}: {what}");
            broken.push(Broken { promise: "the fleet serves again after faults", what });
        }
    }
    broken
}

/// Sends a request a few times, as callers do after a refusal.
async fn try_often(
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
    let mut last = String::new();
    for attempt in 0..4 {
        let call = format!("{call}-{attempt}");
        let request = request(&call, method, path, target);
        let outcome = match Connection::open(address, &settings).await {
            Ok(mut connection) => {
                time::timeout(Duration::from_secs(3), connection.send(request)).await
            }
            Err(error) => Ok(Err(error)),
        };
        last = match outcome {
            Ok(Ok(response)) if response.status() == 200 => return Ok(()),
            Ok(Ok(response)) => format!("answered with {}", response.status()),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in three seconds".to_owned(),
        };
        time::sleep(Duration::from_millis(400)).await;
    }
    Err(last)
}
