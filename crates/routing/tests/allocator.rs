//! Grants at the owner: every request ends once, and every credit is returned or reclaimed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use admission::{AdmissionPolicy, RequestSize};
use base::{ids::AttemptId, prelude::*};
use lists::{RequestPriority, WorkClass};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{
    AttemptKind, CreditEnd, EntryIncarnation, GrantAction, GrantAllocator, GrantChecks, GrantEvent,
    GrantRequest, ReplicaInfo,
};

const SLOTS: u32 = 3;

fn entry(index: u64) -> EntryIncarnation {
    let vm = VmId::new(format!("entry-{index}")).unwrap();
    EntryIncarnation { vm, incarnation: ProcessIncarnation(1) }
}

fn vm(index: u64) -> VmId {
    VmId::new(format!("backend-{index}")).unwrap()
}

fn replica(index: u64, incarnation: u64) -> ReplicaInfo {
    let zone = ZoneName::new("a").unwrap();
    let incarnation = ProcessIncarnation(incarnation);
    ReplicaInfo { vm: vm(index), incarnation, zone, slots: SLOTS }
}

fn grant_request(id: u128, entry_index: u64, now: Instant) -> GrantRequest {
    GrantRequest {
        id: AttemptId { request: RequestId(id), attempt: 1 },
        entry: entry(entry_index),
        zone: ZoneName::new("a").unwrap(),
        customer: CustomerId::new("ada").unwrap(),
        share: ShareWeight(1),
        priority: RequestPriority(1),
        class: WorkClass::Short,
        size: RequestSize(10),
        queue_limit: 100,
        deadline: now + Duration::from_secs(3),
        kind: AttemptKind::Primary,
        may_retry: true,
        tried: Vec::new(),
    }
}

fn allocator(checks: GrantChecks, replicas: u64, now: Instant) -> GrantAllocator {
    let mut allocator = GrantAllocator::with_checks(AdmissionPolicy::default(), 3, checks);
    for index in 0..replicas {
        allocator.handle(GrantEvent::ReplicaReady(replica(index, 1)), now);
    }
    allocator
}

/// Checks the actions of an allocator against the events that it was given.
#[derive(Default)]
struct GrantChecker {
    ends: HashMap<AttemptId, usize>,
    open: BTreeMap<AttemptId, (VmId, u64)>,
    incarnations: BTreeMap<VmId, u64>,
    draining: BTreeSet<VmId>,
}

impl GrantChecker {
    fn check(&mut self, actions: &[GrantAction]) {
        for action in actions {
            let (GrantAction::Grant { id, .. } | GrantAction::Refuse { id, .. }) = action;
            *self.ends.entry(*id).or_default() += 1;
            match action {
                GrantAction::Grant { choice, .. } => {
                    let incarnation = choice.incarnation.0;
                    assert_eq!(
                        self.incarnations.get(&choice.vm),
                        Some(&incarnation),
                        "granted on a removed replica or an old incarnation"
                    );
                    assert!(!self.draining.contains(&choice.vm), "granted on a draining replica");
                    self.open.insert(*id, (choice.vm.clone(), incarnation));
                    let held = self.open.values().filter(|(vm, _)| *vm == choice.vm).count();
                    assert!(held <= SLOTS as usize, "more credits than slots");
                }
                GrantAction::Refuse { code, .. } => {
                    assert_eq!(code.run_state(), RunState::NotRun);
                }
            }
        }
    }
}

fn random_event(
    rng: &mut ChaCha8Rng,
    checker: &mut GrantChecker,
    request_count: &mut u128,
    now: Instant,
) -> GrantEvent {
    let index = rng.random_range(0..4);
    match rng.random_range(0..100) {
        0..45 => {
            *request_count += 1;
            GrantEvent::Request(grant_request(*request_count, rng.random_range(0..3), now))
        }
        45..85 => {
            let open: Vec<AttemptId> = checker.open.keys().copied().collect();
            if open.is_empty() {
                return GrantEvent::Tick;
            }
            let id = open[rng.random_range(0..open.len())];
            checker.open.remove(&id);
            let end = match rng.random_range(0..4) {
                0 => CreditEnd::Failed,
                1 => CreditEnd::Unused,
                _ => CreditEnd::Served(Duration::from_millis(rng.random_range(20..200))),
            };
            GrantEvent::CreditReturned { id, end }
        }
        85..90 => {
            let incarnation = checker.incarnations.get(&vm(index)).copied().unwrap_or(1) + 1;
            checker.incarnations.insert(vm(index), incarnation);
            checker.draining.remove(&vm(index));
            checker.open.retain(|_, (held, _)| *held != vm(index));
            GrantEvent::ReplicaReady(replica(index, incarnation))
        }
        90..92 => {
            checker.incarnations.remove(&vm(index));
            checker.draining.remove(&vm(index));
            checker.open.retain(|_, (held, _)| *held != vm(index));
            GrantEvent::ReplicaRemoved(vm(index))
        }
        92..94 => {
            checker.draining.insert(vm(index));
            GrantEvent::ReplicaDraining(vm(index))
        }
        94..96 => GrantEvent::LoadReport { vm: vm(index), running: rng.random_range(0..9) },
        _ => GrantEvent::Tick,
    }
}

#[test]
fn requests_end_once_and_credits_are_returned() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut allocator = GrantAllocator::new(AdmissionPolicy::default(), seed);
        let (mut checker, mut request_count) = (GrantChecker::default(), 0);

        for _ in 0..600 {
            now += Duration::from_millis(rng.random_range(0..40));
            let event = random_event(&mut rng, &mut checker, &mut request_count, now);
            let actions = allocator.handle(event, now);
            checker.check(&actions);
        }
        let actions = allocator.handle(GrantEvent::Tick, now + Duration::from_secs(60));
        checker.check(&actions);

        assert_eq!(checker.ends.len(), request_count as usize, "seed {seed}");
        assert!(checker.ends.values().all(|ends| *ends == 1), "seed {seed}");
        assert_eq!(allocator.counts(), Default::default(), "seed {seed}");
    }
}

#[test]
fn credits_of_a_lost_entry_are_reclaimed() {
    let now = Instant::now();
    let granted_after_loss = |checks| {
        let mut allocator = allocator(checks, 1, now);
        for id in 0..3 {
            allocator.handle(GrantEvent::Request(grant_request(id, 0, now)), now);
        }
        allocator.handle(GrantEvent::EntryLost(entry(0)), now);
        allocator.handle(GrantEvent::Request(grant_request(9, 1, now)), now).len()
    };

    assert_eq!(granted_after_loss(GrantChecks::default()), 1);
    assert_eq!(
        granted_after_loss(GrantChecks { reclaim_lost_entries: false, ..GrantChecks::default() }),
        0
    );
}

#[test]
fn overdue_credits_are_reclaimed() {
    let now = Instant::now();
    let running_after = |checks, seconds| {
        let mut allocator = allocator(checks, 1, now);
        let longer =
            GrantRequest { deadline: now + Duration::from_secs(9), ..grant_request(2, 0, now) };
        allocator.handle(GrantEvent::Request(grant_request(1, 0, now)), now);
        allocator.handle(GrantEvent::Request(longer), now);
        allocator.handle(GrantEvent::Tick, now + Duration::from_secs(seconds));
        allocator.counts().short_running
    };

    assert_eq!(running_after(GrantChecks::default(), 3), 2);
    assert_eq!(running_after(GrantChecks::default(), 6), 1);
    assert_eq!(
        running_after(GrantChecks { reclaim_at_deadline: false, ..GrantChecks::default() }, 6),
        2
    );
}

#[test]
fn duplicate_request_gets_the_same_grant() {
    let now = Instant::now();
    let mut allocator = allocator(GrantChecks::default(), 2, now);

    let first = allocator.handle(GrantEvent::Request(grant_request(1, 0, now)), now);
    let again = allocator.handle(GrantEvent::Request(grant_request(1, 0, now)), now);

    assert_eq!(first, again);
    assert_eq!(allocator.counts().short_running, 1);
}

#[test]
fn withdrawal_after_the_grant_frees_the_slot() {
    let now = Instant::now();
    let mut allocator = allocator(GrantChecks::default(), 1, now);
    let id = grant_request(1, 0, now).id;
    allocator.handle(GrantEvent::Request(grant_request(1, 0, now)), now);

    allocator.handle(GrantEvent::Withdraw(id), now);
    allocator.handle(GrantEvent::CreditReturned { id, end: CreditEnd::Unused }, now);

    assert_eq!(allocator.counts().short_running, 0);
}

#[test]
fn hedges_stay_within_the_budget() {
    let now = Instant::now();
    let hedges = |checks| {
        let mut allocator = allocator(checks, 4, now);
        let mut granted = 0;
        for number in 0..1000 {
            let first = grant_request(number, 0, now);
            let id = AttemptId { attempt: 2, ..first.id };
            let hedge = GrantRequest { id, kind: AttemptKind::Hedge, ..first.clone() };
            allocator.handle(GrantEvent::Request(first.clone()), now);
            let actions = allocator.handle(GrantEvent::Request(hedge), now);
            granted += usize::from(matches!(actions[0], GrantAction::Grant { .. }));
            for id in [first.id, id] {
                allocator.handle(GrantEvent::CreditReturned { id, end: CreditEnd::Unused }, now);
            }
        }
        granted
    };

    assert!((1..50).contains(&hedges(GrantChecks::default())));
    assert_eq!(hedges(GrantChecks { limit_hedges: false, ..GrantChecks::default() }), 1000);
}

#[test]
fn hedge_is_refused_while_requests_wait() {
    let now = Instant::now();
    let mut allocator = allocator(GrantChecks::default(), 1, now);
    for id in 0..5 {
        allocator.handle(GrantEvent::Request(grant_request(id, 0, now)), now);
    }
    let hedge = GrantRequest { kind: AttemptKind::Hedge, ..grant_request(9, 0, now) };

    let actions = allocator.handle(GrantEvent::Request(hedge.clone()), now);

    let code = ResultCode::NoReplica;
    assert_eq!(actions, [GrantAction::Refuse { id: hedge.id, code }]);
}
