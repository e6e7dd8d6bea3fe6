//! Changes of an engine's models, and what the controller of the engine does with them.

use base::prelude::*;
use roster::{IncarnationStart, InstanceId};

use crate::engine::{EngineOrder, OrderCount};

/// A change of an engine's resident models, requested by a planner.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChange {
    /// Engine to change.
    pub instance: InstanceId,
    /// Start of the engine's incarnation as known to the planner; the change is declined if it
    /// differs.
    pub started: Option<IncarnationStart>,
    /// Orders that the engine had accepted when the change was planned; the change is declined if
    /// the number differs.
    pub orders: OrderCount,
    /// Models to unload before the load.
    pub unload: Vec<ModelId>,
    /// Model to load; `None` to unload only.
    pub load: Option<ModelId>,
    /// Expected duration of the load.
    pub load_time: Duration,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
}

/// Why the controller declines a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineReason {
    /// The planner used an older state of the engine.
    Outdated,
    /// Another change is in progress.
    Busy,
    /// The models would not fit into the engine's memory.
    InsufficientMemory,
    /// The engine has not reported or is unreachable, or the size of a model is not known.
    NotKnown,
}

impl DeclineReason {
    /// Label in decision logs.
    pub fn text(self) -> &'static str {
        match self {
            DeclineReason::Outdated => "outdated",
            DeclineReason::Busy => "busy",
            DeclineReason::InsufficientMemory => "no-room",
            DeclineReason::NotKnown => "not-known",
        }
    }
}

/// An action that the caller of the controller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerAction {
    /// Send this order and pass the answer to [`EngineController::apply_answer`].
    Order(EngineOrder),
    /// Record that a change was declined; contains the model that it would have loaded.
    Decline(Option<ModelId>, DeclineReason),
    /// Publish the engine's state to the entries.
    StateChanged,
}

/// The load in progress at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentLoad {
    /// Model that is being loaded.
    pub model: ModelId,
    /// When the model is expected to be ready.
    pub ready_at: Instant,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
}

/// The sender of an engine's orders, as named in them.
#[derive(Debug, Clone)]
pub struct ControllerIdentity {
    /// VM of the side process.
    pub holder: VmId,
    /// Fencing number of its orders. It need not rise, since a side process is the only sender of
    /// orders to the engine on its VM, and engines refuse lower numbers only.
    pub fence: FencingNumber,
}
