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
    /// Number of an order, assigned by its sender; a retried order has the same number.
    OrderId;
    /// Number of a load or unload call to the engine.
    EngineCallId;
    /// Number of a listing request to the engine; increases with each request.
    ListingNumber;
    /// Incarnation of the engine process; differs after a restart.
    EngineIncarnation;
    /// Worth of keeping a target loaded, in millionths of an accelerator second saved per second
    /// and accelerator; idle targets of the lowest worth are evicted first.
    KeepWorth;
}

/// A model or adapter that occupies engine memory when loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LoadTarget {
    /// A base model.
    Model(ModelId),
    /// An adapter on a loaded base model.
    Adapter(ModelId, AdapterId),
}

impl LoadTarget {
    /// The base model: the target itself, or the model that the adapter belongs to.
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

/// Whether the engine checks fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// The engine refuses a call with a lower fencing number than the highest it has seen for the
    /// model.
    Enforced,
    /// The engine performs every call, whatever its fencing number.
    Ignored,
}

/// The fencing setting is neither `yes` nor `no`.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("the fencing check must be `yes` or `no`"))]
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

/// An order to load a target under a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Number of the order.
    pub id: OrderId,
    /// What to load.
    pub target: LoadTarget,
    /// Engine memory that the target occupies.
    pub size: ByteSize,
    /// Side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Worth of keeping the target loaded.
    pub worth: KeepWorth,
}

/// Purpose of an unload order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnloadPurpose {
    /// Only the memory is freed; the slot is kept and allows later loads.
    Idle,
    /// The slot is released; no later order under it is accepted.
    Release,
}

/// An order to unload a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnloadOrder {
    /// Number of the order.
    pub id: OrderId,
    /// What to unload; the adapters of a model are unloaded with it.
    pub target: LoadTarget,
    /// Side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Whether the slot is kept or released.
    pub purpose: UnloadPurpose,
}

/// A slot that an earlier process on the same VM held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InheritedSlot {
    /// Model of the slot.
    pub model: ModelId,
    /// Engine memory that the model occupies.
    pub size: ByteSize,
    /// Highest fencing number that the earlier process may have used.
    pub fence: FencingNumber,
    /// Number of load calls whose outcome is unknown: at most one for each earlier process.
    pub uncertain_loads: u32,
}

/// A target in an engine's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedTarget {
    /// Model or adapter that the engine reports.
    pub target: LoadTarget,
    /// Memory that it occupies, as reported by the engine.
    pub size: ByteSize,
}

/// Targets that an engine reports as loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineListing {
    /// Number of the request that this listing answers.
    pub number: ListingNumber,
    /// Incarnation of the engine process that answered.
    pub incarnation: EngineIncarnation,
    /// Targets that occupy memory, loaded or being loaded.
    pub targets: Vec<ListedTarget>,
}

/// Result of a load or unload call to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAnswer {
    /// The engine performed the call.
    Done,
    /// The engine reported a failure; it will not perform the call later.
    Failed,
    /// The engine refused the call because of its fencing number.
    StaleFence,
    /// No answer arrived; the engine may have performed the call or may do so later.
    Lost,
}

/// Input of the memory ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerEvent {
    /// Slots that earlier processes on this VM held, read from the platform at startup.
    Inherited(Vec<InheritedSlot>),
    /// An order to load arrived.
    Load(LoadOrder),
    /// An order to unload arrived.
    Unload(UnloadOrder),
    /// The engine answered a listing request.
    Listed(EngineListing),
    /// The pending listing request failed.
    ListingFailed,
    /// A load or unload call ended with this result.
    Answered(EngineCallId, EngineAnswer),
    /// The engine process ended.
    EngineDied,
    /// A request started to use a target.
    RequestStarted(LoadTarget),
    /// A request no longer uses a target.
    RequestEnded(LoadTarget),
    /// The worth of keeping a target loaded changed.
    WorthChanged(LoadTarget, KeepWorth),
    /// The backend server drains: no new loads or requests.
    Drain,
    /// Periodic check; requests a listing when one is due.
    Tick,
}

/// Outcome of an order that was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target is loaded.
    Loaded,
    /// The target no longer occupies engine memory.
    Unloaded,
}

/// Why an order was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DenyReason {
    /// No listing that covers the target has arrived yet, or the earlier slots are not known yet.
    NotReady,
    /// The order is for another process.
    WrongHolder,
    /// A higher fencing number was seen, or the slot was released.
    StaleFence,
    /// Too little memory is free and evictions cannot free enough, or the order needs more than the
    /// largest allowed adapter or than is reserved for the target.
    InsufficientMemory,
    /// The adapter's base model is not loaded.
    BaseMissing,
    /// Too many loads wait for memory.
    QueueFull,
    /// Earlier loads of the target failed, and the backoff has not passed.
    BackingOff,
    /// The engine reported that the load failed, or refused its fencing number.
    LoadFailed,
    /// The engine's answer was lost; the load may still be performed.
    LoadUncertain,
    /// The engine process ended.
    EngineDied,
    /// The target is being unloaded.
    Unloading,
    /// The backend server drains.
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

/// Output of the memory ledger, to be carried out by the side process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Request a listing from the engine.
    ListEngine(ListingNumber),
    /// Call the engine to load a target.
    LoadAtEngine {
        /// Number of the call.
        call: EngineCallId,
        /// What to load.
        target: LoadTarget,
        /// Fencing number to send with the call.
        fence: FencingNumber,
    },
    /// Call the engine to unload a target.
    UnloadAtEngine {
        /// Number of the call.
        call: EngineCallId,
        /// What to unload.
        target: LoadTarget,
        /// Fencing number to send with the call.
        fence: FencingNumber,
    },
    /// Report to the sender that the order was carried out.
    Confirm(OrderId, OrderOutcome),
    /// Report to the sender why the order was not carried out.
    Deny(OrderId, DenyReason),
}
