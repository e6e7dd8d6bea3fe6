//! Room for loads that earlier processes on the VM may still have in flight.

use base::prelude::*;

use super::{LedgerEntry, MAX_ADAPTERS_IN_FLIGHT, MemoryLedger, TargetPhase};
use crate::orders::{InheritedSlot, ListingNumber, LoadTarget};

/// Memory for adapters, kept until the engine that earlier processes talked to has ended.
///
/// A fencing number cannot settle it: engines may count numbers for each adapter, and nobody
/// knows which adapters the earlier processes ordered.
#[derive(Debug, Default)]
pub(super) struct PredecessorReservation {
    size: ByteSize,
    fresh_from: ListingNumber,
}

impl PredecessorReservation {
    /// Keeps `size`; listings from `fresh_from` on are requested after the processes ended.
    pub fn new(size: ByteSize, fresh_from: ListingNumber) -> Self {
        Self { size, fresh_from }
    }

    /// Memory still kept.
    pub fn size(&self) -> ByteSize {
        self.size
    }

    /// The engine that earlier processes talked to has ended.
    pub fn clear(&mut self) {
        self.size = ByteSize::default();
    }

    /// Whether the listing `last` was requested after the earlier processes ended.
    pub fn is_before(&self, last: Option<ListingNumber>) -> bool {
        Some(self.fresh_from) <= last
    }
}

impl MemoryLedger {
    pub(super) fn inherit(&mut self, slots: Vec<InheritedSlot>, now: Instant) {
        self.is_inherited = true;
        if self.guards.reserve_uncertain_loads {
            self.predecessor = self.room_for_adapters(&slots);
        }
        for slot in slots {
            self.inherit_slot(slot, now);
        }
        self.request_listing();
    }

    fn room_for_adapters(&self, slots: &[InheritedSlot]) -> PredecessorReservation {
        let processes = slots.iter().map(|slot| u64::from(slot.uncertain_loads)).max().unwrap_or(0);
        let loads = processes * MAX_ADAPTERS_IN_FLIGHT as u64;
        let size = ByteSize(self.settings.largest_adapter.0.saturating_mul(loads));
        PredecessorReservation::new(size, self.next_listing)
    }

    fn inherit_slot(&mut self, slot: InheritedSlot, now: Instant) {
        if slot.uncertain_loads == 0 || !self.guards.reserve_uncertain_loads {
            return;
        }
        let entry = self
            .entries
            .entry(LoadTarget::Model(slot.model))
            .or_insert_with(|| LedgerEntry::new(slot.size, TargetPhase::Uncertain, now));
        entry.uncertain_loads += slot.uncertain_loads;
        entry.uncertain_fence = entry.uncertain_fence.max(slot.fence);
        entry.first_valid_listing = self.next_listing;
    }
}
