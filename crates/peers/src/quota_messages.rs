//! Messages about the tokens that workspaces may use.

/// Tokens that were granted and not used.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ReturnedQuota {
    /// Identity of the account that granted them.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Number of tokens.
    #[prost(double, tag = "2")]
    pub tokens: f64,
    /// Time since they were granted, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub granted_ms_ago: u32,
}

/// Requests tokens of one workspace.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRequestRow {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of the query, unique within the incarnation of its entry.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Tokens that waiting requests need.
    #[prost(double, tag = "3")]
    pub wanted: f64,
    /// Tokens that the first of them needs.
    #[prost(double, tag = "4")]
    pub first: f64,
    /// Tokens that the next requests will probably need.
    #[prost(double, tag = "5")]
    pub ahead: f64,
    /// Tokens of requests that were refused without a query.
    #[prost(double, tag = "6")]
    pub turned_away: f64,
    /// Tokens that were not used.
    #[prost(message, repeated, tag = "7")]
    pub returned: Vec<ReturnedQuota>,
    /// Number of queries sent before without an answer.
    #[prost(uint32, tag = "8")]
    pub unanswered: u32,
    /// Number of the first of them; answers to those before this one are void.
    #[prost(uint32, tag = "9")]
    pub first_number: u32,
}

/// Requests tokens of several workspaces with the same owner. Tag 2 was in use before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaQueryMessage {
    /// One row for each workspace.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<QuotaRequestRow>,
    /// Number that the answer repeats, if the query was passed on for another entry.
    #[prost(uint32, tag = "3")]
    pub relay: u32,
    /// Incarnation of the process that asks.
    #[prost(fixed64, tag = "4")]
    pub asker: u64,
}

/// Grants tokens of one workspace.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaGrantRow {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Number of the query.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Identity of the account; none if the sender does not know the workspace.
    #[prost(fixed64, optional, tag = "3")]
    pub account: Option<u64>,
    /// Tokens that may be used.
    #[prost(double, tag = "4")]
    pub tokens: f64,
    /// Time from now until the next query is of use, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub next_query_ms: u32,
    /// Time from now until there is room for refused requests, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub room_ms: u32,
    /// Whether the account has begun lately.
    #[prost(bool, tag = "7")]
    pub is_recent: bool,
}

/// Answers a [`QuotaQueryMessage`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaGrantMessage {
    /// One row for each workspace.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<QuotaGrantRow>,
    /// `relay` of the query.
    #[prost(uint32, tag = "2")]
    pub relay: u32,
}

/// The level of one account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaLevelRow {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Tokens that the account holds.
    #[prost(double, tag = "2")]
    pub level: f64,
}

/// Hands accounts over to the entry that keeps them from now on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaHandover {
    /// One row for each workspace.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<QuotaLevelRow>,
}
