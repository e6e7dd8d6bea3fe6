//! Replays arrivals through a queue in virtual time and records how each request ends.

#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use admission::{
    AdmissionAction, AdmissionChecks, AdmissionEvent, AdmissionPolicy, AdmissionQueue,
    AdmissionRequest, RequestSize, SlotTotal,
};
use base::{ids::AttemptId, prelude::*};
use lists::{RequestPriority, WorkClass};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a history; times are relative to the start of the replay or to `at`.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub customer: &'static str,
    pub share: u32,
    pub priority: u8,
    pub size: u32,
    pub service: Duration,
    /// Time from the arrival to the deadline.
    pub timeout: Duration,
    /// Time after which the caller cancels the request if it has not ended.
    pub cancel_after: Option<Duration>,
}

impl Arrival {
    pub fn class(&self) -> WorkClass {
        if self.size > SHORT_LIMIT { WorkClass::Long } else { WorkClass::Short }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    Answered,
    Refused(ResultCode),
    Cancelled,
    /// The request had not ended when the replay did.
    Unfinished,
}

#[derive(Debug, Clone, Copy)]
pub struct Ending {
    pub id: usize,
    /// Time since the arrival.
    pub after: Duration,
    pub kind: EndKind,
}

/// Results of a replay: endings, grant times and peak counts.
#[derive(Debug, Default)]
pub struct ReplayRecord {
    pub endings: Vec<Ending>,
    pub granted: HashMap<usize, Duration>,
    pub peak_running: usize,
    pub peak_long: usize,
    pub peak_waiting: usize,
}

impl ReplayRecord {
    pub fn ending(&self, id: usize) -> Ending {
        *self.endings.iter().find(|ending| ending.id == id).expect("the request has ended")
    }

    /// Number of requests answered by their deadline.
    pub fn answered_in_time(&self, arrivals: &[Arrival]) -> usize {
        let in_time =
            |e: &&Ending| e.kind == EndKind::Answered && e.after <= arrivals[e.id].timeout;
        self.endings.iter().filter(in_time).count()
    }
}

/// The queue under test or a plain FIFO queue for comparison.
pub enum ReplayQueue {
    Admission(Box<AdmissionQueue>),
    Fifo(FifoQueue),
}

/// First in, first out, without classes, limits and refusals.
#[derive(Default)]
pub struct FifoQueue {
    slots: u32,
    waiting: VecDeque<AttemptId>,
    running: BTreeSet<AttemptId>,
}

impl FifoQueue {
    fn handle(&mut self, event: AdmissionEvent) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Offer(request) => self.waiting.push_back(request.id),
            AdmissionEvent::Finish(id) | AdmissionEvent::Release(id) => {
                self.running.remove(&id);
            }
            AdmissionEvent::Cancel(id) => {
                self.running.remove(&id);
                self.waiting.retain(|waiting| *waiting != id);
            }
            AdmissionEvent::Resize(slots) => self.slots = slots.0,
            AdmissionEvent::ExpectReady(_)
            | AdmissionEvent::LimitLong(_)
            | AdmissionEvent::Expire => {}
        }
        let mut actions = Vec::new();
        while self.running.len() < self.slots as usize {
            let Some(id) = self.waiting.pop_front() else { break };
            self.running.insert(id);
            actions.push(AdmissionAction::Grant { id, class: WorkClass::Short });
        }
        actions
    }
}

impl ReplayQueue {
    pub fn with_checks(checks: AdmissionChecks) -> Self {
        Self::Admission(Box::new(AdmissionQueue::with_checks(policy(), checks)))
    }

    fn handle(&mut self, event: AdmissionEvent, now: Instant) -> Vec<AdmissionAction> {
        match self {
            ReplayQueue::Admission(queue) => queue.handle(event, now),
            ReplayQueue::Fifo(queue) => queue.handle(event),
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        match self {
            ReplayQueue::Admission(queue) => queue.next_expiry(),
            ReplayQueue::Fifo(_) => None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayStep {
    Finish(usize),
    Cancel(usize),
    Arrive(usize),
}

pub const SHORT_LIMIT: u32 = 100;
pub const CUSTOMER_LIMIT: u32 = 40;
pub const LONG_PERCENT: u32 = 50;

pub fn policy() -> AdmissionPolicy {
    AdmissionPolicy {
        quantum: RequestSize(SHORT_LIMIT),
        long_percent: LONG_PERCENT,
        total_limit: 100,
        short_service: Duration::from_millis(100),
        long_service: Duration::from_secs(3),
        ageing_interval: 8,
    }
}

pub fn attempt(id: usize) -> AttemptId {
    AttemptId { request: RequestId(id as u128), attempt: 1 }
}

pub fn request(id: usize, arrival: &Arrival, start: Instant) -> AdmissionRequest {
    AdmissionRequest {
        id: attempt(id),
        customer: CustomerId::new(arrival.customer).unwrap(),
        share: ShareWeight(arrival.share),
        priority: RequestPriority(arrival.priority),
        class: arrival.class(),
        size: RequestSize(arrival.size),
        queue_limit: CUSTOMER_LIMIT,
        deadline: start + arrival.at + arrival.timeout,
    }
}

struct Replay<'a> {
    arrivals: &'a [Arrival],
    start: Instant,
    steps: BTreeSet<(Duration, ReplayStep)>,
    open: BTreeSet<usize>,
    running: BTreeMap<usize, WorkClass>,
    record: ReplayRecord,
}

/// Runs `arrivals` through `queue` with `slots` slots until no step and no expiry is left.
pub fn replay(mut queue: ReplayQueue, slots: u32, arrivals: &[Arrival]) -> ReplayRecord {
    let start = Instant::now();
    let steps = arrivals.iter().enumerate().map(|(id, a)| (a.at, ReplayStep::Arrive(id)));
    let mut replay = Replay {
        arrivals,
        start,
        steps: steps.collect(),
        open: BTreeSet::new(),
        running: BTreeMap::new(),
        record: ReplayRecord::default(),
    };
    queue.handle(AdmissionEvent::Resize(SlotTotal(slots)), start);
    loop {
        let expiry = queue.next_expiry().map(|due| due.saturating_duration_since(start));
        let step = replay.steps.first().copied();
        let next_step = match (step, expiry) {
            (None, None) => break,
            (step, Some(due)) if step.is_none_or(|(at, _)| due < at) => {
                let actions = queue.handle(AdmissionEvent::Expire, start + due);
                replay.apply(actions, due);
                continue;
            }
            (step, _) => step.expect("checked above"),
        };
        let (at, step) = next_step;
        replay.steps.pop_first();
        let Some(event) = replay.event(at, step) else { continue };
        let actions = queue.handle(event, start + at);
        replay.apply(actions, at);
    }
    let unfinished: Vec<usize> = replay.open.iter().copied().collect();
    for id in unfinished {
        replay.end(id, Duration::MAX, EndKind::Unfinished);
    }
    replay.record
}

impl Replay<'_> {
    fn event(&mut self, at: Duration, step: ReplayStep) -> Option<AdmissionEvent> {
        match step {
            ReplayStep::Arrive(id) => {
                let arrival = &self.arrivals[id];
                self.open.insert(id);
                if let Some(after) = arrival.cancel_after {
                    self.steps.insert((at + after, ReplayStep::Cancel(id)));
                }
                Some(AdmissionEvent::Offer(request(id, arrival, self.start)))
            }
            ReplayStep::Finish(id) => {
                self.running.remove(&id)?;
                self.end(id, at, EndKind::Answered);
                Some(AdmissionEvent::Finish(attempt(id)))
            }
            ReplayStep::Cancel(id) => {
                if !self.open.contains(&id) {
                    return None;
                }
                self.running.remove(&id);
                self.end(id, at, EndKind::Cancelled);
                Some(AdmissionEvent::Cancel(attempt(id)))
            }
        }
    }

    fn apply(&mut self, actions: Vec<AdmissionAction>, at: Duration) {
        for action in actions {
            match action {
                AdmissionAction::Grant { id, .. } => self.start(id.request.0 as usize, at),
                AdmissionAction::Refuse { id, code } => {
                    let id = id.request.0 as usize;
                    assert!(!self.running.contains_key(&id), "a granted request was refused");
                    self.end(id, at, EndKind::Refused(code));
                }
            }
        }
        let long = self.running.values().filter(|class| **class == WorkClass::Long).count();
        let record = &mut self.record;
        record.peak_running = record.peak_running.max(self.running.len());
        record.peak_long = record.peak_long.max(long);
        record.peak_waiting = record.peak_waiting.max(self.open.len() - self.running.len());
    }

    fn start(&mut self, id: usize, at: Duration) {
        assert!(self.open.contains(&id), "a request that is not open was granted");
        let arrival = &self.arrivals[id];
        let class = arrival.class();
        assert!(self.running.insert(id, class).is_none(), "a request was granted twice");
        self.record.granted.insert(id, at);
        self.steps.insert((at + arrival.service, ReplayStep::Finish(id)));
    }

    fn end(&mut self, id: usize, at: Duration, kind: EndKind) {
        assert!(self.open.remove(&id), "a request ended twice");
        let after = at.saturating_sub(self.arrivals[id].at);
        self.record.endings.push(Ending { id, after, kind });
    }
}

pub fn short(at_ms: u64, customer: &'static str) -> Arrival {
    Arrival {
        at: Duration::from_millis(at_ms),
        customer,
        share: 1,
        priority: 1,
        size: 50,
        service: Duration::from_millis(100),
        timeout: Duration::from_secs(2),
        cancel_after: None,
    }
}

pub fn long(at_ms: u64, customer: &'static str) -> Arrival {
    let service = Duration::from_secs(3);
    let timeout = Duration::from_secs(60);
    Arrival { size: 5000, service, timeout, ..short(at_ms, customer) }
}

/// A random history with bursts, mixed classes, priorities, shares and cancellations.
pub fn history(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0;
    let mut arrivals = Vec::new();
    for _ in 0..400 {
        at += if rng.random_bool(0.7) { rng.random_range(0..8) } else { rng.random_range(0..90) };
        let customer = ["ada", "ben", "cyd", "dora"][rng.random_range(0..4)];
        let base = if rng.random_bool(0.12) { long(at, customer) } else { short(at, customer) };
        let factor = rng.random_range(0.3..2.0);
        arrivals.push(Arrival {
            share: rng.random_range(1..5),
            priority: rng.random_range(0..3),
            service: base.service.mul_f64(factor),
            timeout: base.timeout.mul_f64(rng.random_range(0.1..2.0)),
            cancel_after: rng.random_bool(0.05).then(|| Duration::from_millis(150)),
            ..base
        });
    }
    arrivals
}
