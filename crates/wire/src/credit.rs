//! Messages between an entry and the owner of a model or service.

use prost::{Enumeration, Message};

/// What a request is for.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CreditTarget {
    /// Model, or empty for a plain service.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Adapter on the model, or empty.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Service whose backend servers serve it.
    #[prost(string, tag = "3")]
    pub service: String,
}

/// An entry asks the owner for a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CreditRequest {
    /// Request, as 16 bytes in network order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// What is asked for.
    #[prost(message, required, tag = "2")]
    pub target: CreditTarget,
    /// Customer, for shares.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Time left, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub budget_ms: u64,
    /// VMs already tried for this request.
    #[prost(string, repeated, tag = "5")]
    pub tried: Vec<String>,
    /// Number of this attempt, so that late grants for earlier ones can be told apart.
    #[prost(uint32, tag = "6")]
    pub attempt: u32,
    /// Size of the request's body, in bytes, from which its class is predicted.
    #[prost(uint64, tag = "7")]
    pub body_bytes: u64,
    /// Largest number of tokens the caller wants, or zero if it did not say.
    #[prost(uint64, tag = "8")]
    pub max_tokens: u64,
    /// Weight of the customer among others of the same priority.
    #[prost(uint32, tag = "9")]
    pub share: u32,
    /// Priority; lower numbers go first.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Whether the request may be executed more than once.
    #[prost(bool, tag = "11")]
    pub may_repeat: bool,
    /// Whether another attempt of the request is under way.
    #[prost(bool, tag = "12")]
    pub is_hedge: bool,
    /// Whether the request belongs to the long class.
    #[prost(bool, tag = "13")]
    pub is_long: bool,
    /// Most requests of the customer that may wait in one class.
    #[prost(uint32, tag = "14")]
    pub queue_limit: u32,
}

/// The owner grants one credit on a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Request that asked.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt that asked.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// VM of the backend server.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// Address of its side process.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Life of the side process that the credit is good for.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Whether the request waited for a load.
    #[prost(bool, tag = "6")]
    pub is_cold: bool,
    /// Time after which a hedge may be asked for, in microseconds; zero if none may.
    #[prost(uint64, tag = "7")]
    pub hedge_after_us: u64,
}

/// The owner refuses; nothing was handed to a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CreditRefusal {
    /// Request that asked.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt that asked.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Result code.
    #[prost(uint32, tag = "3")]
    pub code: u32,
    /// When to try again, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// The entry gives a credit back, or withdraws an ask that still waits.
#[derive(Clone, PartialEq, Message)]
pub struct CreditReturn {
    /// Request that asked.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Attempt that asked.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// What was asked for.
    #[prost(message, required, tag = "3")]
    pub target: CreditTarget,
    /// VM of the grant, or empty if none had arrived.
    #[prost(string, tag = "4")]
    pub vm: String,
    /// Time from hand-over to the end, in microseconds.
    #[prost(uint64, tag = "5")]
    pub service_us: u64,
    /// What became of the credit.
    #[prost(enumeration = "CreditUse", tag = "6")]
    pub used: i32,
}

/// What became of a credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum CreditUse {
    /// The request was not handed over.
    Unused = 0,
    /// The answer ended.
    Served = 1,
    /// The request was withdrawn after it had been handed over.
    Withdrawn = 2,
    /// The backend server failed or was lost.
    Failed = 3,
}
