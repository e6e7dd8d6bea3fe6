//! Messages of a shard of claims: what it is told and what it asks its driver to do.

use std::fmt;

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, WriteCondition};

use crate::{
    fingerprint::RequestFingerprint,
    key::ClaimKey,
    segment::{ClaimSegment, RecordKind, ShardBase},
};

/// Number by which a driver matches a reply to its call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(pub u64);

/// Number of a segment in its shard's log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentNumber(pub u64);

impl fmt::Display for SegmentNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:020}", self.0)
    }
}

/// A call to claim or to release a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimCall {
    /// Number for the reply.
    pub ticket: CallTicket,
    /// Whether the key is claimed or released.
    pub kind: RecordKind,
    /// The key.
    pub key: ClaimKey,
    /// The request that claims or releases.
    pub request: RequestId,
    /// Fingerprint of the request; only a request with the same one is given a kept answer.
    pub fingerprint: RequestFingerprint,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The request holds the key, durably.
    Granted,
    /// The key was used; this is the answer that was given.
    Cached(Bytes),
    /// The request does not hold the key, or, if the code says that it may have run, nobody knows.
    Refused(ResultCode),
    /// The request does not hold the key and never will, durably.
    Released,
    /// The release could not be confirmed.
    Unconfirmed,
}

/// A segment as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// Its number.
    pub number: SegmentNumber,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Its contents.
    pub segment: ClaimSegment,
}

/// The base of a shard as stored; an absent object reads as the default base.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoredBase {
    /// Version of the object, if it exists.
    pub version: Option<ObjectVersion>,
    /// Its contents.
    pub base: ShardBase,
}

impl StoredBase {
    /// The condition under which the base is still as read.
    pub fn write_condition(&self) -> WriteCondition {
        match self.version {
            Some(version) => WriteCondition::Version(version),
            None => WriteCondition::Absent,
        }
    }
}

/// Everything that the store holds of a shard; the base is read after the segments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// The segments, in the order of their numbers.
    pub segments: Vec<StoredSegment>,
    /// The base.
    pub base: StoredBase,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written(ObjectVersion),
    /// Its condition did not hold.
    ConditionFailed,
    /// Nothing was written by this call.
    NotWritten,
    /// The call was not made, as the budget of calls is spent for the moment.
    Deferred,
    /// It may have taken effect.
    Uncertain,
}

/// How a read of a segment ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The segment exists.
    Found(StoredSegment),
    /// There is no such segment.
    Absent,
    /// The store did not answer.
    Failed,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// A request claims or releases a key.
    Call(ClaimCall),
    /// A request that holds its key was answered whole.
    Answered {
        /// The key.
        key: ClaimKey,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// The answer.
        answer: Bytes,
    },
    /// The shard was read; `None` if the store did not answer or its contents are malformed.
    Recovered(Option<ShardSnapshot>),
    /// The segment's write ended.
    SegmentWritten(WriteOutcome),
    /// The segment's read ended.
    SegmentRead(ReadOutcome),
    /// The base was read; `None` if the store did not answer.
    BaseRead(Option<StoredBase>),
    /// The base's write ended.
    BaseWritten(WriteOutcome),
    /// Some time has passed.
    Tick,
}

/// What the driver must do; at most one store call besides deletes is asked for at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read all segments, and then the base.
    Recover,
    /// Create a segment; it must not exist.
    WriteSegment {
        /// Its number.
        number: SegmentNumber,
        /// Its body.
        body: Bytes,
    },
    /// Read a segment.
    ReadSegment {
        /// Its number.
        number: SegmentNumber,
    },
    /// Read the base.
    ReadBase,
    /// Write the base.
    WriteBase {
        /// Its contents.
        base: ShardBase,
        /// What must hold.
        condition: WriteCondition,
    },
    /// Delete a dead segment; a failure does no harm.
    DeleteSegment {
        /// Its number.
        number: SegmentNumber,
        /// Version of the object.
        version: ObjectVersion,
    },
    /// Answer a call.
    Reply {
        /// Number of the call.
        ticket: CallTicket,
        /// The answer.
        reply: ClaimReply,
    },
}

/// Time as the shard sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardTime {
    /// The runtime's clock.
    pub now: Instant,
    /// Time since the Unix epoch; it only chooses when keys expire.
    pub unix_time: Duration,
}

impl ShardTime {
    /// The present.
    pub fn current() -> Self {
        Self { now: Instant::now(), unix_time: base::clock::since_epoch() }
    }
}
