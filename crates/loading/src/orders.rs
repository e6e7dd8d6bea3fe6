//! Orders, answers, events and actions of the memory ledger.

use std::{fmt, str::FromStr};

use base::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

macro_rules! ledger_number {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

ledger_number! {
    /// An order as numbered by its giver; a repeated order has the same number.
    OrderId;
    /// One call that loads or unloads at the engine.
    EngineCallId;
    /// A listing request to the engine; rises with every request.
    ListingNumber;
    /// One life of the engine's process; differs after a restart.
    EngineIncarnation;
    /// How much it is worth to keep a target loaded; larger is kept longer.
    KeepWorth;
}

/// What takes up an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LoadTarget {
    /// A base model.
    Model(ModelId),
    /// An adapter on a loaded base model.
    Adapter(ModelId, AdapterId),
}

impl LoadTarget {
    /// The base model: the target itself, or the model that the adapter rides on.
    pub fn model(&self) -> &ModelId {
        match self {
            LoadTarget::Model(model) | LoadTarget::Adapter(model, _) => model,
        }
    }

    /// The base model as a target.
    pub fn base(&self) -> LoadTarget {
        LoadTarget::Model(self.model().clone())
    }

    /// Whether the target is an adapter.
    pub fn is_adapter(&self) -> bool {
        matches!(self, LoadTarget::Adapter(..))
    }
}

impl fmt::Display for LoadTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadTarget::Model(model) => write!(f, "{model}"),
            LoadTarget::Adapter(model, adapter) => write!(f, "{model}+{adapter}"),
        }
    }
}

/// Whether the engine refuses orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// The engine refuses orders older than the newest it has seen for the model.
    Enforced,
    /// The engine performs every order.
    Ignored,
}

/// The text is neither `yes` nor `no`.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("an engine checks fencing numbers: yes or no"))]
pub struct FenceCheckError;

impl FromStr for FenceCheck {
    type Err = FenceCheckError;

    fn from_str(text: &str) -> Result<Self, FenceCheckError> {
        match text {
            "yes" => Ok(FenceCheck::Enforced),
            "no" => Ok(FenceCheck::Ignored),
            _ => FenceCheckSnafu.fail(),
        }
    }
}

/// An order to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Number of the order.
    pub id: OrderId,
    /// What to load.
    pub target: LoadTarget,
    /// Memory that it takes at the engine.
    pub size: ByteSize,
    /// Side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Worth of keeping it once loaded.
    pub worth: KeepWorth,
}

/// Why something is to be unloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnloadPurpose {
    /// The slot stays and may be used for another load.
    Idle,
    /// The slot is given up; no later order under it is accepted.
    Release,
}

/// An order to unload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnloadOrder {
    /// Number of the order.
    pub id: OrderId,
    /// What to unload; a model takes its adapters with it.
    pub target: LoadTarget,
    /// Side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Whether the slot stays.
    pub purpose: UnloadPurpose,
}

/// A slot that an earlier process on the same VM held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InheritedSlot {
    /// Model of the slot.
    pub model: ModelId,
    /// Memory that the model takes.
    pub size: ByteSize,
    /// Highest fencing number that the earlier process can have used.
    pub fence: FencingNumber,
    /// Load orders whose fate is unknown: at most one for each earlier process.
    pub uncertain_loads: u32,
}

/// A target in an engine's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// The target.
    pub target: LoadTarget,
    /// Memory it takes according to the engine.
    pub size: ByteSize,
}

/// What an engine says it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineListing {
    /// The request that this listing answers.
    pub number: ListingNumber,
    /// Life of the engine that answered.
    pub incarnation: EngineIncarnation,
    /// Targets that take memory, loaded or being loaded.
    pub targets: Vec<ListedTarget>,
}

/// How a load or unload call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAnswer {
    /// The engine performed it.
    Done,
    /// The engine says that it failed; nothing more will come of it.
    Failed,
    /// The engine refused the fencing number; nothing was done.
    StaleFence,
    /// No answer arrived; the engine may perform it later.
    Lost,
}

/// Something that happened at the side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerEvent {
    /// The slots that earlier processes on this VM held, read from the platform at the start.
    Inherited(Vec<InheritedSlot>),
    /// An order to load arrived.
    Load(LoadOrder),
    /// An order to unload arrived.
    Unload(UnloadOrder),
    /// The engine answered a listing request.
    Listed(EngineListing),
    /// A listing request was not answered.
    ListingFailed,
    /// The engine answered a load or unload call, or the answer is lost.
    Answered(EngineCallId, EngineAnswer),
    /// The engine's process ended.
    EngineDied,
    /// A request began to use a target.
    RequestStarted(LoadTarget),
    /// A request no longer uses a target.
    RequestEnded(LoadTarget),
    /// The worth of a target changed.
    WorthChanged(LoadTarget, KeepWorth),
    /// The backend server leaves: no new loads.
    Drain,
    /// Time passed.
    Tick,
}

/// What an order came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target is loaded.
    Loaded,
    /// The target is gone from the engine.
    Unloaded,
}

/// Why an order was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DenyReason {
    /// The engine has not been listed yet, or earlier slots are unknown.
    NotReady,
    /// The order is meant for another process.
    WrongHolder,
    /// A newer fencing number was seen, or the slot was given up.
    StaleFence,
    /// The memory cannot be freed.
    InsufficientMemory,
    /// The adapter's base model is not loaded.
    BaseMissing,
    /// Too many orders wait.
    QueueFull,
    /// Earlier loads failed; the next is allowed after a wait.
    BackingOff,
    /// The engine failed the load.
    LoadFailed,
    /// The engine's answer was lost; the load may still happen.
    LoadUncertain,
    /// The engine ended.
    EngineDied,
    /// The target is being unloaded.
    Unloading,
    /// The backend server leaves.
    Draining,
}

impl fmt::Display for DenyReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DenyReason::NotReady => "the side process is not ready",
            DenyReason::WrongHolder => "the order is for another process",
            DenyReason::StaleFence => "the fencing number is old",
            DenyReason::InsufficientMemory => "the memory cannot be freed",
            DenyReason::BaseMissing => "the base model is not loaded",
            DenyReason::QueueFull => "too many orders wait",
            DenyReason::BackingOff => "earlier loads failed",
            DenyReason::LoadFailed => "the engine failed the load",
            DenyReason::LoadUncertain => "the engine's answer was lost",
            DenyReason::EngineDied => "the engine ended",
            DenyReason::Unloading => "the target is being unloaded",
            DenyReason::Draining => "the backend server leaves",
        })
    }
}

/// What the side process must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Ask the engine what it holds.
    ListEngine(ListingNumber),
    /// Order the engine to load.
    LoadAtEngine {
        /// Number of the call.
        call: EngineCallId,
        /// What to load.
        target: LoadTarget,
        /// Fencing number to send along.
        fence: FencingNumber,
    },
    /// Order the engine to unload.
    UnloadAtEngine {
        /// Number of the call.
        call: EngineCallId,
        /// What to unload.
        target: LoadTarget,
        /// Fencing number to send along.
        fence: FencingNumber,
    },
    /// Tell the giver that the order was carried out.
    Confirm(OrderId, OrderOutcome),
    /// Tell the giver why the order was not carried out.
    Deny(OrderId, DenyReason),
}
