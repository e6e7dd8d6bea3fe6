//! Loss of power of all VMs: every gateway and agent is killed at once and restarted later.

use std::{net::SocketAddr, time::Duration};

use base::prelude::Instant;
use bytes::Bytes;
use connections::Connection;
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use proof::relay::RelayMode;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::{SoakRun, add_route_to};
use crate::{
    callers::connect_settings,
    plan::{PowerLoss, Target},
};

/// Time from the return of power within which all processes are started.
const START_SPREAD_MS: u64 = 300;
/// Outage of an engine from which on the store lists it no more.
const ENTRY_LIFETIME: Duration = Duration::from_secs(1);
/// Longest wait for a process to be ready after its start.
pub const READY_LIMIT: Duration = Duration::from_secs(12);
/// Longest wait for the answer to a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// A loss of power, as needed by the checks.
#[derive(Debug, Clone)]
pub struct LossRecord {
    /// When all processes were killed.
    pub began: Instant,
    /// When power returned.
    pub returned: Instant,
    /// When the last process had started.
    pub restarted: Instant,
}

/// Kills all processes, waits for `duration` and restarts them. A later loss that begins meanwhile
/// takes over.
pub async fn lose_power(run: &SoakRun, loss: PowerLoss, duration: Duration) {
    let began = Instant::now();
    let number = cut(run, loss, began).await;
    time::sleep(duration.min(ENTRY_LIFETIME)).await;
    if loss.with_engines && duration > ENTRY_LIFETIME {
        remove_entries(run, number).await;
    }
    time::sleep(duration.saturating_sub(ENTRY_LIFETIME)).await;
    if !restore(run, number).await {
        return record(run, None, began).await;
    }
    let returned = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(loss.restarts.0);
    let mut targets = run.fleet.lock().await.targets();
    targets.shuffle(&mut random);
    let starts = targets.into_iter().map(|target| {
        let pause = Duration::from_millis(random.random_range(0..=START_SPREAD_MS));
        start_after(run, target, pause, number)
    });
    let start_all = async {
        join_all(starts).await;
        Instant::now()
    };
    let engines = restore_engines(run, loss.engine_delay, number);
    let (restarted, ()) = tokio::join!(start_all, engines);
    record(run, Some(LossRecord { began, returned, restarted }), began).await;
}

async fn record(run: &SoakRun, loss: Option<LossRecord>, began: Instant) {
    let targets = run.fleet.lock().await.targets();
    let mut fault_log = run.fault_log.lock().await;
    let ended = Instant::now();
    for target in targets {
        fault_log.process_faults.push((target, began, ended));
        fault_log.outages.push((target, began, ended));
    }
    fault_log.losses.extend(loss);
}

/// Kills all processes and returns the number of the loss.
async fn cut(run: &SoakRun, loss: PowerLoss, began: Instant) -> u64 {
    let mut fleet = run.fleet.lock().await;
    let mut fault_log = run.fault_log.lock().await;
    if loss.after_new_route {
        add_route_to(&mut fleet, &mut fault_log);
    }
    let targets = fleet.targets();
    fault_log.failures.extend(targets.iter().filter_map(|target| fleet.take_exit(*target)));
    // Planned stops, which hold their process themselves, learn of the loss.
    fleet.power.send_modify(|power| {
        power.losses += 1;
        power.is_lost = true;
        power.has_engines_down |= loss.with_engines;
    });
    for target in &targets {
        if let Some(process) = &fleet.process_mut(*target).running {
            // It may have ended since the check above.
            let _ = process.start_kill();
        }
    }
    if loss.with_engines {
        let incarnation = 2 + u64::try_from(began.elapsed().as_nanos()).unwrap_or(0);
        for node in &fleet.engines {
            node.engine.crash(incarnation + node.engine.orders());
            node.link.set_mode(RelayMode::Cut);
        }
    }
    for target in targets {
        if let Some(mut process) = fleet.process_mut(target).running.take() {
            process.kill().await;
        }
    }
    fleet.power.borrow().losses
}

/// Removes the entries of the engines, unless power was lost once more since.
async fn remove_entries(run: &SoakRun, number: u64) {
    let fleet = run.fleet.lock().await;
    if fleet.power.borrow().losses == number {
        for node in &fleet.engines {
            fleet.store.remove("servers", &node.engine.instance());
        }
    }
}

/// Restores power, unless it was lost once more since.
async fn restore(run: &SoakRun, number: u64) -> bool {
    let fleet = run.fleet.lock().await;
    let has_power = fleet.power.borrow().losses == number;
    if has_power {
        fleet.power.send_modify(|power| power.is_lost = false);
    }
    has_power
}

/// Restarts the engines after their delay if they are down, unless power was lost once more since.
async fn restore_engines(run: &SoakRun, delay: Duration, number: u64) {
    time::sleep(delay).await;
    let fleet = run.fleet.lock().await;
    let power = *fleet.power.borrow();
    if power.has_engines_down && power.losses == number {
        for index in 0..fleet.engines.len() {
            fleet.engines[index].link.set_mode(RelayMode::Open);
            fleet.publish_engine(index);
        }
        fleet.power.send_modify(|power| power.has_engines_down = false);
    }
}

/// Starts `target` after a pause, unless it runs or power was lost once more.
async fn start_after(run: &SoakRun, target: Target, pause: Duration, number: u64) {
    time::sleep(pause).await;
    let spec = loop {
        let mut fleet = run.fleet.lock().await;
        if fleet.power.borrow().losses != number {
            return;
        }
        let process = fleet.process_mut(target);
        if process.running.is_some() {
            return;
        }
        if !process.is_claimed {
            process.is_claimed = true;
            break process.spec.clone();
        }
        drop(fleet);
        time::sleep(Duration::from_millis(2)).await;
    };
    let started = spec.start().await;
    let mut fleet = run.fleet.lock().await;
    let has_power = fleet.power.borrow().losses == number;
    let process = fleet.process_mut(target);
    process.is_claimed = false;
    match started {
        Ok(running) if has_power => process.running = Some(running),
        Ok(mut running) => running.kill().await,
        Err(error) => {
            let detail = format!("{target} failed to restart: {error}; {}", process.last_lines());
            run.fault_log.lock().await.failures.push(detail);
        }
    }
}

/// Waits until all processes answer readiness checks, and returns those that do not by `deadline`.
pub async fn find_unready(run: &SoakRun, deadline: Instant) -> Vec<Target> {
    let probes = {
        let fleet = run.fleet.lock().await;
        let probes = fleet.targets().into_iter().map(|target| (target, fleet.ready_probe(target)));
        probes.collect::<Vec<_>>()
    };
    let waits = probes.into_iter().map(|(target, (address, path))| async move {
        while !is_ready(address, path).await {
            if Instant::now() > deadline {
                return Some(target);
            }
            time::sleep(READY_INTERVAL).await;
        }
        None
    });
    join_all(waits).await.into_iter().flatten().collect()
}

/// Whether a readiness check is answered with 200.
pub async fn is_ready(address: SocketAddr, path: &str) -> bool {
    let request = Request::get(format!("http://{address}{path}")).body(Full::<Bytes>::default());
    let request = request.expect("the address and the path are valid");
    let exchange = async {
        let mut connection = Connection::open(address, &connect_settings()).await.ok()?;
        connection.send(request).await.ok()
    };
    let answer = time::timeout(READY_TIMEOUT, exchange).await.ok().flatten();
    answer.is_some_and(|answer| answer.status() == 200)
}
