//! Limiter for loads that read from the weight store: how many run, and in which order.
//!
//! Permits only protect the store from overload; the memory ledger does not depend on them. A
//! permit that its holder neither renews nor returns can therefore simply expire.

use std::collections::BTreeMap;

use base::prelude::*;

/// Largest number of loads that hold a permit at once: as many as the weight store serves at full
/// speed.
pub const MAX_CONCURRENT_LOADS: usize = 4;

/// Lifetime of a permit that is neither returned nor renewed.
const PERMIT_TTL: Duration = Duration::from_secs(180);

/// Largest number of loads that may wait for a permit; further requests are refused.
const MAX_WAITING: usize = 4096;

/// Lower bound of the rate when the next tick is computed; it avoids a division by zero while the
/// rate is not set.
const MIN_LOADS_PER_SECOND: f64 = 0.001;

/// Added to a computed time so that rounding never makes it too early.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);

/// Granularity of deadlines: those within one step count as equal, and the load with more waiting
/// requests goes first.
const DEADLINE_STEP: Duration = Duration::from_secs(1);

/// Identifies a load at the limiter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightLoadId(pub u64);

/// Urgency of a load; more urgent classes order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadClass {
    /// Interactive requests, or reports with a deadline, wait for it.
    Interactive,
    /// Only requests that are not urgent wait for it.
    Batch,
    /// No request waits for it yet.
    Preload,
}

/// Request for a permit to read from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLoadRequest {
    /// The load; a retried request carries the same id and replaces the earlier one.
    pub id: WeightLoadId,
    /// Urgency of the load.
    pub class: LoadClass,
    /// Earliest deadline among the requests that wait for the load; the limiter refuses the load
    /// after it.
    pub deadline: Instant,
    /// Number of requests that wait for the load.
    pub waiters: u32,
}

/// Input of a [`WeightLoadLimiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterEvent {
    /// A permit is requested, or the urgency of a waiting load changed.
    Requested(WeightLoadRequest),
    /// A load ended or was cancelled; its permit is free again.
    Ended(WeightLoadId),
    /// A load is still running; extends its permit.
    Renewed(WeightLoadId),
    /// Periodic check of expired permits and deadlines.
    Tick,
}

/// Decision of a [`WeightLoadLimiter`] on one load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterAction {
    /// The load may start.
    Permit(WeightLoadId),
    /// The load's deadline passed, or too many loads wait.
    Refuse(WeightLoadId),
}

/// Sort key of a waiting load; the lowest is permitted first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingRank {
    class: LoadClass,
    deadline_step: u128,
    waiters: std::cmp::Reverse<u32>,
    id: WeightLoadId,
}

/// Limits the concurrency and the rate of loads from the weight store; see the module
/// documentation.
#[derive(Debug)]
pub struct WeightLoadLimiter {
    rate: EventRate,
    created_at: Instant,
    tokens: f64,
    refilled_at: Instant,
    waiting: BTreeMap<WeightLoadId, WeightLoadRequest>,
    permits: BTreeMap<WeightLoadId, Instant>,
}

impl WeightLoadLimiter {
    /// Creates a limiter for a store that serves `rate` loads per second.
    pub fn new(rate: EventRate, now: Instant) -> Self {
        Self {
            rate,
            created_at: now,
            tokens: MAX_CONCURRENT_LOADS as f64,
            refilled_at: now,
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }

    /// Applies one event and returns the resulting decisions, in order.
    pub fn step(&mut self, event: LimiterEvent, now: Instant) -> Vec<LimiterAction> {
        let mut actions = Vec::new();
        match event {
            LimiterEvent::Requested(request) => self.add_request(request, &mut actions),
            LimiterEvent::Ended(id) => self.end(id),
            LimiterEvent::Renewed(id) => self.renew(id, now),
            LimiterEvent::Tick => self.expire(now, &mut actions),
        }
        self.admit(now, &mut actions);
        actions
    }

    /// When a tick will permit the next waiting load; `None` if no load waits or all permits are in
    /// use.
    pub fn next_tick(&self) -> Option<Instant> {
        let is_rate_limited = !self.waiting.is_empty() && self.permits.len() < MAX_CONCURRENT_LOADS;
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.0.max(MIN_LOADS_PER_SECOND);
        is_rate_limited
            .then(|| self.refilled_at + Duration::from_secs_f64(missing) + ROUNDING_MARGIN)
    }

    /// Number of loads that wait for a permit.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn add_request(&mut self, request: WeightLoadRequest, actions: &mut Vec<LimiterAction>) {
        let id = request.id;
        if self.permits.contains_key(&id) {
            actions.push(LimiterAction::Permit(id));
        } else if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&id) {
            actions.push(LimiterAction::Refuse(id));
        } else {
            self.waiting.insert(id, request);
        }
    }

    fn end(&mut self, id: WeightLoadId) {
        self.waiting.remove(&id);
        self.permits.remove(&id);
    }

    fn renew(&mut self, id: WeightLoadId, now: Instant) {
        if let Some(expires_at) = self.permits.get_mut(&id) {
            *expires_at = now + PERMIT_TTL;
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        self.permits.retain(|_, expires_at| *expires_at > now);
        let expired: Vec<WeightLoadId> = self
            .waiting
            .values()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        for id in expired {
            self.waiting.remove(&id);
            actions.push(LimiterAction::Refuse(id));
        }
    }

    fn admit(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        self.refill(now);
        while self.permits.len() < MAX_CONCURRENT_LOADS && self.tokens >= 1.0 {
            let Some(id) = self.next_waiting() else { return };
            self.waiting.remove(&id);
            self.permits.insert(id, now + PERMIT_TTL);
            self.tokens -= 1.0;
            actions.push(LimiterAction::Permit(id));
        }
    }

    /// Refills the token bucket at the store's rate; its burst is [`MAX_CONCURRENT_LOADS`].
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(MAX_CONCURRENT_LOADS as f64);
    }

    fn next_waiting(&self) -> Option<WeightLoadId> {
        self.waiting.values().min_by_key(|request| self.rank(request)).map(|first| first.id)
    }

    fn rank(&self, request: &WeightLoadRequest) -> WaitingRank {
        let since_creation = request.deadline.saturating_duration_since(self.created_at);
        WaitingRank {
            class: request.class,
            deadline_step: since_creation.as_nanos() / DEADLINE_STEP.as_nanos(),
            waiters: std::cmp::Reverse(request.waiters),
            id: request.id,
        }
    }
}
