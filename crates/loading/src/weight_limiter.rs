//! The gate before the weight store: which loads read from it, and in which order.
//!
//! A permit is no matter of safety: one that its holder never gives back runs out.

use std::collections::BTreeMap;

use base::prelude::*;

/// Loads that the weight store serves together at full speed.
pub const MAX_CONCURRENT_LOADS: usize = 4;

/// A permit that is neither given back nor renewed ends after this time.
const PERMIT_TTL: Duration = Duration::from_secs(180);

/// Loads that may wait at the gate.
const MAX_WAITING: usize = 4096;

/// Rate assumed when none is set, in loads a second.
const MIN_LOADS_PER_SECOND: f64 = 0.001;

/// Added to a computed time so that rounding never makes it early.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);

/// Deadlines within the same step count as equal, so that the number of waiters decides.
const DEADLINE_STEP: Duration = Duration::from_secs(1);

/// A load as known to the gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightLoadId(pub u64);

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
pub struct WeightLoadRequest {
    /// Number of the load; a repeated request has the same number.
    pub id: WeightLoadId,
    /// Urgency.
    pub class: LoadClass,
    /// When the first waiting request runs out of time.
    pub deadline: Instant,
    /// Requests that wait for the load.
    pub waiters: u32,
}

/// Something that happened at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterEvent {
    /// A load wants to begin, or its urgency changed.
    Requested(WeightLoadRequest),
    /// A load ended or is not wanted any more.
    Ended(WeightLoadId),
    /// A load goes on.
    Renewed(WeightLoadId),
    /// Time passed.
    Tick,
}

/// What the gate says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterAction {
    /// The load may begin.
    Permit(WeightLoadId),
    /// The load cannot begin in time.
    Refuse(WeightLoadId),
}

/// Order in which waiting loads begin.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingRank {
    class: LoadClass,
    deadline_step: u128,
    waiters: std::cmp::Reverse<u32>,
    id: WeightLoadId,
}

/// The gate; see the module's documentation.
#[derive(Debug)]
pub struct WeightLoadLimiter {
    rate: EventRate,
    start: Instant,
    tokens: f64,
    filled: Instant,
    waiting: BTreeMap<WeightLoadId, WeightLoadRequest>,
    permits: BTreeMap<WeightLoadId, Instant>,
}

impl WeightLoadLimiter {
    /// A gate for a store that takes `rate` loads a second.
    pub fn new(rate: EventRate, now: Instant) -> Self {
        Self {
            rate,
            start: now,
            tokens: MAX_CONCURRENT_LOADS as f64,
            filled: now,
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }

    /// Takes in one event and returns what the gate says, in order.
    pub fn step(&mut self, event: LimiterEvent, now: Instant) -> Vec<LimiterAction> {
        let mut actions = Vec::new();
        match event {
            LimiterEvent::Requested(request) => self.ask(request, &mut actions),
            LimiterEvent::Ended(ticket) => self.end(ticket),
            LimiterEvent::Renewed(ticket) => self.renew(ticket, now),
            LimiterEvent::Tick => self.expire(now, &mut actions),
        }
        self.admit(now, &mut actions);
        actions
    }

    /// When a tick would admit a waiting load, if one waits only for the rate.
    pub fn next_tick(&self) -> Option<Instant> {
        let is_paced = !self.waiting.is_empty() && self.permits.len() < MAX_CONCURRENT_LOADS;
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.0.max(MIN_LOADS_PER_SECOND);
        is_paced.then(|| self.filled + Duration::from_secs_f64(missing) + ROUNDING_MARGIN)
    }

    /// Loads that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn ask(&mut self, request: WeightLoadRequest, actions: &mut Vec<LimiterAction>) {
        let ticket = request.id;
        if self.permits.contains_key(&ticket) {
            actions.push(LimiterAction::Permit(ticket));
        } else if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&ticket) {
            actions.push(LimiterAction::Refuse(ticket));
        } else {
            self.waiting.insert(ticket, request);
        }
    }

    fn end(&mut self, ticket: WeightLoadId) {
        self.waiting.remove(&ticket);
        self.permits.remove(&ticket);
    }

    fn renew(&mut self, ticket: WeightLoadId, now: Instant) {
        if let Some(until) = self.permits.get_mut(&ticket) {
            *until = now + PERMIT_TTL;
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        self.permits.retain(|_, until| *until > now);
        let late: Vec<WeightLoadId> = self
            .waiting
            .values()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        for ticket in late {
            self.waiting.remove(&ticket);
            actions.push(LimiterAction::Refuse(ticket));
        }
    }

    fn admit(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        self.refill(now);
        while self.permits.len() < MAX_CONCURRENT_LOADS && self.tokens >= 1.0 {
            let Some(ticket) = self.first_waiting() else { return };
            self.waiting.remove(&ticket);
            self.permits.insert(ticket, now + PERMIT_TTL);
            self.tokens -= 1.0;
            actions.push(LimiterAction::Permit(ticket));
        }
    }

    /// Loads begin at the store's rate, with a burst of as many as run together.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(MAX_CONCURRENT_LOADS as f64);
    }

    fn first_waiting(&self) -> Option<WeightLoadId> {
        self.waiting.values().min_by_key(|request| self.rank(request)).map(|first| first.id)
    }

    fn rank(&self, request: &WeightLoadRequest) -> WaitingRank {
        let left = request.deadline.saturating_duration_since(self.start);
        WaitingRank {
            class: request.class,
            deadline_step: left.as_nanos() / DEADLINE_STEP.as_nanos(),
            waiters: std::cmp::Reverse(request.waiters),
            id: request.id,
        }
    }
}
