//! Runs a history through a router.

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
    server::{ExpectedEnd, ServerModel},
    summary::{JobEnd, JobOutcome, ReplaySummary},
};

/// Time between two asks for a hedge of the same request.
const HEDGE_PAUSE: Duration = Duration::from_millis(50);

/// Requests of one customer that may wait.
const QUEUE_LIMIT: u32 = 256;

/// What decides.
pub enum ReplayRouter {
    /// The owner's desk.
    Desk(Box<GrantAllocator>),
    /// The naive router.
    Naive(Box<NaiveRouter>),
}

impl ReplayRouter {
    /// A desk over the servers of `fleet`.
    pub fn desk(policy: AdmissionPolicy, fleet: &ReplayFleet, seed: u64) -> Self {
        let mut desk = GrantAllocator::new(policy, seed);
        let now = Instant::now();
        for server in 0..fleet.servers {
            let info = ReplicaInfo {
                vm: server_vm(server),
                incarnation: ProcessIncarnation(1),
                zone: zone_name(server % fleet.zones),
                slots: fleet.slots,
            };
            desk.handle(GrantEvent::ReplicaReady(info), now);
        }
        ReplayRouter::Desk(Box::new(desk))
    }

    /// The naive router over the servers of `fleet`.
    pub fn naive(fleet: &ReplayFleet, seed: u64) -> Self {
        ReplayRouter::Naive(Box::new(NaiveRouter::new(fleet.servers, seed)))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayStep {
    SetSpeed(usize),
    Finish(usize, ExpectedEnd),
    Arrive(usize),
    Hedge(usize),
    Deadline(usize),
    Report,
}

#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    server: usize,
    started: Instant,
}

struct Replay<'a> {
    jobs: &'a [Job],
    changes: &'a [SpeedChange],
    start: Instant,
    steps: BTreeSet<(Instant, ReplayStep)>,
    servers: Vec<ServerModel>,
    attempts: BTreeMap<AttemptId, OpenAttempt>,
    outcomes: BTreeMap<usize, JobOutcome>,
    hedges: usize,
}

/// Runs `jobs` through `router` until each has ended.
pub fn replay(
    mut router: ReplayRouter,
    fleet: &ReplayFleet,
    jobs: &[Job],
    changes: &[SpeedChange],
) -> ReplaySummary {
    let start = Instant::now() + Duration::from_secs(1);
    let arrivals = jobs.iter().enumerate().map(|(id, job)| (job.at, ReplayStep::Arrive(id)));
    let speeds = changes.iter().enumerate().map(|(i, c)| (c.at, ReplayStep::SetSpeed(i)));
    let steps = arrivals.chain(speeds).map(|(at, step)| (start + at, step));
    let mut replay = Replay {
        jobs,
        changes,
        start,
        steps: steps.chain([(start, ReplayStep::Report)]).collect(),
        servers: (0..fleet.servers).map(|_| ServerModel::new(fleet.slots)).collect(),
        attempts: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        hedges: 0,
    };
    while replay.outcomes.len() < jobs.len() {
        replay.step(&mut router);
    }
    ReplaySummary { outcomes: replay.outcomes.into_values().collect(), hedges: replay.hedges }
}

impl Replay<'_> {
    fn step(&mut self, router: &mut ReplayRouter) {
        let next = self.steps.first().copied();
        if let ReplayRouter::Desk(desk) = router
            && let Some(due) = desk.next_tick().filter(|due| next.is_none_or(|(at, _)| *due < at))
        {
            let actions = desk.handle(GrantEvent::Tick, due);
            return self.apply(actions, due);
        }
        let Some((now, step)) = self.steps.pop_first() else { return };
        match (step, router) {
            (ReplayStep::SetSpeed(index), _) => self.set_speed(index, now),
            (ReplayStep::Report, ReplayRouter::Naive(naive)) => {
                naive.report(self.servers.iter().map(ServerModel::load).collect(), now);
                self.steps.insert((now + REPORT_INTERVAL, ReplayStep::Report));
            }
            (ReplayStep::Arrive(id), router) => self.arrive(id, router, now),
            (ReplayStep::Finish(server, end), router) => self.finish(server, end, router, now),
            (ReplayStep::Hedge(id), ReplayRouter::Desk(desk)) => self.hedge(id, desk, now),
            (ReplayStep::Deadline(id), router) => self.pass_deadline(id, router, now),
            (ReplayStep::Report, _) | (ReplayStep::Hedge(_), _) => {}
        }
    }

    fn arrive(&mut self, id: usize, router: &mut ReplayRouter, now: Instant) {
        let job = &self.jobs[id];
        self.steps.insert((now + job.budget, ReplayStep::Deadline(id)));
        match router {
            ReplayRouter::Desk(desk) => {
                let ask = self.ask(id, AttemptKind::Primary, Vec::new());
                let actions = desk.handle(GrantEvent::Request(ask), now);
                self.apply(actions, now);
            }
            ReplayRouter::Naive(naive) => {
                let server = naive.choose(now);
                self.run(attempt(id, 1), server, now);
            }
        }
    }

    fn apply(&mut self, actions: Vec<GrantAction>, now: Instant) {
        for action in actions {
            match action {
                GrantAction::Grant { id, choice, hedge_after } => {
                    let server = server_index(&choice.vm);
                    self.run(id, server, now);
                    self.hedges += usize::from(id.attempt > 1);
                    if let Some(after) = hedge_after {
                        let step = ReplayStep::Hedge(id.request.0 as usize);
                        self.steps.insert((now + after, step));
                    }
                }
                GrantAction::Refuse { id, code } if id.attempt == 1 => {
                    self.end(id.request.0 as usize, JobEnd::Refused(code), now);
                }
                GrantAction::Refuse { id, .. } => {
                    let step = ReplayStep::Hedge(id.request.0 as usize);
                    self.steps.insert((now + HEDGE_PAUSE, step));
                }
            }
        }
    }

    fn run(&mut self, id: AttemptId, server: usize, now: Instant) {
        let service = self.jobs[id.request.0 as usize].service;
        self.attempts.insert(id, OpenAttempt { server, started: now });
        if let Some(end) = self.servers[server].start(id, service, now) {
            self.steps.insert((end.at, ReplayStep::Finish(server, end)));
        }
    }

    fn finish(&mut self, server: usize, end: ExpectedEnd, router: &mut ReplayRouter, now: Instant) {
        if !self.servers[server].finish(end) {
            return;
        }
        self.refill(server, now);
        let Some(open) = self.attempts.remove(&end.id) else { return };
        let id = end.id.request.0 as usize;
        if !self.outcomes.contains_key(&id) {
            self.end(id, JobEnd::Answered, now);
        }
        if let ReplayRouter::Desk(desk) = router {
            let served = CreditEnd::Served(now.saturating_duration_since(open.started));
            let actions = desk.handle(GrantEvent::CreditReturned { id: end.id, end: served }, now);
            self.apply(actions, now);
            self.withdraw(id, desk, now);
        }
    }

    /// Asks for a hedge of a request that is still open.
    fn hedge(&mut self, id: usize, desk: &mut GrantAllocator, now: Instant) {
        let first = self.attempts.get(&attempt(id, 1)).copied();
        let Some(first) = first.filter(|_| !self.attempts.contains_key(&attempt(id, 2))) else {
            return;
        };
        let ask = self.ask(id, AttemptKind::Hedge, vec![server_vm(first.server)]);
        let actions = desk.handle(GrantEvent::Request(ask), now);
        self.apply(actions, now);
    }

    fn pass_deadline(&mut self, id: usize, router: &mut ReplayRouter, now: Instant) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.end(id, JobEnd::TimedOut, now);
        if let ReplayRouter::Desk(desk) = router {
            self.withdraw(id, desk, now);
        }
    }

    /// Withdraws the attempts of an ended request that still run.
    fn withdraw(&mut self, id: usize, desk: &mut GrantAllocator, now: Instant) {
        for id in [attempt(id, 1), attempt(id, 2)] {
            let Some(open) = self.attempts.remove(&id) else { continue };
            self.servers[open.server].cancel(id);
            let end = CreditEnd::Withdrawn(now.saturating_duration_since(open.started));
            let actions = desk.handle(GrantEvent::CreditReturned { id, end }, now);
            self.apply(actions, now);
        }
    }

    fn refill(&mut self, server: usize, now: Instant) {
        if let Some(end) = self.servers[server].fill(now) {
            self.steps.insert((end.at, ReplayStep::Finish(server, end)));
        }
    }

    fn set_speed(&mut self, index: usize, now: Instant) {
        let change = self.changes[index];
        for end in self.servers[change.server].set_factor(change.factor, now) {
            self.steps.insert((end.at, ReplayStep::Finish(change.server, end)));
        }
    }

    fn ask(&self, id: usize, kind: AttemptKind, tried: Vec<VmId>) -> GrantRequest {
        let job = &self.jobs[id];
        let number = if kind == AttemptKind::Primary { 1 } else { 2 };
        let vm = VmId::new("entry-0").expect("a valid name");
        GrantRequest {
            id: attempt(id, number),
            entry: EntryIncarnation { vm, incarnation: ProcessIncarnation(1) },
            zone: zone_name(job.zone),
            customer: CustomerId::new(format!("customer-{}", job.customer)).expect("a valid name"),
            share: ShareWeight(1),
            priority: RequestPriority(1),
            class: job.class,
            size: RequestSize(1),
            queue_limit: QUEUE_LIMIT,
            deadline: self.start + job.at + job.budget,
            kind,
            may_repeat: job.may_repeat,
            tried,
        }
    }

    fn end(&mut self, id: usize, end: JobEnd, now: Instant) {
        let arrived = self.start + self.jobs[id].at;
        let after = now.saturating_duration_since(arrived);
        let former = self.outcomes.insert(id, JobOutcome { end, after });
        assert!(former.is_none(), "request {id} ended twice: {former:?}, then {end:?}");
    }
}

fn attempt(id: usize, number: u32) -> AttemptId {
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
