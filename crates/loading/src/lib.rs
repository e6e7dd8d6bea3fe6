//! Loading of models: the memory ledger of a side process, the scheduler of a model's loads, the
//! limiter for reads from the weight store, replica scaling and the keep-warm policy.

pub mod backoff;
pub mod cache;
pub mod idle_gaps;
pub mod keep_warm;
pub mod ledger;
pub mod local_limiter;
pub mod orders;
pub mod replica_scaler;
pub mod safety_checks;
pub mod scheduler;
pub mod slot_table;
pub mod weight_limiter;

pub use crate::{
    backoff::RetryBackoff,
    cache::{CacheTier, LoadCandidate},
    idle_gaps::GapHistogram,
    keep_warm::{KeepWarm, LoadCost, WarmPlan, WarmPrices, WarmRequest},
    ledger::{LedgerSettings, MemoryLedger, TargetStatus},
    local_limiter::{LocalLimiterAction, LocalLimiterEvent, LocalLoadLimiter},
    orders::{
        DenyReason, EngineAnswer, EngineCallId, EngineIncarnation, EngineListing, FenceCheck,
        InheritedSlot, KeepWorth, LedgerAction, LedgerEvent, ListedTarget, ListingNumber,
        LoadOrder, LoadTarget, OrderId, OrderOutcome, UnloadOrder, UnloadPurpose,
    },
    replica_scaler::{ModelDemand, ReplicaScaler, ReplicaSpeed, desired_replicas},
    safety_checks::SafetyChecks,
    scheduler::{LoadScheduler, SchedulerAction, SchedulerEvent},
    slot_table::SlotTable,
    weight_limiter::{
        LimiterAction, LimiterEvent, LoadClass, WeightLoadId, WeightLoadLimiter, WeightLoadRequest,
    },
};
