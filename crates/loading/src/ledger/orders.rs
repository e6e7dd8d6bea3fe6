//! Load, unload and release orders from owners.

use base::prelude::*;

use super::{LedgerEntry, MAX_WAITING, MemoryLedger, TargetPhase};
use crate::orders::{
    DenyReason, FenceCheck, LedgerAction, LoadOrder, LoadTarget, OrderOutcome, UnloadOrder,
    UnloadPurpose,
};

impl MemoryLedger {
    pub(super) fn handle_load_order(&mut self, order: LoadOrder, now: Instant) {
        let id = order.id;
        if let Err(reason) = self.check_load(&order, now) {
            self.deny(id, reason);
            if reason == DenyReason::InsufficientMemory {
                self.unload_uncertain_loads();
            }
            return;
        }
        let target = order.target;
        let entry = self
            .entries
            .entry(target.clone())
            .or_insert_with(|| LedgerEntry::new(order.size, TargetPhase::Waiting, now));
        entry.worth = order.worth;
        entry.fence = entry.fence.max(order.fence);
        if !entry.loads.contains(&id) {
            entry.loads.push(id);
        }
        match entry.phase {
            TargetPhase::Loaded => self.confirm_loads(&target),
            TargetPhase::Uncertain => entry.phase = TargetPhase::Queued,
            TargetPhase::Waiting if !self.waiting.contains(&target) => {
                self.waiting.push_back(target);
            }
            _ => {}
        }
    }

    fn check_load(&mut self, order: &LoadOrder, now: Instant) -> Result<(), DenyReason> {
        if !self.is_ready() {
            return Err(DenyReason::NotReady);
        }
        if self.is_draining {
            return Err(DenyReason::Draining);
        }
        if self.checks.check_fences {
            self.slots.accept(order.target.model(), order.holder, order.fence)?;
        }
        if order.target.is_adapter() && order.size > self.settings.largest_adapter {
            return Err(DenyReason::InsufficientMemory);
        }
        if order.target.is_adapter() && !self.is_serving(&order.target.base()) {
            return Err(DenyReason::BaseMissing);
        }
        self.check_phase(order)?;
        let allows = |backoff: &crate::RetryBackoff| backoff.allows_retry(now);
        if !self.backoffs.get(&order.target).is_none_or(allows) {
            return Err(DenyReason::BackingOff);
        }
        Ok(())
    }

    fn check_phase(&self, order: &LoadOrder) -> Result<(), DenyReason> {
        match self.entries.get(&order.target) {
            Some(entry) if entry.is_unload_pending => Err(DenyReason::Unloading),
            Some(entry) if entry.awaits_listing() => Err(DenyReason::NotReady),
            Some(entry) if entry.size < order.size => Err(DenyReason::InsufficientMemory),
            Some(entry) if entry.uncertain_loads > 0 && self.is_overcommitted() => {
                Err(DenyReason::InsufficientMemory)
            }
            Some(_) => Ok(()),
            None if self.waiting.len() >= MAX_WAITING => Err(DenyReason::QueueFull),
            None => Ok(()),
        }
    }

    /// Starts to unload idle targets whose uncertain loads keep memory reserved.
    ///
    /// An engine that enforces fencing refuses those loads once it has performed an unload with a
    /// higher fencing number; an unload needs no slot. Without this, a side process that
    /// restarts while the engine is full could reserve more memory than there is and deny every
    /// load forever.
    pub(super) fn unload_uncertain_loads(&mut self) {
        if self.settings.fence_check != FenceCheck::Enforced {
            return;
        }
        let is_uncertain = |entry: &LedgerEntry| {
            entry.phase == TargetPhase::Uncertain
                && entry.uncertain_loads > 0
                && entry.requests == 0
        };
        let uncertain = self.entries.iter_mut().filter(|(_, entry)| is_uncertain(entry));
        let mut targets = Vec::new();
        for (target, entry) in uncertain {
            entry.fence = entry.fence.max(entry.uncertain_fence.next());
            targets.push(target.clone());
        }
        for target in targets {
            self.start_unload(&target);
        }
    }

    fn is_serving(&self, target: &LoadTarget) -> bool {
        self.entries.get(target).is_some_and(LedgerEntry::is_serving)
    }

    pub(super) fn handle_unload_order(&mut self, order: &UnloadOrder) {
        if let Err(reason) = self.check_unload(order) {
            return self.deny(order.id, reason);
        }
        let Some(entry) = self.entries.get_mut(&order.target) else {
            return self.actions.push(LedgerAction::Confirm(order.id, OrderOutcome::Unloaded));
        };
        entry.fence = entry.fence.max(order.fence);
        if !entry.unloads.contains(&order.id) {
            entry.unloads.push(order.id);
        }
        self.start_unload(&order.target);
    }

    fn check_unload(&mut self, order: &UnloadOrder) -> Result<(), DenyReason> {
        if !self.is_ready() {
            return Err(DenyReason::NotReady);
        }
        if !self.checks.check_fences {
            return Ok(());
        }
        let model = order.target.model();
        match order.purpose {
            UnloadPurpose::Idle => self.slots.accept(model, order.holder, order.fence),
            UnloadPurpose::Release => self.slots.release(model, order.holder, order.fence),
        }
    }

    /// Marks a target and its adapters for unloading and starts to unload them.
    pub(super) fn start_unload(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.is_unload_pending = true;
        for adapter in self.adapters_of(target) {
            self.start_unload(&adapter);
        }
        self.continue_unload(target);
    }

    /// Takes the next step of a pending unload, if one is due.
    pub(super) fn continue_unload(&mut self, target: &LoadTarget) {
        let has_adapters = !self.adapters_of(target).is_empty();
        let can_fence = self.settings.fence_check == FenceCheck::Enforced;
        let Some(entry) = self.entries.get_mut(target).filter(|entry| entry.is_unload_pending)
        else {
            return;
        };
        let is_busy = self.checks.protect_busy_targets && entry.requests > 0;
        match entry.phase {
            TargetPhase::Waiting | TargetPhase::Queued => self.cancel_load(target),
            TargetPhase::Loading(_) | TargetPhase::Unloading(Some(_)) => {}
            TargetPhase::Loaded => {
                if !is_busy && !has_adapters {
                    self.send_unload(target);
                }
            }
            TargetPhase::Uncertain if entry.uncertain_loads > 0 && can_fence && is_busy => {}
            TargetPhase::Uncertain if entry.uncertain_loads > 0 && can_fence => {
                self.send_unload(target)
            }
            TargetPhase::Uncertain if entry.uncertain_loads > 0 => self.deny_unloads(target),
            TargetPhase::Uncertain | TargetPhase::Unloading(None) => self.request_listing(),
        }
    }

    fn cancel_load(&mut self, target: &LoadTarget) {
        self.waiting.retain(|waiting| waiting != target);
        self.deny_loads(target, DenyReason::Unloading);
        match self.entries.get_mut(target) {
            Some(entry) if entry.uncertain_loads > 0 => {
                entry.phase = TargetPhase::Uncertain;
                self.continue_unload(target);
            }
            _ => self.remove_target(target),
        }
    }

    /// Cancels the unload of a target whose uncertain loads may still be performed, and denies its
    /// unload orders.
    pub(super) fn deny_unloads(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.is_unload_pending = false;
        for order in std::mem::take(&mut entry.unloads) {
            self.deny(order, DenyReason::LoadUncertain);
        }
    }

    /// Removes a target that occupies no memory, confirms its unload orders and denies its load
    /// orders.
    pub(super) fn remove_target(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.remove(target) else { return };
        for order in entry.loads {
            self.deny(order, DenyReason::Unloading);
        }
        for order in entry.unloads {
            self.actions.push(LedgerAction::Confirm(order, OrderOutcome::Unloaded));
        }
        if target.is_adapter() {
            self.continue_unload(&target.base());
        }
    }

    pub(super) fn send_load(&mut self, target: &LoadTarget) {
        let call = self.next_call_id();
        let first_valid_listing = self.next_listing;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.phase = TargetPhase::Loading(call);
        entry.first_valid_listing = first_valid_listing;
        entry.sent_fence = entry.fence;
        let fence = entry.fence;
        self.actions.push(LedgerAction::LoadAtEngine { call, target: target.clone(), fence });
    }

    pub(super) fn send_unload(&mut self, target: &LoadTarget) {
        let call = self.next_call_id();
        let first_valid_listing = self.next_listing;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.phase = TargetPhase::Unloading(Some(call));
        entry.first_valid_listing = first_valid_listing;
        entry.sent_fence = entry.fence;
        let fence = entry.fence;
        self.actions.push(LedgerAction::UnloadAtEngine { call, target: target.clone(), fence });
    }

    pub(super) fn adapters_of(&self, target: &LoadTarget) -> Vec<LoadTarget> {
        let LoadTarget::Model(model) = target else { return Vec::new() };
        let is_own_adapter = |other: &&LoadTarget| other.is_adapter() && other.model() == model;
        self.entries.keys().filter(is_own_adapter).cloned().collect()
    }
}
