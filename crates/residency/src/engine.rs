//! What an engine reports, and the orders that it takes.

use std::{fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;
use catalog::TokenCount;
use roster::{IncarnationStart, InstanceId, ResidentModel};

/// Number of orders that an engine has accepted in its incarnation.
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

/// An adapter on its way into an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingAdapter {
    /// Model that it belongs to.
    pub model: ModelId,
    /// Adapter.
    pub adapter: AdapterId,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Start of its incarnation, where it says so.
    pub started: Option<IncarnationStart>,
    /// Orders accepted in this incarnation.
    pub orders: OrderCount,
    /// Whether an order for a model is being carried out.
    pub is_busy: bool,
    /// Models that it holds, with their adapters.
    pub residents: Vec<ResidentModel>,
    /// Adapters on their way.
    pub pending: Vec<PendingAdapter>,
    /// Models whose weights lie in the memory of its VM.
    pub copies_in_memory: Vec<ModelId>,
    /// Models whose weights lie on its disk.
    pub copies_on_disk: Vec<ModelId>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Tokens in memory that cannot yield.
    pub tokens_used: TokenCount,
    /// Tokens that fit into memory.
    pub tokens_total: TokenCount,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelId),
    /// Drop a model, its adapters and the cached parts of its prompts.
    UnloadModel(ModelId),
    /// Load an adapter of a model that is present.
    LoadAdapter(ModelId, AdapterId),
    /// Drop an adapter.
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

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub action: OrderAction,
    /// The engine that is meant; any other refuses.
    pub instance: InstanceId,
    /// Orders that the engine must have accepted so far; a late copy finds another number.
    pub expected: OrderCount,
    /// Name of the VM that gives the order.
    pub holder: VmId,
    /// Rises with every change of holder.
    pub fence: FencingNumber,
}

/// What an engine answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// What the order asks for already holds.
    Holds,
    /// Another order is in progress, or another number of orders was accepted.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// Another engine has the address.
    OtherInstance,
    /// The engine does not know the order, or cannot carry it out.
    Refused,
    /// No answer came; the order may be carried out, now or later.
    Unknown,
}

impl OrderAnswer {
    /// One word for logs and metrics.
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
