//! Which entry a query for tokens goes to, and what an entry does with one that it receives.

use std::{collections::HashMap, hash::Hash};

use base::prelude::*;

use super::{exchange::QuotaQuery, ledger::AccountRole};

/// Queries without an answer from an entry after which the second in rank is asked.
const QUERIES_TO_FIRST: u32 = 2;
/// Time without an answer after which an entry counts as silent.
const SILENCE: Duration = Duration::from_millis(80);
/// Time after which a silent entry is asked again.
const SILENCE_LIFE: Duration = Duration::from_secs(2);
/// Most queries that are passed on and not answered.
const MAX_RELAYS: usize = 4_096;

/// The entry that a query goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryTarget<A> {
    /// This entry keeps the account.
    Itself,
    /// The first in rank.
    First(A),
    /// The second in rank, because the first does not answer.
    Second(A),
    /// This entry, which is second, answers for the first in rank, which did not answer, and tests
    /// whether it does now.
    StandIn(A),
}

/// What an entry does with a query that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryHandling<A> {
    /// It answers the query itself.
    Answer(AccountRole),
    /// It passes the query on to the first in rank.
    PassOn(A),
    /// It passes the query on to the second in rank, because the first does not answer, and tests
    /// whether the first does now.
    PassOnToSecond {
        /// The entry to test.
        first: A,
        /// The entry that gets the query.
        second: A,
    },
    /// It answers that it does not know the account: the entry that passed the query on sees another
    /// first in rank.
    Decline,
    /// It answers for the first in rank, which did not answer, and tests whether it does now.
    StandIn(A),
}

/// Queries to one entry that it has not answered.
#[derive(Debug, Clone, Copy)]
struct UnansweredQueries {
    since: Instant,
    count: u32,
}

impl UnansweredQueries {
    fn new(now: Instant) -> Self {
        Self { since: now, count: 0 }
    }

    fn show_silence(&self, now: Instant) -> bool {
        self.count >= QUERIES_TO_FIRST && now.saturating_duration_since(self.since) >= SILENCE
    }
}

/// Queries that were passed on, and entries that do not answer; `A` is the address of an entry.
#[derive(Debug)]
pub struct QuotaRouting<A> {
    relays: HashMap<u32, (A, Instant)>,
    last_relay: u32,
    /// Queries of this entry, by the entry that they went to.
    own: HashMap<A, UnansweredQueries>,
    /// Queries that were passed on, or those of this entry once they show that the other is silent.
    unanswered: HashMap<A, UnansweredQueries>,
}

/// Whether an entry goes on with an account that `source` hands over: it sees itself as the first in
/// rank, or `source`, which then leaves. Another entry may only see fewer entries, as after a cut. One
/// that drains itself does not: `source` did not know that yet, and gets its account meanwhile.
pub fn accepts_handover<A: Eq>(first: Option<A>, source: &A, is_draining: bool) -> bool {
    first.is_none_or(|first| first == *source && !is_draining)
}

impl<A> Default for QuotaRouting<A> {
    fn default() -> Self {
        Self {
            relays: HashMap::new(),
            last_relay: 0,
            own: HashMap::new(),
            unanswered: HashMap::new(),
        }
    }
}

impl<A: Copy + Eq + Hash> QuotaRouting<A> {
    fn is_silent(&self, entry: A, now: Instant) -> bool {
        self.unanswered.get(&entry).is_some_and(|unanswered| unanswered.show_silence(now))
    }

    /// The entry that a query goes to. `ranks` are the first two in rank, with none for this entry.
    ///
    /// Only queries that the first in rank was sent itself count against it: those before a change of
    /// the live entries went to another.
    pub fn target(
        &mut self,
        ranks: &[Option<A>],
        query: &QuotaQuery,
        now: Instant,
    ) -> QueryTarget<A> {
        let Some(Some(first)) = ranks.first().copied() else { return QueryTarget::Itself };
        if query.unanswered >= QUERIES_TO_FIRST
            && let Some(own) = self.own.get(&first).filter(|own| own.show_silence(now))
        {
            self.unanswered.insert(first, *own);
        }
        let second = ranks.get(1).copied().filter(|_| self.is_silent(first, now));
        match second {
            Some(Some(second)) => QueryTarget::Second(second),
            Some(None) => QueryTarget::StandIn(first),
            None => {
                // A query that only returns tokens has no answer.
                if query.wanted > 0.0 {
                    self.own.entry(first).or_insert(UnansweredQueries::new(now)).count += 1;
                }
                QueryTarget::First(first)
            }
        }
    }

    /// What to do with a query from another entry: `ranks` are the first two in rank, with none for
    /// this entry, `owns` whether this entry has an account as its owner.
    ///
    /// Only the ranks that this entry sees count: the other may see fewer entries, so that it takes
    /// the second in rank for the first, or the third for the second, beside which it must not grant
    /// tokens.
    pub fn handling(
        &mut self,
        ranks: &[Option<A>],
        owns: bool,
        is_relayed: bool,
        now: Instant,
    ) -> QueryHandling<A> {
        let Some(Some(first)) = ranks.first().copied() else {
            return QueryHandling::Answer(AccountRole::Owner);
        };
        // The former owner may have handed the account over before this entry sees it leave.
        if owns {
            return QueryHandling::Answer(AccountRole::Owner);
        }
        let second = ranks.get(1).copied().filter(|_| self.is_silent(first, now));
        match second {
            Some(None) => return QueryHandling::StandIn(first),
            _ if is_relayed => return QueryHandling::Decline,
            Some(Some(second)) => return QueryHandling::PassOnToSecond { first, second },
            None => {}
        }
        self.unanswered.entry(first).or_insert(UnansweredQueries::new(now)).count += 1;
        QueryHandling::PassOn(first)
    }

    /// Begins to pass a query of `source` on; returns its number, which is not zero. None if too many
    /// are on their way.
    pub fn begin_relay(&mut self, source: A, now: Instant) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        self.last_relay = self.last_relay.wrapping_add(1).max(1);
        self.relays.insert(self.last_relay, (source, now));
        Some(self.last_relay)
    }

    /// The entry that waits for the answer to a query that was passed on.
    pub fn end_relay(&mut self, relay: u32) -> Option<A> {
        self.relays.remove(&relay).map(|(source, _)| source)
    }

    /// Records an answer of an entry, or that it has started again.
    pub fn record_answer(&mut self, entry: A) {
        self.own.remove(&entry);
        self.unanswered.remove(&entry);
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&mut self, now: Instant) {
        let is_new = |since: &Instant| now.saturating_duration_since(*since) < SILENCE_LIFE;
        self.relays.retain(|_, (_, sent)| is_new(sent));
        self.own.retain(|_, own| is_new(&own.since));
        self.unanswered.retain(|_, unanswered| is_new(&unanswered.since));
    }
}
