//! State reports of an engine, and orders to it.

use std::{fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;
use catalog::TokenCount;
use roster::{IncarnationStart, InstanceId, ResidentModel};

/// Number of orders that an engine has accepted in its current incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderCount(pub u64);

impl fmt::Display for OrderCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for OrderCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// An adapter that an engine is loading.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingAdapter {
    /// Model that the adapter belongs to.
    pub model: ModelId,
    /// The adapter that is being loaded.
    pub adapter: AdapterId,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Start of its incarnation; `None` if the report leaves it out.
    pub started: Option<IncarnationStart>,
    /// Orders accepted in this incarnation.
    pub orders: OrderCount,
    /// Whether an order for a model is being carried out.
    pub is_busy: bool,
    /// Resident models with their adapters.
    pub residents: Vec<ResidentModel>,
    /// Adapters that are being loaded.
    pub pending: Vec<PendingAdapter>,
    /// Models with a copy of the weights in the host memory of the engine's VM.
    pub copies_in_memory: Vec<ModelId>,
    /// Models with a copy of the weights on the engine's disk.
    pub copies_on_disk: Vec<ModelId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a batch slot.
    pub waiting: u32,
    /// Tokens in the KV cache that cannot be evicted.
    pub tokens_used: TokenCount,
    /// Capacity of the KV cache, in tokens.
    pub tokens_total: TokenCount,
}

/// The operation that an order requests of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model with its adapters and its cached prompt prefixes.
    UnloadModel(ModelId),
    /// Load an adapter of a resident model.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

impl fmt::Display for OrderAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderAction::LoadModel(model) => write!(f, "load {model}"),
            OrderAction::UnloadModel(model) => write!(f, "unload {model}"),
            OrderAction::LoadAdapter(model, adapter) => write!(f, "load {model}/{adapter}"),
            OrderAction::UnloadAdapter(model, adapter) => write!(f, "unload {model}/{adapter}"),
        }
    }
}

/// One order to an engine, with the preconditions under which the engine accepts it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Operation to carry out.
    pub action: OrderAction,
    /// Engine that the order is for; any other engine refuses it.
    pub instance: InstanceId,
    /// Number of orders that the engine must have accepted so far. The engine refuses a delayed
    /// copy of the order, because its count has changed by then.
    pub expected: OrderCount,
    /// VM that sends the order.
    pub holder: VmId,
    /// Rises with every change of holder; an engine refuses a lower number than it has seen.
    pub fence: FencingNumber,
}

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The engine is already in the state that the order requests.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs from the expected
    /// one.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another engine than the one ordered uses the address.
    OtherInstance,
    /// The order is invalid, or the engine cannot carry it out.
    Refused,
    /// No answer arrived; the order may have been carried out, or may be later.
    Unknown,
}

impl OrderAnswer {
    /// Label in decision logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::Holds => "holds",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Fenced => "fenced",
            OrderAnswer::OtherInstance => "other-instance",
            OrderAnswer::Refused => "refused",
            OrderAnswer::Unknown => "unknown",
        }
    }
}
