//! Runs one cell: starts a fleet, brings it into the step, injects the faults and checks the
//! invariants.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use base::prelude::ByteSize;
use standin::load::CallKind;
use tokio::time::{self, Instant};

use crate::{
    admin,
    binaries::ProgramPaths,
    callers::{CallerPool, all_answered},
    checks::{Violation, check_all},
    edits::EditWatch,
    faults::{FaultKind, FaultTarget},
    fleet::{Fleet, Result},
    injection::{clear, inject},
    matrix::MatrixCell,
    nodes::{SystemNode, remove_directory},
    plan::{CRASH_MARKER, ENGINE_GIB, RECOVERY_LIMIT, configured_replicas},
    records::{CellEvidence, EngineEvidence, ServiceEvidence, StopEvidence},
    steps::{DRAINED_ENTRY, StepKind, StepRun, begin},
};

/// Time between two rounds of background requests.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which background requests continue after the faults.
const TRAFFIC_AFTER_FAULTS: Duration = Duration::from_secs(2);
/// Time between the injections of two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two rounds of probe requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the end of a process after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of times that a poison request is sent.
const POISON_SENDS: u32 = 4;
/// Time between two sends of a poison request.
const POISON_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);

/// Result of a cell.
#[derive(Debug)]
pub enum CellResult {
    /// No invariant was violated.
    Passed,
    /// Invariants were violated; at least one violation is given.
    Failed(Vec<Violation>),
    /// The cell could not be run to its end; with the cause.
    NotRun(String),
}

/// A cell with its result.
#[derive(Debug)]
pub struct CellReport {
    /// Cell that was run.
    pub cell: MatrixCell,
    /// Result of the run.
    pub result: CellResult,
    /// Duration of the run, with start and recovery of the fleet.
    pub took: Duration,
    /// Directory of settings and logs; `None` if the cell passed and they were removed.
    pub logs: Option<PathBuf>,
}

/// Runs one cell with settings and logs in a directory below `logs_root`.
pub async fn run_cell(programs: &ProgramPaths, logs_root: &Path, cell: &MatrixCell) -> CellReport {
    let began = Instant::now();
    let directory = logs_root.join(cell.to_string().replace('/', "-"));
    let result = match collect_evidence(programs, &directory, cell).await {
        Ok(evidence) => match check_all(&evidence) {
            violations if violations.is_empty() => CellResult::Passed,
            violations => CellResult::Failed(violations),
        },
        Err(error) => CellResult::NotRun(error.to_string()),
    };
    let has_passed = matches!(result, CellResult::Passed);
    if has_passed {
        remove_directory(&directory);
    }
    let logs = (!has_passed).then_some(directory);
    CellReport { cell: cell.clone(), result, took: began.elapsed(), logs }
}

async fn collect_evidence(
    programs: &ProgramPaths,
    directory: &Path,
    cell: &MatrixCell,
) -> Result<CellEvidence> {
    let mut fleet = Fleet::start(programs, directory).await?;
    let mut evidence =
        CellEvidence { configured_replicas: configured_replicas(), ..CellEvidence::default() };
    if !wait_until_serving(&fleet, &mut evidence).await {
        return Ok(evidence);
    }
    let mut pool = CallerPool::default();
    schedule_traffic(&fleet, &mut pool, cell);
    let mut run = begin(cell.step, &mut fleet, &mut pool).await?;
    record_permitted_failures(&mut evidence, cell, &run);
    let leaving = inject_faults(&mut fleet, &mut pool, cell, &run).await?;
    if let Some(node) = run.drained.and_then(|drained| drained.node(&mut fleet)) {
        evidence.stops.push(wait_for_stop(node).await);
        node.restart().await?;
    }
    evidence.calls.extend(pool.collect().await);
    evidence.edits.extend(watch_edit(&fleet, cell, run.edit.take()).await);
    evidence.has_recovered = wait_until_serving(&fleet, &mut evidence).await;
    collect_records(&fleet, &mut evidence, run.target, leaving).await?;
    Ok(evidence)
}

fn total_fault_duration(cell: &MatrixCell) -> Duration {
    cell.faults.iter().map(|fault| fault.duration()).sum()
}

/// Schedules background requests at all entries until [`TRAFFIC_AFTER_FAULTS`] after the faults.
fn schedule_traffic(fleet: &Fleet, pool: &mut CallerPool, cell: &MatrixCell) {
    let length = total_fault_duration(cell) + TRAFFIC_AFTER_FAULTS;
    let mut delay = Duration::ZERO;
    while delay < length {
        for (entry, node) in fleet.entries.iter().enumerate() {
            // Callers send no new requests to an entry process that shuts down.
            if cell.step == StepKind::EntryDrain && entry == DRAINED_ENTRY {
                continue;
            }
            let kinds = [
                pool.chat_call(["m0", "m1"][entry % 2], 8, false),
                pool.chat_call("m1", 8, true),
                pool.non_idempotent_call(true),
                pool.non_idempotent_call(false),
                pool.idempotent_call(),
            ];
            for kind in kinds {
                pool.send(entry, node.http_address(), delay, kind);
            }
        }
        delay += TRAFFIC_INTERVAL;
    }
}

/// Records which failures the faults may cause for callers of the target.
fn record_permitted_failures(evidence: &mut CellEvidence, cell: &MatrixCell, run: &StepRun) {
    for fault in &cell.faults {
        match run.target {
            FaultTarget::Entry(index) if fault.stops_process() => {
                evidence.faulted_entries.insert(index);
            }
            FaultTarget::Entry(_) => {}
            FaultTarget::Engine(_) | FaultTarget::ServiceReplica(_) => {
                evidence.may_break_streams |= fault.breaks_streams();
            }
        }
        evidence.may_break_streams |= *fault == FaultKind::PoisonRequest;
    }
    // The step itself kills the side process of an engine.
    evidence.may_break_streams |= cell.step == StepKind::SlotMove;
}

/// Injects all faults, then waits out the duration of each and clears it, in the same order.
async fn inject_faults(
    fleet: &mut Fleet,
    pool: &mut CallerPool,
    cell: &MatrixCell,
    run: &StepRun,
) -> Result<Option<u64>> {
    let mut leaving = None;
    for (index, fault) in cell.faults.iter().enumerate() {
        if index > 0 {
            time::sleep(FAULT_INTERVAL).await;
        }
        leaving = leaving.or(inject(fleet, *fault, run.target).await?);
        start_fault_actions(fleet, pool, *fault)?;
    }
    for fault in &cell.faults {
        time::sleep(fault.duration()).await;
        clear(fleet, *fault, run.target).await?;
        if let Some(edit) = &run.edit {
            edit.entries.refresh(fleet);
        }
    }
    Ok(leaving)
}

/// Starts the edits or requests that are part of a fault.
fn start_fault_actions(fleet: &Fleet, pool: &mut CallerPool, fault: FaultKind) -> Result<()> {
    match fault {
        FaultKind::RacingEdits => {
            for edition in [2, 3] {
                let edit = fleet.edit(edition)?;
                tokio::spawn(async move { edit.run().await });
            }
        }
        FaultKind::PoisonRequest => {
            let mut poison = pool.chat_call("m0", 8, false);
            if let CallKind::Chat(chat) = &mut poison {
                chat.prompt = CRASH_MARKER.to_owned();
            }
            for send in 0..POISON_SENDS {
                let address = fleet.entries[0].http_address();
                pool.send(0, address, POISON_RETRY_INTERVAL * send, poison.clone());
            }
        }
        _ => {}
    }
    Ok(())
}

async fn wait_for_stop(node: &mut SystemNode) -> StopEvidence {
    let is_clean = node.process.wait_for_exit(STOP_TIMEOUT).await;
    StopEvidence { name: node.process.name.clone(), is_clean }
}

async fn watch_edit(
    fleet: &Fleet,
    cell: &MatrixCell,
    edit: Option<EditWatch>,
) -> Option<crate::records::EditEvidence> {
    let edit = edit?;
    edit.entries.refresh(fleet);
    edit.sample_until_applied(total_fault_duration(cell)).await
}

/// Sends probe requests of each kind to every listed entry until a complete round is answered.
/// Returns whether that happens within [`RECOVERY_LIMIT`].
async fn wait_until_serving(fleet: &Fleet, evidence: &mut CellEvidence) -> bool {
    let began = Instant::now();
    while began.elapsed() < RECOVERY_LIMIT {
        let mut pool = CallerPool::default();
        for (entry, node) in fleet.entries.iter().enumerate() {
            if node.listed_state.is_none() {
                continue;
            }
            let kinds = [
                pool.chat_call("m0", 4, false),
                pool.chat_call("m1", 4, true),
                pool.non_idempotent_call(true),
                pool.idempotent_call(),
            ];
            for kind in kinds {
                let kind = with_unique_key(kind, began, entry);
                pool.send(entry, node.http_address(), Duration::ZERO, kind);
            }
        }
        let calls = pool.collect().await;
        if all_answered(&calls) {
            return true;
        }
        evidence.probes.extend(calls);
        time::sleep(PROBE_INTERVAL).await;
    }
    false
}

/// Makes the idempotency key and body of a probe unique across the rounds.
fn with_unique_key(kind: CallKind, began: Instant, entry: usize) -> CallKind {
    let CallKind::Service(mut call) = kind else {
        return kind;
    };
    let label = format!("probe-{entry}-{}-{:?}", began.elapsed().as_micros(), began);
    let digest = standin::answers::short_digest(&[label.as_bytes()]);
    call.key = call.key.map(|key| format!("{key}-{digest}"));
    call.body = format!("{} {digest}", call.body);
    CallKind::Service(call)
}

async fn collect_records(
    fleet: &Fleet,
    evidence: &mut CellEvidence,
    target: FaultTarget,
    leaving: Option<u64>,
) -> Result<()> {
    let memory_bytes = ByteSize::gib(ENGINE_GIB).0;
    for (index, records) in fleet.engine_records().await?.into_iter().enumerate() {
        let leaving_ms = leaving.filter(|_| target == FaultTarget::Engine(index));
        let delisted_ms = fleet.engines[index].side.delisted_ms;
        let engine = EngineEvidence { records, memory_bytes, leaving_ms, delisted_ms };
        evidence.engines.push(engine);
    }
    for (index, pair) in fleet.service_replicas.iter().enumerate() {
        let records = admin::read(pair.server.address("http")?, "/admin/records").await?;
        let leaving_ms = leaving.filter(|_| target == FaultTarget::ServiceReplica(index));
        evidence.service_replicas.push(ServiceEvidence { records, leaving_ms });
    }
    Ok(())
}
