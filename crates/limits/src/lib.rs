//! Limits that backend servers name in their answers: how many requests they take from all entries
//! together. Module `quotas` does the same for the tokens of workspaces.
//!
//! A limit holds from the answer that names it until an answer to a later request names none. For
//! each backend server with a limit, one entry gives out the times at which requests may be sent;
//! the others ask it when requests wait. Nothing here does I/O.

pub mod allowances;
pub mod known;
pub mod ledger;
pub mod query;
pub mod query_timer;
pub mod quotas;

pub use crate::{
    allowances::{LimitAllowances, SendSlot, SlotForecast},
    known::{KnownLimits, LimitSighting},
    ledger::{LedgerAnswer, LimitLedger, MAX_AHEAD},
    query::{LimitGrant, LimitQuery, QueryNumber},
    query_timer::{QueryTimer, QueryTiming},
};
