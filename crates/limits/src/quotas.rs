//! Quotas of workspaces: how many tokens their requests may use over all entries together.
//!
//! For each workspace, one entry keeps the account; the others ask it for tokens. Nothing here does
//! I/O. `docs/design/quotas.md` derives the hard bound from the constants of these modules.

mod account;
mod allowances;
mod exchange;
mod ledger;
mod pace;
mod routing;
mod terms;

pub use self::{
    account::{AccountId, TokenAccount},
    allowances::{
        GIVE_UP_TIME, GRANT_LIFE, HeldTokens, QuotaAllowances, QuotaOutcome, ShortReason,
        WaitTicket,
    },
    exchange::{AskerId, QuotaGrant, QuotaQuery, ReturnedTokens},
    ledger::{AccountRole, MemberChange, QuotaLedger},
    routing::{QueryHandling, QueryTarget, QuotaRouting, accepts_handover},
    terms::{QuotaTerms, QuotaTolerance},
};
