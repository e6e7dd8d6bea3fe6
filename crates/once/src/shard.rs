//! A claim shard, as run by the entry process that owns it.
//!
//! Claims and releases are batched into the next segment of the shard's log. A segment is created
//! only if its number is free, so that each commit is ordered after everything its writer has
//! read; the write of a former owner that resumes fails, and it reads the segments it missed and
//! decides again. After each commit the base is read: a writer that lags behind deleted segments
//! finds its own number below the base, which makes its segment void. Safety needs no lease or
//! clock; two owners at once cause write conflicts but no wrong replies.

mod batch;
mod commit;
mod limits;
mod replies;

use std::collections::VecDeque;

use self::batch::{CommitBatch, PendingCall};
pub use self::limits::{ShardChecks, ShardLimits};
use crate::{
    answers::AnswerCache,
    claim::{
        CallTicket, ClaimCall, ClaimReply, ShardAction, ShardEvent, ShardSnapshot, ShardTime,
        StoredBase, WriteOutcome,
    },
    key::CreationTime,
    segment::RecordKind,
    table::ClaimTable,
};
use base::prelude::*;

#[derive(Debug)]
enum ShardPhase {
    /// The shard must be read from the store, at this time or later.
    Unknown(Instant),
    Recovering,
    Idle,
    Writing(CommitBatch),
    Reading(CommitBatch),
    Confirming(CommitBatch),
    /// A step of a commit failed and is retried at this time.
    Paused(CommitBatch, CommitStep, Instant),
    /// The base is being written.
    Expiring,
    /// The base is being read after its write failed.
    Refreshing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitStep {
    Write,
    Read,
    Confirm,
}

/// State machine of a claim shard; it performs no I/O itself.
#[derive(Debug)]
pub struct ClaimShard {
    writer: ProcessIncarnation,
    limits: ShardLimits,
    checks: ShardChecks,
    phase: ShardPhase,
    table: ClaimTable,
    queue: VecDeque<PendingCall>,
    answers: AnswerCache,
    nonce: u64,
    next_write: Instant,
    next_expiry: Instant,
    /// Lower bound of the deadlines of unanswered calls; the reply to a call does not raise it.
    next_deadline: Option<Instant>,
}

impl ClaimShard {
    /// Creates a shard that has not been read from the store yet.
    pub fn new(writer: ProcessIncarnation, limits: ShardLimits, now: Instant) -> Self {
        Self::with_checks(writer, limits, ShardChecks::default(), now)
    }

    /// Creates a shard with some checks disabled, for tests.
    pub fn with_checks(
        writer: ProcessIncarnation,
        limits: ShardLimits,
        checks: ShardChecks,
        now: Instant,
    ) -> Self {
        Self {
            writer,
            limits,
            checks,
            phase: ShardPhase::Unknown(now),
            table: ClaimTable::default(),
            queue: VecDeque::new(),
            answers: AnswerCache::new(limits.answer_cache_size),
            nonce: 0,
            next_write: now,
            next_expiry: now + limits.expiry_interval,
            next_deadline: None,
        }
    }

    /// The durable claims known to this process.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Time at which the next [`ShardEvent::Tick`] is due.
    pub fn wake_at(&self) -> Instant {
        let step = match &self.phase {
            ShardPhase::Unknown(at) | ShardPhase::Paused(_, _, at) => Some(*at),
            ShardPhase::Idle if !self.queue.is_empty() => Some(self.next_write),
            _ => None,
        };
        let times = [step, self.next_deadline].into_iter().flatten();
        times.fold(self.next_expiry, Instant::min)
    }

    /// Applies one event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: ShardEvent, time: ShardTime) -> Vec<ShardAction> {
        let mut actions = match event {
            ShardEvent::Call(call) => self.call(call, time),
            ShardEvent::Answered { key, fingerprint, answer } => {
                self.answers.insert(key.digest, fingerprint, answer);
                Vec::new()
            }
            ShardEvent::Recovered(snapshot) => self.recovered(snapshot.as_ref(), time),
            ShardEvent::SegmentWritten(outcome) => self.segment_written(outcome, time),
            ShardEvent::SegmentRead(outcome) => self.segment_read(outcome, time),
            ShardEvent::BaseRead(base) => self.base_read(base, time),
            ShardEvent::BaseWritten(outcome) => self.base_written(outcome),
            ShardEvent::Tick => Vec::new(),
        };
        actions.extend(self.expire_calls(time.now));
        actions.extend(self.start_next_step(time));
        actions
    }

    fn call(&mut self, call: ClaimCall, time: ShardTime) -> Vec<ShardAction> {
        if let Some(reply) = self.immediate_reply(&call, time) {
            return vec![reply_action(call.ticket, reply)];
        }
        if self.queue.len() >= self.limits.max_queued_calls {
            return vec![reply_action(call.ticket, failure_reply(&call, ResultCode::QueueFull))];
        }
        if !self.checks.durable_release && call.kind == RecordKind::Release {
            self.queue.push_back(PendingCall { answered: true, ..PendingCall::new(call) });
            return vec![reply_action(call.ticket, ClaimReply::Released)];
        }
        self.queue.push_back(PendingCall::new(call));
        let earliest = self.next_deadline.map_or(call.deadline, |at| at.min(call.deadline));
        self.next_deadline = Some(earliest);
        Vec::new()
    }

    fn recovered(&mut self, snapshot: Option<&ShardSnapshot>, time: ShardTime) -> Vec<ShardAction> {
        let Some(snapshot) = snapshot else {
            self.phase = ShardPhase::Unknown(time.now + self.limits.retry_delay);
            return self.refuse_queue(ResultCode::StoreUnavailable);
        };
        self.table = ClaimTable::replay(snapshot);
        if !self.checks.replay {
            let segments = snapshot.segments.iter().map(|stored| {
                let mut stored = stored.clone();
                stored.segment.records.clear();
                stored
            });
            let (segments, base) = (segments.collect(), snapshot.base);
            self.table = ClaimTable::replay(&ShardSnapshot { segments, base });
        }
        self.phase = ShardPhase::Idle;
        self.delete_obsolete(snapshot.base)
    }

    fn base_read(&mut self, base: Option<StoredBase>, time: ShardTime) -> Vec<ShardAction> {
        match (self.take_phase(), base) {
            (ShardPhase::Confirming(batch), Some(base)) => self.commit(batch, base, time),
            (ShardPhase::Confirming(batch), None) => self.pause(batch, CommitStep::Confirm, time),
            (ShardPhase::Refreshing, Some(base)) => self.refresh(base, time),
            _ => Vec::new(),
        }
    }

    fn refresh(&mut self, base: StoredBase, time: ShardTime) -> Vec<ShardAction> {
        if base.base.first > self.table.next().0 {
            self.phase = ShardPhase::Unknown(time.now);
            return Vec::new();
        }
        self.delete_obsolete(base)
    }

    fn base_written(&mut self, outcome: WriteOutcome) -> Vec<ShardAction> {
        if !matches!(self.take_phase(), ShardPhase::Expiring) {
            return Vec::new();
        }
        if matches!(outcome, WriteOutcome::NotWritten | WriteOutcome::Deferred) {
            return Vec::new();
        }
        self.phase = ShardPhase::Refreshing;
        vec![ShardAction::ReadBase]
    }

    fn delete_obsolete(&mut self, base: StoredBase) -> Vec<ShardAction> {
        let obsolete = self.table.set_base(base).into_iter();
        obsolete.map(|(number, version)| ShardAction::DeleteSegment { number, version }).collect()
    }

    /// Returns the phase and sets it to idle; a step that is not finished sets another one.
    fn take_phase(&mut self) -> ShardPhase {
        std::mem::replace(&mut self.phase, ShardPhase::Idle)
    }

    fn batch_mut(&mut self) -> Option<&mut CommitBatch> {
        match &mut self.phase {
            ShardPhase::Writing(batch)
            | ShardPhase::Reading(batch)
            | ShardPhase::Confirming(batch)
            | ShardPhase::Paused(batch, _, _) => Some(batch),
            _ => None,
        }
    }

    /// Replies to calls whose deadline has passed.
    fn expire_calls(&mut self, now: Instant) -> Vec<ShardAction> {
        if self.next_deadline.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.queue.retain(|pending| {
            let late = pending.call.deadline <= now;
            if late && !pending.answered {
                let reply = failure_reply(&pending.call, ResultCode::DeadlinePassed);
                actions.push(reply_action(pending.call.ticket, reply));
            }
            !late
        });
        if let Some(batch) = self.batch_mut() {
            actions.extend(batch.expire(now));
        }
        let calls = self.batch_mut().map(|batch| batch.calls.clone()).unwrap_or_default();
        let waiting = self.queue.iter().chain(&calls).filter(|pending| !pending.answered);
        self.next_deadline = waiting.map(|pending| pending.call.deadline).min();
        actions
    }

    fn refuse_queue(&mut self, code: ResultCode) -> Vec<ShardAction> {
        let calls = std::mem::take(&mut self.queue).into_iter();
        let calls = calls.filter(|pending| !pending.answered);
        calls
            .map(|pending| reply_action(pending.call.ticket, failure_reply(&pending.call, code)))
            .collect()
    }

    /// Starts the next step if one is due.
    fn start_next_step(&mut self, time: ShardTime) -> Vec<ShardAction> {
        match self.take_phase() {
            ShardPhase::Unknown(at) if at <= time.now => {
                self.phase = ShardPhase::Recovering;
                vec![ShardAction::Recover]
            }
            ShardPhase::Paused(batch, step, at) if at <= time.now => match step {
                CommitStep::Write => self.write(batch),
                CommitStep::Read => self.read_back(batch),
                CommitStep::Confirm => self.confirm(batch),
            },
            ShardPhase::Idle if self.next_expiry <= time.now => self.expire(time),
            ShardPhase::Idle if self.next_write <= time.now => self.start_batch(time),
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    fn expire(&mut self, time: ShardTime) -> Vec<ShardAction> {
        self.next_expiry = time.now + self.limits.expiry_interval;
        let floor = CreationTime::before(time.unix_time, self.limits.claim_lifetime);
        let Some(base) = self.table.next_base(floor) else { return self.start_batch(time) };
        self.phase = ShardPhase::Expiring;
        vec![ShardAction::WriteBase { base, condition: self.table.base().write_condition() }]
    }
}

/// Reply to a call that was not served.
fn failure_reply(call: &ClaimCall, code: ResultCode) -> ClaimReply {
    match call.kind {
        RecordKind::Claim => ClaimReply::Refused(code),
        RecordKind::Release => ClaimReply::Unconfirmed,
    }
}

fn reply_action(ticket: CallTicket, reply: ClaimReply) -> ShardAction {
    ShardAction::Reply { ticket, reply }
}
