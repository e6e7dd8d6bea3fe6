//! Admission queue of one model or service, run by its owner.

use std::collections::{BTreeSet, HashMap};

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;

use crate::{
    class::ClassQueue,
    estimate::{DemandEstimate, ServiceEstimate},
    fair::WaitingRequest,
    policy::{AdmissionChecks, AdmissionPolicy},
    request::{AdmissionRequest, RequestSize, SlotTotal},
    slots::SlotLedger,
};

/// A request is urgent if its latest start is at most this many mean service times away.
const URGENT_SERVICE_TIMES: u32 = 2;

/// Input of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A new request; ignored if it already waits or runs.
    Offer(AdmissionRequest),
    /// A granted request has ended; its service time updates the estimate.
    Finish(AttemptId),
    /// A granted request frees its slot; its service time is not representative and is ignored.
    Release(AttemptId),
    /// The caller has disconnected; the request is removed, whether it waits or runs.
    Cancel(AttemptId),
    /// The usable replicas now have this number of slots.
    Resize(SlotTotal),
    /// Long requests may now hold at most this part of the slots, in percent.
    LimitLong(u32),
    /// The first replica is expected to be ready at this time; `None` if no time is known.
    ExpectReady(Option<Instant>),
    /// Due requests expire; sent at the time that [`AdmissionQueue::next_expiry`] returns.
    Expire,
}

/// Decision of a queue on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request may run.
    Grant {
        /// Attempt to which the decision applies.
        id: AttemptId,
        /// Class of the request, which decides the slots of a replica that it may use.
        class: WorkClass,
    },
    /// The request was not admitted and did not run.
    Refuse {
        /// Attempt to which the decision applies.
        id: AttemptId,
        /// Reason; a code whose run state is always `not run`.
        code: ResultCode,
    },
}

/// Numbers of waiting and running requests by class, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCounts {
    /// Waiting short requests.
    pub short_waiting: usize,
    /// Waiting long requests.
    pub long_waiting: usize,
    /// Running short requests.
    pub short_running: u32,
    /// Running long requests.
    pub long_running: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryKey {
    latest_start: Instant,
    id: AttemptId,
}

#[derive(Debug, Clone)]
struct WaitingEntry {
    request: AdmissionRequest,
    latest_start: Instant,
}

/// Waiting and granted requests of one model or service.
#[derive(Debug)]
pub struct AdmissionQueue {
    policy: AdmissionPolicy,
    checks: AdmissionChecks,
    short: ClassQueue,
    long: ClassQueue,
    waiting: HashMap<AttemptId, WaitingEntry>,
    expiries: BTreeSet<ExpiryKey>,
    slots: SlotLedger,
    estimate: ServiceEstimate,
    short_demand: DemandEstimate,
    expected_ready: Option<Instant>,
    /// Grants since the last one that went out of turn to an urgent request.
    grants_since_ageing: u32,
}

impl AdmissionQueue {
    /// An empty queue without slots.
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self::with_checks(policy, AdmissionChecks::default())
    }

    /// An empty queue without slots and with the given checks.
    pub fn with_checks(policy: AdmissionPolicy, checks: AdmissionChecks) -> Self {
        Self {
            policy,
            checks,
            short: ClassQueue::new(policy.quantum),
            long: ClassQueue::new(RequestSize(policy.quantum.0.saturating_mul(8))),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            slots: SlotLedger::new(),
            estimate: ServiceEstimate::new(&policy),
            short_demand: DemandEstimate::new(),
            expected_ready: None,
            grants_since_ageing: policy.ageing_interval,
        }
    }

    /// Applies one event and returns the decisions that follow from it.
    pub fn handle(&mut self, event: AdmissionEvent, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Offer(request) => self.offer(request, now, &mut actions),
            AdmissionEvent::Finish(id) => self.finish(id, now),
            AdmissionEvent::Release(id) => drop(self.slots.stop(id)),
            AdmissionEvent::Cancel(id) => self.cancel(id),
            AdmissionEvent::Resize(total) => self.slots.resize(total),
            AdmissionEvent::LimitLong(percent) => self.policy.long_percent = percent,
            AdmissionEvent::ExpectReady(ready) => self.expected_ready = ready,
            AdmissionEvent::Expire => {}
        }
        self.limit_long(now);
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// When [`AdmissionEvent::Expire`] is due next; `None` if no request waits or
    /// [`AdmissionChecks::timely_expiry`] is off.
    pub fn next_expiry(&self) -> Option<Instant> {
        let first = self.expiries.first().filter(|_| self.checks.timely_expiry)?;
        Some(first.latest_start)
    }

    /// Numbers of waiting and running requests.
    pub fn counts(&self) -> QueueCounts {
        QueueCounts {
            short_waiting: self.short.len(),
            long_waiting: self.long.len(),
            short_running: self.slots.running(WorkClass::Short),
            long_running: self.slots.running(WorkClass::Long),
        }
    }

    /// Number of slots that long requests may hold at present.
    pub fn long_limit(&self) -> u32 {
        self.slots.long_limit()
    }

    /// Time for which a new request like `request` is expected to wait for a slot.
    pub fn expected_wait(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let class = request.class;
        let queue = self.class(class);
        if self.slots.total() == SlotTotal(0) {
            let ready = self.expected_ready.unwrap_or(now);
            return ready.saturating_duration_since(now);
        }
        if self.slots.has_free(class) && queue.len() == 0 {
            return Duration::ZERO;
        }
        let other_waits = match class {
            WorkClass::Short => self.long.len() > 0,
            WorkClass::Long => self.short.len() > 0,
        };
        let turns = queue.ahead_of(request) + 1;
        let slots = self.slots.serving(class, other_waits);
        self.estimate.mean(class).mul_f64(turns as f64 / f64::from(slots))
    }

    fn offer(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let id = request.id;
        if self.waiting.contains_key(&id) || self.slots.holds(id) {
            return;
        }
        if request.class == WorkClass::Short {
            self.short_demand.record_arrival(now);
        }
        match self.check(&request, now) {
            Err(code) => actions.push(AdmissionAction::Refuse { id, code }),
            Ok(()) => {
                self.enqueue(request, now);
                self.enforce_total_limit(actions);
            }
        }
    }

    fn check(&self, request: &AdmissionRequest, now: Instant) -> Result<(), ResultCode> {
        let class = request.class;
        let queued = self.class(class).customer_len(&request.customer);
        if self.checks.bounded_queues && queued >= request.queue_limit as usize {
            return Err(ResultCode::QueueFull);
        }
        if !self.checks.early_refusal {
            return Ok(());
        }
        if request.deadline <= now {
            return Err(ResultCode::DeadlineUnmeetable);
        }
        if self.slots.has_free(class) && self.class(class).len() == 0 {
            return Ok(());
        }
        let needed = self.expected_wait(request, now) + self.estimate.mean(class);
        if now + needed > request.deadline {
            return Err(ResultCode::DeadlineUnmeetable);
        }
        Ok(())
    }

    fn enqueue(&mut self, request: AdmissionRequest, now: Instant) {
        let class = request.class;
        let service = self.estimate.mean(class);
        let can_start = self.slots.has_free(class) && self.class(class).len() == 0;
        let start = request.deadline.checked_sub(service).unwrap_or(now);
        let latest_start = if can_start { request.deadline } else { start };
        let entry = WaitingEntry { request: request.clone(), latest_start };
        self.expiries.insert(ExpiryKey { latest_start, id: request.id });
        self.waiting.insert(request.id, entry);
        let waiting = WaitingRequest { request, offered: now, latest_start };
        self.class_mut(class).push(waiting);
    }

    /// Refuses the newest request of the longest queue while the total limit is exceeded.
    fn enforce_total_limit(&mut self, actions: &mut Vec<AdmissionAction>) {
        while self.checks.bounded_queues && self.waiting.len() > self.policy.total_limit {
            let short = self.short.longest();
            let long = self.long.longest();
            let longest = short.into_iter().chain(long);
            let Some(longest) = longest.max_by(|a, b| a.weighted_len.total_cmp(&b.weighted_len))
            else {
                return;
            };
            let id = longest.newest.id;
            self.remove_waiting(id);
            actions.push(AdmissionAction::Refuse { id, code: ResultCode::QueueFull });
        }
    }

    fn finish(&mut self, id: AttemptId, now: Instant) {
        if let Some(running) = self.slots.stop(id) {
            let served = now.saturating_duration_since(running.granted);
            self.estimate.observe(running.class, served);
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        self.slots.stop(id);
        self.remove_waiting(id);
    }

    fn limit_long(&mut self, now: Instant) {
        let service = self.estimate.mean(WorkClass::Short);
        let (percent, short) = match self.checks.short_reserve {
            true => (self.policy.long_percent, self.short_demand.slots(service, now)),
            false => (100, 0),
        };
        self.slots.limit_long(percent, short);
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        while self.checks.timely_expiry {
            let Some(due) = self.expiries.first().copied() else { return };
            if due.latest_start > now {
                return;
            }
            let id = due.id;
            self.remove_waiting(id);
            actions.push(AdmissionAction::Refuse { id, code: ResultCode::DeadlinePassed });
        }
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        while let Some(waiting) = self.next(now) {
            let request = &waiting.request;
            let class = request.class;
            let key = ExpiryKey { latest_start: waiting.latest_start, id: request.id };
            self.waiting.remove(&request.id);
            self.expiries.remove(&key);
            self.slots.start(request.id, class, now);
            self.grants_since_ageing = self.grants_since_ageing.saturating_add(1);
            actions.push(AdmissionAction::Grant { id: request.id, class });
        }
    }

    fn next(&mut self, now: Instant) -> Option<WaitingRequest> {
        if let Some(urgent) = self.next_urgent(now) {
            self.grants_since_ageing = 0;
            let class = urgent.class;
            return self.class_mut(class).take(&urgent);
        }
        let class = self.next_class()?;
        let fair = self.checks.fair_shares;
        self.class_mut(class).pop(fair)
    }

    /// The request closest to its latest start, if it gets a grant out of turn: it is urgent,
    /// others of its class have a more urgent priority, and enough grants have passed since the
    /// last one.
    fn next_urgent(&self, now: Instant) -> Option<AdmissionRequest> {
        let is_turn = self.grants_since_ageing >= self.policy.ageing_interval;
        if !self.checks.ageing || !is_turn {
            return None;
        }
        let first = self.expiries.first()?;
        let request = &self.waiting[&first.id].request;
        let class = request.class;
        let margin = self.estimate.mean(class) * URGENT_SERVICE_TIMES;
        let is_urgent = first.latest_start.saturating_duration_since(now) <= margin;
        let outranked = self.class(class).best_priority() < Some(request.priority);
        let may_run = self.slots.has_free(class);
        (is_urgent && outranked && may_run).then(|| request.clone())
    }

    fn next_class(&self) -> Option<WorkClass> {
        let short = self.short.best_priority().filter(|_| self.slots.has_free(WorkClass::Short));
        let long = self.long.best_priority().filter(|_| self.slots.has_free(WorkClass::Long));
        match (short, long) {
            (None, None) => None,
            (Some(_), None) => Some(WorkClass::Short),
            (None, Some(_)) => Some(WorkClass::Long),
            (Some(short), Some(long)) if long < short => Some(WorkClass::Long),
            (Some(short), Some(long)) if long == short && self.slots.is_long_below_floor() => {
                Some(WorkClass::Long)
            }
            (Some(_), Some(_)) => Some(WorkClass::Short),
        }
    }

    fn remove_waiting(&mut self, id: AttemptId) {
        let Some(entry) = self.waiting.remove(&id) else { return };
        let class = entry.request.class;
        self.class_mut(class).remove(&entry.request);
        self.expiries.remove(&ExpiryKey { latest_start: entry.latest_start, id });
    }

    fn class(&self, class: WorkClass) -> &ClassQueue {
        match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        }
    }

    fn class_mut(&mut self, class: WorkClass) -> &mut ClassQueue {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }
}
