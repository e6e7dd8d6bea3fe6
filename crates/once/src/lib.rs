//! At-most-once execution of requests that are not idempotent.
//!
//! - [`RunLedger`] decides in the side process which requests are sent to the model engine.
//! - [`AttemptRecord`] tracks in the entry process the deliveries of one request.
//! - [`ClaimShard`] keeps the claims of idempotency keys in the platform's store.
//! - [`CrashQuarantine`] blocks requests that crash engines.

pub mod answers;
pub mod attempt;
pub mod claim;
pub mod exchange;
pub mod fingerprint;
pub mod key;
pub mod ledger;
pub mod object_claims;
pub mod owner;
pub mod quarantine;
pub mod run;
pub mod segment;
pub mod service;
pub mod shard;
pub mod table;

pub use crate::{
    attempt::{AttemptRecord, DeliveryState},
    claim::{
        CallTicket, ClaimCall, ClaimReply, ReadOutcome, SegmentNumber, ShardAction, ShardEvent,
        ShardSnapshot, ShardTime, StoredBase, StoredSegment, WriteOutcome,
    },
    exchange::{ClaimExchange, ExchangeCall},
    fingerprint::RequestFingerprint,
    key::{ClaimKey, CreationTime, KeyDigest, ShardId},
    ledger::{LedgerChecks, LedgerLimits, RunLedger},
    object_claims::ObjectClaims,
    owner::shard_ranking,
    quarantine::{
        CrashQuarantine, QuarantineAction, QuarantineEvent, QuarantineLimits, StoredRecord,
        record::{CrashId, CrashRecord, CrashedRequest, QuarantineStatus},
        service::QuarantineService,
    },
    run::{
        CancelOrder, CrashReport, CrashedRun, DrainCause, EngineEnd, LinkId, RunAction, RunEpoch,
        RunEvent, RunGrant, RunId, RunIsolation, RunOrder, SendState,
    },
    segment::{ClaimRecord, ClaimSegment, RecordKind, ShardBase},
    service::{ClaimRequest, ClaimService},
    shard::{ClaimShard, ShardChecks, ShardLimits},
};
