//! Object bodies of a claim shard: log segments and the base.

use base::prelude::*;
use bytes::Bytes;
use object_api::object::MAX_OBJECT_BYTES;
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::key::{CreationTime, DIGEST_BYTES, KeyDigest};

/// Maximum number of records in a segment; a full segment stays below the platform's maximum object
/// size.
pub const MAX_SEGMENT_RECORDS: usize = MAX_OBJECT_BYTES / MAX_RECORD_BYTES;

/// Upper bound of an encoded record, in bytes. Records are shorter, which leaves space for the
/// segment's other fields.
const MAX_RECORD_BYTES: usize = 64;

const FORMAT: u32 = 1;

/// An object under `claims/` could not be read.
#[derive(Debug, Snafu)]
pub enum SegmentError {
    /// The body is not a valid protobuf message.
    #[snafu(display("the body cannot be decoded"))]
    Undecodable {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// The body has a format that this version does not support.
    #[snafu(display("the body has the unknown format {format}"))]
    UnknownFormat {
        /// Format number in the body.
        format: u32,
    },
    /// A field of a record has the wrong length.
    #[snafu(display("record {index} is malformed"))]
    MalformedRecord {
        /// Position of the record, from zero.
        index: usize,
    },
}

/// Result of decoding a body.
pub type Result<T, E = SegmentError> = std::result::Result<T, E>;

/// Whether a record or a call claims or releases a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordKind {
    /// The request holds the key.
    Claim,
    /// The request does not hold the key; later claims by it are refused.
    Release,
}

/// One record of a shard's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// When the caller created the key.
    pub created: CreationTime,
    /// Request that claims or releases the key.
    pub request: RequestId,
    /// Whether the key is claimed or released.
    pub kind: RecordKind,
}

/// Claims and releases that are written as one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSegment {
    /// Process that wrote the segment.
    pub writer: ProcessIncarnation,
    /// Number of the commit at its writer; with `writer` it identifies the segment.
    pub nonce: u64,
    /// The records, in commit order.
    pub records: Vec<ClaimRecord>,
}

/// Start of a shard's log and the age limit of its keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShardBase {
    /// Number of the first valid segment; segments below it are obsolete.
    pub first: u64,
    /// Keys created before this time are expired and refused.
    pub floor: CreationTime,
}

#[derive(Clone, PartialEq, Message)]
struct RecordBody {
    #[prost(bytes = "bytes", tag = "1")]
    digest: Bytes,
    #[prost(uint64, tag = "2")]
    created_ms: u64,
    #[prost(bytes = "bytes", tag = "3")]
    request: Bytes,
    #[prost(bool, tag = "4")]
    released: bool,
}

#[derive(Clone, PartialEq, Message)]
struct SegmentBody {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed64, tag = "2")]
    writer: u64,
    #[prost(uint64, tag = "3")]
    nonce: u64,
    #[prost(message, repeated, tag = "4")]
    records: Vec<RecordBody>,
}

#[derive(Clone, PartialEq, Message)]
struct BaseBody {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(uint64, tag = "2")]
    first: u64,
    #[prost(uint64, tag = "3")]
    floor_ms: u64,
}

impl ClaimSegment {
    /// Encodes the object body.
    pub fn encode(&self) -> Bytes {
        let records = self.records.iter().map(encode_record).collect();
        let (writer, nonce) = (self.writer.0, self.nonce);
        SegmentBody { format: FORMAT, writer, nonce, records }.encode_to_vec().into()
    }

    /// Decodes an object body.
    ///
    /// # Errors
    ///
    /// Fails on any body that [`ClaimSegment::encode`] cannot produce.
    pub fn decode(body: Bytes) -> Result<Self> {
        let body = SegmentBody::decode(body).context(UndecodableSnafu)?;
        ensure!(body.format == FORMAT, UnknownFormatSnafu { format: body.format });
        let records = body.records.iter().enumerate();
        let records = records.map(|(index, record)| decode_record(index, record));
        Ok(Self {
            writer: ProcessIncarnation(body.writer),
            nonce: body.nonce,
            records: records.collect::<Result<_>>()?,
        })
    }

    /// Latest creation time of the keys in the segment; zero if it has no records.
    pub fn latest_creation(&self) -> CreationTime {
        self.records.iter().map(|record| record.created).max().unwrap_or_default()
    }
}

impl ShardBase {
    /// Encodes the object body.
    pub fn encode(&self) -> Bytes {
        let body = BaseBody { format: FORMAT, first: self.first, floor_ms: self.floor.0 };
        body.encode_to_vec().into()
    }

    /// Decodes an object body.
    ///
    /// # Errors
    ///
    /// Fails on any body that [`ShardBase::encode`] cannot produce.
    pub fn decode(body: Bytes) -> Result<Self> {
        let body = BaseBody::decode(body).context(UndecodableSnafu)?;
        ensure!(body.format == FORMAT, UnknownFormatSnafu { format: body.format });
        Ok(Self { first: body.first, floor: CreationTime(body.floor_ms) })
    }
}

fn encode_record(record: &ClaimRecord) -> RecordBody {
    RecordBody {
        digest: Bytes::copy_from_slice(&record.digest.0),
        created_ms: record.created.0,
        request: Bytes::copy_from_slice(&record.request.0.to_be_bytes()),
        released: record.kind == RecordKind::Release,
    }
}

fn decode_record(index: usize, body: &RecordBody) -> Result<ClaimRecord> {
    let digest = <[u8; DIGEST_BYTES]>::try_from(body.digest.as_ref());
    let request = <[u8; 16]>::try_from(body.request.as_ref());
    let (Ok(digest), Ok(request)) = (digest, request) else {
        return MalformedRecordSnafu { index }.fail();
    };
    Ok(ClaimRecord {
        digest: KeyDigest(digest),
        created: CreationTime(body.created_ms),
        request: RequestId(u128::from_be_bytes(request)),
        kind: if body.released { RecordKind::Release } else { RecordKind::Claim },
    })
}
