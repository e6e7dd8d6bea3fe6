//! The gate before the weight store: which loads read from it, and in which order.
//!
//! A permit is no matter of safety: one that its holder never gives back runs out.

use std::collections::BTreeMap;

use base::prelude::*;

/// Loads that the weight store serves together at full speed.
pub const FULL_SPEED_LOADS: usize = 4;

/// A permit that is neither given back nor renewed ends after this time.
const PERMIT_SPAN: Duration = Duration::from_secs(180);

/// Loads that may wait at the gate.
const MAX_WAITING: usize = 4096;

/// Rate assumed when none is set, in loads a second.
const SLOWEST_RATE: f64 = 0.001;

/// Added to a computed time so that rounding never makes it early.
const CLOCK_GRAIN: Duration = Duration::from_millis(1);

/// Deadlines within the same step count as equal, so that the number of waiters decides.
const DEADLINE_STEP: Duration = Duration::from_secs(1);

/// A load as known to the gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateTicket(pub u64);

/// How urgent a load is; more urgent classes come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadClass {
    /// People or reports with a deadline wait for it.
    Interactive,
    /// Requests without hurry wait for it.
    Batch,
    /// Nobody waits for it yet.
    Preload,
}

/// A load that wants to read from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRequest {
    /// Number of the load; a repeated request has the same number.
    pub ticket: GateTicket,
    /// Urgency.
    pub class: LoadClass,
    /// When the first waiting request runs out of time.
    pub deadline: Instant,
    /// Requests that wait for the load.
    pub waiters: u32,
}

/// Something that happened at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateEvent {
    /// A load wants to begin, or its urgency changed.
    Asked(GateRequest),
    /// A load ended or is not wanted any more.
    Ended(GateTicket),
    /// A load goes on.
    Renewed(GateTicket),
    /// Time passed.
    Tick,
}

/// What the gate says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAction {
    /// The load may begin.
    Permit(GateTicket),
    /// The load cannot begin in time.
    Refuse(GateTicket),
}

/// Order in which waiting loads begin.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GateRank {
    class: LoadClass,
    deadline_step: u128,
    waiters: std::cmp::Reverse<u32>,
    ticket: GateTicket,
}

/// The gate; see the module's documentation.
#[derive(Debug)]
pub struct WeightGate {
    rate: EventRate,
    start: Instant,
    tokens: f64,
    filled: Instant,
    waiting: BTreeMap<GateTicket, GateRequest>,
    permits: BTreeMap<GateTicket, Instant>,
}

impl WeightGate {
    /// A gate for a store that takes `rate` loads a second.
    pub fn new(rate: EventRate, now: Instant) -> Self {
        Self {
            rate,
            start: now,
            tokens: FULL_SPEED_LOADS as f64,
            filled: now,
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }

    /// Takes in one event and returns what the gate says, in order.
    pub fn step(&mut self, event: GateEvent, now: Instant) -> Vec<GateAction> {
        let mut actions = Vec::new();
        match event {
            GateEvent::Asked(request) => self.ask(request, &mut actions),
            GateEvent::Ended(ticket) => self.end(ticket),
            GateEvent::Renewed(ticket) => self.renew(ticket, now),
            GateEvent::Tick => self.expire(now, &mut actions),
        }
        self.admit(now, &mut actions);
        actions
    }

    /// When a tick would admit a waiting load, if one waits only for the rate.
    pub fn next_tick(&self) -> Option<Instant> {
        let is_paced = !self.waiting.is_empty() && self.permits.len() < FULL_SPEED_LOADS;
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.0.max(SLOWEST_RATE);
        is_paced.then(|| self.filled + Duration::from_secs_f64(missing) + CLOCK_GRAIN)
    }

    /// Loads that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn ask(&mut self, request: GateRequest, actions: &mut Vec<GateAction>) {
        let ticket = request.ticket;
        if self.permits.contains_key(&ticket) {
            actions.push(GateAction::Permit(ticket));
        } else if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&ticket) {
            actions.push(GateAction::Refuse(ticket));
        } else {
            self.waiting.insert(ticket, request);
        }
    }

    fn end(&mut self, ticket: GateTicket) {
        self.waiting.remove(&ticket);
        self.permits.remove(&ticket);
    }

    fn renew(&mut self, ticket: GateTicket, now: Instant) {
        if let Some(until) = self.permits.get_mut(&ticket) {
            *until = now + PERMIT_SPAN;
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        self.permits.retain(|_, until| *until > now);
        let late: Vec<GateTicket> = self
            .waiting
            .values()
            .filter(|request| request.deadline <= now)
            .map(|request| request.ticket)
            .collect();
        for ticket in late {
            self.waiting.remove(&ticket);
            actions.push(GateAction::Refuse(ticket));
        }
    }

    fn admit(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        self.refill(now);
        while self.permits.len() < FULL_SPEED_LOADS && self.tokens >= 1.0 {
            let Some(ticket) = self.first_waiting() else { return };
            self.waiting.remove(&ticket);
            self.permits.insert(ticket, now + PERMIT_SPAN);
            self.tokens -= 1.0;
            actions.push(GateAction::Permit(ticket));
        }
    }

    /// Loads begin at the store's rate, with a burst of as many as run together.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(FULL_SPEED_LOADS as f64);
    }

    fn first_waiting(&self) -> Option<GateTicket> {
        self.waiting.values().min_by_key(|request| self.rank(request)).map(|first| first.ticket)
    }

    fn rank(&self, request: &GateRequest) -> GateRank {
        let left = request.deadline.saturating_duration_since(self.start);
        GateRank {
            class: request.class,
            deadline_step: left.as_nanos() / DEADLINE_STEP.as_nanos(),
            waiters: std::cmp::Reverse(request.waiters),
            ticket: request.ticket,
        }
    }
}
