//! Event loop that replays a request trace through a router.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use admission::{AdmissionPolicy, RequestSize};
use base::{ids::AttemptId, prelude::*};
use lists::RequestPriority;
use routing::{
    AttemptKind, CreditEnd, EntryIncarnation, GrantAction, GrantAllocator, GrantEvent,
    GrantRequest, ReplicaInfo,
};

use super::{
    job::{Job, ReplayFleet, SpeedChange},
    naive::{NaiveRouter, REPORT_INTERVAL},
    server::{ExpectedEnd, SimulatedServer},
    summary::{JobEnd, JobOutcome, ReplaySummary},
};

/// Delay before a refused hedge is requested again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Most requests of one customer that the owner queues.
const QUEUE_LIMIT: u32 = 256;

/// Router that a replay runs.
pub enum ReplayRouter {
    /// The grant allocator of an owner.
    Owner(Box<GrantAllocator>),
    /// Least connections on delayed load reports.
    Naive(Box<NaiveRouter>),
}

impl ReplayRouter {
    /// Creates a grant allocator with all servers of `fleet` ready; `seed` is for its random
    /// choices.
    pub fn owner(policy: AdmissionPolicy, fleet: &ReplayFleet, seed: u64) -> Self {
        let mut allocator = GrantAllocator::new(policy, seed);
        let now = Instant::now();
        for server in 0..fleet.servers {
            let info = ReplicaInfo {
                vm: server_vm(server),
                incarnation: ProcessIncarnation(1),
                zone: zone_name(server % fleet.zones),
                slots: fleet.slots,
            };
            allocator.handle(GrantEvent::ReplicaReady(info), now);
        }
        ReplayRouter::Owner(Box::new(allocator))
    }

    /// Creates a naive router over the servers of `fleet`; `seed` is for ties.
    pub fn naive(fleet: &ReplayFleet, seed: u64) -> Self {
        ReplayRouter::Naive(Box::new(NaiveRouter::new(fleet.servers, seed)))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    SetSpeed(usize),
    Finish(usize, ExpectedEnd),
    Arrive(usize),
    Hedge(usize),
    Deadline(usize),
    Report,
}

#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    server: usize,
    started: Instant,
}

struct Replay<'a> {
    jobs: &'a [Job],
    changes: &'a [SpeedChange],
    start: Instant,
    events: BTreeSet<(Instant, ReplayEvent)>,
    servers: Vec<SimulatedServer>,
    attempts: BTreeMap<AttemptId, RunningAttempt>,
    outcomes: BTreeMap<usize, JobOutcome>,
    hedges: usize,
}

/// Replays `jobs` through `router` until each has ended, with the servers of `fleet` changing their
/// speed by `changes`.
pub fn replay(
    mut router: ReplayRouter,
    fleet: &ReplayFleet,
    jobs: &[Job],
    changes: &[SpeedChange],
) -> ReplaySummary {
    let start = Instant::now() + Duration::from_secs(1);
    let arrivals = jobs.iter().enumerate().map(|(id, job)| (job.arrival, ReplayEvent::Arrive(id)));
    let speeds =
        changes.iter().enumerate().map(|(index, change)| (change.at, ReplayEvent::SetSpeed(index)));
    let events = arrivals.chain(speeds).map(|(at, event)| (start + at, event));
    let mut replay = Replay {
        jobs,
        changes,
        start,
        events: events.chain([(start, ReplayEvent::Report)]).collect(),
        servers: (0..fleet.servers).map(|_| SimulatedServer::new(fleet.slots)).collect(),
        attempts: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        hedges: 0,
    };
    while replay.outcomes.len() < jobs.len() {
        replay.handle_next(&mut router);
    }
    ReplaySummary { outcomes: replay.outcomes.into_values().collect(), hedges: replay.hedges }
}

impl Replay<'_> {
    fn handle_next(&mut self, router: &mut ReplayRouter) {
        let next = self.events.first().copied();
        if let ReplayRouter::Owner(allocator) = router
            && let Some(due) =
                allocator.next_tick().filter(|due| next.is_none_or(|(at, _)| *due < at))
        {
            let actions = allocator.handle(GrantEvent::Tick, due);
            return self.apply_actions(actions, due);
        }
        let Some((now, event)) = self.events.pop_first() else { return };
        match (event, router) {
            (ReplayEvent::SetSpeed(index), _) => self.set_speed(index, now),
            (ReplayEvent::Report, ReplayRouter::Naive(naive)) => {
                naive.record_report(self.servers.iter().map(SimulatedServer::load).collect(), now);
                self.events.insert((now + REPORT_INTERVAL, ReplayEvent::Report));
            }
            (ReplayEvent::Arrive(id), router) => self.handle_arrival(id, router, now),
            (ReplayEvent::Finish(server, end), router) => {
                self.handle_finish(server, end, router, now)
            }
            (ReplayEvent::Hedge(id), ReplayRouter::Owner(allocator)) => {
                self.request_hedge(id, allocator, now)
            }
            (ReplayEvent::Deadline(id), router) => self.handle_deadline(id, router, now),
            (ReplayEvent::Report, _) | (ReplayEvent::Hedge(_), _) => {}
        }
    }

    fn handle_arrival(&mut self, id: usize, router: &mut ReplayRouter, now: Instant) {
        let job = &self.jobs[id];
        self.events.insert((now + job.timeout, ReplayEvent::Deadline(id)));
        match router {
            ReplayRouter::Owner(allocator) => {
                let request = self.grant_request(id, AttemptKind::Primary, Vec::new());
                let actions = allocator.handle(GrantEvent::Request(request), now);
                self.apply_actions(actions, now);
            }
            ReplayRouter::Naive(naive) => {
                let server = naive.choose(now);
                self.start_attempt(attempt_id(id, 1), server, now);
            }
        }
    }

    fn apply_actions(&mut self, actions: Vec<GrantAction>, now: Instant) {
        for action in actions {
            match action {
                GrantAction::Grant { id, choice, hedge_after } => {
                    let server = server_index(&choice.vm);
                    self.start_attempt(id, server, now);
                    self.hedges += usize::from(id.attempt > 1);
                    if let Some(after) = hedge_after {
                        let event = ReplayEvent::Hedge(id.request.0 as usize);
                        self.events.insert((now + after, event));
                    }
                }
                GrantAction::Refuse { id, code } if id.attempt == 1 => {
                    self.record_outcome(id.request.0 as usize, JobEnd::Refused(code), now);
                }
                GrantAction::Refuse { id, .. } => {
                    let event = ReplayEvent::Hedge(id.request.0 as usize);
                    self.events.insert((now + HEDGE_RETRY_DELAY, event));
                }
            }
        }
    }

    fn start_attempt(&mut self, id: AttemptId, server: usize, now: Instant) {
        let service_time = self.jobs[id.request.0 as usize].service_time;
        self.attempts.insert(id, RunningAttempt { server, started: now });
        if let Some(end) = self.servers[server].enqueue(id, service_time, now) {
            self.events.insert((end.at, ReplayEvent::Finish(server, end)));
        }
    }

    fn handle_finish(
        &mut self,
        server: usize,
        end: ExpectedEnd,
        router: &mut ReplayRouter,
        now: Instant,
    ) {
        if !self.servers[server].finish(end) {
            return;
        }
        self.start_next(server, now);
        let Some(attempt) = self.attempts.remove(&end.id) else { return };
        let id = end.id.request.0 as usize;
        if !self.outcomes.contains_key(&id) {
            self.record_outcome(id, JobEnd::Answered, now);
        }
        if let ReplayRouter::Owner(allocator) = router {
            let served = CreditEnd::Served(now.saturating_duration_since(attempt.started));
            let actions =
                allocator.handle(GrantEvent::CreditReturned { id: end.id, end: served }, now);
            self.apply_actions(actions, now);
            self.cancel_attempts(id, allocator, now);
        }
    }

    /// Requests a hedge if the first attempt still runs and there is no second one.
    fn request_hedge(&mut self, id: usize, allocator: &mut GrantAllocator, now: Instant) {
        let first = self.attempts.get(&attempt_id(id, 1)).copied();
        let Some(first) = first.filter(|_| !self.attempts.contains_key(&attempt_id(id, 2))) else {
            return;
        };
        let request = self.grant_request(id, AttemptKind::Hedge, vec![server_vm(first.server)]);
        let actions = allocator.handle(GrantEvent::Request(request), now);
        self.apply_actions(actions, now);
    }

    fn handle_deadline(&mut self, id: usize, router: &mut ReplayRouter, now: Instant) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.record_outcome(id, JobEnd::TimedOut, now);
        if let ReplayRouter::Owner(allocator) = router {
            self.cancel_attempts(id, allocator, now);
        }
    }

    /// Cancels the attempts of an ended request that still run and returns their credits.
    fn cancel_attempts(&mut self, id: usize, allocator: &mut GrantAllocator, now: Instant) {
        for id in [attempt_id(id, 1), attempt_id(id, 2)] {
            let Some(attempt) = self.attempts.remove(&id) else { continue };
            self.servers[attempt.server].cancel(id);
            let end = CreditEnd::Withdrawn(now.saturating_duration_since(attempt.started));
            let actions = allocator.handle(GrantEvent::CreditReturned { id, end }, now);
            self.apply_actions(actions, now);
        }
    }

    fn start_next(&mut self, server: usize, now: Instant) {
        if let Some(end) = self.servers[server].start_next(now) {
            self.events.insert((end.at, ReplayEvent::Finish(server, end)));
        }
    }

    fn set_speed(&mut self, index: usize, now: Instant) {
        let change = self.changes[index];
        for end in self.servers[change.server].set_slowdown(change.slowdown, now) {
            self.events.insert((end.at, ReplayEvent::Finish(change.server, end)));
        }
    }

    fn grant_request(&self, id: usize, kind: AttemptKind, tried: Vec<VmId>) -> GrantRequest {
        let job = &self.jobs[id];
        let number = if kind == AttemptKind::Primary { 1 } else { 2 };
        let vm = VmId::new("entry-0").expect("a valid name");
        GrantRequest {
            id: attempt_id(id, number),
            entry: EntryIncarnation { vm, incarnation: ProcessIncarnation(1) },
            zone: zone_name(job.zone),
            customer: CustomerId::new(format!("customer-{}", job.customer)).expect("a valid name"),
            share: ShareWeight(1),
            priority: RequestPriority(1),
            class: job.class,
            size: RequestSize(1),
            queue_limit: QUEUE_LIMIT,
            deadline: self.start + job.arrival + job.timeout,
            kind,
            may_retry: job.may_retry,
            tried,
        }
    }

    fn record_outcome(&mut self, id: usize, end: JobEnd, now: Instant) {
        let arrived = self.start + self.jobs[id].arrival;
        let elapsed = now.saturating_duration_since(arrived);
        let earlier = self.outcomes.insert(id, JobOutcome { end, elapsed });
        assert!(earlier.is_none(), "request {id} ended twice: {earlier:?}, then {end:?}");
    }
}

fn attempt_id(id: usize, number: u32) -> AttemptId {
    AttemptId { request: RequestId(id as u128), attempt: number }
}

fn server_vm(server: usize) -> VmId {
    VmId::new(format!("backend-{server}")).expect("a valid name")
}

fn server_index(vm: &VmId) -> usize {
    let digits = vm.as_str().trim_start_matches("backend-");
    digits.parse().expect("the name ends with the server's number")
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{zone}")).expect("a valid name")
}
