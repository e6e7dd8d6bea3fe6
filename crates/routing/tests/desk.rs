//! Ask and grant at the owner: every ask ends once, every credit comes back.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use admission::{AdmissionPolicy, RequestSize};
use base::{ids::AttemptId, prelude::*};
use lists::{RequestPriority, WorkClass};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{
    AttemptKind, CreditEnd, DeskAction, DeskAsk, DeskEvent, DeskGuards, EntryLife, GrantDesk,
    ReplicaInfo,
};

const SLOTS: u32 = 3;

fn entry(index: u64) -> EntryLife {
    let vm = VmId::new(format!("entry-{index}")).unwrap();
    EntryLife { vm, incarnation: ProcessIncarnation(1) }
}

fn vm(index: u64) -> VmId {
    VmId::new(format!("backend-{index}")).unwrap()
}

fn replica(index: u64, incarnation: u64) -> ReplicaInfo {
    let zone = ZoneName::new("a").unwrap();
    let incarnation = ProcessIncarnation(incarnation);
    ReplicaInfo { vm: vm(index), incarnation, zone, slots: SLOTS }
}

fn ask(id: u128, from: u64, now: Instant) -> DeskAsk {
    DeskAsk {
        id: AttemptId { request: RequestId(id), attempt: 1 },
        entry: entry(from),
        zone: ZoneName::new("a").unwrap(),
        customer: CustomerId::new("ada").unwrap(),
        share: ShareWeight(1),
        priority: RequestPriority(1),
        class: WorkClass::Short,
        size: RequestSize(10),
        queue_limit: 100,
        deadline: now + Duration::from_secs(3),
        kind: AttemptKind::Sole,
        may_repeat: true,
        tried: Vec::new(),
    }
}

fn desk(guards: DeskGuards, replicas: u64, now: Instant) -> GrantDesk {
    let mut desk = GrantDesk::with_guards(AdmissionPolicy::default(), 3, guards);
    for index in 0..replicas {
        desk.handle(DeskEvent::ReplicaReady(replica(index, 1)), now);
    }
    desk
}

/// What a history has seen at the edges of a desk.
#[derive(Default)]
struct DeskWitness {
    ends: HashMap<AttemptId, usize>,
    open: BTreeMap<AttemptId, (VmId, u64)>,
    lives: BTreeMap<VmId, u64>,
    leaving: BTreeSet<VmId>,
}

impl DeskWitness {
    fn check(&mut self, actions: &[DeskAction]) {
        for action in actions {
            let (DeskAction::Grant { id, .. } | DeskAction::Refuse { id, .. }) = action;
            *self.ends.entry(*id).or_default() += 1;
            match action {
                DeskAction::Grant { choice, .. } => {
                    let life = choice.incarnation.0;
                    assert_eq!(self.lives.get(&choice.vm), Some(&life), "a replica that is gone");
                    assert!(!self.leaving.contains(&choice.vm), "a leaving replica");
                    self.open.insert(*id, (choice.vm.clone(), life));
                    let held = self.open.values().filter(|(vm, _)| *vm == choice.vm).count();
                    assert!(held <= SLOTS as usize, "more credits than slots");
                }
                DeskAction::Refuse { code, .. } => {
                    assert_eq!(code.run_state(), RunState::NotRun);
                }
            }
        }
    }
}

fn random_event(
    rng: &mut ChaCha8Rng,
    witness: &mut DeskWitness,
    next: &mut u128,
    now: Instant,
) -> DeskEvent {
    let index = rng.random_range(0..4);
    match rng.random_range(0..100) {
        0..45 => {
            *next += 1;
            DeskEvent::Ask(ask(*next, rng.random_range(0..3), now))
        }
        45..85 => {
            let open: Vec<AttemptId> = witness.open.keys().copied().collect();
            if open.is_empty() {
                return DeskEvent::Tick;
            }
            let id = open[rng.random_range(0..open.len())];
            witness.open.remove(&id);
            let end = match rng.random_range(0..4) {
                0 => CreditEnd::Failed,
                1 => CreditEnd::Unused,
                _ => CreditEnd::Served(Duration::from_millis(rng.random_range(20..200))),
            };
            DeskEvent::Return { id, end }
        }
        85..90 => {
            let life = witness.lives.get(&vm(index)).copied().unwrap_or(1) + 1;
            witness.lives.insert(vm(index), life);
            witness.leaving.remove(&vm(index));
            witness.open.retain(|_, (held, _)| *held != vm(index));
            DeskEvent::ReplicaReady(replica(index, life))
        }
        90..92 => {
            witness.lives.remove(&vm(index));
            witness.leaving.remove(&vm(index));
            witness.open.retain(|_, (held, _)| *held != vm(index));
            DeskEvent::ReplicaGone(vm(index))
        }
        92..94 => {
            witness.leaving.insert(vm(index));
            DeskEvent::ReplicaLeaving(vm(index))
        }
        94..96 => DeskEvent::LoadReport { vm: vm(index), running: rng.random_range(0..9) },
        _ => DeskEvent::Tick,
    }
}

#[test]
fn every_ask_ends_once_and_every_credit_comes_back() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut desk = GrantDesk::new(AdmissionPolicy::default(), seed);
        let (mut witness, mut next) = (DeskWitness::default(), 0);

        for _ in 0..600 {
            now += Duration::from_millis(rng.random_range(0..40));
            let event = random_event(&mut rng, &mut witness, &mut next, now);
            let actions = desk.handle(event, now);
            witness.check(&actions);
        }
        let actions = desk.handle(DeskEvent::Tick, now + Duration::from_secs(60));
        witness.check(&actions);

        assert_eq!(witness.ends.len(), next as usize, "seed {seed}");
        assert!(witness.ends.values().all(|ends| *ends == 1), "seed {seed}");
        assert_eq!(desk.counts(), Default::default(), "seed {seed}");
    }
}

#[test]
fn credits_lost_with_an_entry_are_taken_back() {
    let now = Instant::now();
    let stranded = |guards| {
        let mut desk = desk(guards, 1, now);
        for id in 0..3 {
            desk.handle(DeskEvent::Ask(ask(id, 0, now)), now);
        }
        desk.handle(DeskEvent::EntryLost(entry(0)), now);
        desk.handle(DeskEvent::Ask(ask(9, 1, now)), now).len()
    };

    assert_eq!(stranded(DeskGuards::default()), 1);
    assert_eq!(stranded(DeskGuards { lost_entries: false, ..DeskGuards::default() }), 0);
}

#[test]
fn a_credit_that_never_returns_is_taken_back_after_its_deadline() {
    let now = Instant::now();
    let running = |guards, after| {
        let mut desk = desk(guards, 1, now);
        let longer = DeskAsk { deadline: now + Duration::from_secs(9), ..ask(2, 0, now) };
        desk.handle(DeskEvent::Ask(ask(1, 0, now)), now);
        desk.handle(DeskEvent::Ask(longer), now);
        desk.handle(DeskEvent::Tick, now + Duration::from_secs(after));
        desk.counts().short_running
    };

    assert_eq!(running(DeskGuards::default(), 3), 2);
    assert_eq!(running(DeskGuards::default(), 6), 1);
    assert_eq!(running(DeskGuards { deadlines: false, ..DeskGuards::default() }, 6), 2);
}

#[test]
fn a_repeated_ask_gets_the_same_grant() {
    let now = Instant::now();
    let mut desk = desk(DeskGuards::default(), 2, now);

    let first = desk.handle(DeskEvent::Ask(ask(1, 0, now)), now);
    let again = desk.handle(DeskEvent::Ask(ask(1, 0, now)), now);

    assert_eq!(first, again);
    assert_eq!(desk.counts().short_running, 1);
}

#[test]
fn a_withdrawal_that_crosses_its_grant_frees_the_slot() {
    let now = Instant::now();
    let mut desk = desk(DeskGuards::default(), 1, now);
    let id = ask(1, 0, now).id;
    desk.handle(DeskEvent::Ask(ask(1, 0, now)), now);

    desk.handle(DeskEvent::Withdraw(id), now);
    desk.handle(DeskEvent::Return { id, end: CreditEnd::Unused }, now);

    assert_eq!(desk.counts().short_running, 0);
}

#[test]
fn hedges_stay_within_their_budget() {
    let now = Instant::now();
    let hedges = |guards| {
        let mut desk = desk(guards, 4, now);
        let mut granted = 0;
        for number in 0..1000 {
            let first = ask(number, 0, now);
            let id = AttemptId { attempt: 2, ..first.id };
            let hedge = DeskAsk { id, kind: AttemptKind::Hedge, ..first.clone() };
            desk.handle(DeskEvent::Ask(first.clone()), now);
            let actions = desk.handle(DeskEvent::Ask(hedge), now);
            granted += usize::from(matches!(actions[0], DeskAction::Grant { .. }));
            for id in [first.id, id] {
                desk.handle(DeskEvent::Return { id, end: CreditEnd::Unused }, now);
            }
        }
        granted
    };

    assert!((1..50).contains(&hedges(DeskGuards::default())));
    assert_eq!(hedges(DeskGuards { hedge_budget: false, ..DeskGuards::default() }), 1000);
}

#[test]
fn a_hedge_does_not_take_a_slot_that_others_wait_for() {
    let now = Instant::now();
    let mut desk = desk(DeskGuards::default(), 1, now);
    for id in 0..5 {
        desk.handle(DeskEvent::Ask(ask(id, 0, now)), now);
    }
    let hedge = DeskAsk { kind: AttemptKind::Hedge, ..ask(9, 0, now) };

    let actions = desk.handle(DeskEvent::Ask(hedge.clone()), now);

    let code = ResultCode::NoReplica;
    assert_eq!(actions, [DeskAction::Refuse { id: hedge.id, code }]);
}
