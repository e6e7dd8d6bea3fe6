//! Runs one cell: starts a fleet, brings it into the step, injects faults and judges.

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
    callers::{CallerPool, all_whole},
    checks::{BrokenPromise, check_all},
    edits::EditWatch,
    faults::{FaultKind, FaultTarget},
    fleet::{Fleet, Result},
    injection::{heal, inject},
    matrix::MatrixCell,
    nodes::{SystemNode, remove_directory},
    plan::{CRASH_MARKER, ENGINE_GIB, RECOVERY_LIMIT, decided},
    records::{CellEvidence, DeskEvidence, EngineEvidence, StopEvidence},
    steps::{DRAINED_ENTRY, StepKind, StepRun, begin},
};

/// Time between two waves of ordinary requests.
const WAVE_PAUSE: Duration = Duration::from_millis(200);
/// Time for which ordinary requests go on after the faults.
const WAVES_AFTER: Duration = Duration::from_secs(2);
/// Pause between the injections of two faults.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two probes of recovery.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for the end of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// Times that the caller of a fatal request sends it.
const FATAL_SENDS: u32 = 4;
/// Pause of the caller of a fatal request before it sends it again.
const FATAL_PAUSE: Duration = Duration::from_millis(2_500);

/// What became of a cell.
#[derive(Debug)]
pub enum CellVerdict {
    /// Every promise was kept.
    Passed,
    /// Promises were broken.
    Failed(Vec<BrokenPromise>),
    /// The cell could not be run to its end.
    NotRun(String),
}

/// A cell and what became of it.
#[derive(Debug)]
pub struct CellReport {
    /// The cell.
    pub cell: MatrixCell,
    /// What became of it.
    pub verdict: CellVerdict,
    /// Time taken.
    pub took: Duration,
    /// Logs, kept for cells that did not pass.
    pub logs: Option<PathBuf>,
}

/// Runs one cell with logs below `home`.
pub async fn run_cell(programs: &ProgramPaths, home: &Path, cell: &MatrixCell) -> CellReport {
    let began = Instant::now();
    let directory = home.join(cell.to_string().replace('/', "-"));
    let verdict = match gather(programs, &directory, cell).await {
        Ok(evidence) => match check_all(&evidence) {
            broken if broken.is_empty() => CellVerdict::Passed,
            broken => CellVerdict::Failed(broken),
        },
        Err(error) => CellVerdict::NotRun(error.to_string()),
    };
    let has_passed = matches!(verdict, CellVerdict::Passed);
    if has_passed {
        remove_directory(&directory);
    }
    let logs = (!has_passed).then_some(directory);
    CellReport { cell: cell.clone(), verdict, took: began.elapsed(), logs }
}

async fn gather(
    programs: &ProgramPaths,
    directory: &Path,
    cell: &MatrixCell,
) -> Result<CellEvidence> {
    let mut fleet = Fleet::start(programs, directory).await?;
    let mut evidence = CellEvidence { decided: decided(), ..CellEvidence::default() };
    if !serves(&fleet, &mut evidence).await {
        return Ok(evidence);
    }
    let mut pool = CallerPool::default();
    schedule_waves(&fleet, &mut pool, cell);
    let mut run = begin(cell.step, &mut fleet, &mut pool).await?;
    excuse(&mut evidence, cell, &run);
    let leaving = strike(&mut fleet, &mut pool, cell, &run).await?;
    if let Some(node) = run.drained.and_then(|drained| drained.node(&mut fleet)) {
        evidence.stops.push(stop_of(node).await);
        node.restart().await?;
    }
    evidence.calls.extend(pool.collect().await);
    evidence.edits.extend(watch_edit(&fleet, cell, run.edit.take()).await);
    evidence.has_recovered = serves(&fleet, &mut evidence).await;
    collect_records(&fleet, &mut evidence, run.target, leaving).await?;
    Ok(evidence)
}

fn total_hold(cell: &MatrixCell) -> Duration {
    cell.faults.iter().map(|fault| fault.hold()).sum()
}

/// Ordinary requests at all entries while the faults last, and a little longer.
fn schedule_waves(fleet: &Fleet, pool: &mut CallerPool, cell: &MatrixCell) {
    let length = total_hold(cell) + WAVES_AFTER;
    let mut at = Duration::ZERO;
    while at < length {
        for (entry, node) in fleet.entries.iter().enumerate() {
            // Nobody sends new requests to an entry process that stops.
            if cell.step == StepKind::EntryDrain && entry == DRAINED_ENTRY {
                continue;
            }
            let kinds = [
                pool.chat(["m0", "m1"][entry % 2], 8, false),
                pool.chat("m1", 8, true),
                pool.order(true),
                pool.order(false),
                pool.reading(),
            ];
            for kind in kinds {
                pool.send(entry, node.http_address(), at, kind);
            }
        }
        at += WAVE_PAUSE;
    }
}

/// Notes what the faults may do to callers at the struck process.
fn excuse(evidence: &mut CellEvidence, cell: &MatrixCell, run: &StepRun) {
    for fault in &cell.faults {
        match run.target {
            FaultTarget::Entry(index) if fault.stops_process() => {
                evidence.disturbed.insert(index);
            }
            FaultTarget::Entry(_) => {}
            FaultTarget::Engine(_) | FaultTarget::Desk(_) => {
                evidence.may_break_streams |= fault.breaks_streams();
            }
        }
        evidence.may_break_streams |= *fault == FaultKind::PoisonRequest;
    }
    // The step itself kills the side process of an engine.
    evidence.may_break_streams |= cell.step == StepKind::SlotMove;
}

/// Injects all faults, lets them last and ends them in the same order.
async fn strike(
    fleet: &mut Fleet,
    pool: &mut CallerPool,
    cell: &MatrixCell,
    run: &StepRun,
) -> Result<Option<u64>> {
    let mut leaving = None;
    for (index, fault) in cell.faults.iter().enumerate() {
        if index > 0 {
            time::sleep(FAULT_PAUSE).await;
        }
        leaving = leaving.or(inject(fleet, *fault, run.target).await?);
        accompany(fleet, pool, *fault)?;
    }
    for fault in &cell.faults {
        time::sleep(fault.hold()).await;
        heal(fleet, *fault, run.target).await?;
        if let Some(edit) = &run.edit {
            edit.entries.refresh(fleet);
        }
    }
    Ok(leaving)
}

/// What people do while a fault lasts.
fn accompany(fleet: &Fleet, pool: &mut CallerPool, fault: FaultKind) -> Result<()> {
    match fault {
        FaultKind::RacingEdits => {
            for edition in [2, 3] {
                let edit = fleet.edit(edition)?;
                tokio::spawn(async move { edit.run().await });
            }
        }
        FaultKind::PoisonRequest => {
            let mut fatal = pool.chat("m0", 8, false);
            if let CallKind::Chat(chat) = &mut fatal {
                chat.prompt = CRASH_MARKER.to_owned();
            }
            for send in 0..FATAL_SENDS {
                let address = fleet.entries[0].http_address();
                pool.send(0, address, FATAL_PAUSE * send, fatal.clone());
            }
        }
        _ => {}
    }
    Ok(())
}

async fn stop_of(node: &mut SystemNode) -> StopEvidence {
    let is_clean = node.process.ended(STOP_LIMIT).await;
    StopEvidence { name: node.process.name.clone(), is_clean }
}

async fn watch_edit(
    fleet: &Fleet,
    cell: &MatrixCell,
    edit: Option<EditWatch>,
) -> Option<crate::records::EditEvidence> {
    let edit = edit?;
    edit.entries.refresh(fleet);
    edit.watch(total_hold(cell)).await
}

/// Probes every listed entry with each kind of request until all are served.
async fn serves(fleet: &Fleet, evidence: &mut CellEvidence) -> bool {
    let began = Instant::now();
    while began.elapsed() < RECOVERY_LIMIT {
        let mut pool = CallerPool::default();
        for (entry, node) in fleet.entries.iter().enumerate() {
            if node.listed.is_none() {
                continue;
            }
            let kinds = [
                pool.chat("m0", 4, false),
                pool.chat("m1", 4, true),
                pool.order(true),
                pool.reading(),
            ];
            for kind in kinds {
                let kind = distinct(kind, began, entry);
                pool.send(entry, node.http_address(), Duration::ZERO, kind);
            }
        }
        let calls = pool.collect().await;
        if all_whole(&calls) {
            return true;
        }
        evidence.probes.extend(calls);
        time::sleep(PROBE_PAUSE).await;
    }
    false
}

/// Gives a probe a key and body that no other request has.
fn distinct(kind: CallKind, began: Instant, entry: usize) -> CallKind {
    let CallKind::Service(mut call) = kind else {
        return kind;
    };
    let mark = format!("probe-{entry}-{}-{:?}", began.elapsed().as_micros(), began);
    let digest = standin::answers::short_digest(&[mark.as_bytes()]);
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
    for (index, pair) in fleet.desks.iter().enumerate() {
        let records = admin::read(pair.server.address("http")?, "/admin/records").await?;
        let leaving_ms = leaving.filter(|_| target == FaultTarget::Desk(index));
        evidence.desks.push(DeskEvidence { records, leaving_ms });
    }
    Ok(())
}
