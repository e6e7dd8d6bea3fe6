//! The times at which this entry may send requests to backend servers with a limit.

use std::collections::HashMap;

use base::prelude::*;
use roster::{IncarnationStart, InstanceId};

use crate::{
    known::{KnownLimits, LimitSighting},
    ledger::interval,
    query::{LimitGrant, LimitQuery, QueryNumber},
    query_timer::{QueryTimer, QueryTiming},
};

/// Time for which a slot may be used from its beginning on.
const SLOT_LIFE: Duration = Duration::from_secs(1);
/// Time-outs of queries; the round trip within a region takes some milliseconds.
const QUERY_TIMING: QueryTiming = QueryTiming {
    timeout: Duration::from_millis(100),
    max_tries: 3,
    pause: Duration::from_millis(500),
};

/// A time at which one request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendSlot {
    from: Instant,
}

impl SendSlot {
    fn is_over(&self, now: Instant) -> bool {
        self.from + SLOT_LIFE < now
    }
}

/// When a request can be sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotForecast {
    /// At this time, which is the present one if there is no limit.
    At(Instant),
    /// Unknown until a query is answered; one is on its way or may be sent now.
    Unasked,
    /// There is no slot, and a query is of no use before this time.
    NotBefore(Instant),
}

/// What this entry holds for one backend server with a limit.
#[derive(Debug)]
struct ServerAllowance {
    /// In the order in which they begin.
    slots: Vec<SendSlot>,
    timer: QueryTimer,
}

impl ServerAllowance {
    fn new(now: Instant) -> Self {
        Self { slots: Vec::new(), timer: QueryTimer::new(now) }
    }

    fn add(&mut self, slot: SendSlot) {
        let index = self.slots.partition_point(|held| *held <= slot);
        self.slots.insert(index, slot);
    }

    fn usable_slots(&self, now: Instant) -> impl Iterator<Item = &SendSlot> {
        self.slots.iter().filter(move |slot| !slot.is_over(now))
    }
}

/// The limits that an entry knows, and its slots at the backend servers that name one.
#[derive(Debug, Default)]
pub struct LimitAllowances {
    known: KnownLimits,
    by_server: HashMap<InstanceId, ServerAllowance>,
    last_number: QueryNumber,
}

impl LimitAllowances {
    /// The known limits.
    pub fn known(&self) -> &KnownLimits {
        &self.known
    }

    /// Records the limit that an answer names, or that it names none; its request was sent at
    /// `sent`. Returns the report for the entry that shares out the limit, if it is another one.
    pub fn record_answer(&mut self, answer: LimitSighting, sent: Instant) -> Option<LimitQuery> {
        let server = answer.server.clone();
        let is_changed = self.known.record_answer(answer.clone(), sent);
        self.forget_ended(&server, answer.started);
        is_changed.then_some(LimitQuery {
            sighting: answer,
            number: QueryNumber::default(),
            wanted: 0,
            max_wait: Duration::ZERO,
            unanswered: 0,
        })
    }

    /// Takes what another entry knows. Returns whether the limit is another one than before.
    pub fn apply_sighting(&mut self, sighting: LimitSighting) -> bool {
        let (server, started) = (sighting.server.clone(), sighting.started);
        let is_changed = self.known.apply(sighting);
        self.forget_ended(&server, started);
        is_changed
    }

    fn forget_ended(&mut self, server: &InstanceId, started: Option<IncarnationStart>) {
        if self.known.limit(server, started).is_none() {
            self.by_server.remove(server);
        }
    }

    /// Whether an incarnation of `server` names a limit.
    pub fn is_limited(&self, server: &InstanceId, started: Option<IncarnationStart>) -> bool {
        self.known.limit(server, started).is_some()
    }

    /// When the request can be sent that is the one after `ahead` others at an incarnation of
    /// `server`.
    pub fn forecast(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        ahead: usize,
        now: Instant,
    ) -> SlotForecast {
        if !self.is_limited(server, started) {
            return SlotForecast::At(now);
        }
        let Some(allowance) = self.by_server.get(server) else { return SlotForecast::Unasked };
        match allowance.usable_slots(now).nth(ahead) {
            Some(slot) => SlotForecast::At(slot.from.max(now)),
            None if allowance.timer.is_pending() || allowance.timer.next_query() <= now => {
                SlotForecast::Unasked
            }
            None => SlotForecast::NotBefore(allowance.timer.next_query()),
        }
    }

    /// Whether a request may be sent to an incarnation of `server` now.
    pub fn may_send(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        now: Instant,
    ) -> bool {
        self.forecast(server, started, 0, now) == SlotForecast::At(now)
    }

    /// Takes the slot for a request that is sent to `server` now or after its permit; none if none
    /// has begun.
    pub fn take_slot(&mut self, server: &InstanceId, now: Instant) -> Option<SendSlot> {
        let allowance = self.by_server.get_mut(server)?;
        allowance.slots.retain(|slot| !slot.is_over(now));
        let has_begun = allowance.slots.first().is_some_and(|slot| slot.from <= now);
        has_begun.then(|| allowance.slots.remove(0))
    }

    /// Puts back a slot whose request was not sent.
    pub fn put_back(&mut self, server: &InstanceId, slot: SendSlot) {
        if let Some(allowance) = self.by_server.get_mut(server) {
            allowance.add(slot);
        }
    }

    /// The query for `wanted` slots at an incarnation of `server` that are of use within `max_wait`,
    /// if one is due.
    pub fn query(
        &mut self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        wanted: usize,
        max_wait: Duration,
        now: Instant,
    ) -> Option<LimitQuery> {
        let sighting = self.known.newest(server, started)?.clone();
        sighting.limit?;
        let allowance =
            self.by_server.entry(server.clone()).or_insert_with(|| ServerAllowance::new(now));
        allowance.slots.retain(|slot| !slot.is_over(now));
        let missing = wanted.saturating_sub(allowance.slots.len());
        if missing == 0 {
            return None;
        }
        let unanswered = allowance.timer.due(&QUERY_TIMING, now)?;
        self.last_number.0 = self.last_number.0.wrapping_add(1);
        let number = self.last_number;
        allowance.timer.record_sent(number, unanswered, now);
        let wanted = u32::try_from(missing).unwrap_or(u32::MAX);
        Some(LimitQuery { sighting, number, wanted, max_wait, unanswered })
    }

    /// Takes the answer to the last query; a late one to an earlier query is ignored. Returns
    /// whether the limit is another one than before.
    pub fn apply_grant(&mut self, grant: LimitGrant, now: Instant) -> bool {
        let server = grant.sighting.server.clone();
        let is_changed = self.apply_sighting(grant.sighting);
        let Some(allowance) = self.by_server.get_mut(&server) else { return is_changed };
        let answered = allowance.timer.record_answer(grant.number, now + grant.next_query);
        if answered.is_some() {
            for delay in grant.slots {
                allowance.add(SendSlot { from: now + delay });
            }
        }
        is_changed
    }

    /// Time between two requests of all entries at an incarnation of `server`; none without a
    /// limit.
    pub fn interval(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
    ) -> Option<Duration> {
        self.known.limit(server, started).map(interval)
    }
}
