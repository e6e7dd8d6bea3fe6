//! Messages between an entry and a side process about one request.

use http::HeaderMap;
use prost::Message;

/// One header of a request or answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

impl HeaderField {
    /// The headers among `names` that are present, in the order of `names`.
    pub fn pick(headers: &HeaderMap, names: &[&str]) -> Vec<Self> {
        let field = |name: &&str| {
            let value = headers.get(*name)?;
            Some(Self { name: (*name).to_owned(), value: value.as_bytes().to_vec() })
        };
        names.iter().filter_map(field).collect()
    }
}

/// Hands a request over to a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct RunRequest {
    /// Request, as 16 bytes in network order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt of the entry.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Life of the side process that the credit is good for.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query at the backend server.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// Body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Model, or empty for a plain service.
    #[prost(string, tag = "8")]
    pub model: String,
    /// Adapter on the model, or empty.
    #[prost(string, tag = "9")]
    pub adapter: String,
    /// Time left, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub budget_ms: u64,
    /// Priority; lower numbers go first.
    #[prost(uint32, tag = "11")]
    pub priority: u32,
    /// Fingerprint of the request, for quarantine.
    #[prost(string, tag = "12")]
    pub fingerprint: String,
    /// Memory that the adapter takes beside the model, in bytes.
    #[prost(uint64, tag = "13")]
    pub adapter_memory: u64,
    /// Epoch that the side process last announced; zero if none was heard of.
    #[prost(uint64, tag = "14")]
    pub epoch: u64,
    /// Whether the request is suspected of crashing engines and must run alone.
    #[prost(bool, tag = "15")]
    pub is_alone: bool,
}

/// The side process did not hand the request to its backend server.
#[derive(Clone, PartialEq, Message)]
pub struct RunRefusal {
    /// Request refused.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt refused.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Result code.
    #[prost(uint32, tag = "3")]
    pub code: u32,
}

/// Status and headers of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// Request answered.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt answered.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Life of the side process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// HTTP status.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Headers to pass on.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
}

/// A part of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerChunk {
    /// Request answered.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt answered.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Life of the side process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Position of the first byte in the answer's body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: bytes::Bytes,
}

/// The end of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerEnd {
    /// Request answered.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt answered.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Life of the side process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Length of the whole body, in bytes.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    /// Result code: success, or why the answer ended early.
    #[prost(uint32, tag = "5")]
    pub code: u32,
    /// Number of the engine's crash that ended the answer, from one; zero for any other end.
    #[prost(uint64, tag = "6")]
    pub crash: u64,
}

/// The side process announces its epoch, which orders must name.
#[derive(Clone, PartialEq, Message)]
pub struct EpochNotice {
    /// Epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}

/// The entry withdraws a request.
#[derive(Clone, PartialEq, Message)]
pub struct RunCancel {
    /// Request withdrawn.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt withdrawn.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Life of the side process that the request was meant for.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Epoch that the request named.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

/// The side process tells what became of a withdrawn request.
#[derive(Clone, PartialEq, Message)]
pub struct CancelAck {
    /// Request withdrawn.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt withdrawn.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Whether the backend server may have executed any part of it.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
}
