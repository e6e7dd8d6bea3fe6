//! Loading models: the memory ledger, the weight store's gate and the keep-warm policy.

pub mod backoff;
pub mod guards;
pub mod ledger;
pub mod orders;
pub mod slots;

pub use crate::{
    backoff::RetryBackoff,
    guards::GuardSet,
    ledger::{LedgerSettings, MemoryLedger, TargetStatus},
    orders::{
        AttemptId, DenyReason, EngineAnswer, EngineLife, EngineListing, FenceCheck, InheritedSlot,
        KeepWorth, LedgerAction, LedgerEvent, ListedTarget, ListingNumber, LoadOrder, LoadTarget,
        OrderId, OrderOutcome, UnloadOrder, UnloadPurpose,
    },
    slots::SlotBook,
};
