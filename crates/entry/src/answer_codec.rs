//! Answers kept under idempotency keys, as bytes.

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

/// The bytes to keep of a whole answer; `None` for one that is still arriving.
pub fn encode(answer: &CallAnswer) -> Option<Bytes> {
    let CallAnswer::Whole { head, body } = answer else { return None };
    let cached = CachedAnswer {
        status: u32::from(head.status),
        headers: head.headers.clone(),
        body: body.clone(),
    };
    Some(cached.encode_to_vec().into())
}

/// The answer that was kept; `None` if the bytes hold none.
pub fn decode(bytes: Bytes) -> Option<CallAnswer> {
    let cached = CachedAnswer::decode(bytes).ok()?;
    let status = u16::try_from(cached.status).ok()?;
    Some(CallAnswer::Whole {
        head: HeadParts { status, headers: cached.headers },
        body: cached.body,
    })
}
