//! At-most-once execution of requests that are not idempotent.
//!
//! [`RunLedger`] is the side process's gate before its model engine; [`AttemptRecord`] is the
//! entry process's account of the deliveries of one request.

pub mod attempt;
pub mod fingerprint;
pub mod ledger;
pub mod run;

pub use crate::{
    attempt::{AttemptRecord, DeliveryState},
    fingerprint::RequestFingerprint,
    ledger::{LedgerGuards, LedgerLimits, RunLedger},
    run::{
        CancelOrder, CrashReport, CrashedRun, DrainCause, EngineEnd, LinkId, RunAction, RunEpoch,
        RunEvent, RunGrant, RunIsolation, RunOrder, SendState,
    },
};
