//! What the engine's listings prove.

use base::prelude::*;

use super::{LedgerEntry, MemoryLedger, TargetPhase};
use crate::orders::{EngineListing, LedgerAction, ListedTarget, LoadTarget};

impl MemoryLedger {
    /// Requests a listing unless one is on its way.
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

    /// Whether some target waits for what a listing shows.
    pub(super) fn needs_listing(&self) -> bool {
        !self.is_listed || self.entries.values().any(LedgerEntry::awaits_listing)
    }

    pub(super) fn take_listing(&mut self, listing: &EngineListing, now: Instant) {
        if self.open_listing != Some(listing.number) {
            return;
        }
        self.open_listing = None;
        self.note_life(listing);
        for listed in &listing.targets {
            self.see_present(listed, listing, now);
        }
        for target in self.absent_targets(listing) {
            self.see_absent(&target);
        }
        self.is_listed = true;
        if self.needs_listing() {
            self.request_listing_later();
        }
    }

    /// Requests the next listing at once if it can prove more than this one did.
    fn request_listing_later(&mut self) {
        let last = self.last_listing;
        let is_older = |entry: &LedgerEntry| Some(entry.first_valid_listing) > last;
        if self.entries.values().any(|entry| entry.awaits_listing() && is_older(entry)) {
            self.request_listing();
        }
    }

    /// An engine that restarted unseen: calls given up before the last listing are gone.
    fn note_life(&mut self, listing: &EngineListing) {
        let is_new = self.life.is_some_and(|life| life != listing.incarnation);
        let last = self.last_listing;
        if is_new {
            let settled = self.entries.values_mut().filter(|e| Some(e.first_valid_listing) <= last);
            settled.for_each(|entry| entry.uncertain_loads = 0);
        }
        if is_new && self.predecessor.is_before(last) {
            self.predecessor.clear();
        }
        self.life = Some(listing.incarnation);
        self.last_listing = Some(listing.number);
    }

    fn is_proof(&self, entry: &LedgerEntry, listing: &EngineListing) -> bool {
        listing.number >= entry.first_valid_listing || !self.guards.ignore_stale_listings
    }

    fn see_present(&mut self, listed: &ListedTarget, listing: &EngineListing, now: Instant) {
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
            TargetPhase::Unloading(None) => self.send_unload(target),
            TargetPhase::Loading(_) | TargetPhase::Loaded | TargetPhase::Unloading(Some(_)) => {}
        }
    }

    fn absent_targets(&self, listing: &EngineListing) -> Vec<LoadTarget> {
        let is_listed = |target: &LoadTarget| listing.targets.iter().any(|l| l.target == *target);
        let absent = self.entries.iter().filter(|(target, entry)| {
            self.is_proof(entry, listing) && entry.attempt().is_none() && !is_listed(target)
        });
        absent.map(|(target, _)| target.clone()).collect()
    }

    fn see_absent(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        match entry.phase {
            TargetPhase::Waiting | TargetPhase::Queued => {}
            _ if entry.uncertain_loads == 0 => self.remove_gone(target),
            TargetPhase::Unloading(_) => {
                entry.phase = TargetPhase::Uncertain;
                self.deny_unloads(target);
            }
            _ => entry.phase = TargetPhase::Uncertain,
        }
    }
}
