//! Messages between the owner of a model and side processes about loads and backend server state.

use prost::Message;

/// The owner orders a load of a model. The model's slot permits it until the slot is released.
#[derive(Clone, PartialEq, Message)]
pub struct LoadOrder {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the slot.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Memory to reserve for the model, in bytes.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
    /// Incarnation of the side process to which the slot is bound.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Worth of keeping the model loaded; idle models with the lowest worth are evicted first.
    #[prost(uint64, tag = "5")]
    pub worth: u64,
}

/// The owner orders an unload of a model.
#[derive(Clone, PartialEq, Message)]
pub struct UnloadOrder {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the slot.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Whether the slot is released: the side process then refuses later orders with this fencing
    /// number. Otherwise the slot stays and permits later loads.
    #[prost(bool, tag = "3")]
    pub is_release: bool,
    /// Incarnation of the side process to which the slot is bound.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// The outcome of a load or unload order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderOutcome {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Fencing number of the order.
    #[prost(uint64, tag = "2")]
    pub fencing: u64,
    /// Whether the model is loaded at the engine.
    #[prost(bool, tag = "3")]
    pub is_loaded: bool,
    /// Number of the result code: success, or the reason for which the order failed.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// Whether the order was a load order, otherwise an unload order.
    #[prost(bool, tag = "5")]
    pub is_load: bool,
}

/// Status of one model at a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ModelStatus {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Whether the model is loaded and no unload is pending.
    #[prost(bool, tag = "2")]
    pub is_loaded: bool,
    /// Number of requests in flight that use the model.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Load phase as text, shown to operators.
    #[prost(string, tag = "4")]
    pub stage: String,
}

/// A model whose checkpoint is cached at a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct CachedModel {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Whether the checkpoint is cached in memory, otherwise on disk.
    #[prost(bool, tag = "2")]
    pub is_in_memory: bool,
}

/// State of a backend server, sent to subscribed entries after changes and at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct BackendReport {
    /// Models that are loaded, being loaded or being unloaded.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelStatus>,
    /// Memory of the backend server for models and adapters, in bytes.
    #[prost(uint64, tag = "2")]
    pub memory: u64,
    /// Memory taken by models and adapters or reserved for them, in bytes.
    #[prost(uint64, tag = "3")]
    pub reserved: u64,
    /// Whether the side process is draining and refuses new requests and loads.
    #[prost(bool, tag = "4")]
    pub is_draining: bool,
    /// Largest number of requests that the backend server runs at once.
    #[prost(uint32, tag = "5")]
    pub concurrency: u32,
    /// Models whose checkpoints are cached in memory or on disk.
    #[prost(message, repeated, tag = "6")]
    pub cached: Vec<CachedModel>,
}

/// An entry informs a side process that the VM list marks its VM as leaving; the side process then
/// drains.
#[derive(Clone, PartialEq, Message)]
pub struct LeaveNotice {}

/// An entry subscribes to the reports of a side process, until their connection ends.
#[derive(Clone, PartialEq, Message)]
pub struct ReportSubscription {}
