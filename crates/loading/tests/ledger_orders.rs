//! Single orders: eviction, the adapters' limit, backoff, drain, release and engine death.

mod common;

use base::prelude::*;
use common::{adapter_target, base_target, size_of};
use loading::*;

const HOLDER: ProcessIncarnation = ProcessIncarnation(7);

struct LedgerFixture {
    ledger: MemoryLedger,
    now: Instant,
    orders: u64,
}

fn fixture(check: FenceCheck) -> LedgerFixture {
    let ledger = common::ledger(check, SafetyChecks::default(), HOLDER);
    let mut fixture = LedgerFixture { ledger, now: Instant::now(), orders: 0 };
    fixture.step(LedgerEvent::Inherited(Vec::new()));
    fixture.list(1, &[]);
    fixture
}

impl LedgerFixture {
    fn step(&mut self, event: LedgerEvent) -> Vec<LedgerAction> {
        self.ledger.step(event, self.now)
    }

    fn list(&mut self, number: u64, targets: &[LoadTarget]) -> Vec<LedgerAction> {
        let listed =
            |target: &LoadTarget| ListedTarget { target: target.clone(), size: size_of(target) };
        let targets = targets.iter().map(listed).collect();
        let listing = EngineListing {
            number: ListingNumber(number),
            incarnation: EngineIncarnation(1),
            targets,
        };
        self.step(LedgerEvent::Listed(listing))
    }

    fn load(&mut self, target: LoadTarget, fence: u64, worth: u64) -> Vec<LedgerAction> {
        self.orders += 1;
        let order = LoadOrder {
            id: OrderId(self.orders),
            size: size_of(&target),
            target,
            holder: HOLDER,
            fence: FencingNumber(fence),
            worth: KeepWorth(worth),
        };
        self.step(LedgerEvent::Load(order))
    }

    fn unload(
        &mut self,
        target: LoadTarget,
        fence: u64,
        purpose: UnloadPurpose,
    ) -> Vec<LedgerAction> {
        self.orders += 1;
        let (id, fence) = (OrderId(self.orders), FencingNumber(fence));
        self.step(LedgerEvent::Unload(UnloadOrder { id, target, holder: HOLDER, fence, purpose }))
    }

    /// Orders a load that the engine performs at once.
    fn have(&mut self, target: LoadTarget, worth: u64) {
        let actions = self.load(target, 1, worth);
        let [LedgerAction::LoadAtEngine { call: attempt, .. }] = actions[..] else {
            panic!("{actions:?}")
        };
        self.step(LedgerEvent::Answered(attempt, EngineAnswer::Done));
    }

    fn pass(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }
}

fn call_of(actions: &[LedgerAction]) -> EngineCallId {
    let attempt = |action: &LedgerAction| match action {
        LedgerAction::LoadAtEngine { call: attempt, .. }
        | LedgerAction::UnloadAtEngine { call: attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().find_map(attempt).expect("a call to the engine")
}

fn calls_of(actions: &[LedgerAction]) -> Vec<EngineCallId> {
    let attempt = |action: &LedgerAction| match action {
        LedgerAction::LoadAtEngine { call: attempt, .. }
        | LedgerAction::UnloadAtEngine { call: attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

fn denial(actions: &[LedgerAction]) -> Option<DenyReason> {
    actions.iter().find_map(|action| match action {
        LedgerAction::Deny(_, reason) => Some(*reason),
        _ => None,
    })
}

fn loads(actions: &[LedgerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LedgerAction::LoadAtEngine { .. })).count()
}

#[tokio::test(start_paused = true)]
async fn the_least_worth_idle_model_is_evicted_and_awaited() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 5);
    fixture.have(base_target(2), 1);

    let evicted = fixture.load(base_target(3), 1, 9);
    let after_answer = fixture.step(LedgerEvent::Answered(call_of(&evicted), EngineAnswer::Done));
    let after_listing = fixture.list(2, &[base_target(1)]);

    assert!(
        matches!(&evicted[..], [LedgerAction::UnloadAtEngine { target, .. }] if *target == base_target(2))
    );
    assert_eq!(loads(&after_answer), 0);
    assert_eq!(loads(&after_listing), 1);
}

#[tokio::test(start_paused = true)]
async fn a_busy_model_is_not_evicted() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 1);
    fixture.have(base_target(2), 1);
    fixture.step(LedgerEvent::RequestStarted(base_target(1)));
    fixture.step(LedgerEvent::RequestStarted(base_target(2)));

    let actions = fixture.load(base_target(3), 1, 9);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn a_model_of_more_worth_is_not_evicted() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 5);
    fixture.have(base_target(2), 5);

    let actions = fixture.load(base_target(3), 1, 4);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn at_most_32_adapters_are_in_flight() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 1);

    let sent: Vec<_> = (0..40).flat_map(|n| fixture.load(adapter_target(1, n), 1, 1)).collect();
    let next = fixture.step(LedgerEvent::Answered(call_of(&sent), EngineAnswer::Done));

    assert_eq!(loads(&sent), 32);
    assert_eq!(loads(&next), 1);
}

#[tokio::test(start_paused = true)]
async fn failed_loads_back_off_within_a_bound() {
    let mut fixture = fixture(FenceCheck::Ignored);
    for listing in 2..14 {
        fixture.pass(60);
        let actions = fixture.load(base_target(1), 1, 1);
        fixture.step(LedgerEvent::Answered(call_of(&actions), EngineAnswer::Failed));
        fixture.list(listing, &[]);
    }

    fixture.pass(59);
    let early = fixture.load(base_target(1), 1, 1);
    fixture.pass(1);
    let late = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&early), Some(DenyReason::BackingOff));
    assert_eq!(loads(&late), 1);
}

#[tokio::test(start_paused = true)]
async fn a_draining_server_loads_nothing_new() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 1);

    fixture.step(LedgerEvent::Drain);
    let actions = fixture.load(base_target(2), 1, 1);

    assert_eq!(denial(&actions), Some(DenyReason::Draining));
    assert!(!fixture.ledger.can_serve(&base_target(1)));
}

#[tokio::test(start_paused = true)]
async fn a_release_waits_for_requests_and_bars_older_orders() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.have(base_target(1), 1);
    fixture.step(LedgerEvent::RequestStarted(base_target(1)));

    let waiting = fixture.unload(base_target(1), 2, UnloadPurpose::Release);
    let unload = fixture.step(LedgerEvent::RequestEnded(base_target(1)));
    fixture.step(LedgerEvent::Answered(call_of(&unload), EngineAnswer::Done));
    let confirmed = fixture.list(2, &[]);
    let late = fixture.load(base_target(1), 1, 1);

    assert_eq!(waiting, Vec::new());
    assert_eq!(confirmed, [LedgerAction::Confirm(OrderId(2), OrderOutcome::Unloaded)]);
    assert_eq!(denial(&late), Some(DenyReason::StaleFence));
}

#[tokio::test(start_paused = true)]
async fn a_load_of_unknown_fate_keeps_the_slot_where_fencing_is_ignored() {
    let mut fixture = fixture(FenceCheck::Ignored);
    let load = fixture.load(base_target(1), 1, 1);
    fixture.step(LedgerEvent::Answered(call_of(&load), EngineAnswer::Lost));
    fixture.list(2, &[]);

    let release = fixture.unload(base_target(1), 2, UnloadPurpose::Release);

    assert_eq!(denial(&release), Some(DenyReason::LoadUncertain));
    assert_eq!(fixture.ledger.reserved(), size_of(&base_target(1)));
}

#[tokio::test(start_paused = true)]
async fn a_higher_fencing_number_settles_a_load_where_it_is_enforced() {
    let mut fixture = fixture(FenceCheck::Enforced);
    let load = fixture.load(base_target(1), 1, 1);
    fixture.step(LedgerEvent::Answered(call_of(&load), EngineAnswer::Lost));
    fixture.list(2, &[]);

    let barred = fixture.unload(base_target(1), 2, UnloadPurpose::Release);
    fixture.step(LedgerEvent::Answered(call_of(&barred), EngineAnswer::Done));
    let confirmed = fixture.list(3, &[]);

    assert_eq!(confirmed, [LedgerAction::Confirm(OrderId(2), OrderOutcome::Unloaded)]);
    assert_eq!(fixture.ledger.reserved(), ByteSize::default());
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_dies_in_the_middle_of_a_load_is_listed_before_the_next() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load(base_target(1), 1, 1);

    let death = fixture.step(LedgerEvent::EngineDied);
    let early = fixture.load(base_target(1), 1, 1);
    fixture.list(2, &[]);
    let late = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&death), Some(DenyReason::EngineDied));
    assert_eq!(denial(&early), Some(DenyReason::NotReady));
    assert_eq!(loads(&late), 1);
}

/// A process whose predecessor held a slot for a model that is still loaded.
fn successor(check: FenceCheck, guards: SafetyChecks) -> LedgerFixture {
    let ledger = common::ledger(check, guards, HOLDER);
    let mut fixture = LedgerFixture { ledger, now: Instant::now(), orders: 0 };
    let slot = InheritedSlot {
        model: common::model(1),
        size: size_of(&base_target(1)),
        fence: FencingNumber(1),
        uncertain_loads: 1,
    };
    fixture.step(LedgerEvent::Inherited(vec![slot]));
    fixture.list(1, &[base_target(1)]);
    fixture
}

#[tokio::test(start_paused = true)]
async fn room_is_kept_for_adapters_that_a_predecessor_may_be_loading() {
    let mut fixture = successor(FenceCheck::Ignored, SafetyChecks::default());

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn without_that_room_the_load_is_sent() {
    let guards = SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() };
    let mut fixture = successor(FenceCheck::Ignored, guards);

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(loads(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn an_enforced_fencing_number_settles_the_model_but_not_its_adapters() {
    let mut fixture = successor(FenceCheck::Enforced, SafetyChecks::default());
    let unload = fixture.unload(base_target(1), 2, UnloadPurpose::Idle);
    fixture.step(LedgerEvent::Answered(call_of(&unload), EngineAnswer::Done));
    let confirmed = fixture.list(2, &[]);

    let adapters = ByteSize(size_of(&adapter_target(1, 1)).0 * 32);

    assert_eq!(confirmed, [LedgerAction::Confirm(OrderId(1), OrderOutcome::Unloaded)]);
    assert_eq!(fixture.ledger.reserved(), adapters);
}

#[tokio::test(start_paused = true)]
async fn an_engine_s_restart_ends_a_predecessor_s_loads() {
    let mut fixture = successor(FenceCheck::Ignored, SafetyChecks::default());
    fixture.step(LedgerEvent::EngineDied);
    fixture.list(2, &[]);

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(loads(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn orders_before_the_first_listing_are_denied() {
    let mut ledger = common::ledger(FenceCheck::Ignored, SafetyChecks::default(), HOLDER);
    let mut fixture = fixture(FenceCheck::Ignored);
    std::mem::swap(&mut fixture.ledger, &mut ledger);

    let actions = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&actions), Some(DenyReason::NotReady));
}

/// A process whose predecessor may have ordered more models than there is room for.
fn successor_over_its_memory(check: FenceCheck) -> LedgerFixture {
    let ledger = common::ledger(check, SafetyChecks::default(), HOLDER);
    let mut fixture = LedgerFixture { ledger, now: Instant::now(), orders: 0 };
    let slot = |number| InheritedSlot {
        model: common::model(number),
        size: size_of(&base_target(number)),
        fence: FencingNumber(1),
        uncertain_loads: 1,
    };
    fixture.step(LedgerEvent::Inherited((1..=4).map(slot).collect()));
    fixture.list(1, &[]);
    fixture
}

#[tokio::test(start_paused = true)]
async fn doubtful_loads_are_barred_for_a_model_that_finds_no_room() {
    let mut fixture = successor_over_its_memory(FenceCheck::Enforced);

    let barred = fixture.load(base_target(5), 1, 1);
    for attempt in calls_of(&barred) {
        fixture.step(LedgerEvent::Answered(attempt, EngineAnswer::Done));
    }
    fixture.list(2, &[]);
    fixture.list(3, &[]);
    let actions = fixture.load(base_target(5), 1, 1);

    assert_eq!(denial(&barred), Some(DenyReason::InsufficientMemory));
    assert_eq!(calls_of(&barred).len(), 4);
    assert_eq!(loads(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn a_doubtful_model_that_finds_no_room_is_barred_itself_and_then_loaded() {
    let mut fixture = successor_over_its_memory(FenceCheck::Enforced);

    let barred = fixture.load(base_target(1), 2, 1);
    for attempt in calls_of(&barred) {
        fixture.step(LedgerEvent::Answered(attempt, EngineAnswer::Done));
    }
    fixture.list(2, &[]);
    fixture.list(3, &[]);
    let actions = fixture.load(base_target(1), 2, 1);

    assert_eq!(denial(&barred), Some(DenyReason::InsufficientMemory));
    assert_eq!(loads(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn a_doubtful_load_keeps_its_room_where_fencing_is_ignored() {
    let mut fixture = successor_over_its_memory(FenceCheck::Ignored);
    let before = fixture.ledger.reserved();

    let actions = fixture.load(base_target(1), 2, 1);

    assert_eq!(actions.len(), 1);
    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
    assert_eq!(fixture.ledger.reserved(), before);
}

#[tokio::test(start_paused = true)]
async fn a_release_of_a_doubtful_model_waits_for_its_requests() {
    let ledger = common::ledger(FenceCheck::Enforced, SafetyChecks::default(), HOLDER);
    let mut fixture = LedgerFixture { ledger, now: Instant::now(), orders: 0 };
    let slot = InheritedSlot {
        model: common::model(1),
        size: size_of(&base_target(1)),
        fence: FencingNumber(1),
        uncertain_loads: 2,
    };
    fixture.step(LedgerEvent::Inherited(vec![slot]));
    fixture.list(1, &[base_target(1)]);
    fixture.step(LedgerEvent::RequestStarted(base_target(1)));
    for _ in 0..10 {
        fixture.step(LedgerEvent::Tick);
    }
    fixture.list(2, &[]);

    let busy = fixture.unload(base_target(1), 2, UnloadPurpose::Release);
    let idle = fixture.step(LedgerEvent::RequestEnded(base_target(1)));

    assert_eq!(busy, Vec::new());
    assert!(matches!(idle[..], [LedgerAction::UnloadAtEngine { .. }]), "{idle:?}");
}
