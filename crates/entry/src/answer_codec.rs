//! Encoding of answers that are cached under idempotency keys.

use bytes::Bytes;
use prost::Message;
use wire::run::HeaderField;

use crate::answers::{CallAnswer, HeadParts};

#[derive(Clone, PartialEq, Message)]
struct CachedAnswer {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(message, repeated, tag = "2")]
    headers: Vec<HeaderField>,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

/// Encodes a buffered answer for the cache; `None` for a streamed answer, which is not cached.
pub fn encode(answer: &CallAnswer) -> Option<Bytes> {
    let CallAnswer::Buffered { head, body } = answer else { return None };
    let cached = CachedAnswer {
        status: u32::from(head.status),
        headers: head.headers.clone(),
        body: body.concat().into(),
    };
    Some(cached.encode_to_vec().into())
}

/// Decodes a cached answer; `None` if the bytes are malformed or the status is not that of a final
/// answer.
pub fn decode(bytes: Bytes) -> Option<CallAnswer> {
    let cached = CachedAnswer::decode(bytes).ok()?;
    let head = HeadParts::from_final(cached.status, cached.headers)?;
    Some(CallAnswer::Buffered { head, body: vec![cached.body] })
}
