//! Messages with which entry processes claim and release keys at the owner of a shard.

use base::prelude::*;
use bytes::Bytes;
use prost::{Message, Oneof};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    claim::ClaimReply,
    fingerprint::RequestFingerprint,
    key::{ClaimKey, CreationTime, DIGEST_BYTES, KeyDigest},
    segment::RecordKind,
};

/// A claim message could not be decoded.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// The bytes are not a valid protobuf message.
    #[snafu(display("the message cannot be decoded"))]
    Undecodable {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// A field is missing or has the wrong length or value.
    #[snafu(display("the message's {field} is malformed"))]
    MalformedField {
        /// Name of the field.
        field: &'static str,
    },
}

/// Result of decoding a message.
pub type Result<T, E = ExchangeError> = std::result::Result<T, E>;

/// A call to claim or release a key, sent to the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeCall {
    /// Identifies the call in its reply; unique per sender.
    pub serial: u64,
    /// Whether the key is claimed or released.
    pub kind: RecordKind,
    /// Key to claim or release.
    pub key: ClaimKey,
    /// Request that claims or releases.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// How long the sender waits for the reply, in milliseconds on the wire.
    pub timeout: Duration,
    /// Region of the claims; a process of another region refuses the call.
    pub region: RegionName,
}

/// A message between entry processes about claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimExchange {
    /// Call to the owner of a key.
    Call(ExchangeCall),
    /// Reply from the owner of a key.
    Reply {
        /// Serial of the call.
        serial: u64,
        /// Result of the call.
        reply: ClaimReply,
    },
    /// Notice to the owner of a key that the request which holds it was answered.
    Answered {
        /// Key that the request holds.
        key: ClaimKey,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Answer to cache for retries.
        answer: Bytes,
    },
}

#[derive(Clone, PartialEq, Message)]
struct KeyBody {
    #[prost(bytes = "vec", tag = "1")]
    digest: Vec<u8>,
    #[prost(uint64, tag = "2")]
    created_ms: u64,
    #[prost(bytes = "vec", tag = "3")]
    fingerprint: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct CallBody {
    #[prost(uint64, tag = "1")]
    serial: u64,
    #[prost(bool, tag = "2")]
    is_release: bool,
    #[prost(message, required, tag = "3")]
    key: KeyBody,
    #[prost(bytes = "vec", tag = "4")]
    request: Vec<u8>,
    #[prost(uint64, tag = "5")]
    timeout_ms: u64,
    #[prost(string, tag = "6")]
    region: String,
}

#[derive(Clone, PartialEq, Message)]
struct ReplyBody {
    #[prost(uint64, tag = "1")]
    serial: u64,
    #[prost(oneof = "OutcomeBody", tags = "2, 3, 4, 5, 6")]
    outcome: Option<OutcomeBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum OutcomeBody {
    #[prost(bool, tag = "2")]
    Granted(bool),
    #[prost(bytes = "bytes", tag = "3")]
    Cached(Bytes),
    #[prost(uint32, tag = "4")]
    Refused(u32),
    #[prost(bool, tag = "5")]
    Released(bool),
    #[prost(bool, tag = "6")]
    Unconfirmed(bool),
}

#[derive(Clone, PartialEq, Message)]
struct AnsweredBody {
    #[prost(message, required, tag = "1")]
    key: KeyBody,
    #[prost(bytes = "bytes", tag = "2")]
    answer: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct ExchangeBody {
    #[prost(oneof = "ExchangeKind", tags = "1, 2, 3")]
    kind: Option<ExchangeKind>,
}

#[derive(Clone, PartialEq, Oneof)]
enum ExchangeKind {
    #[prost(message, tag = "1")]
    Call(CallBody),
    #[prost(message, tag = "2")]
    Reply(ReplyBody),
    #[prost(message, tag = "3")]
    Answered(AnsweredBody),
}

impl ClaimExchange {
    /// Encodes the message as protobuf.
    pub fn encode(&self) -> Bytes {
        let kind = match self {
            ClaimExchange::Call(call) => ExchangeKind::Call(CallBody {
                serial: call.serial,
                is_release: call.kind == RecordKind::Release,
                key: encode_key(call.key, call.fingerprint),
                request: call.request.0.to_be_bytes().to_vec(),
                timeout_ms: u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX),
                region: call.region.to_string(),
            }),
            ClaimExchange::Reply { serial, reply } => {
                let outcome = Some(encode_outcome(reply));
                ExchangeKind::Reply(ReplyBody { serial: *serial, outcome })
            }
            ClaimExchange::Answered { key, fingerprint, answer } => {
                let (key, answer) = (encode_key(*key, *fingerprint), answer.clone());
                ExchangeKind::Answered(AnsweredBody { key, answer })
            }
        };
        ExchangeBody { kind: Some(kind) }.encode_to_vec().into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails on bytes that [`ClaimExchange::encode`] cannot produce.
    pub fn decode(bytes: Bytes) -> Result<Self> {
        let body = ExchangeBody::decode(bytes).context(UndecodableSnafu)?;
        match body.kind.context(MalformedFieldSnafu { field: "kind" })? {
            ExchangeKind::Call(call) => decode_call(&call),
            ExchangeKind::Reply(reply) => {
                let outcome = reply.outcome.context(MalformedFieldSnafu { field: "outcome" })?;
                let (serial, reply) = (reply.serial, decode_outcome(outcome)?);
                Ok(ClaimExchange::Reply { serial, reply })
            }
            ExchangeKind::Answered(answered) => {
                let (key, fingerprint) = decode_key(&answered.key)?;
                let answer = answered.answer;
                Ok(ClaimExchange::Answered { key, fingerprint, answer })
            }
        }
    }
}

fn encode_key(key: ClaimKey, fingerprint: RequestFingerprint) -> KeyBody {
    KeyBody {
        digest: key.digest.0.to_vec(),
        created_ms: key.created.0,
        fingerprint: fingerprint.0.to_vec(),
    }
}

fn encode_outcome(reply: &ClaimReply) -> OutcomeBody {
    match reply {
        ClaimReply::Granted => OutcomeBody::Granted(true),
        ClaimReply::Cached(answer) => OutcomeBody::Cached(answer.clone()),
        ClaimReply::Refused(code) => OutcomeBody::Refused(code.number()),
        ClaimReply::Released => OutcomeBody::Released(true),
        ClaimReply::Unconfirmed => OutcomeBody::Unconfirmed(true),
    }
}

fn decode_call(body: &CallBody) -> Result<ClaimExchange> {
    let (key, fingerprint) = decode_key(&body.key)?;
    let request = <[u8; 16]>::try_from(body.request.as_slice()).ok();
    let request = request.context(MalformedFieldSnafu { field: "request" })?;
    let region = body.region.parse().ok().context(MalformedFieldSnafu { field: "region" })?;
    Ok(ClaimExchange::Call(ExchangeCall {
        serial: body.serial,
        kind: if body.is_release { RecordKind::Release } else { RecordKind::Claim },
        key,
        request: RequestId(u128::from_be_bytes(request)),
        fingerprint,
        timeout: Duration::from_millis(body.timeout_ms),
        region,
    }))
}

fn decode_key(body: &KeyBody) -> Result<(ClaimKey, RequestFingerprint)> {
    let digest = <[u8; DIGEST_BYTES]>::try_from(body.digest.as_slice()).ok();
    let digest = digest.context(MalformedFieldSnafu { field: "digest" })?;
    let fingerprint = <[u8; 32]>::try_from(body.fingerprint.as_slice()).ok();
    let fingerprint = fingerprint.context(MalformedFieldSnafu { field: "fingerprint" })?;
    let key = ClaimKey { digest: KeyDigest(digest), created: CreationTime(body.created_ms) };
    Ok((key, RequestFingerprint(fingerprint)))
}

fn decode_outcome(body: OutcomeBody) -> Result<ClaimReply> {
    Ok(match body {
        OutcomeBody::Granted(_) => ClaimReply::Granted,
        OutcomeBody::Cached(answer) => ClaimReply::Cached(answer),
        OutcomeBody::Refused(number) => {
            let code = ResultCode::from_number(number);
            ClaimReply::Refused(code.context(MalformedFieldSnafu { field: "code" })?)
        }
        OutcomeBody::Released(_) => ClaimReply::Released,
        OutcomeBody::Unconfirmed(_) => ClaimReply::Unconfirmed,
    })
}
