//! Scheduler of one model's loads at the owner: how many loads run, and on which servers.
//!
//! Requests of many entries for a model that is not loaded are merged: the owner starts only as
//! many loads as replicas are desired, and at most one for each slot.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{
    backoff::RetryBackoff,
    cache::{LoadCandidate, pick_candidate},
    orders::{DenyReason, OrderId},
};

/// A load that is neither confirmed nor denied within this time counts as failed, and is ordered
/// under another slot if one is free.
const ORDER_TIMEOUT: Duration = Duration::from_secs(300);

/// Input of a [`LoadScheduler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// The desired number of replicas changed.
    DesiredReplicas(u32),
    /// All slots held for the model, with the state of their servers. Replaces the previous list;
    /// a slot keeps its load state as long as its holder is the same.
    Slots(Vec<LoadCandidate>),
    /// A side process confirmed that the ordered load is done.
    Confirmed(OrderId),
    /// A side process denied the ordered load.
    Denied(OrderId, DenyReason),
    /// A server reports the model as loaded.
    Loaded(VmId),
    /// A server reports the model as not loaded, failed, or was ordered to unload it.
    NotLoaded(VmId),
    /// Periodic check of timeouts and backoffs.
    Tick,
}

/// Output of a [`LoadScheduler`], to be carried out by the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Send an order to load under this slot.
    Order(OrderId, LoadCandidate),
    /// The replica on this VM is loaded and can take requests.
    Ready(VmId),
    /// Replicas are desired, but none is loaded or loading and no slot can take a load now.
    /// Carries the reason of the latest denial, if any.
    NoSlotAvailable(Option<DenyReason>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotPhase {
    Empty,
    Loading { order: OrderId, expires_at: Instant },
    Loaded,
}

#[derive(Debug)]
struct ScheduledSlot {
    candidate: LoadCandidate,
    phase: SlotPhase,
    backoff: RetryBackoff,
}

/// Schedules the loads of one model; see the module documentation.
#[derive(Debug)]
pub struct LoadScheduler {
    desired_replicas: u32,
    slots: BTreeMap<VmId, ScheduledSlot>,
    next_order: OrderId,
    last_denial: Option<DenyReason>,
}

impl LoadScheduler {
    /// Creates a scheduler without slots; its orders are numbered from `first_order`.
    pub fn new(first_order: OrderId) -> Self {
        Self {
            desired_replicas: 0,
            slots: BTreeMap::new(),
            next_order: first_order,
            last_denial: None,
        }
    }

    /// Applies one event and returns the resulting actions, in order.
    pub fn step(&mut self, event: SchedulerEvent, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        match event {
            SchedulerEvent::DesiredReplicas(count) => self.desired_replicas = count,
            SchedulerEvent::Slots(candidates) => self.replace_slots(candidates),
            SchedulerEvent::Confirmed(order) => self.confirm_load(order, &mut actions),
            SchedulerEvent::Denied(order, reason) => self.deny_load(order, reason, now),
            SchedulerEvent::Loaded(vm) => self.mark_loaded(&vm, &mut actions),
            SchedulerEvent::NotLoaded(vm) => self.set_phase(&vm, SlotPhase::Empty),
            SchedulerEvent::Tick => self.expire_orders(now),
        }
        self.start_loads(now, &mut actions);
        actions
    }

    /// Number of slots under which the model is loaded.
    pub fn loaded_count(&self) -> u32 {
        self.count(|phase| phase == SlotPhase::Loaded)
    }

    /// Number of slots with a load in progress.
    pub fn loading_count(&self) -> u32 {
        self.count(|phase| matches!(phase, SlotPhase::Loading { .. }))
    }

    /// Reason of the latest denial; `None` if a load was confirmed since.
    pub fn last_denial(&self) -> Option<DenyReason> {
        self.last_denial
    }

    fn count(&self, matches_phase: impl Fn(SlotPhase) -> bool) -> u32 {
        self.slots.values().filter(|slot| matches_phase(slot.phase)).count() as u32
    }

    fn replace_slots(&mut self, candidates: Vec<LoadCandidate>) {
        let mut previous = std::mem::take(&mut self.slots);
        for candidate in candidates {
            let slot = match previous.remove(&candidate.vm) {
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

    fn slot_loading(&mut self, order: OrderId) -> Option<&mut ScheduledSlot> {
        self.slots.values_mut().find(
            |slot| matches!(slot.phase, SlotPhase::Loading { order: other, .. } if other == order),
        )
    }

    fn confirm_load(&mut self, order: OrderId, actions: &mut Vec<SchedulerAction>) {
        let Some(slot) = self.slot_loading(order) else { return };
        slot.phase = SlotPhase::Loaded;
        slot.backoff = RetryBackoff::default();
        actions.push(SchedulerAction::Ready(slot.candidate.vm.clone()));
        self.last_denial = None;
    }

    fn mark_loaded(&mut self, vm: &VmId, actions: &mut Vec<SchedulerAction>) {
        let Some(slot) = self.slots.get_mut(vm) else { return };
        if slot.phase != SlotPhase::Loaded {
            slot.phase = SlotPhase::Loaded;
            actions.push(SchedulerAction::Ready(vm.clone()));
        }
    }

    fn deny_load(&mut self, order: OrderId, reason: DenyReason, now: Instant) {
        let Some(slot) = self.slot_loading(order) else { return };
        slot.phase = SlotPhase::Empty;
        slot.backoff.record_failure(now);
        self.last_denial = Some(reason);
    }

    fn expire_orders(&mut self, now: Instant) {
        for slot in self.slots.values_mut() {
            if matches!(slot.phase, SlotPhase::Loading { expires_at, .. } if expires_at <= now) {
                slot.phase = SlotPhase::Empty;
                slot.backoff.record_failure(now);
            }
        }
    }

    fn start_loads(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while self.loaded_count() + self.loading_count() < self.desired_replicas {
            let free = self.slots.values().filter(|slot| slot.is_free(now));
            let Some(best) = pick_candidate(free.map(|slot| &slot.candidate)).cloned() else {
                return self.report_no_slot(actions);
            };
            let order = self.next_order;
            self.next_order.0 += 1;
            self.set_phase(&best.vm, SlotPhase::Loading { order, expires_at: now + ORDER_TIMEOUT });
            actions.push(SchedulerAction::Order(order, best));
        }
    }

    fn report_no_slot(&self, actions: &mut Vec<SchedulerAction>) {
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
