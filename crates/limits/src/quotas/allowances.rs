//! The tokens that this entry holds for its requests, and the requests that wait for tokens.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use catalog::WorkspaceName;

use super::{
    account::AccountId,
    exchange::{QuotaGrant, QuotaQuery, ReturnedTokens},
};
use crate::{
    query::QueryNumber,
    query_timer::{QueryTimer, QueryTiming},
};

/// Time for which granted tokens may be used, counted from the query.
pub const GRANT_LIFE: Duration = Duration::from_millis(300);
/// Time for which a request waits for the answer to its query, with all its repetitions.
pub const GIVE_UP_TIME: Duration = Duration::from_millis(700);
/// Time-outs of queries; the round trip within a region takes some milliseconds.
const QUERY_TIMING: QueryTiming =
    QueryTiming { timeout: Duration::from_millis(100), max_tries: 5, pause: Duration::ZERO };
/// Time after an answer from a recent account for which requests wait longer for tokens: those that
/// came while nobody answered need them together.
const LATE_TIME: Duration = Duration::from_millis(500);
/// Time after which an entry asks again if the owner does not know the workspace yet.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(50);
/// Queries a second for one workspace that has used up its quota.
const QUERY_RATE: f64 = 5.0;
/// Queries that may be sent at once on top of it.
const QUERY_BURST: f64 = 2.0;
/// Least time between two queries for a workspace within its quota.
const MIN_QUERY_GAP: Duration = Duration::from_millis(10);
/// Time ahead for which tokens are requested.
const AHEAD: f64 = 0.15;
/// Time over which the use of a workspace is averaged, in seconds.
const USE_SPAN: f64 = 0.7;
/// Time without a request after which the allowance of a workspace is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// Time for which unused tokens wait for a query that returns them.
const RETURN_DELAY: Duration = Duration::from_millis(50);
/// Most rows of returned tokens in one query.
const MAX_RETURNS: usize = 4;

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(pub u64);

/// Tokens of a request, taken from what the entry holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldTokens {
    /// The account that granted them.
    pub account: AccountId,
    /// Number of tokens.
    pub tokens: f64,
    /// When they were granted, or earlier.
    pub granted: Instant,
}

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShortReason {
    /// The workspace has used up its quota.
    Exceeded,
    /// No entry that keeps the account answers.
    Unanswered,
}

impl ShortReason {
    /// Name in the decision log and in metrics.
    pub fn text(self) -> &'static str {
        match self {
            ShortReason::Exceeded => "exceeded",
            ShortReason::Unanswered => "unanswered",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaOutcome {
    /// It has its tokens.
    Granted(HeldTokens),
    /// It waits for them.
    Waits(WaitTicket),
    /// It gets none; there is room after this time.
    Short(ShortReason, Duration),
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: WaitTicket,
    cost: f64,
    /// Longest wait for tokens beyond the exchange of messages.
    patience: Duration,
    deadline: Instant,
    give_up: Instant,
}

#[derive(Debug)]
struct WorkspaceAllowance {
    /// In the order of their grants.
    held: VecDeque<HeldTokens>,
    waiting: VecDeque<WaitingRequest>,
    returns: Vec<ReturnedTokens>,
    /// When the first of the returns came up.
    returns_since: Instant,
    timer: QueryTimer,
    /// Queries that may be sent now.
    queries: f64,
    /// Whether the last answer left requests without tokens.
    is_short: bool,
    last_query: Option<Instant>,
    /// When there is room for requests that are refused, as far as known.
    room_at: Instant,
    /// Tokens of the requests since the last query.
    new_use: f64,
    /// Tokens of the requests that were refused without a query.
    turned_away: f64,
    /// Until then, the failure of the entry that kept the account has effects.
    late_until: Instant,
    /// Number of the first query of those sent in vain.
    first_number: QueryNumber,
    /// Tokens a second of the requests, averaged.
    use_rate: f64,
    /// Cost of a request, averaged.
    mean_cost: f64,
    stepped: Instant,
    last_request: Instant,
}

impl WorkspaceAllowance {
    fn new(now: Instant) -> Self {
        Self {
            held: VecDeque::new(),
            waiting: VecDeque::new(),
            returns: Vec::new(),
            returns_since: now,
            timer: QueryTimer::new(now),
            queries: QUERY_BURST,
            is_short: false,
            last_query: None,
            room_at: now,
            new_use: 0.0,
            turned_away: 0.0,
            late_until: now,
            first_number: QueryNumber::default(),
            use_rate: 0.0,
            mean_cost: 0.0,
            stepped: now,
            last_request: now,
        }
    }

    fn step(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.stepped).as_secs_f64();
        self.stepped = self.stepped.max(now);
        self.queries = (self.queries + passed * QUERY_RATE).min(QUERY_BURST);
        self.use_rate *= (-passed / USE_SPAN).exp();
        while let Some(held) = self.held.front().copied() {
            if now < held.granted + GRANT_LIFE {
                break;
            }
            self.held.pop_front();
            self.add_return(held, now);
        }
    }

    fn add_return(&mut self, held: HeldTokens, now: Instant) {
        if held.tokens <= 0.0 {
            return;
        }
        if self.returns.is_empty() {
            self.returns_since = now;
        }
        let known = self.returns.iter_mut().find(|returned| returned.account == held.account);
        if let Some(returned) = known {
            returned.tokens += held.tokens;
            returned.granted = returned.granted.min(held.granted);
        } else if self.returns.len() < MAX_RETURNS {
            // More accounts than that are of entries that are gone.
            let HeldTokens { account, tokens, granted } = held;
            self.returns.push(ReturnedTokens { account, tokens, granted });
        }
    }

    fn record_use(&mut self, cost: f64, now: Instant) {
        self.last_request = now;
        self.new_use += cost;
        self.use_rate += cost / USE_SPAN;
        self.mean_cost += (cost - self.mean_cost) * 0.2;
    }

    fn held_total(&self) -> f64 {
        self.held.iter().map(|held| held.tokens).sum()
    }

    /// Takes the tokens of a request from the grants that lapse first. They count as granted by the
    /// account of the last of these, at the time of the first.
    fn take(&mut self, cost: f64) -> Option<HeldTokens> {
        if self.held_total() < cost {
            return None;
        }
        let first = *self.held.front()?;
        let mut taken = HeldTokens { tokens: cost, ..first };
        let mut missing = cost;
        while let Some(held) = self.held.front_mut() {
            taken.account = held.account;
            let part = missing.min(held.tokens);
            held.tokens -= part;
            missing -= part;
            if held.tokens > 0.0 || missing <= 0.0 {
                break;
            }
            self.held.pop_front();
        }
        Some(taken)
    }

    /// Tokens to request besides those that waiting requests need. Less than a request would only
    /// lapse.
    fn ahead(&self, now: Instant) -> f64 {
        // Requests may have come to this entry only just now.
        let since = self.last_query.map_or(USE_SPAN, |sent| {
            now.saturating_duration_since(sent).max(MIN_QUERY_GAP).as_secs_f64()
        });
        let ahead = self.use_rate.max(self.new_use / since) * AHEAD;
        if ahead >= self.mean_cost { ahead } else { 0.0 }
    }

    /// Time from which on the pace of queries allows another one.
    fn pace(&self, now: Instant) -> Instant {
        if self.is_short {
            now + Duration::from_secs_f64((1.0 - self.queries).max(0.0) / QUERY_RATE)
        } else {
            self.last_query.map_or(now, |sent| sent + MIN_QUERY_GAP)
        }
    }

    /// Time until the next query, if none is on its way.
    fn time_to_query(&self, now: Instant) -> Duration {
        if self.timer.is_pending() {
            return Duration::ZERO;
        }
        self.timer.next_query().max(self.pace(now)).saturating_duration_since(now)
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.waiting.is_empty()
            && self.held.is_empty()
            && self.returns.is_empty()
            && now.saturating_duration_since(self.last_request) > RETENTION
    }
}

/// The tokens that this entry holds, by workspace.
#[derive(Debug, Default)]
pub struct QuotaAllowances {
    by_workspace: HashMap<WorkspaceName, WorkspaceAllowance>,
    last_number: QueryNumber,
    last_ticket: u64,
}

impl QuotaAllowances {
    /// Requests tokens for a request. It waits at most `patience` for tokens besides the exchange of
    /// messages, and not beyond `deadline`.
    pub fn request(
        &mut self,
        workspace: &WorkspaceName,
        cost: f64,
        patience: Duration,
        deadline: Instant,
        now: Instant,
    ) -> QuotaOutcome {
        let allowance = self.allowance(workspace, now);
        allowance.step(now);
        allowance.record_use(cost, now);
        if allowance.waiting.is_empty()
            && let Some(held) = allowance.take(cost)
        {
            return QuotaOutcome::Granted(held);
        }
        let time_to_query = allowance.time_to_query(now);
        let patience = if allowance.late_until > now { GIVE_UP_TIME } else { patience };
        if allowance.is_short && time_to_query > patience {
            let room_after = allowance.room_at.saturating_duration_since(now).max(time_to_query);
            allowance.turned_away += cost;
            return QuotaOutcome::Short(ShortReason::Exceeded, room_after);
        }
        let give_up = (now + GIVE_UP_TIME).min(deadline);
        self.last_ticket += 1;
        let ticket = WaitTicket(self.last_ticket);
        let waiting = WaitingRequest { ticket, cost, patience, deadline, give_up };
        self.allowance(workspace, now).waiting.push_back(waiting);
        QuotaOutcome::Waits(ticket)
    }

    fn allowance(&mut self, workspace: &WorkspaceName, now: Instant) -> &mut WorkspaceAllowance {
        if !self.by_workspace.contains_key(workspace) {
            self.by_workspace.insert(workspace.clone(), WorkspaceAllowance::new(now));
        }
        self.by_workspace.get_mut(workspace).expect("it was just added")
    }

    /// Forgets a request whose caller has left.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: WaitTicket) {
        if let Some(allowance) = self.by_workspace.get_mut(workspace) {
            allowance.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Takes back the tokens of a request that did not run.
    pub fn give_back(&mut self, workspace: &WorkspaceName, held: HeldTokens, now: Instant) {
        let allowance = self.allowance(workspace, now);
        if now < held.granted + GRANT_LIFE {
            let index = allowance.held.partition_point(|other| other.granted <= held.granted);
            allowance.held.insert(index, held);
        } else {
            allowance.add_return(held, now);
        }
    }

    /// The queries that are due now.
    pub fn due_queries(&mut self, now: Instant) -> Vec<QuotaQuery> {
        let mut queries = Vec::new();
        for (workspace, allowance) in &mut self.by_workspace {
            allowance.step(now);
            let needed: f64 = allowance.waiting.iter().map(|waiting| waiting.cost).sum();
            let wanted = (needed - allowance.held_total()).max(0.0);
            let returns_due =
                !allowance.returns.is_empty() && now >= allowance.returns_since + RETURN_DELAY;
            if wanted <= 0.0 && (!returns_due || allowance.timer.is_pending()) {
                continue;
            }
            let Some(unanswered) = allowance.timer.due(&QUERY_TIMING, now) else { continue };
            if unanswered == 0 {
                if now < allowance.pace(now) {
                    continue;
                }
                allowance.queries = (allowance.queries - 1.0).max(0.0);
            }
            self.last_number.0 = self.last_number.0.wrapping_add(1);
            let number = self.last_number;
            if unanswered == 0 {
                allowance.first_number = number;
            }
            if wanted > 0.0 {
                allowance.timer.record_sent(number, unanswered, now);
            }
            let ahead = allowance.ahead(now);
            allowance.last_query = Some(now);
            allowance.new_use = 0.0;
            let first = allowance.waiting.front().map_or(0.0, |waiting| waiting.cost);
            queries.push(QuotaQuery {
                workspace: workspace.clone(),
                number,
                wanted,
                first: (first - allowance.held_total()).max(0.0),
                ahead,
                turned_away: std::mem::take(&mut allowance.turned_away),
                returned: std::mem::take(&mut allowance.returns),
                unanswered,
                first_number: allowance.first_number,
            });
        }
        self.by_workspace.retain(|_, allowance| !allowance.is_idle(now));
        queries
    }

    /// Takes the answer to a query; one to an earlier query is ignored, and its tokens lapse.
    /// Returns what becomes of waiting requests.
    pub fn apply_grant(
        &mut self,
        grant: &QuotaGrant,
        now: Instant,
    ) -> Vec<(WaitTicket, QuotaOutcome)> {
        let Some(allowance) = self.by_workspace.get_mut(&grant.workspace) else {
            return Vec::new();
        };
        let pause = if grant.account.is_some() { grant.next_query } else { UNKNOWN_PAUSE };
        let Some(sent) = allowance.timer.record_answer(grant.number, now + pause) else {
            return Vec::new();
        };
        if let Some(account) = grant.account {
            allowance.held.push_back(HeldTokens { account, tokens: grant.tokens, granted: sent });
            allowance.room_at = now + grant.room_after;
            if grant.is_recent {
                allowance.late_until = now + LATE_TIME;
            }
            allowance.is_short = !grant.room_after.is_zero();
        }
        // After the grant is added: it may have lapsed while this process was suspended.
        allowance.step(now);
        let mut outcomes = serve_waiting(allowance);
        if grant.account.is_some() {
            outcomes.extend(refuse_impatient(allowance, grant, now));
        }
        outcomes
    }

    /// Refuses the requests that have waited too long for an answer.
    pub fn refuse_late(&mut self, now: Instant) -> Vec<(WaitTicket, QuotaOutcome)> {
        let mut outcomes = Vec::new();
        for allowance in self.by_workspace.values_mut() {
            let room_after = allowance.room_at.saturating_duration_since(now);
            let reason =
                if allowance.is_short { ShortReason::Exceeded } else { ShortReason::Unanswered };
            allowance.waiting.retain(|waiting| {
                let is_late = waiting.give_up <= now;
                if is_late {
                    outcomes.push((waiting.ticket, QuotaOutcome::Short(reason, room_after)));
                }
                !is_late
            });
        }
        outcomes
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        self.by_workspace.values().any(|allowance| !allowance.waiting.is_empty())
    }

    /// Number of workspaces with requests in the last seconds.
    pub fn active(&self) -> usize {
        self.by_workspace.len()
    }
}

fn serve_waiting(allowance: &mut WorkspaceAllowance) -> Vec<(WaitTicket, QuotaOutcome)> {
    let mut outcomes = Vec::new();
    for _ in 0..allowance.waiting.len() {
        let Some(waiting) = allowance.waiting.pop_front() else { break };
        match allowance.take(waiting.cost) {
            Some(held) => outcomes.push((waiting.ticket, QuotaOutcome::Granted(held))),
            None => allowance.waiting.push_back(waiting),
        }
    }
    outcomes
}

/// Refuses the requests for which there is no room in time.
fn refuse_impatient(
    allowance: &mut WorkspaceAllowance,
    grant: &QuotaGrant,
    now: Instant,
) -> Vec<(WaitTicket, QuotaOutcome)> {
    if grant.next_query.is_zero() {
        return Vec::new();
    }
    let mut outcomes = Vec::new();
    let is_late = allowance.late_until > now;
    let (next_query, room_after) = (grant.next_query, grant.room_after);
    allowance.waiting.retain_mut(|waiting| {
        // After a failure, many requests wait that were not served meanwhile.
        let is_refused = match is_late {
            true => waiting.give_up < now + next_query,
            false => next_query > waiting.patience || waiting.deadline < now + next_query,
        };
        if is_refused {
            let outcome = QuotaOutcome::Short(ShortReason::Exceeded, room_after);
            outcomes.push((waiting.ticket, outcome));
        } else {
            waiting.patience = waiting.patience.saturating_sub(next_query);
            if !is_late {
                let answered = now + next_query + QUERY_TIMING.timeout;
                waiting.give_up = waiting.give_up.max(answered).min(waiting.deadline);
            }
        }
        !is_refused
    });
    outcomes
}
