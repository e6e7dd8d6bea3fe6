//! The account of one workspace: a token bucket, and what was granted from it lately.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    num::ParseIntError,
    str::FromStr,
};

use base::prelude::*;

use super::{
    exchange::{AskerId, QuotaQuery},
    terms::{QuotaTerms, QuotaTolerance},
};
use crate::query::QueryNumber;

/// Longest time between two steps for which an account fills. An entry that was frozen for longer
/// may have been replaced meanwhile.
const MAX_STEP: Duration = Duration::from_millis(250);
/// Length of the spans in which grants are added up.
const SPAN: Duration = Duration::from_millis(100);
/// Time before a window in which tokens may have been granted that are used in it.
const GRANT_SPREAD: Duration = Duration::from_millis(400);
/// Time for which a grant may turn out to be void because its answer was lost.
const VOID_TIME: Duration = Duration::from_secs(1);
/// Number of processes that ask from which on those without a recent grant are forgotten.
const MIN_ASKERS_TO_CLEAN: usize = 64;
/// Time for which an account counts as recent that follows that of a failed process.
const RECENT_TIME: Duration = Duration::from_secs(4);
/// Time for which another one counts as recent: a level may still be handed over.
const START_TIME: Duration = Duration::from_secs(1);
/// Time for which tokens are kept beyond the time at which an entry asks again.
const KEEP_MARGIN: Duration = Duration::from_millis(30);
/// Most seconds of the rate that are promised to refused requests.
const MAX_PROMISED: f64 = 2.0;

/// Identity of an account; each one that an entry begins has another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub u64);

impl fmt::Display for AccountId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for AccountId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Tokens granted in the last window, by the time of the grant and without those that came back.
#[derive(Debug, Default)]
struct GrantLog {
    spans: VecDeque<(Instant, f64)>,
    total: f64,
}

impl GrantLog {
    fn forget_before(&mut self, limit: Instant) {
        while let Some((start, tokens)) = self.spans.front().copied() {
            if start + SPAN > limit {
                break;
            }
            self.total -= tokens;
            self.spans.pop_front();
        }
        if self.spans.is_empty() {
            self.total = 0.0;
        }
    }

    /// When the oldest grants that add up to `tokens` were made, or later.
    fn end_of_oldest(&self, mut tokens: f64) -> Option<Instant> {
        let mut ends = self.spans.iter().map(|(start, sum)| (*start + SPAN, *sum));
        ends.find_map(|(end, sum)| {
            tokens -= sum;
            (tokens <= 0.0).then_some(end)
        })
    }

    fn add(&mut self, tokens: f64, now: Instant) {
        self.total += tokens;
        match self.spans.back_mut() {
            Some((start, sum)) if now < *start + SPAN => *sum += tokens,
            _ => self.spans.push_back((now, tokens)),
        }
    }

    /// Takes off what was granted at `granted` or, as far as that is gone, before.
    fn take_off(&mut self, mut tokens: f64, granted: Instant) {
        let earlier = self.spans.iter_mut().rev().filter(|(start, _)| *start <= granted);
        for (_, sum) in earlier {
            let part = tokens.min(*sum);
            *sum -= part;
            self.total -= part;
            tokens -= part;
        }
    }
}

/// A grant whose answer may be lost.
#[derive(Debug, Clone, Copy)]
struct RecentGrant {
    number: QueryNumber,
    tokens: f64,
    at: Instant,
}

/// Tokens that are kept for an entry whose request waits, so that smaller requests of other entries do
/// not take them.
#[derive(Debug, Clone, Copy)]
struct KeptTokens {
    asker: AskerId,
    tokens: f64,
    until: Instant,
}

/// The tokens of one workspace.
#[derive(Debug)]
pub struct TokenAccount {
    id: AccountId,
    terms: QuotaTerms,
    level: f64,
    /// Tokens by which the account has filled since it began.
    filled: f64,
    stepped: Instant,
    began: Instant,
    /// Tokens of refused requests whose `Retry-After` has not passed yet.
    promised: f64,
    log: GrantLog,
    /// Grants for the last query of each process that asks, with those that are repeated by it.
    recent: HashMap<AskerId, Vec<RecentGrant>>,
    kept: Option<KeptTokens>,
    follows_failure: bool,
}

impl TokenAccount {
    /// An account that begins with `level` tokens.
    pub fn new(id: AccountId, terms: QuotaTerms, level: f64, now: Instant) -> Self {
        Self {
            id,
            terms,
            level,
            filled: 0.0,
            stepped: now,
            began: now,
            promised: 0.0,
            log: GrantLog::default(),
            recent: HashMap::new(),
            kept: None,
            follows_failure: false,
        }
    }

    /// Identity of the account.
    pub fn id(&self) -> AccountId {
        self.id
    }

    /// Tokens that it holds now; less than zero if more was granted than a handed-over level covers.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Rate and burst.
    pub fn terms(&self) -> QuotaTerms {
        self.terms
    }

    /// Marks the account as one that follows that of a failed process.
    pub fn set_follows_failure(&mut self) {
        self.follows_failure = true;
    }

    /// Whether it began lately, after the failure of the process that kept the account before. That is
    /// unknown in the first moment of a process.
    pub fn is_recent(&self, now: Instant) -> bool {
        let span = if self.follows_failure { RECENT_TIME } else { START_TIME };
        now.saturating_duration_since(self.began) < span
    }

    /// When it began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Fills the account with `share` of its rate since the last step, up to `most`.
    pub fn step(&mut self, tolerance: &QuotaTolerance, share: f64, most: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.stepped).min(MAX_STEP).as_secs_f64();
        self.stepped = self.stepped.max(now);
        let income = self.terms.rate * share * passed;
        let room = (most - self.level).max(0.0);
        self.level = (self.level + income.min(room)).min(most);
        self.filled += income.min(room);
        self.promised = (self.promised - income).max(0.0);
        if let Some(limit) = now.checked_sub(tolerance.window + GRANT_SPREAD) {
            self.log.forget_before(limit);
        }
    }

    /// Goes on after its process was frozen for `frozen`: takes off what the account of a successor
    /// may have begun with and filled by, which may be handed over now, and does not fill before
    /// `resumed`.
    pub fn resume(
        &mut self,
        tolerance: &QuotaTolerance,
        frozen: Duration,
        resumed: Instant,
        now: Instant,
    ) {
        let taken = self.terms.rate * frozen.as_secs_f64() + tolerance.reserve(self.terms);
        self.level = (self.level - taken).max(self.level.min(0.0));
        self.filled = 0.0;
        self.began = now;
        self.follows_failure = true;
        self.stepped = self.stepped.max(resumed);
    }

    /// Goes on after the fleet was split, from the level that the other side had, if that is more.
    pub fn rejoin(&mut self, level: f64) {
        self.level = self.level.max(level);
    }

    /// Replaces rate and burst. What was granted before does not count against a lower quota, which
    /// binds one window later, except for what may be used from now on.
    pub fn set_terms(&mut self, tolerance: &QuotaTolerance, terms: QuotaTerms) {
        if tolerance.bound(terms) < tolerance.bound(self.terms)
            && let Some(limit) = self.stepped.checked_sub(GRANT_SPREAD)
        {
            self.log.forget_before(limit);
        }
        self.terms = terms;
        self.level = self.level.min(tolerance.capacity(terms));
    }

    /// Takes back what was granted for queries whose answers were lost, as this one shows: `asker`
    /// takes no answer to them any more.
    fn void_unanswered(&mut self, tolerance: &QuotaTolerance, query: &QuotaQuery, asker: AskerId) {
        let Some(recent) = self.recent.remove(&asker) else { return };
        if query.unanswered == 0 {
            return;
        }
        let void = recent.iter().filter(|grant| grant.number >= query.first_number);
        for grant in void {
            self.take_back(tolerance, grant.tokens, grant.at);
        }
    }

    fn remember(&mut self, asker: AskerId, grant: RecentGrant) {
        if self.recent.len() >= MIN_ASKERS_TO_CLEAN {
            let is_new =
                |grants: &Vec<RecentGrant>| grants.iter().any(|old| old.at + VOID_TIME > grant.at);
            self.recent.retain(|_, grants| is_new(grants));
        }
        self.recent.entry(asker).or_default().push(grant);
    }

    /// Takes tokens for the waiting requests of an entry, and ahead for later ones. Returns none if
    /// there are not even enough for the first of them.
    pub fn take(
        &mut self,
        tolerance: &QuotaTolerance,
        query: &QuotaQuery,
        asker: AskerId,
        now: Instant,
    ) -> f64 {
        self.void_unanswered(tolerance, query, asker);
        let (wanted, first, ahead) = (query.wanted, query.first, query.ahead);
        let free = self.free_level(asker, now).min(self.unused(tolerance));
        let granted = match free {
            _ if wanted <= 0.0 => 0.0,
            // Most of what is left stays for the other entries.
            free if free >= wanted => wanted + ahead.min((free - wanted) / 4.0),
            free if free >= first => free,
            _ => 0.0,
        };
        self.level -= granted;
        self.log.add(granted, now);
        if granted > 0.0 {
            self.kept = self.kept.filter(|kept| kept.asker != asker);
            let grant = RecentGrant { number: query.number, tokens: granted, at: now };
            self.remember(asker, grant);
        }
        granted
    }

    /// Tokens that may be granted within the hard bound of the last window.
    fn unused(&self, tolerance: &QuotaTolerance) -> f64 {
        tolerance.bound(self.terms) - self.log.total
    }

    /// The level without the tokens that are kept for entries other than `asker`.
    fn free_level(&self, asker: AskerId, now: Instant) -> f64 {
        let kept = self.kept.filter(|kept| now < kept.until && kept.asker != asker);
        self.level - kept.map_or(0.0, |kept| kept.tokens)
    }

    /// Time until `asker` may be granted `tokens`.
    pub fn time_until(
        &self,
        tolerance: &QuotaTolerance,
        tokens: f64,
        asker: AskerId,
        now: Instant,
    ) -> Duration {
        let missing = tokens - self.free_level(asker, now);
        let filled = seconds(missing.max(0.0) / self.terms.rate);
        let over = tokens - self.unused(tolerance);
        if over <= 0.0 {
            return filled;
        }
        let span = tolerance.window + GRANT_SPREAD;
        let room_at = self.log.end_of_oldest(over).map_or(now + span, |end| end + span);
        filled.max(room_at.saturating_duration_since(now))
    }

    /// Keeps what the first request of an entry needs until it asks again after `next_query`, unless
    /// another request has tokens kept.
    pub fn keep(&mut self, query: &QuotaQuery, asker: AskerId, next_query: Duration, now: Instant) {
        let is_taken = self.kept.is_some_and(|kept| now < kept.until && kept.asker != asker);
        if !is_taken {
            let until = now + next_query + KEEP_MARGIN;
            self.kept = Some(KeptTokens { asker, tokens: query.first, until });
        }
    }

    /// Promises `tokens` to refused requests; returns the time until there is room for them besides
    /// those that were promised before.
    pub fn promise(&mut self, tokens: f64) -> Duration {
        let room = seconds((tokens + self.promised - self.level).max(0.0) / self.terms.rate);
        self.promised = (self.promised + tokens).min(self.terms.rate * MAX_PROMISED);
        room
    }

    /// Takes back tokens that were granted at `granted` and not used.
    pub fn take_back(&mut self, tolerance: &QuotaTolerance, tokens: f64, granted: Instant) {
        self.log.take_off(tokens, granted);
        self.level = (self.level + tokens).min(tolerance.capacity(self.terms));
    }

    /// Goes on from the level of the entry that kept the account before. What this account has
    /// filled by meanwhile is taken off, because that entry's account was filling too.
    pub fn go_on_from(&mut self, tolerance: &QuotaTolerance, level: f64) {
        let level = level.clamp(0.0, tolerance.capacity(self.terms));
        self.level = self.level - self.filled + level;
        self.filled = 0.0;
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
}
