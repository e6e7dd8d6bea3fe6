//! Simulation of a side process and an engine with an unreliable connection, driven by seeded
//! random histories.
#![allow(dead_code)]

use std::collections::BTreeMap;

use base::prelude::*;
use loading::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const CAPACITY: ByteSize = ByteSize::mib(9 << 10);
const ADAPTER: ByteSize = ByteSize::mib(128);
const MODELS: u64 = 5;

/// Invariant that a history violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    MemoryOvercommitted,
    LoadedWithoutSlot,
    BusyUnloaded,
    TooManyAdapters,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Load,
    Unload,
}

#[derive(Debug, Clone)]
struct EngineCall {
    id: EngineCallId,
    kind: CallKind,
    target: LoadTarget,
    fence: FencingNumber,
    is_abandoned: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemoryState {
    Loading,
    Loaded,
    Freeing,
}

#[derive(Debug, Default)]
struct TestSlot {
    fence: FencingNumber,
    uncertain_loads: u32,
    is_released: bool,
    release: Option<OrderId>,
    grants: Vec<SlotGrant>,
}

/// Holder and fencing number of a slot as granted at some time.
#[derive(Debug, Clone, Copy, Default)]
struct SlotGrant {
    holder: ProcessIncarnation,
    fence: FencingNumber,
}

impl TestSlot {
    fn grant(&mut self, holder: ProcessIncarnation) {
        self.fence = self.fence.next();
        self.is_released = false;
        self.release = None;
        self.grants.push(SlotGrant { holder, fence: self.fence });
    }
}

/// The side process, its engine and the calls in flight between them.
pub struct EngineSimulation {
    pub ledger: MemoryLedger,
    fence_check: FenceCheck,
    checks: SafetyChecks,
    holder: ProcessIncarnation,
    rng: ChaCha8Rng,
    now: Instant,
    sent: Vec<EngineCall>,
    running: Vec<EngineCall>,
    memory: BTreeMap<LoadTarget, MemoryState>,
    highest_fences: BTreeMap<LoadTarget, FencingNumber>,
    listing: Option<ListingNumber>,
    snapshot: Option<EngineListing>,
    incarnation: EngineIncarnation,
    requests: Vec<LoadTarget>,
    slots: BTreeMap<ModelId, TestSlot>,
    next_order: u64,
    pub violations: Vec<Violation>,
    pub confirmed: u32,
    pub faults: bool,
}

pub fn model(number: u64) -> ModelId {
    ModelId::new(format!("model-{number}")).unwrap()
}

pub fn base_target(number: u64) -> LoadTarget {
    LoadTarget::Model(model(number))
}

pub fn adapter_target(number: u64, adapter: u64) -> LoadTarget {
    LoadTarget::Adapter(model(number), AdapterId::new(format!("adapter-{adapter}")).unwrap())
}

pub fn size_of(target: &LoadTarget) -> ByteSize {
    match target {
        LoadTarget::Adapter(..) => ADAPTER,
        LoadTarget::Model(_) => ByteSize::gib(4),
    }
}

pub fn ledger(
    fence_check: FenceCheck,
    checks: SafetyChecks,
    holder: ProcessIncarnation,
) -> MemoryLedger {
    let settings =
        LedgerSettings { capacity: CAPACITY, largest_adapter: ADAPTER, fence_check, holder };
    MemoryLedger::with_checks(settings, checks)
}

impl EngineSimulation {
    pub fn new(fence_check: FenceCheck, checks: SafetyChecks, seed: u64) -> Self {
        let holder = ProcessIncarnation(1);
        let slot = |number| (model(number), TestSlot { is_released: true, ..Default::default() });
        let mut simulation = Self {
            ledger: ledger(fence_check, checks, holder),
            fence_check,
            checks,
            holder,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            sent: Vec::new(),
            running: Vec::new(),
            memory: BTreeMap::new(),
            highest_fences: BTreeMap::new(),
            listing: None,
            snapshot: None,
            incarnation: EngineIncarnation(1),
            requests: Vec::new(),
            slots: (0..MODELS).map(slot).collect(),
            next_order: 1,
            violations: Vec::new(),
            confirmed: 0,
            faults: true,
        };
        simulation.apply(LedgerEvent::Inherited(Vec::new()));
        simulation
    }

    /// Runs `steps` random events and checks the invariants after each.
    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += Duration::from_millis(self.rng.random_range(1..400));
            match self.rng.random_range(0..100) {
                0..18 => self.order_load(),
                18..22 => self.order_unload(),
                22..25 => self.order_release(),
                25..28 => self.deliver_stale_order(),
                28..42 => self.start_call(),
                42..56 => self.end_call(),
                56..62 => self.free_memory(),
                62..70 => self.take_snapshot(),
                70..80 => self.deliver_listing(),
                80..88 => self.start_request(),
                88..94 => self.end_request(),
                94..96 => self.apply(LedgerEvent::Tick),
                96..98 if self.faults => self.drop_connection(),
                98 if self.faults && self.rng.random_bool(0.3) => self.restart_side(),
                99 if self.faults && self.rng.random_bool(0.3) => self.restart_engine(),
                _ => {}
            }
            self.check_invariants();
        }
    }

    fn random_target(&mut self) -> LoadTarget {
        let number = self.rng.random_range(0..MODELS);
        match self.rng.random_bool(0.5) {
            true => base_target(number),
            false => adapter_target(number, self.rng.random_range(0..40)),
        }
    }

    fn next_order_id(&mut self) -> OrderId {
        self.next_order += 1;
        OrderId(self.next_order)
    }

    fn load_order(&mut self, target: LoadTarget, grant: SlotGrant) -> LoadOrder {
        let size = size_of(&target);
        let worth = KeepWorth(self.rng.random_range(0..3));
        let SlotGrant { holder, fence } = grant;
        LoadOrder { id: self.next_order_id(), target, size, holder, fence, worth }
    }

    fn order_load(&mut self) {
        let target = self.random_target();
        let holder = self.holder;
        let slot = self.slots.get_mut(target.model()).unwrap();
        if slot.is_released {
            slot.grant(holder);
        }
        if slot.release.is_none() {
            let grant = *slot.grants.last().unwrap();
            let order = self.load_order(target, grant);
            self.apply(LedgerEvent::Load(order));
        }
    }

    fn order_unload(&mut self) {
        let target = self.random_target();
        let fence = self.slots[target.model()].fence;
        let (id, holder) = (self.next_order_id(), self.holder);
        let purpose = UnloadPurpose::Idle;
        self.apply(LedgerEvent::Unload(UnloadOrder { id, target, holder, fence, purpose }));
    }

    fn order_release(&mut self) {
        let target = base_target(self.rng.random_range(0..MODELS));
        let id = self.next_order_id();
        let slot = self.slots.get_mut(target.model()).unwrap();
        if slot.is_released {
            return;
        }
        slot.fence = slot.fence.next();
        slot.release = Some(id);
        let (fence, holder) = (slot.fence, self.holder);
        let purpose = UnloadPurpose::Release;
        self.apply(LedgerEvent::Unload(UnloadOrder { id, target, holder, fence, purpose }));
    }

    /// Delivers a load order under an earlier grant, as a paused owner may send it late.
    fn deliver_stale_order(&mut self) {
        let target = self.random_target();
        let grants = &self.slots[target.model()].grants;
        if grants.is_empty() {
            return;
        }
        let grant = grants[self.rng.random_range(0..grants.len())];
        let order = self.load_order(target, grant);
        self.apply(LedgerEvent::Load(order));
    }

    fn apply(&mut self, event: LedgerEvent) {
        for action in self.ledger.step(event, self.now) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::ListEngine(number) => self.listing = Some(number),
            LedgerAction::LoadAtEngine { call, target, fence } => {
                self.send(call, CallKind::Load, target, fence);
            }
            LedgerAction::UnloadAtEngine { call, target, fence } => {
                if self.requests.iter().any(|used| *used == target || used.base() == target) {
                    self.violations.push(Violation::BusyUnloaded);
                }
                self.send(call, CallKind::Unload, target, fence);
            }
            LedgerAction::Confirm(order, OrderOutcome::Unloaded) => self.confirm_release(order),
            LedgerAction::Confirm(..) => self.confirmed += 1,
            LedgerAction::Deny(..) => {}
        }
    }

    fn confirm_release(&mut self, order: OrderId) {
        let released = self.slots.values_mut().find(|slot| slot.release == Some(order));
        if let Some(slot) = released {
            slot.is_released = true;
            slot.uncertain_loads = 0;
        }
    }

    fn send(&mut self, id: EngineCallId, kind: CallKind, target: LoadTarget, fence: FencingNumber) {
        self.sent.push(EngineCall { id, kind, target, fence, is_abandoned: false });
        let loads = |call: &&EngineCall| {
            call.kind == CallKind::Load && call.target.is_adapter() && !call.is_abandoned
        };
        if self.sent.iter().chain(&self.running).filter(loads).count() > 32 {
            self.violations.push(Violation::TooManyAdapters);
        }
    }

    fn start_call(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let call = self.sent.remove(self.rng.random_range(0..self.sent.len()));
        let highest_fence = self.highest_fences.entry(call.target.clone()).or_default();
        if self.fence_check == FenceCheck::Enforced && call.fence < *highest_fence {
            return self.answer(&call, EngineAnswer::StaleFence);
        }
        *highest_fence = call.fence.max(*highest_fence);
        if call.kind == CallKind::Load {
            self.memory.entry(call.target.clone()).or_insert(MemoryState::Loading);
        }
        self.running.push(call);
    }

    fn end_call(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let call = self.running.remove(self.rng.random_range(0..self.running.len()));
        let is_failure = self.faults && self.rng.random_bool(0.1);
        let is_lost = self.faults && self.rng.random_bool(0.1);
        match (call.kind, is_failure) {
            (CallKind::Load, false) => self.finish_load(&call.target),
            (CallKind::Load, true) => self.begin_freeing(&call.target),
            (CallKind::Unload, false) => self.unload(&call.target),
            (CallKind::Unload, true) => {}
        }
        self.answer(
            &call,
            match (is_lost, is_failure) {
                (true, _) => EngineAnswer::Lost,
                (false, true) => EngineAnswer::Failed,
                (false, false) => EngineAnswer::Done,
            },
        );
    }

    fn finish_load(&mut self, target: &LoadTarget) {
        self.memory.insert(target.clone(), MemoryState::Loaded);
    }

    fn unload(&mut self, target: &LoadTarget) {
        let is_unloaded =
            |other: &LoadTarget| other == target || (other.is_adapter() && other.base() == *target);
        let targets: Vec<_> =
            self.memory.keys().filter(|other| is_unloaded(other)).cloned().collect();
        targets.iter().for_each(|target| self.begin_freeing(target));
    }

    fn begin_freeing(&mut self, target: &LoadTarget) {
        if let Some(state) = self.memory.get_mut(target) {
            *state = MemoryState::Freeing;
        }
    }

    /// Frees memory in the engine, which happens some time after its answer.
    fn free_memory(&mut self) {
        self.memory.retain(|_, state| *state != MemoryState::Freeing);
    }

    fn answer(&mut self, call: &EngineCall, answer: EngineAnswer) {
        if !call.is_abandoned {
            self.apply(LedgerEvent::Answered(call.id, answer));
        }
    }

    /// Drops the connection of a call; the call may reach the engine later or never.
    fn drop_connection(&mut self) {
        let Some(call) = self.sent.iter_mut().find(|call| !call.is_abandoned) else { return };
        call.is_abandoned = true;
        let id = call.id;
        if self.rng.random_bool(0.3) {
            self.sent.retain(|call| call.id != id);
        }
        self.apply(LedgerEvent::Answered(id, EngineAnswer::Lost));
    }

    fn take_snapshot(&mut self) {
        let Some(number) = self.listing.take() else { return };
        let listed =
            |target: &LoadTarget| ListedTarget { target: target.clone(), size: size_of(target) };
        let targets = self.memory.keys().map(listed).collect();
        self.snapshot = Some(EngineListing { number, incarnation: self.incarnation, targets });
    }

    fn deliver_listing(&mut self) {
        if let Some(snapshot) = self.snapshot.take() {
            self.apply(LedgerEvent::Listed(snapshot));
        }
    }

    fn start_request(&mut self) {
        let target = self.random_target();
        if self.ledger.can_serve(&target) {
            self.requests.push(target.clone());
            self.apply(LedgerEvent::RequestStarted(target));
        }
    }

    fn end_request(&mut self) {
        if !self.requests.is_empty() {
            let target = self.requests.remove(0);
            self.apply(LedgerEvent::RequestEnded(target));
        }
    }

    /// Restarts the side process; its calls stay in flight and the successor inherits its slots.
    pub fn restart_side(&mut self) {
        self.holder = ProcessIncarnation(self.holder.0 + 1);
        self.ledger = ledger(self.fence_check, self.checks, self.holder);
        self.requests.clear();
        self.listing = None;
        self.snapshot = None;
        self.sent.iter_mut().chain(&mut self.running).for_each(|call| call.is_abandoned = true);
        let mut inherited = Vec::new();
        for (model, slot) in self.slots.iter_mut().filter(|(_, slot)| !slot.is_released) {
            slot.uncertain_loads += 1;
            let size = size_of(&LoadTarget::Model(model.clone()));
            let (fence, uncertain_loads) = (slot.fence, slot.uncertain_loads);
            inherited.push(InheritedSlot { model: model.clone(), size, fence, uncertain_loads });
            slot.grant(self.holder);
        }
        self.apply(LedgerEvent::Inherited(inherited));
    }

    pub fn restart_engine(&mut self) {
        for call in
            std::mem::take(&mut self.sent).into_iter().chain(std::mem::take(&mut self.running))
        {
            self.answer(&call, EngineAnswer::Lost);
        }
        self.sent.clear();
        self.memory.clear();
        self.highest_fences.clear();
        self.requests.clear();
        self.incarnation.0 += 1;
        (self.listing, self.snapshot) = (None, None);
        self.apply(LedgerEvent::EngineDied);
    }

    fn check_invariants(&mut self) {
        let taken = self.memory.keys().map(size_of).fold(ByteSize::default(), ByteSize::plus);
        if taken > CAPACITY {
            self.violations.push(Violation::MemoryOvercommitted);
        }
        for target in self.memory.keys().filter(|target| !target.is_adapter()) {
            if self.slots[target.model()].is_released {
                self.violations.push(Violation::LoadedWithoutSlot);
            }
        }
    }
}
