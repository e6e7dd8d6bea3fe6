//! Calls that are committed together.

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectVersion;

use crate::{
    claim::{ClaimCall, SegmentNumber, ShardAction, StoredSegment},
    segment::{ClaimRecord, ClaimSegment},
    shard::{failure_reply, reply_action},
};

/// A call that waits for its commit.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) call: ClaimCall,
    pub(super) answered: bool,
    /// Nothing is written for it; it only needs to know how the log ends.
    pub(super) read_only: bool,
}

impl PendingCall {
    /// A call that was not answered yet.
    pub(super) fn new(call: ClaimCall) -> Self {
        Self { call, answered: false, read_only: false }
    }
}

/// A segment on its way into the store.
#[derive(Debug)]
pub(super) struct CommitBatch {
    pub(super) number: SegmentNumber,
    pub(super) calls: Vec<PendingCall>,
    /// A write of it may still take effect.
    pub(super) in_doubt: bool,
    /// Its number was found taken.
    pub(super) number_taken: bool,
    /// Version of its object, once it is known to exist.
    pub(super) version: ObjectVersion,
    segment: ClaimSegment,
}

impl CommitBatch {
    /// A batch that was not written yet.
    pub(super) fn new(
        writer: ProcessIncarnation,
        nonce: u64,
        number: SegmentNumber,
        calls: Vec<PendingCall>,
    ) -> Self {
        let written = calls.iter().filter(|pending| !pending.read_only);
        let records = written.map(|pending| record(&pending.call)).collect();
        let segment = ClaimSegment { writer, nonce, records };
        Self {
            number,
            calls,
            in_doubt: false,
            number_taken: false,
            version: ObjectVersion::default(),
            segment,
        }
    }

    /// Whether nothing is written, but only the end of the log looked for.
    pub(super) fn is_probe(&self) -> bool {
        self.segment.records.is_empty()
    }

    /// The body to store.
    pub(super) fn body(&self) -> Bytes {
        self.segment.encode()
    }

    /// Whether `stored` is this batch.
    pub(super) fn is_own(&self, writer: ProcessIncarnation, stored: &StoredSegment) -> bool {
        stored.segment.writer == writer && stored.segment.nonce == self.segment.nonce
    }

    /// The segment as stored.
    pub(super) fn stored(&self) -> StoredSegment {
        let (number, version) = (self.number, self.version);
        StoredSegment { number, version, segment: self.segment.clone() }
    }

    /// Refuses all calls, of which nothing was written.
    pub(super) fn refuse(&self, code: ResultCode) -> Vec<ShardAction> {
        let calls = self.calls.iter().filter(|pending| !pending.answered);
        calls
            .map(|pending| reply_action(pending.call.ticket, failure_reply(&pending.call, code)))
            .collect()
    }

    /// Answers calls past their deadline; their fate is unknown.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for pending in &mut self.calls {
            if !pending.answered && pending.call.deadline <= now {
                pending.answered = true;
                let code = match pending.read_only {
                    true => ResultCode::DeadlinePassed,
                    false => ResultCode::ClaimUncertain,
                };
                let reply = failure_reply(&pending.call, code);
                actions.push(reply_action(pending.call.ticket, reply));
            }
        }
        actions
    }
}

fn record(call: &ClaimCall) -> ClaimRecord {
    ClaimRecord {
        digest: call.key.digest,
        created: call.key.created,
        request: call.request,
        kind: call.kind,
    }
}
