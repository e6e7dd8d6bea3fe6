//! The run ledger of a side process, which decides what is sent to the model engine.
//!
//! Each attempt is handed to the engine at most once per incarnation of the side process. A
//! refusal as not run is recorded, so that a later copy of the order cannot run. Epochs bound the
//! memory: an order names the epoch in which it was granted, and once the records of an epoch are
//! dropped, all orders of that epoch are refused. No decision depends on how late a frame arrives.

mod limits;
mod orders;
mod record;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;

pub use self::limits::{LedgerChecks, LedgerLimits};
use self::record::{RunPhase, RunRecord};
use crate::run::{
    CrashReport, CrashedRun, DrainCause, EngineEnd, LinkId, RunAction, RunEpoch, RunEvent,
    RunGrant, RunId, SendState,
};

/// State machine that decides on run orders and cancels; it performs no I/O itself.
#[derive(Debug)]
pub struct RunLedger {
    incarnation: ProcessIncarnation,
    limits: LedgerLimits,
    checks: LedgerChecks,
    records: BTreeMap<RunId, RunRecord>,
    active: BTreeSet<RunId>,
    epoch: RunEpoch,
    /// Oldest epoch whose records are kept.
    floor: RunEpoch,
    epoch_started: Instant,
    epoch_records: usize,
    engine_up: bool,
    crashes: u64,
    drain: Option<DrainCause>,
    drain_ended: bool,
}

impl RunLedger {
    /// Creates the empty ledger of a process that starts at `now`.
    pub fn new(incarnation: ProcessIncarnation, limits: LedgerLimits, now: Instant) -> Self {
        Self::with_checks(incarnation, limits, LedgerChecks::default(), now)
    }

    /// Creates a ledger with some checks disabled, for tests.
    pub fn with_checks(
        incarnation: ProcessIncarnation,
        limits: LedgerLimits,
        checks: LedgerChecks,
        now: Instant,
    ) -> Self {
        Self {
            incarnation,
            limits,
            checks,
            records: BTreeMap::new(),
            active: BTreeSet::new(),
            epoch: RunEpoch(0),
            floor: RunEpoch(0),
            epoch_started: now,
            epoch_records: 0,
            engine_up: true,
            crashes: 0,
            drain: None,
            drain_ended: false,
        }
    }

    /// The incarnation and epoch that orders must name.
    pub fn grant(&self) -> RunGrant {
        RunGrant { incarnation: self.incarnation, epoch: self.epoch }
    }

    /// Number of runs that wait for the engine or are at the engine.
    pub fn active_runs(&self) -> usize {
        self.active.len()
    }

    /// Whether a run waits for the engine or is at the engine.
    pub fn is_active(&self, id: RunId) -> bool {
        self.active.contains(&id)
    }

    /// Whether the engine accepts calls, as far as known: false from a crash until it is ready.
    pub fn is_engine_up(&self) -> bool {
        self.engine_up
    }

    /// Number of attempts on record.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Applies one event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: RunEvent, now: Instant) -> Vec<RunAction> {
        let mut actions = match event {
            RunEvent::Order(order) => self.order(&order, now),
            RunEvent::Cancel(cancel) => self.cancel(&cancel, now),
            RunEvent::HandOverFailed { id, sent } => self.hand_over_failed(id, sent),
            RunEvent::Chunk { id, body } => self.chunk(id, body),
            RunEvent::End { id, end } => self.end(id, end),
            RunEvent::EngineCrashed => self.engine_crashed(),
            RunEvent::EngineReady => self.engine_ready(),
            RunEvent::LinkLost(link) => self.link_lost(link),
            RunEvent::Drain(cause) => self.start_drain(cause),
            RunEvent::Tick => self.tick(now),
        };
        actions.extend(self.start_waiting());
        actions.extend(self.end_drain());
        actions
    }

    fn complete(&mut self, id: RunId, phase: RunPhase) {
        if self.active.remove(&id)
            && let Some(record) = self.records.get_mut(&id)
        {
            record.phase = phase;
        }
    }

    fn hand_over_failed(&mut self, id: RunId, sent: SendState) -> Vec<RunAction> {
        let Some(record) = self.records.get(&id).filter(|record| record.at_engine()) else {
            return Vec::new();
        };
        let (link, is_awaited) = (record.link, record.phase != RunPhase::Cancelling);
        let (phase, code) = match sent {
            SendState::NotTaken => (RunPhase::NotRun(ResultCode::NoReplica), ResultCode::NoReplica),
            SendState::PartlySent => (RunPhase::Ended, ResultCode::BackendLost),
        };
        self.complete(id, phase);
        is_awaited.then_some(RunAction::Refuse { id, link, code }).into_iter().collect()
    }

    fn chunk(&mut self, id: RunId, body: Bytes) -> Vec<RunAction> {
        let Some(record) = self.records.get_mut(&id) else { return Vec::new() };
        let RunPhase::Running { offset } = &mut record.phase else { return Vec::new() };
        let start = *offset;
        *offset += body.len() as u64;
        vec![RunAction::Forward { id, link: record.link, offset: start, body }]
    }

    fn end(&mut self, id: RunId, end: EngineEnd) -> Vec<RunAction> {
        let Some(record) = self.records.get(&id).filter(|record| record.at_engine()) else {
            return Vec::new();
        };
        let (link, phase) = (record.link, record.phase);
        self.complete(id, RunPhase::Ended);
        match (phase, end) {
            (RunPhase::Running { offset }, EngineEnd::Complete) => {
                vec![RunAction::Finish { id, link, length: offset }]
            }
            (RunPhase::Running { .. }, EngineEnd::Failed(code))
                if code.run_state() == RunState::MayHaveRun =>
            {
                vec![RunAction::Refuse { id, link, code }]
            }
            (RunPhase::Running { .. }, EngineEnd::Failed(_) | EngineEnd::Cancelled) => {
                vec![RunAction::Refuse { id, link, code: ResultCode::BackendFailed }]
            }
            _ => Vec::new(),
        }
    }

    fn engine_crashed(&mut self) -> Vec<RunAction> {
        self.engine_up = false;
        self.crashes += 1;
        let mut runs = Vec::new();
        let mut refusals = Vec::new();
        for id in std::mem::take(&mut self.active) {
            let Some(record) = self.records.get_mut(&id) else { continue };
            let link = record.link;
            let (code, phase) = match record.phase {
                RunPhase::Waiting => {
                    (ResultCode::NoReplica, RunPhase::NotRun(ResultCode::NoReplica))
                }
                _ => (ResultCode::BackendLost, RunPhase::Ended),
            };
            if record.at_engine() {
                runs.push(CrashedRun { id, link, fingerprint: record.fingerprint });
            }
            if record.phase != RunPhase::Cancelling {
                refusals.push(RunAction::Refuse { id, link, code });
            }
            record.phase = phase;
        }
        let incarnation = self.incarnation;
        let report = CrashReport { incarnation, crash: self.crashes, runs };
        let mut actions = vec![RunAction::ReportCrash(report)];
        actions.extend(refusals);
        actions
    }

    fn engine_ready(&mut self) -> Vec<RunAction> {
        self.engine_up = true;
        Vec::new()
    }

    fn link_lost(&mut self, link: LinkId) -> Vec<RunAction> {
        let mut actions = Vec::new();
        for id in self.active_ids(|record| record.link == link) {
            match self.records[&id].phase {
                RunPhase::Waiting => {
                    self.complete(id, RunPhase::NotRun(ResultCode::CallerCancelled));
                }
                RunPhase::Running { .. } => actions.push(self.cancel_at_engine(id)),
                _ => {}
            }
        }
        actions
    }

    fn start_drain(&mut self, cause: DrainCause) -> Vec<RunAction> {
        self.drain.get_or_insert(cause);
        if !self.checks.drain {
            return Vec::new();
        }
        self.refuse_waiting(ResultCode::ProcessStopping, |_| true)
    }

    fn tick(&mut self, now: Instant) -> Vec<RunAction> {
        if now >= self.epoch_started + self.limits.epoch_duration {
            self.advance_epoch(now);
        }
        let late = |record: &RunRecord| record.deadline <= now;
        let mut actions = self.refuse_waiting(ResultCode::DeadlinePassed, late);
        let running = |record: &RunRecord| matches!(record.phase, RunPhase::Running { .. });
        for id in self.active_ids(|record| late(record) && running(record)) {
            let link = self.records[&id].link;
            actions.push(self.cancel_at_engine(id));
            actions.push(RunAction::Refuse { id, link, code: ResultCode::AnswerTimeout });
        }
        actions
    }

    fn active_ids(&self, predicate: impl Fn(&RunRecord) -> bool) -> Vec<RunId> {
        self.active.iter().copied().filter(|id| predicate(&self.records[id])).collect()
    }

    fn cancel_at_engine(&mut self, id: RunId) -> RunAction {
        if let Some(record) = self.records.get_mut(&id) {
            record.phase = RunPhase::Cancelling;
        }
        RunAction::CancelAtEngine { id }
    }

    fn refuse_waiting(
        &mut self,
        code: ResultCode,
        refused: impl Fn(&RunRecord) -> bool,
    ) -> Vec<RunAction> {
        let waiting = |record: &RunRecord| record.phase == RunPhase::Waiting;
        let ids = self.active_ids(|record| waiting(record) && refused(record));
        let mut actions = Vec::new();
        for id in ids {
            self.complete(id, RunPhase::NotRun(code));
            let link = self.records[&id].link;
            actions.push(RunAction::Refuse { id, link, code });
        }
        actions
    }

    fn advance_epoch(&mut self, now: Instant) {
        self.epoch.0 += 1;
        self.epoch_started = now;
        self.epoch_records = 0;
        self.floor = RunEpoch(self.epoch.0.saturating_sub(self.limits.kept_epochs));
        let floor = self.floor;
        self.records.retain(|_, record| record.is_active() || record.epoch >= floor);
    }

    /// Hands a waiting isolated run to the engine once no other run is active.
    fn start_waiting(&mut self) -> Vec<RunAction> {
        if self.active.len() != 1 || !self.engine_up {
            return Vec::new();
        }
        let id = *self.active.first().expect("one run is active");
        match self.records.get_mut(&id) {
            Some(record) if record.phase == RunPhase::Waiting => {
                record.phase = RunPhase::Running { offset: 0 };
                vec![RunAction::HandOver { id }]
            }
            _ => Vec::new(),
        }
    }

    fn end_drain(&mut self) -> Vec<RunAction> {
        if self.drain.is_none() || self.drain_ended || !self.active.is_empty() {
            return Vec::new();
        }
        self.drain_ended = true;
        vec![RunAction::DrainEnded]
    }
}
