//! Loading models: the memory ledger, the weight store's gate and the keep-warm policy.

pub mod arrivals;
pub mod backoff;
pub mod cache;
pub mod flight;
pub mod gate;
pub mod guards;
pub mod ledger;
pub mod local;
pub mod orders;
pub mod scale;
pub mod slots;
pub mod warm;

pub use crate::{
    arrivals::GapHistogram,
    backoff::RetryBackoff,
    cache::{CacheTier, LoadCandidate},
    flight::{FlightAction, FlightEvent, LoadFlight},
    gate::{GateAction, GateEvent, GateRequest, GateTicket, LoadClass, WeightGate},
    guards::GuardSet,
    ledger::{LedgerSettings, MemoryLedger, TargetStatus},
    local::{LocalAction, LocalEvent, LocalGate},
    orders::{
        AttemptId, DenyReason, EngineAnswer, EngineLife, EngineListing, FenceCheck, InheritedSlot,
        KeepWorth, LedgerAction, LedgerEvent, ListedTarget, ListingNumber, LoadOrder, LoadTarget,
        OrderId, OrderOutcome, UnloadOrder, UnloadPurpose,
    },
    scale::{ModelDemand, ReplicaScale, ReplicaSpeed, replicas_wanted},
    slots::SlotBook,
    warm::{KeepWarm, LoadCost, WarmPlan, WarmPrices, WarmWish},
};
