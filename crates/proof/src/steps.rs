//! Steps of request handling, model placement and operation during which faults are injected, each
//! with the work that brings the fleet into it.

use std::{fmt, str::FromStr, time::Duration};

use standin::{
    engine::{EngineRecords, OrderKind},
    load::CallKind,
};
use tokio::time;

use crate::{
    callers::CallerPool,
    edits::EditWatch,
    faults::{FaultTarget, NameError},
    fleet::{Fleet, Result},
};

/// Longest wait for a load or unload to begin; after it the fault is injected anyway.
const STEP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between checks whether a load or unload has begun.
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Step that the fleet is in when faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StepKind {
    /// Entry processes request grants from the owner of a model.
    Ask,
    /// The owner of a model grants a backend server to requests.
    Grant,
    /// Idempotency keys are claimed.
    Claim,
    /// Requests are sent to side processes.
    HandOver,
    /// Answers are streamed.
    Answer,
    /// A model is loaded.
    Load,
    /// A model is unloaded to free memory for another one.
    Unload,
    /// A slot moves, because its side process was restarted.
    SlotMove,
    /// An edit of the lists is being applied.
    Edit,
    /// An accepted edit propagates to the entries.
    Spread,
    /// A side process shuts down on SIGTERM.
    Drain,
    /// A plain service executes non-idempotent calls.
    ServiceCall,
    /// An entry process shuts down on SIGTERM.
    EntryDrain,
}

impl StepKind {
    /// All steps, in the order of the matrix.
    pub const ALL: [StepKind; 13] = [
        StepKind::Ask,
        StepKind::Grant,
        StepKind::Claim,
        StepKind::HandOver,
        StepKind::Answer,
        StepKind::Load,
        StepKind::Unload,
        StepKind::SlotMove,
        StepKind::Edit,
        StepKind::Spread,
        StepKind::Drain,
        StepKind::ServiceCall,
        StepKind::EntryDrain,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            StepKind::Ask => "ask",
            StepKind::Grant => "grant",
            StepKind::Claim => "claim",
            StepKind::HandOver => "hand-over",
            StepKind::Answer => "answer",
            StepKind::Load => "load",
            StepKind::Unload => "unload",
            StepKind::SlotMove => "slot-move",
            StepKind::Edit => "edit",
            StepKind::Spread => "spread",
            StepKind::Drain => "drain",
            StepKind::ServiceCall => "service-call",
            StepKind::EntryDrain => "entry-drain",
        }
    }
}

impl fmt::Display for StepKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for StepKind {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::ALL.into_iter().find(|step| step.name() == text).ok_or(NameError::new(text))
    }
}

/// A step that has begun, with the target for its faults.
#[derive(Debug)]
pub struct StepRun {
    /// Process that faults are injected into.
    pub target: FaultTarget,
    /// Edit of the lists, in the steps that make one.
    pub edit: Option<EditWatch>,
    /// Process that shuts down on SIGTERM, in the drain steps.
    pub drained: Option<FaultTarget>,
}

impl StepRun {
    fn with_target(target: FaultTarget) -> Self {
        Self { target, edit: None, drained: None }
    }
}

/// Index of the entry process that shuts down in [`StepKind::EntryDrain`].
pub const DRAINED_ENTRY: usize = 1;

/// Time from SIGTERM until faults are injected.
const STOP_TO_FAULT_DELAY: Duration = Duration::from_millis(100);

/// Target of faults at an entry process: it owns some of the models, and steps that use a single
/// entry send their requests to the first one.
const SECOND_ENTRY: FaultTarget = FaultTarget::Entry(1);

/// Brings the fleet into `step` and returns once it is there.
///
/// # Errors
///
/// Fails if a process cannot be signalled or restarted, or a stand-in does not answer.
pub async fn begin(step: StepKind, fleet: &mut Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    match step {
        StepKind::Ask => {
            send_chats(fleet, pool, &["m0", "m1"], 12, 8, false);
            Ok(StepRun::with_target(SECOND_ENTRY))
        }
        StepKind::Grant => {
            send_chats(fleet, pool, &["m0", "m1"], 60, 20, false);
            time::sleep(Duration::from_millis(60)).await;
            Ok(StepRun::with_target(SECOND_ENTRY))
        }
        StepKind::Claim => {
            send_orders(fleet, pool, 30);
            Ok(StepRun::with_target(SECOND_ENTRY))
        }
        StepKind::HandOver => {
            send_chats(fleet, pool, &["m0", "m1"], 12, 20, false);
            send_orders(fleet, pool, 12);
            time::sleep(Duration::from_millis(15)).await;
            Ok(StepRun::with_target(engine_target(fleet, "m0").await))
        }
        StepKind::Answer => {
            send_chats(fleet, pool, &["m0", "m1"], 8, 300, true);
            time::sleep(Duration::from_millis(500)).await;
            Ok(StepRun::with_target(engine_target(fleet, "m0").await))
        }
        StepKind::Load => begin_load(fleet, pool).await,
        StepKind::Unload => begin_unload(fleet, pool).await,
        StepKind::SlotMove => begin_slot_move(fleet, pool).await,
        StepKind::Edit => {
            let edit = EditWatch::start(fleet, 1).await?;
            Ok(StepRun { edit: Some(edit), ..StepRun::with_target(SECOND_ENTRY) })
        }
        StepKind::Spread => {
            let mut edit = EditWatch::start(fleet, 1).await?;
            edit.wait_accepted().await;
            Ok(StepRun { edit: Some(edit), ..StepRun::with_target(SECOND_ENTRY) })
        }
        StepKind::Drain => begin_drain(fleet, pool).await,
        StepKind::ServiceCall => {
            send_orders(fleet, pool, 30);
            time::sleep(Duration::from_millis(15)).await;
            Ok(StepRun::with_target(FaultTarget::ServiceReplica(0)))
        }
        StepKind::EntryDrain => begin_entry_drain(fleet, pool).await,
    }
}

/// Sends `count` chat completions at once, spread over the models and entries in turn.
pub fn send_chats(
    fleet: &Fleet,
    pool: &mut CallerPool,
    models: &[&str],
    count: usize,
    tokens: u32,
    is_stream: bool,
) {
    for index in 0..count {
        let entry = index % fleet.entries.len();
        let kind = pool.chat_call(models[index % models.len()], tokens, is_stream);
        pool.send(entry, fleet.entries[entry].http_address(), Duration::ZERO, kind);
    }
}

/// Sends `count` non-idempotent calls, three of four with an idempotency key, some of those twice.
fn send_orders(fleet: &Fleet, pool: &mut CallerPool, count: usize) {
    for index in 0..count {
        let entry = index % fleet.entries.len();
        let has_key = index % 4 != 0;
        let kind = pool.non_idempotent_call(has_key);
        if has_key && index % 3 == 0 {
            send_duplicate(fleet, pool, (entry + 1) % fleet.entries.len(), kind.clone());
        }
        pool.send(entry, fleet.entries[entry].http_address(), Duration::ZERO, kind);
    }
}

/// Sends the same request with the same idempotency key to another entry 20 ms later.
fn send_duplicate(fleet: &Fleet, pool: &mut CallerPool, entry: usize, kind: CallKind) {
    let address = fleet.entries[entry].http_address();
    pool.send(entry, address, Duration::from_millis(20), kind);
}

async fn engine_target(fleet: &Fleet, model: &str) -> FaultTarget {
    FaultTarget::Engine(fleet.engine_holding(model).await.unwrap_or(0))
}

async fn begin_load(fleet: &Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    send_chats(fleet, pool, &["m2", "m3"], 12, 8, false);
    let began = time::Instant::now();
    while began.elapsed() < STEP_TIMEOUT {
        if let Some(index) = fleet.engine_loading("m2").await {
            return Ok(StepRun::with_target(FaultTarget::Engine(index)));
        }
        time::sleep(STEP_POLL_INTERVAL).await;
    }
    Ok(StepRun::with_target(FaultTarget::Engine(0)))
}

async fn begin_unload(fleet: &Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    let models = ["m2", "m3", "m4", "m5"];
    for (index, model) in models.iter().enumerate() {
        let kind = pool.chat_call(model, 8, false);
        let delay = Duration::from_millis(100) * index as u32;
        pool.send(0, fleet.entries[0].http_address(), delay, kind);
    }
    let began = time::Instant::now();
    while began.elapsed() < STEP_TIMEOUT {
        let records = fleet.engine_records().await?;
        if let Some(index) = records.iter().position(has_unload) {
            return Ok(StepRun::with_target(FaultTarget::Engine(index)));
        }
        time::sleep(STEP_POLL_INTERVAL).await;
    }
    Ok(StepRun::with_target(FaultTarget::Engine(0)))
}

fn has_unload(records: &EngineRecords) -> bool {
    records.orders.iter().any(|order| order.kind == OrderKind::Unload)
}

async fn begin_slot_move(fleet: &mut Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    let index = fleet.engine_holding("m0").await.unwrap_or(0);
    let side = &mut fleet.engines[index].side;
    side.process.kill().await;
    side.restart().await?;
    send_chats(fleet, pool, &["m0", "m1", "m2"], 12, 8, false);
    time::sleep(Duration::from_millis(100)).await;
    Ok(StepRun::with_target(SECOND_ENTRY))
}

async fn begin_drain(fleet: &Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    send_chats(fleet, pool, &["m0", "m1"], 8, 300, true);
    time::sleep(Duration::from_millis(300)).await;
    let holder = fleet.engine_holding("m0").await.unwrap_or(0);
    fleet.engines[holder].side.process.terminate()?;
    time::sleep(STOP_TO_FAULT_DELAY).await;
    let drained = Some(FaultTarget::Engine(holder));
    Ok(StepRun { drained, ..StepRun::with_target(SECOND_ENTRY) })
}

async fn begin_entry_drain(fleet: &Fleet, pool: &mut CallerPool) -> Result<StepRun> {
    send_chats(fleet, pool, &["m0", "m1"], 8, 300, true);
    send_orders(fleet, pool, 8);
    time::sleep(Duration::from_millis(300)).await;
    fleet.entries[DRAINED_ENTRY].process.terminate()?;
    time::sleep(STOP_TO_FAULT_DELAY).await;
    let drained = Some(FaultTarget::Entry(DRAINED_ENTRY));
    Ok(StepRun { drained, ..StepRun::with_target(engine_target(fleet, "m0").await) })
}
