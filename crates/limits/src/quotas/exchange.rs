//! What an entry asks of the entry that keeps the account of a workspace, and the answer.

use base::prelude::*;
use catalog::WorkspaceName;

use super::account::AccountId;
use crate::query::QueryNumber;

/// Tokens that were granted and not used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnedTokens {
    /// The account that granted them.
    pub account: AccountId,
    /// Number of tokens.
    pub tokens: f64,
    /// When they were granted, or earlier.
    pub granted: Instant,
}

/// A query for tokens of one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaQuery {
    /// Workspace whose account is asked.
    pub workspace: WorkspaceName,
    /// Number of the query.
    pub number: QueryNumber,
    /// Tokens that the waiting requests need; zero only returns tokens.
    pub wanted: f64,
    /// Tokens that the first of them needs.
    pub first: f64,
    /// Tokens that the requests of the next moment will probably need.
    pub ahead: f64,
    /// Tokens of requests that were refused without a query.
    pub turned_away: f64,
    /// Tokens that were not used.
    pub returned: Vec<ReturnedTokens>,
    /// Number of queries sent before without an answer.
    pub unanswered: u32,
    /// Number of the first of them, or of this query: answers to those before this one are void.
    pub first_number: QueryNumber,
}

/// Identity of the process that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskerId(pub u64);

/// The answer to a [`QuotaQuery`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaGrant {
    /// Workspace that the tokens are for.
    pub workspace: WorkspaceName,
    /// Number of the query.
    pub number: QueryNumber,
    /// The account that grants the tokens; none if the answering entry does not know the workspace.
    pub account: Option<AccountId>,
    /// Tokens that may be used.
    pub tokens: f64,
    /// Time from now until the account holds enough for the first request that is left.
    pub next_query: Duration,
    /// Time from now until there is room for the requests that are left, as far as known.
    pub room_after: Duration,
    /// Whether the account has lately followed that of a failed process, so that requests that were
    /// not served meanwhile need tokens together.
    pub is_recent: bool,
}

impl QuotaGrant {
    /// The answer of an entry that does not know the account.
    pub fn unknown(query: &QuotaQuery) -> Self {
        Self {
            workspace: query.workspace.clone(),
            number: query.number,
            account: None,
            tokens: 0.0,
            next_query: Duration::ZERO,
            room_after: Duration::ZERO,
            is_recent: false,
        }
    }
}
