//! Events and actions of a claim shard, and the types they carry.

use std::fmt;

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, WriteCondition};

use crate::{
    fingerprint::RequestFingerprint,
    key::ClaimKey,
    segment::{ClaimSegment, RecordKind, ShardBase},
};

/// Correlates a reply with its call; assigned by the driver of the shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(pub u64);

/// Position of a segment in its shard's log; written with 20 digits in the object's name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentNumber(pub u64);

impl SegmentNumber {
    /// The log must not reach this number, and objects with higher ones are no segments, so that a
    /// table never runs out of numbers. It is far above what writers reach one by one.
    pub(crate) const LAST: Self = Self(1 << 62);
}

impl fmt::Display for SegmentNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:020}", self.0)
    }
}

/// A call to claim or to release a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimCall {
    /// Identifies the call in its reply.
    pub ticket: CallTicket,
    /// Whether the key is claimed or released.
    pub kind: RecordKind,
    /// Key to claim or release.
    pub key: ClaimKey,
    /// Request that claims or releases.
    pub request: RequestId,
    /// Fingerprint of the request; a cached answer is returned only if it matches.
    pub fingerprint: RequestFingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Reply to a claim or release call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The request holds the key, and the claim is durable.
    Granted,
    /// The key is held by an identical request; this is the answer it was given.
    Cached(Bytes),
    /// The claim was refused.
    ///
    /// If the code's run state is `MayHaveRun`, it is unknown whether the request holds the key.
    Refused(ResultCode),
    /// The request does not hold the key and never will; this is durable.
    Released,
    /// The release was not confirmed as durable; it may still become so.
    Unconfirmed,
}

/// A segment as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// Position in the shard's log.
    pub number: SegmentNumber,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Decoded body of the object.
    pub segment: ClaimSegment,
}

/// The base of a shard as stored; the default base if the object is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoredBase {
    /// Version of the object; `None` if it does not exist.
    pub version: Option<ObjectVersion>,
    /// Decoded body of the object.
    pub base: ShardBase,
}

impl StoredBase {
    /// Condition for a write that must fail if the base has changed since it was read.
    pub fn write_condition(&self) -> WriteCondition {
        match self.version {
            Some(version) => WriteCondition::Version(version),
            None => WriteCondition::Absent,
        }
    }
}

/// All objects of a shard; the base is read after the segments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// The segments, in ascending order of their numbers.
    pub segments: Vec<StoredSegment>,
    /// The base, read after the segments were listed.
    pub base: StoredBase,
}

/// Result of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object was written, with this version.
    Written(ObjectVersion),
    /// The write condition did not hold; nothing was written.
    ConditionFailed,
    /// The write failed and did not take effect.
    NotWritten,
    /// The call was not made because the rate limit of store calls is reached.
    Deferred,
    /// The result is unknown; the write may have taken effect or may still do so.
    Uncertain,
}

/// Result of reading a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The segment exists.
    Found(StoredSegment),
    /// The segment does not exist.
    Absent,
    /// The store call failed or the segment is malformed.
    Failed,
}

/// Input of a claim shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// A request claims or releases a key.
    Call(ClaimCall),
    /// A request that holds its key received its complete answer.
    Answered {
        /// Key that the request holds.
        key: ClaimKey,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Answer to cache for retries.
        answer: Bytes,
    },
    /// The shard was read; `None` if the store call failed or an object is malformed.
    Recovered(Option<ShardSnapshot>),
    /// The segment write ended.
    SegmentWritten(WriteOutcome),
    /// The segment read ended.
    SegmentRead(ReadOutcome),
    /// The base was read; `None` if the store call failed or the base is malformed.
    BaseRead(Option<StoredBase>),
    /// The base write ended.
    BaseWritten(WriteOutcome),
    /// A timer fired; see [`ClaimShard::wake_at`](crate::ClaimShard::wake_at).
    Tick,
}

/// Output of a claim shard, performed by its driver.
///
/// At most one store call is in progress at a time, apart from deletes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read all segments, then the base.
    Recover,
    /// Create a segment; it must not exist.
    WriteSegment {
        /// Position in the log.
        number: SegmentNumber,
        /// Encoded segment, as stored.
        body: Bytes,
    },
    /// Read a segment.
    ReadSegment {
        /// Position in the log.
        number: SegmentNumber,
    },
    /// Read the base.
    ReadBase,
    /// Write the base.
    WriteBase {
        /// New contents of the base.
        base: ShardBase,
        /// Condition under which the store accepts the write.
        condition: WriteCondition,
    },
    /// Delete an obsolete segment; a failure is ignored, as a later owner deletes it.
    DeleteSegment {
        /// Position in the log.
        number: SegmentNumber,
        /// Version of the object.
        version: ObjectVersion,
    },
    /// Reply to a call.
    Reply {
        /// Identifies the call.
        ticket: CallTicket,
        /// Reply to pass to the caller.
        reply: ClaimReply,
    },
}

/// Monotonic and wall-clock time of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardTime {
    /// Monotonic clock of the runtime; used for deadlines and retries.
    pub now: Instant,
    /// Time since the Unix epoch; used only for the expiry of keys.
    pub unix_time: Duration,
}

impl ShardTime {
    /// The current time of both clocks.
    pub fn current() -> Self {
        Self { now: Instant::now(), unix_time: base::clock::since_epoch() }
    }
}
