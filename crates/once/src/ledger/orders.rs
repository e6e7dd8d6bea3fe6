//! Handling of run orders and cancels in the run ledger.

use base::prelude::*;

use super::{RunLedger, RunPhase, RunRecord};
use crate::{
    fingerprint::RequestFingerprint,
    run::{CancelOrder, RunAction, RunEpoch, RunId, RunIsolation, RunOrder},
};

impl RunLedger {
    pub(super) fn order(&mut self, order: &RunOrder, now: Instant) -> Vec<RunAction> {
        let refuse = |code| vec![RunAction::Refuse { id: order.id, link: order.link, code }];
        if self.checks.incarnation && order.grant.incarnation != self.incarnation {
            return refuse(ResultCode::NoReplica);
        }
        if self.checks.duplicates
            && let Some(record) = self.records.get(&order.id)
        {
            return match record.phase {
                RunPhase::NotRun(code) => refuse(code),
                _ if record.is_active() && record.link == order.link => Vec::new(),
                _ => refuse(ResultCode::BackendLost),
            };
        }
        if self.checks.epochs && !self.is_epoch_kept(order.grant.epoch) {
            return refuse(ResultCode::BackendLost);
        }
        match self.refusal(order, now) {
            Some(code) => {
                if self.checks.tombstones {
                    self.record_order(order, RunPhase::NotRun(code), now);
                }
                refuse(code)
            }
            None if order.isolation == RunIsolation::Alone && self.checks.isolation => {
                self.record_order(order, RunPhase::Waiting, now);
                Vec::new()
            }
            None => {
                self.record_order(order, RunPhase::Running { offset: 0 }, now);
                vec![RunAction::HandOver { id: order.id }]
            }
        }
    }

    pub(super) fn refusal(&self, order: &RunOrder, now: Instant) -> Option<ResultCode> {
        if self.checks.drain && self.drain.is_some() {
            return Some(ResultCode::ProcessStopping);
        }
        if order.deadline <= now {
            return Some(ResultCode::DeadlinePassed);
        }
        let full = self.active.len() >= self.limits.max_runs;
        let reserved = self.checks.isolation && self.has_isolated_run();
        (full || reserved || !self.engine_up).then_some(ResultCode::NoReplica)
    }

    pub(super) fn has_isolated_run(&self) -> bool {
        self.active.iter().any(|id| self.records[id].isolation == RunIsolation::Alone)
    }

    pub(super) fn is_epoch_kept(&self, epoch: RunEpoch) -> bool {
        (self.floor..=self.epoch).contains(&epoch)
    }

    pub(super) fn record_order(&mut self, order: &RunOrder, phase: RunPhase, now: Instant) {
        let record = RunRecord {
            epoch: order.grant.epoch,
            link: order.link,
            fingerprint: order.fingerprint,
            deadline: order.deadline,
            isolation: order.isolation,
            phase,
        };
        self.insert(order.id, record, now);
    }

    pub(super) fn insert(&mut self, id: RunId, record: RunRecord, now: Instant) {
        if record.is_active() {
            self.active.insert(id);
        }
        self.records.insert(id, record);
        self.epoch_records += 1;
        if self.epoch_records >= self.limits.max_epoch_records {
            self.advance_epoch(now);
        }
    }

    pub(super) fn cancel(&mut self, cancel: &CancelOrder, now: Instant) -> Vec<RunAction> {
        let (id, link) = (cancel.id, cancel.link);
        let ack = |state| RunAction::AckCancel { id, link, state };
        if cancel.grant.incarnation != self.incarnation {
            return vec![ack(RunState::MayHaveRun)];
        }
        let Some(record) = self.records.get(&id) else {
            return vec![ack(self.block_later_orders(cancel, now))];
        };
        match record.phase {
            RunPhase::Waiting => {
                self.complete(id, RunPhase::NotRun(ResultCode::CallerCancelled));
                vec![ack(RunState::NotRun)]
            }
            RunPhase::Running { .. } => {
                vec![self.cancel_at_engine(id), ack(RunState::MayHaveRun)]
            }
            RunPhase::Cancelling | RunPhase::Ended => vec![ack(RunState::MayHaveRun)],
            RunPhase::NotRun(_) => vec![ack(RunState::NotRun)],
        }
    }

    /// Records the cancel of an unknown attempt, so that a later order for it is refused.
    pub(super) fn block_later_orders(&mut self, cancel: &CancelOrder, now: Instant) -> RunState {
        if !self.is_epoch_kept(cancel.grant.epoch) {
            return RunState::MayHaveRun;
        }
        if self.checks.tombstones {
            let record = RunRecord {
                epoch: cancel.grant.epoch,
                link: cancel.link,
                fingerprint: RequestFingerprint([0; 32]),
                deadline: now,
                isolation: RunIsolation::Shared,
                phase: RunPhase::NotRun(ResultCode::CallerCancelled),
            };
            self.insert(cancel.id, record, now);
        }
        RunState::NotRun
    }
}
