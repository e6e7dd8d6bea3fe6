//! Single orders: eviction, the adapter limit, backoff, drain, release, engine exit and inherited
//! slots.

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

fn fixture(fence_check: FenceCheck) -> LedgerFixture {
    let ledger = common::ledger(fence_check, SafetyChecks::default(), HOLDER);
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

    /// Orders a load and answers the engine call as done.
    fn load_and_confirm(&mut self, target: LoadTarget, worth: u64) {
        let actions = self.load(target, 1, worth);
        let [LedgerAction::LoadAtEngine { call, .. }] = actions[..] else { panic!("{actions:?}") };
        self.step(LedgerEvent::Answered(call, EngineAnswer::Done));
    }

    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }
}

fn call_of(actions: &[LedgerAction]) -> EngineCallId {
    let call = |action: &LedgerAction| match action {
        LedgerAction::LoadAtEngine { call, .. } | LedgerAction::UnloadAtEngine { call, .. } => {
            Some(*call)
        }
        _ => None,
    };
    actions.iter().find_map(call).expect("a call to the engine")
}

fn calls_of(actions: &[LedgerAction]) -> Vec<EngineCallId> {
    let call = |action: &LedgerAction| match action {
        LedgerAction::LoadAtEngine { call, .. } | LedgerAction::UnloadAtEngine { call, .. } => {
            Some(*call)
        }
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

fn denial(actions: &[LedgerAction]) -> Option<DenyReason> {
    actions.iter().find_map(|action| match action {
        LedgerAction::Deny(_, reason) => Some(*reason),
        _ => None,
    })
}

fn load_count(actions: &[LedgerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LedgerAction::LoadAtEngine { .. })).count()
}

#[tokio::test(start_paused = true)]
async fn evicts_idle_model_of_lowest_worth_before_loading() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 5);
    fixture.load_and_confirm(base_target(2), 1);

    let evicted = fixture.load(base_target(3), 1, 9);
    let after_answer = fixture.step(LedgerEvent::Answered(call_of(&evicted), EngineAnswer::Done));
    let after_listing = fixture.list(2, &[base_target(1)]);

    assert!(
        matches!(&evicted[..], [LedgerAction::UnloadAtEngine { target, .. }] if *target == base_target(2))
    );
    assert_eq!(load_count(&after_answer), 0);
    assert_eq!(load_count(&after_listing), 1);
}

#[tokio::test(start_paused = true)]
async fn busy_model_is_not_evicted() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 1);
    fixture.load_and_confirm(base_target(2), 1);
    fixture.step(LedgerEvent::RequestStarted(base_target(1)));
    fixture.step(LedgerEvent::RequestStarted(base_target(2)));

    let actions = fixture.load(base_target(3), 1, 9);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn model_of_higher_worth_is_not_evicted() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 5);
    fixture.load_and_confirm(base_target(2), 5);

    let actions = fixture.load(base_target(3), 1, 4);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn at_most_32_adapter_loads_in_flight() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 1);

    let sent: Vec<_> = (0..40).flat_map(|n| fixture.load(adapter_target(1, n), 1, 1)).collect();
    let next = fixture.step(LedgerEvent::Answered(call_of(&sent), EngineAnswer::Done));

    assert_eq!(load_count(&sent), 32);
    assert_eq!(load_count(&next), 1);
}

#[tokio::test(start_paused = true)]
async fn backoff_after_failed_loads_is_bounded() {
    let mut fixture = fixture(FenceCheck::Ignored);
    for listing in 2..14 {
        fixture.advance(60);
        let actions = fixture.load(base_target(1), 1, 1);
        fixture.step(LedgerEvent::Answered(call_of(&actions), EngineAnswer::Failed));
        fixture.list(listing, &[]);
    }

    fixture.advance(59);
    let early = fixture.load(base_target(1), 1, 1);
    fixture.advance(1);
    let late = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&early), Some(DenyReason::BackingOff));
    assert_eq!(load_count(&late), 1);
}

#[tokio::test(start_paused = true)]
async fn draining_server_denies_loads() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 1);

    fixture.step(LedgerEvent::Drain);
    let actions = fixture.load(base_target(2), 1, 1);

    assert_eq!(denial(&actions), Some(DenyReason::Draining));
    assert!(!fixture.ledger.can_serve(&base_target(1)));
}

#[tokio::test(start_paused = true)]
async fn release_waits_for_requests_and_denies_older_orders() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load_and_confirm(base_target(1), 1);
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
async fn uncertain_load_denies_release_without_fencing() {
    let mut fixture = fixture(FenceCheck::Ignored);
    let load = fixture.load(base_target(1), 1, 1);
    fixture.step(LedgerEvent::Answered(call_of(&load), EngineAnswer::Lost));
    fixture.list(2, &[]);

    let release = fixture.unload(base_target(1), 2, UnloadPurpose::Release);

    assert_eq!(denial(&release), Some(DenyReason::LoadUncertain));
    assert_eq!(fixture.ledger.reserved(), size_of(&base_target(1)));
}

#[tokio::test(start_paused = true)]
async fn higher_fence_resolves_uncertain_load() {
    let mut fixture = fixture(FenceCheck::Enforced);
    let load = fixture.load(base_target(1), 1, 1);
    fixture.step(LedgerEvent::Answered(call_of(&load), EngineAnswer::Lost));
    fixture.list(2, &[]);

    let unloads = fixture.unload(base_target(1), 2, UnloadPurpose::Release);
    fixture.step(LedgerEvent::Answered(call_of(&unloads), EngineAnswer::Done));
    let confirmed = fixture.list(3, &[]);

    assert_eq!(confirmed, [LedgerAction::Confirm(OrderId(2), OrderOutcome::Unloaded)]);
    assert_eq!(fixture.ledger.reserved(), ByteSize::default());
}

#[tokio::test(start_paused = true)]
async fn engine_exit_during_load_requires_listing() {
    let mut fixture = fixture(FenceCheck::Ignored);
    fixture.load(base_target(1), 1, 1);

    let exit = fixture.step(LedgerEvent::EngineDied);
    let early = fixture.load(base_target(1), 1, 1);
    fixture.list(2, &[]);
    let late = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&exit), Some(DenyReason::EngineDied));
    assert_eq!(denial(&early), Some(DenyReason::NotReady));
    assert_eq!(load_count(&late), 1);
}

/// A process whose predecessor held a slot for a model that is still loaded.
fn successor(fence_check: FenceCheck, checks: SafetyChecks) -> LedgerFixture {
    let ledger = common::ledger(fence_check, checks, HOLDER);
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
async fn reserves_memory_for_predecessor_adapters() {
    let mut fixture = successor(FenceCheck::Ignored, SafetyChecks::default());

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
}

#[tokio::test(start_paused = true)]
async fn load_is_sent_without_predecessor_reservation() {
    let checks = SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() };
    let mut fixture = successor(FenceCheck::Ignored, checks);

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(load_count(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn fencing_resolves_model_but_not_adapters() {
    let mut fixture = successor(FenceCheck::Enforced, SafetyChecks::default());
    let unload = fixture.unload(base_target(1), 2, UnloadPurpose::Idle);
    fixture.step(LedgerEvent::Answered(call_of(&unload), EngineAnswer::Done));
    let confirmed = fixture.list(2, &[]);

    let adapters = ByteSize(size_of(&adapter_target(1, 1)).0 * 32);

    assert_eq!(confirmed, [LedgerAction::Confirm(OrderId(1), OrderOutcome::Unloaded)]);
    assert_eq!(fixture.ledger.reserved(), adapters);
}

#[tokio::test(start_paused = true)]
async fn engine_restart_frees_predecessor_reservation() {
    let mut fixture = successor(FenceCheck::Ignored, SafetyChecks::default());
    fixture.step(LedgerEvent::EngineDied);
    fixture.list(2, &[]);

    let actions = fixture.load(base_target(2), 1, 0);

    assert_eq!(load_count(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn denies_orders_before_first_listing() {
    let mut ledger = common::ledger(FenceCheck::Ignored, SafetyChecks::default(), HOLDER);
    let mut fixture = fixture(FenceCheck::Ignored);
    std::mem::swap(&mut fixture.ledger, &mut ledger);

    let actions = fixture.load(base_target(1), 1, 1);

    assert_eq!(denial(&actions), Some(DenyReason::NotReady));
}

/// A process whose predecessor may have ordered more models than fit into memory.
fn overcommitted_successor(fence_check: FenceCheck) -> LedgerFixture {
    let ledger = common::ledger(fence_check, SafetyChecks::default(), HOLDER);
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
async fn unloads_uncertain_models_when_memory_is_short() {
    let mut fixture = overcommitted_successor(FenceCheck::Enforced);

    let unloads = fixture.load(base_target(5), 1, 1);
    for call in calls_of(&unloads) {
        fixture.step(LedgerEvent::Answered(call, EngineAnswer::Done));
    }
    fixture.list(2, &[]);
    fixture.list(3, &[]);
    let actions = fixture.load(base_target(5), 1, 1);

    assert_eq!(denial(&unloads), Some(DenyReason::InsufficientMemory));
    assert_eq!(calls_of(&unloads).len(), 4);
    assert_eq!(load_count(&actions), 1);
}

/// Guards against unload calls without a pause, hundreds a second, to an engine that frees memory late or
/// not at all.
#[tokio::test(start_paused = true)]
async fn unload_that_frees_nothing_is_repeated_after_a_pause() {
    let mut fixture = fixture(FenceCheck::Ignored);
    let target = base_target(1);
    fixture.load_and_confirm(target.clone(), 1);
    let call = call_of(&fixture.unload(target.clone(), 1, UnloadPurpose::Idle));
    let listing = |actions: &[LedgerAction]| match actions {
        [LedgerAction::ListEngine(number)] => number.0,
        _ => panic!("{actions:?}"),
    };

    let answered = fixture.step(LedgerEvent::Answered(call, EngineAnswer::Done));
    let at_once = fixture.list(listing(&answered), std::slice::from_ref(&target));
    fixture.advance(1);
    let ticked = fixture.step(LedgerEvent::Tick);
    let later = fixture.list(listing(&ticked), &[target]);

    assert_eq!(calls_of(&at_once), []);
    assert_eq!(calls_of(&later).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn uncertain_model_is_unloaded_then_loaded() {
    let mut fixture = overcommitted_successor(FenceCheck::Enforced);

    let unloads = fixture.load(base_target(1), 2, 1);
    for call in calls_of(&unloads) {
        fixture.step(LedgerEvent::Answered(call, EngineAnswer::Done));
    }
    fixture.list(2, &[]);
    fixture.list(3, &[]);
    let actions = fixture.load(base_target(1), 2, 1);

    assert_eq!(denial(&unloads), Some(DenyReason::InsufficientMemory));
    assert_eq!(load_count(&actions), 1);
}

#[tokio::test(start_paused = true)]
async fn uncertain_load_stays_reserved_without_fencing() {
    let mut fixture = overcommitted_successor(FenceCheck::Ignored);
    let before = fixture.ledger.reserved();

    let actions = fixture.load(base_target(1), 2, 1);

    assert_eq!(actions.len(), 1);
    assert_eq!(denial(&actions), Some(DenyReason::InsufficientMemory));
    assert_eq!(fixture.ledger.reserved(), before);
}

#[tokio::test(start_paused = true)]
async fn release_of_uncertain_model_waits_for_requests() {
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
