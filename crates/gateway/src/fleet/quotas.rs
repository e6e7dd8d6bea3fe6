//! Exchange with other entries about the tokens of workspaces.
//!
//! For each workspace, the entry that ranks first by rendezvous hashing keeps the account. The others
//! ask it for tokens. If it does not answer, they ask the second in rank, which passes the query on,
//! and answers it itself if the first does not answer that either.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use ::limits::{
    QueryNumber,
    quotas::{
        AccountId, AccountRole, AskerId, MemberChange, QueryHandling, QueryTarget, QuotaGrant,
        QuotaOutcome, QuotaQuery, QuotaTerms, ReturnedTokens, WaitTicket, accepts_handover,
    },
};
use base::prelude::*;
use catalog::WorkspaceName;
use events::DecisionEvent;
use peers::{
    DatagramBody, PeerUpdate, QuotaGrantMessage, QuotaGrantRow, QuotaHandover, QuotaLevelRow,
    QuotaQueryMessage, QuotaRequestRow, ReturnedQuota,
};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use super::{Fleet, saturating_millis};
use crate::{
    quota::{QuotaState, SharedQuotas},
    quota_metrics::QuotaMetrics,
};

/// Time between two steps of the accounts.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two updates of the metric of levels.
const LEVEL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two steps while requests wait.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which an entry that is not cut off sends a heartbeat; one comes every 500 ms.
const HEARD_SPAN: Duration = Duration::from_millis(700);
/// Most ranks computed at once, of entries for workspaces, so that accounts begin before they are
/// first asked for.
const MAX_RANKS: usize = 100_000;
/// Most rows of one datagram, so that it is not split on the way; a row has some 100 bytes.
const MAX_ROWS: usize = 10;

impl Fleet {
    pub(crate) fn quotas(&self) -> &SharedQuotas {
        &self.quotas
    }

    pub(crate) fn quota_metrics(&self) -> &QuotaMetrics {
        &self.metrics.quotas
    }

    /// The first two entries in rank for a workspace; none stands for this one.
    fn quota_ranks(
        &self,
        state: &mut QuotaState,
        workspace: &WorkspaceName,
    ) -> Vec<Option<SocketAddr>> {
        if let Some(ranks) = state.ranks.get(workspace) {
            return ranks.clone();
        }
        let key = xxh3_64(workspace.as_str().as_bytes());
        let ranks = self.lock().peers.ranked_to_stay(key, 2);
        state.ranks.insert(workspace.clone(), ranks.clone());
        ranks
    }

    fn owns_quota(&self, state: &mut QuotaState, workspace: &WorkspaceName) -> bool {
        self.quota_ranks(state, workspace).first().is_some_and(Option::is_none)
    }

    /// Keeps the accounts and the queries going until the process ends.
    pub(super) async fn run_quotas(self) {
        let mut last_step = Instant::now();
        loop {
            let has_waiting = self.quotas.lock().allowances.has_waiting();
            let interval = if has_waiting { WAIT_INTERVAL } else { STEP_INTERVAL };
            tokio::select! {
                () = time::sleep(interval) => {}
                () = self.quotas.has_waiting.notified(), if !has_waiting => {}
            }
            if last_step.elapsed() >= STEP_INTERVAL {
                last_step = Instant::now();
                self.step_quotas();
            }
            let late = self.quotas.lock().allowances.refuse_late(Instant::now());
            self.finish_waits(late);
            self.send_quota_queries();
        }
    }

    fn step_quotas(&self) {
        let now = Instant::now();
        let (heard, known) = self.lock().peers.heard_within(HEARD_SPAN, now);
        self.apply_quotas();
        let mut state = self.quotas.lock();
        let was_frozen = state.ledger.set_heard(heard, known, now);
        state.routing.forget_old(now);
        let metrics = self.quota_metrics();
        metrics.share.set(state.ledger.share());
        if state.levels_shown.is_none_or(|shown| now >= shown + LEVEL_INTERVAL) {
            state.levels_shown = Some(now);
            // Accounts also end with their quota, or unused after this entry stood in.
            metrics.levels.reset();
            for (workspace, level) in state.ledger.levels() {
                metrics.levels.with_label_values(&[workspace.as_str()]).set(level);
            }
        }
        drop(state);
        if was_frozen {
            self.send_entry_heartbeats();
        }
    }

    /// Takes the quotas of the configuration in force, if they are not known yet.
    fn apply_quotas(&self) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let mut state = self.quotas.lock();
        if state.version == Some(catalog.version()) {
            return;
        }
        state.version = Some(catalog.version());
        let workspaces = catalog.workspaces().into_iter().flat_map(|directory| directory.iter());
        let quotas = workspaces.filter_map(|workspace| {
            Some((workspace.name.clone(), QuotaTerms::from(workspace.quota.as_ref()?)))
        });
        state.ledger.apply_terms(quotas, Instant::now());
        let QuotaState { ranks, ledger, .. } = &mut *state;
        ranks.retain(|workspace, _| ledger.terms(workspace).is_some());
        self.begin_owned_accounts(&mut state);
    }

    fn may_rank_all(&self, state: &QuotaState) -> bool {
        state.ledger.workspaces().len() * self.lock().peers.live_count() <= MAX_RANKS
    }

    fn begin_owned_accounts(&self, state: &mut QuotaState) {
        if !self.may_rank_all(state) {
            return;
        }
        let workspaces: Vec<WorkspaceName> = state.ledger.workspaces().cloned().collect();
        for workspace in workspaces {
            if self.owns_quota(state, &workspace) {
                state.ledger.ensure_account(&workspace, Instant::now());
            }
        }
    }

    /// Whether workspaces have quotas. The live entries are then updated as soon as a lost one is heard
    /// again: until then, two entries keep the accounts.
    pub(super) fn has_quotas(&self) -> bool {
        self.quotas.lock().ledger.workspaces().len() > 0
    }

    /// Hands accounts over, and begins others, after the set of live entries has changed.
    pub(super) fn apply_member_changes(&self, updates: &[PeerUpdate]) {
        let now = Instant::now();
        let changes: Vec<MemberChange> = {
            let fleet = self.lock();
            let change = |update: &PeerUpdate| match update {
                PeerUpdate::Found(_) => MemberChange::Joined,
                PeerUpdate::Lost(vm) if fleet.peers.is_peer_draining(vm) => MemberChange::Leaves,
                PeerUpdate::Lost(_) => MemberChange::Lost,
            };
            updates.iter().map(change).collect()
        };
        let mut state = self.quotas.lock();
        state.ranks.clear();
        for change in &changes {
            state.ledger.record_change(*change, now);
        }
        if changes.contains(&MemberChange::Joined) {
            self.hand_over(&mut state, None);
        }
        self.begin_owned_accounts(&mut state);
    }

    /// Hands all accounts over, because this entry stops.
    pub(super) fn hand_over_quotas(&self) {
        let mut state = self.quotas.lock();
        state.ranks.clear();
        self.hand_over(&mut state, None);
    }

    /// Hands the accounts that the entry at `owner` keeps over to it, because it has started; also
    /// those that it kept before, if it was known before.
    pub(super) fn hand_quotas_to(&self, owner: SocketAddr, is_restarted: bool) {
        let mut state = self.quotas.lock();
        state.routing.record_answer(owner);
        if is_restarted && self.may_rank_all(&state) {
            let workspaces: Vec<WorkspaceName> = state.ledger.workspaces().cloned().collect();
            for workspace in workspaces {
                if self.quota_ranks(&mut state, &workspace) == [Some(owner), None] {
                    state.ledger.begin_for_restarted(&workspace, Instant::now());
                }
            }
        }
        self.hand_over(&mut state, Some(owner));
    }

    /// Hands over the accounts that other entries keep, or only those of one of them.
    fn hand_over(&self, state: &mut QuotaState, only: Option<SocketAddr>) {
        let now = Instant::now();
        let kept: Vec<WorkspaceName> =
            state.ledger.levels().map(|(workspace, _)| workspace.clone()).collect();
        let mut rows: BTreeMap<SocketAddr, Vec<QuotaLevelRow>> = BTreeMap::new();
        for workspace in kept {
            let owner = self.quota_ranks(state, &workspace).first().copied().flatten();
            let Some(owner) = owner.filter(|owner| only.is_none_or(|only| only == *owner)) else {
                continue;
            };
            let _ = self.quota_metrics().levels.remove_label_values(&[workspace.as_str()]);
            let Some(level) = state.ledger.hand_over(&workspace, now) else { continue };
            self.record_account(&workspace, "handed-over", level);
            let row = QuotaLevelRow { workspace: workspace.0, level };
            rows.entry(owner).or_default().push(row);
        }
        for (owner, rows) in rows {
            for rows in rows.chunks(MAX_ROWS) {
                let handover = QuotaHandover { rows: rows.to_vec() };
                self.socket.send(owner, DatagramBody::QuotaHandover(handover));
            }
        }
    }

    pub(super) fn apply_quota_handover(&self, source: SocketAddr, handover: &QuotaHandover) {
        let is_draining = self.lock().peers.is_draining();
        let mut state = self.quotas.lock();
        for row in handover.rows.iter().filter(|row| row.level.is_finite()) {
            let workspace = WorkspaceName(row.workspace.clone());
            let first = self.quota_ranks(&mut state, &workspace).first().copied().flatten();
            let counts = accepts_handover(first, &source, is_draining)
                && state.ledger.take_over(&workspace, row.level, Instant::now());
            let change = if counts { "taken-over" } else { "ignored" };
            self.record_account(&workspace, change, row.level);
        }
    }

    fn record_account(&self, workspace: &WorkspaceName, change: &'static str, level: f64) {
        let workspace = workspace.as_str();
        self.log.record(&DecisionEvent::QuotaAccount { workspace, change, level: level as i64 });
    }

    /// Sends the queries that are due, one datagram for several workspaces of one owner, and answers
    /// those that this entry answers itself.
    pub(crate) fn send_quota_queries(&self) {
        let now = Instant::now();
        let mut outcomes = Vec::new();
        let mut rows: BTreeMap<SocketAddr, Vec<QuotaRequestRow>> = BTreeMap::new();
        {
            let asker = AskerId(self.socket.incarnation().0);
            let mut silent: BTreeSet<SocketAddr> = BTreeSet::new();
            let mut state = self.quotas.lock();
            for query in state.allowances.due_queries(now) {
                let ranks = self.quota_ranks(&mut state, &query.workspace);
                let role = match state.routing.target(&ranks, &query, now) {
                    QueryTarget::First(address) | QueryTarget::Second(address) => {
                        rows.entry(address).or_default().push(encode_query(&query, now));
                        continue;
                    }
                    QueryTarget::Itself => AccountRole::Owner,
                    QueryTarget::StandIn(owner) => {
                        silent.insert(owner);
                        AccountRole::StandIn
                    }
                };
                let grant = state.ledger.answer(&query, asker, role, now);
                outcomes.extend(state.allowances.apply_grant(&grant, now));
            }
            for owner in silent {
                // Without rows, this only tests whether the owner answers again.
                self.pass_on(&mut state, (owner, asker), owner, Vec::new());
            }
        }
        for (address, rows) in rows {
            for rows in rows.chunks(MAX_ROWS) {
                self.quota_metrics().queries.inc();
                let asker = self.socket.incarnation().0;
                let message = QuotaQueryMessage { rows: rows.to_vec(), relay: 0, asker };
                self.socket.send(address, DatagramBody::QuotaQuery(message));
            }
        }
        self.finish_waits(outcomes);
    }

    fn finish_waits(&self, outcomes: Vec<(WaitTicket, QuotaOutcome)>) {
        if outcomes.is_empty() {
            return;
        }
        let mut state = self.quotas.lock();
        for (ticket, outcome) in outcomes {
            if let Some(waiter) = state.waiters.remove(&ticket) {
                // The receiver returns the tokens if its caller leaves, and only then is dropped.
                let _ = waiter.send(outcome);
            }
        }
    }

    pub(super) fn apply_quota_query(&self, source: SocketAddr, message: QuotaQueryMessage) {
        let now = Instant::now();
        let mut grants = Vec::new();
        let mut passed_on: BTreeMap<SocketAddr, Vec<QuotaRequestRow>> = BTreeMap::new();
        let asker = AskerId(message.asker);
        let mut state = self.quotas.lock();
        for row in message.rows {
            let Some(query) = decode_query(&row, now) else {
                log::warn!("fleet: ignoring a query for tokens from {source} with invalid numbers");
                continue;
            };
            let ranks = self.quota_ranks(&mut state, &query.workspace);
            let owns = state.ledger.owns(&query.workspace);
            let is_relayed = message.relay != 0;
            let role = match state.routing.handling(&ranks, owns, is_relayed, now) {
                QueryHandling::Answer(role) => role,
                QueryHandling::Decline => {
                    grants.push(encode_grant(&QuotaGrant::unknown(&query)));
                    continue;
                }
                QueryHandling::StandIn(owner) => {
                    // Without rows, this only tests whether the owner answers again.
                    passed_on.entry(owner).or_default();
                    AccountRole::StandIn
                }
                QueryHandling::PassOn(owner) => {
                    passed_on.entry(owner).or_default().push(row);
                    continue;
                }
                QueryHandling::PassOnToSecond { first, second } => {
                    passed_on.entry(first).or_default();
                    passed_on.entry(second).or_default().push(row);
                    continue;
                }
            };
            let kind = if role == AccountRole::Owner { "owner" } else { "stand-in" };
            self.quota_metrics().answers.with_label_values(&[kind]).inc();
            let grant = state.ledger.answer(&query, asker, role, now);
            // Nobody waits for the answer to a query that only returns tokens.
            if query.wanted > 0.0 {
                grants.push(encode_grant(&grant));
            }
        }
        for (target, rows) in passed_on {
            self.pass_on(&mut state, (source, asker), target, rows);
        }
        drop(state);
        if !grants.is_empty() || message.relay != 0 {
            let grant = QuotaGrantMessage { rows: grants, relay: message.relay };
            self.socket.send(source, DatagramBody::QuotaGrant(grant));
        }
    }

    fn pass_on(
        &self,
        state: &mut QuotaState,
        (source, asker): (SocketAddr, AskerId),
        target: SocketAddr,
        rows: Vec<QuotaRequestRow>,
    ) {
        let Some(relay) = state.routing.begin_relay(source, Instant::now()) else { return };
        self.quota_metrics().answers.with_label_values(&["passed-on"]).inc();
        let message = QuotaQueryMessage { rows, relay, asker: asker.0 };
        self.socket.send(target, DatagramBody::QuotaQuery(message));
    }

    pub(super) fn apply_quota_grant(&self, source: SocketAddr, mut message: QuotaGrantMessage) {
        let now = Instant::now();
        let mut outcomes = Vec::new();
        {
            let mut state = self.quotas.lock();
            state.routing.record_answer(source);
            if message.relay != 0 {
                let Some(asker) = state.routing.end_relay(message.relay) else { return };
                message.relay = 0;
                if !message.rows.is_empty() {
                    self.socket.send(asker, DatagramBody::QuotaGrant(message));
                }
                return;
            }
            for row in &message.rows {
                let Some(grant) = decode_grant(row) else {
                    log::warn!("fleet: ignoring tokens from {source} with an invalid number");
                    continue;
                };
                outcomes.extend(state.allowances.apply_grant(&grant, now));
            }
        }
        self.finish_waits(outcomes);
    }
}

fn encode_query(query: &QuotaQuery, now: Instant) -> QuotaRequestRow {
    let returned = query.returned.iter().map(|returned| ReturnedQuota {
        account: returned.account.0,
        tokens: returned.tokens,
        granted_ms_ago: saturating_millis(now.saturating_duration_since(returned.granted)),
    });
    QuotaRequestRow {
        workspace: query.workspace.0.clone(),
        number: query.number.0,
        wanted: query.wanted,
        first: query.first,
        ahead: query.ahead,
        turned_away: query.turned_away,
        returned: returned.collect(),
        unanswered: query.unanswered,
        first_number: query.first_number.0,
    }
}

fn is_amount(tokens: f64) -> bool {
    tokens.is_finite() && tokens >= 0.0
}

/// The query; none with invalid numbers.
fn decode_query(row: &QuotaRequestRow, now: Instant) -> Option<QuotaQuery> {
    let returned = row.returned.iter().filter_map(|returned| {
        let age = Duration::from_millis(returned.granted_ms_ago.into());
        is_amount(returned.tokens).then_some(ReturnedTokens {
            account: AccountId(returned.account),
            tokens: returned.tokens,
            granted: now.checked_sub(age)?,
        })
    });
    let amounts = [row.wanted, row.first, row.ahead, row.turned_away];
    amounts.into_iter().all(is_amount).then(|| QuotaQuery {
        workspace: WorkspaceName(row.workspace.clone()),
        number: QueryNumber(row.number),
        wanted: row.wanted,
        first: row.first,
        ahead: row.ahead,
        turned_away: row.turned_away,
        returned: returned.collect(),
        unanswered: row.unanswered,
        first_number: QueryNumber(row.first_number),
    })
}

fn encode_grant(grant: &QuotaGrant) -> QuotaGrantRow {
    QuotaGrantRow {
        workspace: grant.workspace.0.clone(),
        number: grant.number.0,
        account: grant.account.map(|AccountId(account)| account),
        tokens: grant.tokens,
        // A part of a millisecond counts as one, or the next query would come too early.
        next_query_ms: saturating_millis(grant.next_query + Duration::from_micros(999)),
        room_ms: saturating_millis(grant.room_after + Duration::from_micros(999)),
        is_recent: grant.is_recent,
    }
}

/// The grant; none with an invalid number.
fn decode_grant(row: &QuotaGrantRow) -> Option<QuotaGrant> {
    is_amount(row.tokens).then(|| QuotaGrant {
        workspace: WorkspaceName(row.workspace.clone()),
        number: QueryNumber(row.number),
        account: row.account.map(AccountId),
        tokens: row.tokens,
        next_query: Duration::from_millis(row.next_query_ms.into()),
        room_after: Duration::from_millis(row.room_ms.into()),
        is_recent: row.is_recent,
    })
}
