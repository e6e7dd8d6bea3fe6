//! Single flight at the owner: which loads of one model are begun, and where.
//!
//! However many entries ask for a cold model at once, the owner begins no more loads than the
//! demand is worth, and never more than one for each standing slot.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{
    backoff::RetryBackoff,
    cache::{LoadCandidate, pick_candidate},
    orders::{DenyReason, OrderId},
};

/// A load that was neither confirmed nor denied is looked for elsewhere after this time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(300);

/// Something that happened at the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// Replicas that are wanted now.
    DesiredReplicas(u32),
    /// The standing slots and what is known of their servers.
    Slots(Vec<LoadCandidate>),
    /// A side process confirmed an order.
    Confirmed(OrderId),
    /// A side process denied an order.
    Denied(OrderId, DenyReason),
    /// A server reports that it holds the model.
    Loaded(VmId),
    /// A server reports that it does not hold the model, or is lost.
    NotLoaded(VmId),
    /// Time passed.
    Tick,
}

/// What the owner must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Order a load under this slot.
    Order(OrderId, LoadCandidate),
    /// A replica is there.
    Ready(VmId),
    /// Replicas are wanted, but no slot can take a load now.
    NoSlotAvailable(Option<DenyReason>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotPhase {
    Empty,
    Loading { order: OrderId, until: Instant },
    Loaded,
}

#[derive(Debug)]
struct ScheduledSlot {
    candidate: LoadCandidate,
    phase: SlotPhase,
    backoff: RetryBackoff,
}

/// The loads of one model; see the module's documentation.
#[derive(Debug)]
pub struct LoadScheduler {
    wanted: u32,
    slots: BTreeMap<VmId, ScheduledSlot>,
    next_order: OrderId,
    last_denial: Option<DenyReason>,
}

impl LoadScheduler {
    /// A flight without slots; `first_order` begins the numbers of its orders.
    pub fn new(first_order: OrderId) -> Self {
        Self { wanted: 0, slots: BTreeMap::new(), next_order: first_order, last_denial: None }
    }

    /// Takes in one event and returns what must be done, in order.
    pub fn step(&mut self, event: SchedulerEvent, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        match event {
            SchedulerEvent::DesiredReplicas(wanted) => self.wanted = wanted,
            SchedulerEvent::Slots(candidates) => self.take_slots(candidates),
            SchedulerEvent::Confirmed(order) => self.confirm(order, &mut actions),
            SchedulerEvent::Denied(order, reason) => self.deny(order, reason, now),
            SchedulerEvent::Loaded(vm) => self.find(&vm, &mut actions),
            SchedulerEvent::NotLoaded(vm) => self.set_phase(&vm, SlotPhase::Empty),
            SchedulerEvent::Tick => self.expire(now),
        }
        self.begin(now, &mut actions);
        actions
    }

    /// Slots whose load was confirmed.
    pub fn loaded_count(&self) -> u32 {
        self.count(|phase| phase == SlotPhase::Loaded)
    }

    /// Slots with a load under way.
    pub fn loading_count(&self) -> u32 {
        self.count(|phase| matches!(phase, SlotPhase::Loading { .. }))
    }

    /// Why the latest load was denied, if none succeeded since.
    pub fn last_denial(&self) -> Option<DenyReason> {
        self.last_denial
    }

    fn count(&self, matches_phase: impl Fn(SlotPhase) -> bool) -> u32 {
        self.slots.values().filter(|slot| matches_phase(slot.phase)).count() as u32
    }

    fn take_slots(&mut self, candidates: Vec<LoadCandidate>) {
        let mut former = std::mem::take(&mut self.slots);
        for candidate in candidates {
            let slot = match former.remove(&candidate.vm) {
                Some(slot) if slot.candidate.holder == candidate.holder => {
                    ScheduledSlot { candidate, ..slot }
                }
                _ => ScheduledSlot::new(candidate),
            };
            self.slots.insert(slot.candidate.vm.clone(), slot);
        }
    }

    fn set_phase(&mut self, vm: &VmId, phase: SlotPhase) {
        if let Some(slot) = self.slots.get_mut(vm) {
            slot.phase = phase;
        }
    }

    fn slot_of(&mut self, order: OrderId) -> Option<&mut ScheduledSlot> {
        self.slots.values_mut().find(
            |slot| matches!(slot.phase, SlotPhase::Loading { order: other, .. } if other == order),
        )
    }

    fn confirm(&mut self, order: OrderId, actions: &mut Vec<SchedulerAction>) {
        let Some(slot) = self.slot_of(order) else { return };
        slot.phase = SlotPhase::Loaded;
        slot.backoff = RetryBackoff::default();
        actions.push(SchedulerAction::Ready(slot.candidate.vm.clone()));
        self.last_denial = None;
    }

    fn find(&mut self, vm: &VmId, actions: &mut Vec<SchedulerAction>) {
        let Some(slot) = self.slots.get_mut(vm) else { return };
        if slot.phase != SlotPhase::Loaded {
            slot.phase = SlotPhase::Loaded;
            actions.push(SchedulerAction::Ready(vm.clone()));
        }
    }

    fn deny(&mut self, order: OrderId, reason: DenyReason, now: Instant) {
        let Some(slot) = self.slot_of(order) else { return };
        slot.phase = SlotPhase::Empty;
        slot.backoff.record_failure(now);
        self.last_denial = Some(reason);
    }

    fn expire(&mut self, now: Instant) {
        for slot in self.slots.values_mut() {
            if matches!(slot.phase, SlotPhase::Loading { until, .. } if until <= now) {
                slot.phase = SlotPhase::Empty;
                slot.backoff.record_failure(now);
            }
        }
    }

    fn begin(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while self.loaded_count() + self.loading_count() < self.wanted {
            let free = self.slots.values().filter(|slot| slot.is_free(now));
            let Some(best) = pick_candidate(free.map(|slot| &slot.candidate)).cloned() else {
                return self.give_up(actions);
            };
            let order = self.next_order;
            self.next_order.0 += 1;
            self.set_phase(&best.vm, SlotPhase::Loading { order, until: now + ORDER_TIMEOUT });
            actions.push(SchedulerAction::Order(order, best));
        }
    }

    fn give_up(&self, actions: &mut Vec<SchedulerAction>) {
        if self.loaded_count() + self.loading_count() == 0 {
            actions.push(SchedulerAction::NoSlotAvailable(self.last_denial));
        }
    }
}

impl ScheduledSlot {
    fn new(candidate: LoadCandidate) -> Self {
        Self { candidate, phase: SlotPhase::Empty, backoff: RetryBackoff::default() }
    }

    fn is_free(&self, now: Instant) -> bool {
        self.phase == SlotPhase::Empty && self.backoff.allows_retry(now)
    }
}
