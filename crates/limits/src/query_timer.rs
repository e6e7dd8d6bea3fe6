//! When an entry asks the entry that shares something out, and asks again if no answer comes.

use base::prelude::*;

use crate::query::QueryNumber;

/// Time-outs of queries of one kind.
#[derive(Debug, Clone, Copy)]
pub struct QueryTiming {
    /// Time without an answer after which a query is sent again.
    pub timeout: Duration,
    /// Number of times that an unanswered query is sent.
    pub max_tries: u32,
    /// Time without queries after all of them were unanswered.
    pub pause: Duration,
}

#[derive(Debug)]
struct PendingQuery {
    number: QueryNumber,
    sent: Instant,
    unanswered: u32,
}

/// The query that is on its way, and when the next one is of use.
#[derive(Debug)]
pub struct QueryTimer {
    pending: Option<PendingQuery>,
    next_query: Instant,
}

impl QueryTimer {
    /// A timer without a query; one may be sent at `now`.
    pub fn new(now: Instant) -> Self {
        Self { pending: None, next_query: now }
    }

    /// How often the query that is due now was sent without an answer; none if none is due.
    pub fn due(&mut self, timing: &QueryTiming, now: Instant) -> Option<u32> {
        if now < self.next_query {
            return None;
        }
        let Some(pending) = &self.pending else { return Some(0) };
        if now < pending.sent + timing.timeout {
            return None;
        }
        let unanswered = pending.unanswered + 1;
        if unanswered < timing.max_tries {
            return Some(unanswered);
        }
        self.pending = None;
        self.next_query = now + timing.pause;
        None
    }

    /// Records that a query is sent, the last one having been sent `unanswered` times in vain.
    pub fn record_sent(&mut self, number: QueryNumber, unanswered: u32, now: Instant) {
        self.pending = Some(PendingQuery { number, sent: now, unanswered });
    }

    /// Records an answer; the next query is of use from `next_query` on. Returns when the query was
    /// sent; none if the answer is a late one to an earlier query.
    pub fn record_answer(&mut self, number: QueryNumber, next_query: Instant) -> Option<Instant> {
        let sent = self.pending.as_ref().filter(|pending| pending.number == number)?.sent;
        self.pending = None;
        self.next_query = next_query;
        Some(sent)
    }

    /// Whether a query waits for its answer.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Time from which on a query is of use.
    pub fn next_query(&self) -> Instant {
        self.next_query
    }
}
