//! The accounts of the workspaces for which this entry keeps them.

use std::collections::HashMap;

use base::prelude::*;
use catalog::WorkspaceName;

use super::{
    account::{AccountId, TokenAccount},
    exchange::{AskerId, QuotaGrant, QuotaQuery},
    pace::QueryPace,
    terms::{QuotaTerms, QuotaTolerance},
};

/// Time beyond a window after which an entry may take over an account with a reserve again.
const RESERVE_MARGIN: Duration = Duration::from_millis(500);
/// Time within which the loss of one entry is noticed in one way and another: by queries after 200 ms,
/// by heartbeats up to 2.2 s after it (1.7 s without any, and the interval of updates).
const SAME_LOSS_TIME: Duration = Duration::from_millis(2_000);
/// Time between two steps from which on other entries may have taken the accounts over.
const FROZEN_TIME: Duration = Duration::from_millis(600);
/// Time after which the others know that a frozen process is back.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// Time since which all entries were heard at once, while no change of the live entries is in sight; a
/// heartbeat that is lost takes 300 ms of it.
const HEARD_ALL_TIME: Duration = Duration::from_secs(1);
/// Share of the rates below which most entries are on another side of a split fleet.
const SPLIT_SHARE: f64 = 0.5;
/// Reserves that an account holds at most while this entry stands in.
const STAND_IN_RESERVES: f64 = 2.0;
/// Longest time between the beginning of an account and the level of the one before it.
const HANDOVER_TIME: Duration = Duration::from_secs(2);
/// Least age of an account whose level counts at another entry.
const MIN_HANDOVER_AGE: Duration = Duration::from_millis(600);
/// Time without a query after which the account of another entry, for which this one stood in, is
/// forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// A change in the set of live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// An entry has become live.
    Joined,
    /// An entry leaves as planned, and hands its accounts over.
    Leaves,
    /// An entry was lost, and its accounts with it.
    Lost,
}

/// Why this entry answers queries for a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountRole {
    /// It ranks first among the live entries.
    Owner,
    /// It ranks second, and the first does not answer.
    StandIn,
}

#[derive(Debug)]
struct KnownTerms {
    terms: QuotaTerms,
    since: Instant,
    /// Whether no entry can have granted tokens before, and no account has begun full yet.
    is_new: bool,
}

#[derive(Debug)]
struct KeptAccount {
    account: TokenAccount,
    role: AccountRole,
    used: Instant,
    pace: QueryPace,
}

impl KeptAccount {
    fn new(account: TokenAccount, role: AccountRole, now: Instant) -> Self {
        Self { account, role, used: now, pace: QueryPace::new(now) }
    }

    /// Fills the account. One that stands in does not fill by more than some reserves: the owner may be
    /// alive and fill its own.
    fn step(&mut self, tolerance: &QuotaTolerance, share: f64, now: Instant) {
        let terms = self.account.terms();
        let most = match self.role {
            AccountRole::Owner => tolerance.capacity_for(terms, share),
            AccountRole::StandIn => tolerance.reserve(terms) * STAND_IN_RESERVES,
        };
        self.account.step(tolerance, share, most, now);
    }
}

/// The accounts that this entry keeps.
#[derive(Debug)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    terms: HashMap<WorkspaceName, KnownTerms>,
    accounts: HashMap<WorkspaceName, KeptAccount>,
    /// Last account of this process.
    last_id: u64,
    /// When the set of live entries changed.
    members_since: Instant,
    last_change: Option<MemberChange>,
    /// When entries were lost or stood in for, in the last window.
    losses: Vec<Instant>,
    /// When this entry last took over the account of a workspace with a reserve.
    reserved: HashMap<WorkspaceName, Instant>,
    /// When quotas were dropped, in the last window.
    dropped: HashMap<WorkspaceName, Instant>,
    share: f64,
    /// When all known entries were last heard.
    heard_all: Option<Instant>,
    stepped: Instant,
    /// When the fleet was last split, with most entries on another side.
    split: Option<Instant>,
}

impl QuotaLedger {
    /// A ledger without workspaces; `seed` differs between processes.
    pub fn new(tolerance: QuotaTolerance, seed: u64, now: Instant) -> Self {
        Self {
            tolerance,
            terms: HashMap::new(),
            accounts: HashMap::new(),
            last_id: seed,
            members_since: now,
            last_change: None,
            losses: Vec::new(),
            reserved: HashMap::new(),
            dropped: HashMap::new(),
            share: 1.0,
            heard_all: None,
            stepped: now,
            split: None,
        }
    }

    /// The tolerance of all quotas.
    pub fn tolerance(&self) -> &QuotaTolerance {
        &self.tolerance
    }

    /// Rate and burst of a workspace; none without a quota.
    pub fn terms(&self, workspace: &WorkspaceName) -> Option<QuotaTerms> {
        self.terms.get(workspace).map(|known| known.terms)
    }

    /// The workspaces with a quota.
    pub fn workspaces(&self) -> impl ExactSizeIterator<Item = &WorkspaceName> {
        self.terms.keys()
    }

    /// Whether this entry keeps the account of a workspace as its owner.
    pub fn owns(&self, workspace: &WorkspaceName) -> bool {
        self.accounts.get(workspace).is_some_and(|kept| kept.role == AccountRole::Owner)
    }

    /// The workspaces with an account here, and their levels.
    pub fn levels(&self) -> impl Iterator<Item = (&WorkspaceName, f64)> {
        self.accounts.iter().map(|(workspace, kept)| (workspace, kept.account.level()))
    }

    /// Takes the quotas of a new configuration. A workspace that is new to the fleet may use its burst;
    /// any other one that this entry did not know begins with an empty account. A lower burst cuts the
    /// account at once.
    pub fn apply_terms(
        &mut self,
        quotas: impl IntoIterator<Item = (WorkspaceName, QuotaTerms)>,
        now: Instant,
    ) {
        let pause = self.reserve_pause();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < pause;
        self.reserved.retain(|_, used| is_recent(used));
        self.dropped.retain(|_, dropped| is_recent(dropped));
        // No other entry can have begun an account as the owner.
        let is_settled = !is_recent(&self.members_since)
            && self
                .heard_all
                .is_some_and(|heard| now.saturating_duration_since(heard) <= HEARD_ALL_TIME);
        let mut before = std::mem::take(&mut self.terms);
        for (workspace, terms) in quotas {
            let known = before.remove(&workspace);
            let is_new = known.as_ref().map_or_else(
                || is_settled && !self.dropped.contains_key(&workspace),
                |known| known.is_new,
            );
            let since = known.map_or(now, |known| known.since);
            if let Some(kept) = self.accounts.get_mut(&workspace) {
                kept.step(&self.tolerance, self.share, now);
                kept.account.set_terms(&self.tolerance, terms);
            }
            self.terms.insert(workspace, KnownTerms { terms, since, is_new });
        }
        self.dropped.extend(before.into_keys().map(|workspace| (workspace, now)));
        let terms = &self.terms;
        self.accounts.retain(|workspace, _| terms.contains_key(workspace));
    }

    /// Records a change in the set of live entries.
    ///
    /// Only the first loss within a window lets this entry take over accounts with a reserve, so that
    /// losses in series do not grant it again and again.
    pub fn record_change(&mut self, change: MemberChange, now: Instant) {
        self.members_since = now;
        self.last_change = Some(change);
        if change == MemberChange::Lost {
            self.record_loss(now);
        }
    }

    fn reserve_pause(&self) -> Duration {
        self.tolerance.window + RESERVE_MARGIN
    }

    fn record_loss(&mut self, now: Instant) {
        let pause = self.reserve_pause();
        self.losses.retain(|loss| now.saturating_duration_since(*loss) < pause);
        if self.losses.last() != Some(&now) {
            self.losses.push(now);
        }
    }

    /// Whether this entry may take over the account of a workspace with a reserve.
    fn may_reserve(&self, workspace: &WorkspaceName, since: Instant, now: Instant) -> bool {
        let pause = self.reserve_pause();
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let is_first_loss =
            self.losses.iter().all(|loss| age(loss) <= SAME_LOSS_TIME || age(loss) >= pause);
        // All processes may have started at the same time, and the use before is unknown.
        let has_known_long = age(&since) >= self.tolerance.window;
        let is_unused = self.reserved.get(workspace).is_none_or(|used| age(used) >= pause);
        is_first_loss && has_known_long && is_unused
    }

    /// Sets the share of the rates that this entry may give out, from the number of entries that it
    /// has just heard and of those that it knows, itself included.
    /// Returns what [`QuotaLedger::step`] does.
    pub fn set_heard(&mut self, heard: usize, known: usize, now: Instant) -> bool {
        let was_frozen = self.step(now);
        self.share = self.tolerance.rate_share(heard, known);
        if heard >= known {
            self.heard_all = Some(now);
        }
        if self.share < SPLIT_SHARE {
            self.split = Some(now);
        }
        was_frozen
    }

    /// The share of the rates that this entry may give out.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Fills the accounts that this entry owns. Called ten times a second, because an account does
    /// not fill for a longer pause. Returns whether the process was frozen so long that others may
    /// have taken the accounts over; they have to learn at once that it is back.
    pub fn step(&mut self, now: Instant) -> bool {
        let (tolerance, share) = (self.tolerance, self.share);
        let frozen = now.saturating_duration_since(self.stepped);
        let was_frozen = frozen >= FROZEN_TIME;
        self.stepped = now;
        if was_frozen {
            let resumed = now + RETURN_TIME;
            for kept in self.accounts.values_mut() {
                kept.account.resume(&tolerance, frozen, resumed, now);
            }
        }
        self.accounts.retain(|_, kept| {
            if kept.role == AccountRole::Owner {
                kept.step(&tolerance, share, now);
            }
            kept.role == AccountRole::Owner || now.saturating_duration_since(kept.used) < RETENTION
        });
        was_frozen
    }

    /// Begins an account for a workspace that this entry owns, if it has none.
    pub fn ensure_account(&mut self, workspace: &WorkspaceName, now: Instant) {
        if let Some(kept) = self.accounts.get_mut(workspace) {
            kept.role = AccountRole::Owner;
            kept.used = now;
        } else if let Some(account) = self.begin_account(workspace, AccountRole::Owner, now) {
            let kept = KeptAccount::new(account, AccountRole::Owner, now);
            self.accounts.insert(workspace.clone(), kept);
        }
    }

    fn begin_account(
        &mut self,
        workspace: &WorkspaceName,
        role: AccountRole,
        now: Instant,
    ) -> Option<TokenAccount> {
        let known = self.terms.get_mut(workspace)?;
        let (terms, since) = (known.terms, known.since);
        let is_new = std::mem::take(&mut known.is_new) && self.members_since <= since;
        let passed = now.saturating_duration_since(since.max(self.members_since));
        let has_lost = role == AccountRole::StandIn || self.last_change == Some(MemberChange::Lost);
        if role == AccountRole::StandIn {
            self.record_loss(now);
        }
        let mut level = match role {
            AccountRole::Owner => terms.rate * self.share * passed.as_secs_f64(),
            AccountRole::StandIn => 0.0,
        };
        if is_new && role == AccountRole::Owner {
            level = self.tolerance.capacity(terms);
        }
        if has_lost && self.may_reserve(workspace, since, now) {
            level += self.tolerance.reserve(terms) * self.share;
            self.reserved.insert(workspace.clone(), now);
        }
        self.last_id = self.last_id.wrapping_add(1);
        let level = level.min(self.tolerance.capacity_for(terms, self.share));
        let mut account = TokenAccount::new(AccountId(self.last_id), terms, level, now);
        if has_lost {
            account.set_follows_failure();
        }
        Some(account)
    }

    /// Begins an account for a workspace whose owner has started again and so knows no level; it is
    /// to be handed over to that owner.
    pub fn begin_for_restarted(&mut self, workspace: &WorkspaceName, now: Instant) {
        if self.accounts.contains_key(workspace) {
            return;
        }
        let role = AccountRole::StandIn;
        if let Some(account) = self.begin_account(workspace, role, now) {
            let kept = KeptAccount::new(account, role, now);
            self.accounts.insert(workspace.clone(), kept);
        }
    }

    /// Answers a query of the process `asker`.
    pub fn answer(
        &mut self,
        query: &QuotaQuery,
        asker: AskerId,
        role: AccountRole,
        now: Instant,
    ) -> QuotaGrant {
        let mut grant = QuotaGrant::unknown(query);
        if !self.accounts.contains_key(&query.workspace) {
            let Some(account) = self.begin_account(&query.workspace, role, now) else {
                return grant;
            };
            let kept = KeptAccount::new(account, role, now);
            self.accounts.insert(query.workspace.clone(), kept);
        }
        let (tolerance, share) = (self.tolerance, self.share);
        let Some(kept) = self.accounts.get_mut(&query.workspace) else { return grant };
        kept.used = now;
        kept.role = role;
        if query.wanted > 0.0 {
            kept.pace.record(now);
        }
        kept.step(&tolerance, share, now);
        let account = &mut kept.account;
        let id = account.id();
        for returned in query.returned.iter().filter(|returned| returned.account == id) {
            account.take_back(&tolerance, returned.tokens, returned.granted);
        }
        grant.account = Some(account.id());
        grant.is_recent = account.is_recent(now);
        grant.tokens = account.take(&tolerance, query, asker, now);
        if grant.tokens < query.wanted {
            let missing = query.wanted - grant.tokens;
            let pause = kept.pace.pause();
            let tokens = query.first.min(missing);
            grant.next_query = account.time_until(&tolerance, tokens, asker, now).max(pause);
            if grant.is_recent && grant.tokens <= 0.0 {
                account.keep(query, asker, grant.next_query, now);
            }
            let promised = account.promise(missing + query.turned_away);
            grant.room_after = promised.max(grant.next_query);
        }
        grant
    }

    /// Removes the account of a workspace that another entry keeps from now on; returns its level,
    /// unless it has only just begun as owner: an entry that starts knows no other entries at first.
    pub fn hand_over(&mut self, workspace: &WorkspaceName, now: Instant) -> Option<f64> {
        let mut kept = self.accounts.remove(workspace)?;
        if kept.role == AccountRole::Owner {
            kept.step(&self.tolerance, self.share, now);
        }
        let age = now.saturating_duration_since(kept.account.began());
        (age >= MIN_HANDOVER_AGE || kept.role == AccountRole::StandIn).then(|| kept.account.level())
    }

    /// Takes over the account of a workspace at the level that its former owner had. Returns whether
    /// it counts; it does not once this entry's own account is too old to be its successor.
    pub fn take_over(&mut self, workspace: &WorkspaceName, level: f64, now: Instant) -> bool {
        let is_successor = |kept: &KeptAccount| {
            now.saturating_duration_since(kept.account.began()) <= HANDOVER_TIME
        };
        if let Some(kept) = self.accounts.get_mut(workspace) {
            if !is_successor(kept) {
                let was_split = self
                    .split
                    .is_some_and(|split| now.saturating_duration_since(split) <= HANDOVER_TIME);
                if was_split {
                    kept.account.rejoin(level.min(self.tolerance.capacity(kept.account.terms())));
                }
                return was_split;
            }
            kept.account.go_on_from(&self.tolerance, level);
            kept.account.set_follows_failure();
            return true;
        }
        let Some(known) = self.terms.get(workspace) else { return false };
        let terms = known.terms;
        self.last_id = self.last_id.wrapping_add(1);
        let level = level.clamp(0.0, self.tolerance.capacity_for(terms, self.share));
        let account = TokenAccount::new(AccountId(self.last_id), terms, level, now);
        let kept = KeptAccount::new(account, AccountRole::Owner, now);
        self.accounts.insert(workspace.clone(), kept);
        true
    }
}
