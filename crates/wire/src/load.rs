//! Messages between the owner of a model and side processes about loads.

use prost::Message;

/// The owner wants a model loaded within its standing slot.
#[derive(Clone, PartialEq, Message)]
pub struct LoadOrder {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the slot.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Memory that the model takes, in bytes.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
    /// Life of the side process that the slot is bound to.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Worth of keeping the model once it is loaded.
    #[prost(uint64, tag = "5")]
    pub worth: u64,
}

/// The owner wants a model unloaded.
#[derive(Clone, PartialEq, Message)]
pub struct UnloadOrder {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the slot.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Whether the holder must promise not to load the model again under this number.
    #[prost(bool, tag = "3")]
    pub is_release: bool,
    /// Life of the side process that the slot is bound to.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// What became of an order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderOutcome {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the order.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Whether the engine now holds the model.
    #[prost(bool, tag = "3")]
    pub is_loaded: bool,
    /// Result code: success, or why the order failed.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// Whether the order was to load.
    #[prost(bool, tag = "5")]
    pub is_load: bool,
}

/// One model at a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ModelStatus {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Whether the load has ended.
    #[prost(bool, tag = "2")]
    pub is_loaded: bool,
    /// Requests in flight on it.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Where it stands, for operators.
    #[prost(string, tag = "4")]
    pub stage: String,
}

/// A model whose checkpoint is cached at a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CachedModel {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Whether it is cached in memory, otherwise on disk.
    #[prost(bool, tag = "2")]
    pub is_in_memory: bool,
}

/// State of a backend server, sent to entries that subscribed and on change.
#[derive(Clone, PartialEq, Message)]
pub struct BackendReport {
    /// Models held or being loaded.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelStatus>,
    /// Memory of the backend server, in bytes.
    #[prost(uint64, tag = "2")]
    pub memory: u64,
    /// Memory reserved, in bytes.
    #[prost(uint64, tag = "3")]
    pub reserved: u64,
    /// Whether the backend server takes no new work.
    #[prost(bool, tag = "4")]
    pub is_draining: bool,
    /// Requests that the backend server runs at once.
    #[prost(uint32, tag = "5")]
    pub concurrency: u32,
    /// Models whose checkpoints are cached in memory or on disk.
    #[prost(message, repeated, tag = "6")]
    pub cached: Vec<CachedModel>,
}

/// An entry tells a side process that the VM list marks its VM as leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeaveNotice {}

/// An entry wants reports from a side process.
#[derive(Clone, PartialEq, Message)]
pub struct ReportSubscription {}
