//! Commits of a claim shard, one segment at a time: write, read back if the result is unclear,
//! confirm against the base, reply.

use std::collections::{HashSet, VecDeque};

use base::prelude::*;

use super::{
    ClaimShard, CommitStep, ShardPhase,
    batch::{CommitBatch, PendingCall},
    reply_action,
};
use crate::{
    claim::{ReadOutcome, ShardAction, ShardTime, StoredBase, WriteOutcome},
    segment::MAX_SEGMENT_RECORDS,
};

impl ClaimShard {
    pub(super) fn start_batch(&mut self, time: ShardTime) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        let mut digests = HashSet::new();
        let mut calls = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(pending) = self.queue.pop_front() {
            if let Some(reply) = self.final_reply(&pending.call) {
                actions.push(reply_action(pending.call.ticket, reply));
            } else if self.is_duplicate(&pending.call) {
                calls.push(PendingCall { read_only: true, ..pending });
            } else if calls.len() < MAX_SEGMENT_RECORDS && digests.insert(pending.call.key.digest) {
                calls.push(PendingCall { read_only: false, ..pending });
            } else {
                remaining.push_back(pending);
            }
        }
        self.queue = remaining;
        if !calls.is_empty() {
            actions.extend(self.start_commit(calls, time));
        }
        actions
    }

    pub(super) fn start_commit(
        &mut self,
        calls: Vec<PendingCall>,
        time: ShardTime,
    ) -> Vec<ShardAction> {
        self.nonce += 1;
        let batch = CommitBatch::new(self.writer, self.nonce, self.table.next(), calls);
        if batch.is_probe() {
            return self.read_back(batch);
        }
        self.next_write = time.now + self.limits.min_write_interval;
        self.write(batch)
    }

    pub(super) fn write(&mut self, batch: CommitBatch) -> Vec<ShardAction> {
        let (number, body) = (batch.number, batch.body());
        self.phase = ShardPhase::Writing(batch);
        vec![ShardAction::WriteSegment { number, body }]
    }

    pub(super) fn segment_written(
        &mut self,
        outcome: WriteOutcome,
        time: ShardTime,
    ) -> Vec<ShardAction> {
        let ShardPhase::Writing(mut batch) = self.take_phase() else { return Vec::new() };
        match outcome {
            WriteOutcome::Written(version) => {
                batch.version = version;
                self.confirm(batch)
            }
            WriteOutcome::ConditionFailed if !self.checks.fence => self.confirm(batch),
            WriteOutcome::Uncertain if !self.checks.read_back => self.confirm(batch),
            WriteOutcome::ConditionFailed => {
                batch.number_taken = true;
                self.read_back(batch)
            }
            WriteOutcome::Uncertain => {
                batch.in_doubt = true;
                self.read_back(batch)
            }
            WriteOutcome::Deferred if !batch.in_doubt => {
                self.next_write = time.now + self.limits.retry_delay;
                self.requeue(batch);
                Vec::new()
            }
            WriteOutcome::NotWritten | WriteOutcome::Deferred if batch.in_doubt => {
                self.pause(batch, CommitStep::Write, time)
            }
            WriteOutcome::NotWritten | WriteOutcome::Deferred => {
                self.phase = ShardPhase::Idle;
                batch.refuse(ResultCode::StoreUnavailable)
            }
        }
    }

    pub(super) fn segment_read(
        &mut self,
        outcome: ReadOutcome,
        time: ShardTime,
    ) -> Vec<ShardAction> {
        let ShardPhase::Reading(mut batch) = self.take_phase() else { return Vec::new() };
        match outcome {
            ReadOutcome::Failed => self.pause(batch, CommitStep::Read, time),
            ReadOutcome::Found(stored) if batch.is_own(self.writer, &stored) => {
                batch.version = stored.version;
                self.confirm(batch)
            }
            ReadOutcome::Found(stored) => {
                self.table.apply(&stored);
                self.phase = ShardPhase::Idle;
                self.requeue(batch);
                Vec::new()
            }
            ReadOutcome::Absent if batch.number_taken => {
                self.phase = ShardPhase::Unknown(time.now);
                self.requeue(batch);
                Vec::new()
            }
            ReadOutcome::Absent if batch.is_probe() => self.confirm(batch),
            ReadOutcome::Absent => self.pause(batch, CommitStep::Write, time),
        }
    }

    pub(super) fn commit(
        &mut self,
        batch: CommitBatch,
        base: StoredBase,
        time: ShardTime,
    ) -> Vec<ShardAction> {
        if self.checks.base && base.base.first > batch.number.0 {
            self.phase = ShardPhase::Unknown(time.now);
            self.requeue(batch);
            return Vec::new();
        }
        if !batch.is_probe() {
            self.table.apply(&batch.stored());
        }
        let mut actions = self.delete_obsolete(base);
        for pending in batch.calls.into_iter().rev().filter(|pending| !pending.answered) {
            match self.current_reply(&pending.call) {
                Some(reply) => actions.push(reply_action(pending.call.ticket, reply)),
                None => self.queue.push_front(pending),
            }
        }
        actions
    }

    pub(super) fn confirm(&mut self, batch: CommitBatch) -> Vec<ShardAction> {
        self.phase = ShardPhase::Confirming(batch);
        vec![ShardAction::ReadBase]
    }

    pub(super) fn read_back(&mut self, batch: CommitBatch) -> Vec<ShardAction> {
        let number = batch.number;
        self.phase = ShardPhase::Reading(batch);
        vec![ShardAction::ReadSegment { number }]
    }

    pub(super) fn pause(
        &mut self,
        batch: CommitBatch,
        step: CommitStep,
        time: ShardTime,
    ) -> Vec<ShardAction> {
        self.phase = ShardPhase::Paused(batch, step, time.now + self.limits.retry_delay);
        Vec::new()
    }

    pub(super) fn requeue(&mut self, batch: CommitBatch) {
        for pending in batch.calls.into_iter().rev().filter(|pending| !pending.answered) {
            self.queue.push_front(pending);
        }
    }
}
