//! Messages about credits on backend servers, between an entry and the owner of a model or service.

use prost::{Enumeration, Message};

/// Model, adapter and service that a request needs.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CreditTarget {
    /// Name of the model; empty for a plain service.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Name of the adapter on the model; empty if the request uses none.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Name of the service whose backend servers run the request.
    #[prost(string, tag = "3")]
    pub service: String,
}

/// An entry requests a credit, which permits one request on one backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CreditRequest {
    /// Request id, as 16 bytes in network byte order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Model, adapter and service that the request needs.
    #[prost(message, required, tag = "2")]
    pub target: CreditTarget,
    /// Id of the customer, by which capacity is shared.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Time left until the request's deadline, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub timeout_ms: u64,
    /// Names of the VMs that were granted to earlier attempts of this request.
    #[prost(string, repeated, tag = "5")]
    pub tried: Vec<String>,
    /// Number of this attempt, which distinguishes its grant from late grants for earlier attempts.
    #[prost(uint32, tag = "6")]
    pub attempt: u32,
    /// Size of the request's body, in bytes, from which its number of tokens is estimated.
    #[prost(uint64, tag = "7")]
    pub body_bytes: u64,
    /// Largest number of output tokens that the caller requested; zero if it set none.
    #[prost(uint64, tag = "8")]
    pub max_tokens: u64,
    /// Weight of the customer among others of the same priority.
    #[prost(uint32, tag = "9")]
    pub share: u32,
    /// Priority; requests with lower numbers are served first.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Whether the request may be executed more than once.
    #[prost(bool, tag = "11")]
    pub may_retry: bool,
    /// Whether this attempt is a hedge, that is, another attempt of the request is in progress.
    #[prost(bool, tag = "12")]
    pub is_hedge: bool,
    /// Whether the request is of the long work class, otherwise of the short one.
    #[prost(bool, tag = "13")]
    pub is_long: bool,
    /// Largest number of the customer's requests that may wait in one work class.
    #[prost(uint32, tag = "14")]
    pub queue_limit: u32,
}

/// The owner grants one credit on a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Id of the request that needs the credit.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the attempt that needs the credit.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the backend server's VM.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// Address of the side process on that VM.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Incarnation of the side process for which the credit is valid.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Whether the request waited for its model to be loaded.
    #[prost(bool, tag = "6")]
    pub is_cold: bool,
    /// Time after which the entry may request a hedge, in microseconds; zero if it may not.
    #[prost(uint64, tag = "7")]
    pub hedge_after_us: u64,
}

/// The owner refuses a credit request; the request was not sent to a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CreditRefusal {
    /// Id of the request that needs the credit.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the attempt that needs the credit.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Number of the result code that gives the reason.
    #[prost(uint32, tag = "3")]
    pub code: u32,
    /// Time after which to retry, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// The entry returns a credit, or withdraws a credit request that still waits.
#[derive(Clone, PartialEq, Message)]
pub struct CreditReturn {
    /// Id of the request that needs the credit.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the attempt that needs the credit.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Target of the credit request.
    #[prost(message, required, tag = "3")]
    pub target: CreditTarget,
    /// Name of the VM in the grant; empty if no grant had arrived.
    #[prost(string, tag = "4")]
    pub vm: String,
    /// Time for which the entry held the credit, in microseconds.
    #[prost(uint64, tag = "5")]
    pub service_us: u64,
    /// How the credit was used.
    #[prost(enumeration = "CreditUse", tag = "6")]
    pub used: i32,
}

/// How a credit was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum CreditUse {
    /// The request was not handed over to the side process.
    Unused = 0,
    /// The backend server completed its answer.
    Served = 1,
    /// The request was withdrawn after the hand-over.
    Withdrawn = 2,
    /// The backend server failed or the connection to it was lost.
    Failed = 3,
}
