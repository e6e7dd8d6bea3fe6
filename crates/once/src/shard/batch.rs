//! A batch of calls that are committed as one segment.

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectVersion;

use crate::{
    claim::{ClaimCall, SegmentNumber, ShardAction, StoredSegment},
    segment::{ClaimRecord, ClaimSegment},
    shard::{failure_reply, reply_action},
};

/// A call that waits for its reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) call: ClaimCall,
    pub(super) answered: bool,
    /// The batch writes no record for the call; it only checks the end of the log.
    pub(super) read_only: bool,
}

impl PendingCall {
    /// Creates a call without a reply.
    pub(super) fn new(call: ClaimCall) -> Self {
        Self { call, answered: false, read_only: false }
    }
}

/// A segment that is being committed, with its calls.
#[derive(Debug)]
pub(super) struct CommitBatch {
    pub(super) number: SegmentNumber,
    pub(super) calls: Vec<PendingCall>,
    /// A write of the segment had an uncertain result and may still take effect.
    pub(super) in_doubt: bool,
    /// A write failed because a segment with this number exists.
    pub(super) number_taken: bool,
    /// Version of the object; the default until the segment is known to exist.
    pub(super) version: ObjectVersion,
    segment: ClaimSegment,
}

impl CommitBatch {
    /// Creates a batch that has not been written yet.
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

    /// Whether the batch writes no record and only checks that the log has no next segment.
    pub(super) fn is_probe(&self) -> bool {
        self.segment.records.is_empty()
    }

    /// Encodes the object body.
    pub(super) fn body(&self) -> Bytes {
        self.segment.encode()
    }

    /// Whether `stored` was written by this batch.
    pub(super) fn is_own(&self, writer: ProcessIncarnation, stored: &StoredSegment) -> bool {
        stored.segment.writer == writer && stored.segment.nonce == self.segment.nonce
    }

    /// Returns the segment as stored.
    pub(super) fn stored(&self) -> StoredSegment {
        let (number, version) = (self.number, self.version);
        StoredSegment { number, version, segment: self.segment.clone() }
    }

    /// Refuses all unanswered calls; no record of them was written.
    pub(super) fn refuse(&self, code: ResultCode) -> Vec<ShardAction> {
        let calls = self.calls.iter().filter(|pending| !pending.answered);
        calls
            .map(|pending| reply_action(pending.call.ticket, failure_reply(&pending.call, code)))
            .collect()
    }

    /// Replies to calls past their deadline; whether their records become durable is unknown.
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
