//! Messages between an entry and a side process about one request.

use http::HeaderMap;
use prost::Message;

/// One header of a request or answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// Header name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Header value; it need not be valid UTF-8.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

impl HeaderField {
    /// Returns the headers in `names` that are present, in the order of `names`.
    pub fn pick(headers: &HeaderMap, names: &[&str]) -> Vec<Self> {
        let field = |name: &&str| {
            let value = headers.get(*name)?;
            Some(Self { name: (*name).to_owned(), value: value.as_bytes().to_vec() })
        };
        names.iter().filter_map(field).collect()
    }
}

/// An entry hands a request over to the backend server of a side process.
#[derive(Clone, PartialEq, Message)]
pub struct RunRequest {
    /// Request id, as 16 bytes in network byte order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Incarnation of the side process for which the credit is valid.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query at the backend server.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Headers to forward to the backend server.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// Complete body of the request.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Name of the model; empty for a plain service.
    #[prost(string, tag = "8")]
    pub model: String,
    /// Name of the adapter on the model; empty if the request uses none.
    #[prost(string, tag = "9")]
    pub adapter: String,
    /// Time left until the request's deadline, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub timeout_ms: u64,
    /// Priority; requests with lower numbers are served first.
    #[prost(uint32, tag = "11")]
    pub priority: u32,
    /// Fingerprint of the request, which identifies it in crash reports for the quarantine.
    #[prost(string, tag = "12")]
    pub fingerprint: String,
    /// Memory that the adapter takes in addition to the model, in bytes.
    #[prost(uint64, tag = "13")]
    pub adapter_memory: u64,
    /// Last epoch that the side process announced to the entry; zero if no notice has arrived.
    #[prost(uint64, tag = "14")]
    pub epoch: u64,
    /// Whether the request is suspected of crashing engines and must run alone.
    #[prost(bool, tag = "15")]
    pub is_alone: bool,
}

/// The side process refuses a request; the request has not run at its backend server.
#[derive(Clone, PartialEq, Message)]
pub struct RunRefusal {
    /// Id of the refused request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the refused attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Number of the result code that gives the reason.
    #[prost(uint32, tag = "3")]
    pub code: u32,
}

/// Status and headers of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// Id of the answered request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the answered attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Incarnation of the side process that answers.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// HTTP status code.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Headers to forward to the caller.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
}

/// A part of an answer's body.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerChunk {
    /// Id of the answered request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the answered attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Incarnation of the side process that answers.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Position of the first byte in the answer's body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Bytes of the body, from `offset` on.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: bytes::Bytes,
}

/// The end of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerEnd {
    /// Id of the answered request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the answered attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Incarnation of the side process that answers.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Length of the complete body, in bytes.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    /// Number of the result code: success, or the reason for which the answer ended early.
    #[prost(uint32, tag = "5")]
    pub code: u32,
    /// Number of the engine crash that ended the answer, starting at one; zero for any other end.
    #[prost(uint64, tag = "6")]
    pub crash: u64,
}

/// The side process announces its current epoch, which run requests have to name.
#[derive(Clone, PartialEq, Message)]
pub struct EpochNotice {
    /// Current epoch of the side process's run ledger.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}

/// The entry withdraws a request.
#[derive(Clone, PartialEq, Message)]
pub struct RunCancel {
    /// Id of the withdrawn request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the withdrawn attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Incarnation of the side process to which the request was sent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Epoch in the run request.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

/// The side process reports whether a withdrawn request may have run.
#[derive(Clone, PartialEq, Message)]
pub struct CancelAck {
    /// Id of the withdrawn request.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the withdrawn attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Whether the backend server may have executed any part of the request.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
}
