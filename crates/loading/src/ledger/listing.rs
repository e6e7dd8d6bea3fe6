//! Reconciliation of the ledger with the engine's listings.

use base::prelude::*;

use super::{LedgerEntry, MemoryLedger, TargetPhase};
use crate::orders::{EngineListing, LedgerAction, ListedTarget, LoadTarget};

impl MemoryLedger {
    /// Requests a listing unless a request is pending.
    pub(super) fn request_listing(&mut self) {
        if self.open_listing.is_some() {
            return;
        }
        let number = self.next_listing;
        self.next_listing.0 += 1;
        self.open_listing = Some(number);
        self.idle_ticks = 0;
        self.actions.push(LedgerAction::ListEngine(number));
    }

    /// Whether the ledger or some target awaits a listing.
    pub(super) fn needs_listing(&self) -> bool {
        !self.has_listing || self.entries.values().any(LedgerEntry::awaits_listing)
    }

    pub(super) fn apply_listing(&mut self, listing: &EngineListing, now: Instant) {
        if self.open_listing != Some(listing.number) {
            return;
        }
        self.open_listing = None;
        self.check_incarnation(listing);
        for listed in &listing.targets {
            self.apply_present(listed, listing, now);
        }
        for target in self.absent_targets(listing) {
            self.apply_absent(&target);
        }
        self.has_listing = true;
        if self.needs_listing() {
            self.request_conclusive_listing();
        }
    }

    /// Requests the next listing at once if the latest one was stale for a target that awaits one.
    fn request_conclusive_listing(&mut self) {
        let last = self.last_listing;
        let is_older = |entry: &LedgerEntry| Some(entry.first_valid_listing) > last;
        if self.entries.values().any(|entry| entry.awaits_listing() && is_older(entry)) {
            self.request_listing();
        }
    }

    /// Detects from the listing that the engine restarted unnoticed: calls whose outcome became
    /// uncertain before the previous listing was requested can no longer be performed.
    fn check_incarnation(&mut self, listing: &EngineListing) {
        let is_new = self.incarnation.is_some_and(|known| known != listing.incarnation);
        let last = self.last_listing;
        if is_new {
            let affected =
                self.entries.values_mut().filter(|e| Some(e.first_valid_listing) <= last);
            affected.for_each(|entry| entry.uncertain_loads = 0);
        }
        if is_new && self.predecessor.is_covered_by(last) {
            self.predecessor.clear();
        }
        self.incarnation = Some(listing.incarnation);
        self.last_listing = Some(listing.number);
    }

    fn is_conclusive(&self, entry: &LedgerEntry, listing: &EngineListing) -> bool {
        listing.number >= entry.first_valid_listing || !self.checks.ignore_stale_listings
    }

    fn apply_present(&mut self, listed: &ListedTarget, listing: &EngineListing, now: Instant) {
        let target = &listed.target;
        let Some(entry) = self.entries.get_mut(target) else {
            let entry = LedgerEntry::new(listed.size, TargetPhase::Loaded, now);
            self.entries.insert(target.clone(), entry);
            return;
        };
        entry.size = entry.size.max(listed.size);
        if listing.number < entry.first_valid_listing {
            return;
        }
        match entry.phase {
            TargetPhase::Waiting | TargetPhase::Queued | TargetPhase::Uncertain => {
                entry.phase = TargetPhase::Loaded;
                entry.uncertain_loads = entry.uncertain_loads.saturating_sub(1);
                self.waiting.retain(|waiting| waiting != target);
                self.finish_load(target);
            }
            TargetPhase::Unloading(None) if entry.unload_backoff.allows_retry(now) => {
                self.send_unload(target);
            }
            TargetPhase::Unloading(None)
            | TargetPhase::Loading(_)
            | TargetPhase::Loaded
            | TargetPhase::Unloading(Some(_)) => {}
        }
    }

    fn absent_targets(&self, listing: &EngineListing) -> Vec<LoadTarget> {
        let is_listed = |target: &LoadTarget| listing.targets.iter().any(|l| l.target == *target);
        let absent = self.entries.iter().filter(|(target, entry)| {
            self.is_conclusive(entry, listing) && entry.call().is_none() && !is_listed(target)
        });
        absent.map(|(target, _)| target.clone()).collect()
    }

    fn apply_absent(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        match entry.phase {
            TargetPhase::Waiting | TargetPhase::Queued => {}
            _ if entry.uncertain_loads == 0 => self.remove_target(target),
            TargetPhase::Unloading(_) => {
                entry.phase = TargetPhase::Uncertain;
                self.deny_unloads(target);
            }
            _ => entry.phase = TargetPhase::Uncertain,
        }
    }
}
