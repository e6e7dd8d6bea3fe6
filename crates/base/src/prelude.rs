//! Re-exports of the types that most modules use.

pub use std::time::Duration;

pub use tokio::time::Instant;

pub use crate::{
    codes::{ResultCode, RunState},
    ids::{
        AdapterId, CustomerId, FencingNumber, IdempotencyKey, KeyHash, ListVersion, ModelId,
        OperatorName, PlanName, ProcessIncarnation, RegionName, RequestId, ServiceName, VmId,
        ZoneName,
    },
    rates::{EventRate, ShareWeight, TimeSpan},
    sizes::ByteSize,
};
