//! Memory reservation for waiting loads: eviction and the limit on adapter loads in flight.

use std::mem;

use base::prelude::*;

use super::{LedgerEntry, MAX_ADAPTERS_IN_FLIGHT, MemoryLedger, TargetPhase};
use crate::orders::{DenyReason, KeepWorth, LoadTarget};

impl MemoryLedger {
    /// Reserves memory for waiting loads, in order of arrival, and sends the load calls that the
    /// adapter limit allows.
    pub(super) fn reserve_and_send(&mut self, now: Instant) {
        for target in mem::take(&mut self.waiting) {
            self.try_reserve(target, now);
        }
        self.send_queued();
    }

    fn try_reserve(&mut self, target: LoadTarget, now: Instant) {
        let Some(entry) = self.entries.get(&target) else { return };
        let (size, worth) = (entry.size, entry.worth);
        if self.waiting.is_empty() && self.free_memory() >= size {
            return self.reserve(&target, now);
        }
        if self.start_evictions(&target, size, worth) {
            self.waiting.push_back(target);
        } else {
            self.deny_loads(&target, DenyReason::InsufficientMemory);
            self.entries.remove(&target);
            self.unload_uncertain_loads();
        }
    }

    fn reserve(&mut self, target: &LoadTarget, now: Instant) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.phase = TargetPhase::Queued;
            entry.last_used = now;
        }
    }

    /// Whether more memory is reserved than the engine has; possible with inherited slots.
    pub(super) fn is_overcommitted(&self) -> bool {
        self.reserved() > self.settings.capacity
    }

    fn free_memory(&self) -> ByteSize {
        self.settings.capacity.minus(self.reserved())
    }

    /// Memory of targets that are being unloaded, or that the next listing may show as unloaded.
    fn memory_being_freed(&self) -> ByteSize {
        let is_being_freed = |entry: &&LedgerEntry| {
            self.is_counted(entry)
                && entry.uncertain_loads == 0
                && (entry.is_unload_pending || entry.awaits_listing())
        };
        self.entries
            .values()
            .filter(is_being_freed)
            .map(|entry| entry.size)
            .fold(ByteSize::default(), ByteSize::plus)
    }

    /// Memory needed by the loads that wait ahead in the queue.
    fn memory_of_waiting(&self) -> ByteSize {
        let ahead = self.waiting.iter().filter_map(|target| self.entries.get(target));
        ahead.map(|entry| entry.size).fold(ByteSize::default(), ByteSize::plus)
    }

    /// Starts evictions until `size` will fit; evicts nothing and returns `false` if it cannot fit.
    fn start_evictions(&mut self, target: &LoadTarget, size: ByteSize, worth: KeepWorth) -> bool {
        let needed = size.plus(self.memory_of_waiting());
        let mut expected_free = self.free_memory().plus(self.memory_being_freed());
        let mut victims = Vec::new();
        for (victim, freed) in self.eviction_candidates(target, worth) {
            if expected_free >= needed {
                break;
            }
            expected_free = expected_free.plus(freed);
            victims.push(victim);
        }
        if expected_free < needed {
            return false;
        }
        for victim in victims {
            self.start_unload(&victim);
        }
        true
    }

    /// Idle targets with a held slot and at most this worth, lowest worth first.
    fn eviction_candidates(
        &self,
        target: &LoadTarget,
        worth: KeepWorth,
    ) -> Vec<(LoadTarget, ByteSize)> {
        let base = target.base();
        let mut found: Vec<_> = self
            .entries
            .iter()
            .filter(|(other, entry)| entry.worth <= worth && *other != target && **other != base)
            .filter(|(other, entry)| self.can_evict(other, entry))
            .collect();
        found.sort_by_key(|(_, entry)| (entry.worth, entry.last_used));
        found.into_iter().map(|(other, entry)| (other.clone(), entry.size)).collect()
    }

    fn can_evict(&self, target: &LoadTarget, entry: &LedgerEntry) -> bool {
        let is_idle = entry.requests == 0 || !self.checks.protect_busy_targets;
        let has_slot = self.slots.held_fence(target.model()).is_some();
        let is_stable = entry.is_serving() && entry.uncertain_loads == 0;
        is_idle && has_slot && is_stable && !self.has_unready_adapter(target)
    }

    fn has_unready_adapter(&self, target: &LoadTarget) -> bool {
        let is_serving = |adapter| self.entries.get(adapter).is_some_and(LedgerEntry::is_serving);
        !self.adapters_of(target).iter().all(is_serving)
    }

    fn send_queued(&mut self) {
        let is_sent = |(target, entry): &(&LoadTarget, &LedgerEntry)| {
            target.is_adapter() && matches!(entry.phase, TargetPhase::Loading(_))
        };
        let in_flight = self.entries.iter().filter(is_sent).count();
        let mut remaining = MAX_ADAPTERS_IN_FLIGHT.saturating_sub(in_flight);
        for target in self.queued() {
            if !target.is_adapter() {
                self.send_load(&target);
            } else if remaining > 0 {
                remaining -= 1;
                self.send_load(&target);
            }
        }
    }

    /// Queued targets, longest waiting first.
    fn queued(&self) -> Vec<LoadTarget> {
        let is_queued =
            |(_, entry): &(&LoadTarget, &LedgerEntry)| entry.phase == TargetPhase::Queued;
        let mut found: Vec<_> = self.entries.iter().filter(is_queued).collect();
        found.sort_by_key(|(_, entry)| entry.last_used);
        found.into_iter().map(|(target, _)| target.clone()).collect()
    }
}
