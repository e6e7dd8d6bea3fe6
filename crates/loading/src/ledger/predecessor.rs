//! Memory reserved for loads that earlier processes on the VM may still have in flight.

use base::prelude::*;

use super::{LedgerEntry, MAX_ADAPTERS_IN_FLIGHT, MemoryLedger, TargetPhase};
use crate::orders::{InheritedSlot, ListingNumber, LoadTarget};

/// Memory reserved for adapters until the engine that earlier processes called has ended.
///
/// A higher fencing number cannot rule these loads out: engines may track fencing numbers per
/// adapter, and it is unknown which adapters the earlier processes ordered.
#[derive(Debug, Default)]
pub(super) struct PredecessorReservation {
    size: ByteSize,
    first_valid_listing: ListingNumber,
}

impl PredecessorReservation {
    /// Reserves `size`; `first_valid_listing` is the first listing requested after the earlier
    /// processes ended.
    pub fn new(size: ByteSize, first_valid_listing: ListingNumber) -> Self {
        Self { size, first_valid_listing }
    }

    pub fn size(&self) -> ByteSize {
        self.size
    }

    /// Frees the memory after the engine that earlier processes called has ended.
    pub fn clear(&mut self) {
        self.size = ByteSize::default();
    }

    /// Whether the listing `last` was requested after the earlier processes ended.
    pub fn is_covered_by(&self, last: Option<ListingNumber>) -> bool {
        Some(self.first_valid_listing) <= last
    }
}

impl MemoryLedger {
    pub(super) fn add_inherited_slots(&mut self, slots: Vec<InheritedSlot>, now: Instant) {
        self.has_inherited_slots = true;
        if self.checks.reserve_uncertain_loads {
            self.predecessor = self.adapter_reservation(&slots);
        }
        for slot in slots {
            self.inherit_slot(slot, now);
        }
        self.request_listing();
    }

    fn adapter_reservation(&self, slots: &[InheritedSlot]) -> PredecessorReservation {
        let processes = slots.iter().map(|slot| u64::from(slot.uncertain_loads)).max().unwrap_or(0);
        let loads = processes * MAX_ADAPTERS_IN_FLIGHT as u64;
        let size = ByteSize(self.settings.largest_adapter.0.saturating_mul(loads));
        PredecessorReservation::new(size, self.next_listing)
    }

    fn inherit_slot(&mut self, slot: InheritedSlot, now: Instant) {
        if slot.uncertain_loads == 0 || !self.checks.reserve_uncertain_loads {
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
