//! The owner of a model: a state machine that changes its placement object.
//!
//! Any number of owners may run at the same time. Each edits the object as it last read it, writes
//! only by conditional update, and applies its edits again when another writer was first.

mod store;
mod vms;

use std::{collections::BTreeSet, mem};

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, StoreError, StoredObject, WriteCondition};

use self::vms::VmWatch;
use crate::{
    checks::PlacementChecks,
    edit::{EditRefusal, PlacementEdit},
    object::{EditTag, PlacementObject, PlacementSlot, SlotHolder, SlotState},
};

/// Largest number of edits that wait for the store.
const MAX_PENDING: usize = 256;

/// Input of a [`PlacementOwner`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The object was read, or the read failed.
    ReadAnswered(Result<Option<StoredObject>, StoreError>),
    /// The object was written, or the write failed or has an unknown outcome.
    WriteAnswered(Result<ObjectVersion, StoreError>),
    /// A watch or a relay delivered the object. It is ignored if its version is not newer, while a
    /// call to the store is open, and while the outcome of a write is unknown.
    ObjectChanged(StoredObject),
    /// An edit is requested.
    EditRequested(PlacementEdit),
    /// A side process confirmed the release with this fencing number: its engine has unloaded.
    Unloaded(SlotHolder, FencingNumber),
    /// A side process announced itself.
    HolderSeen(SlotHolder),
    /// The VM list was read.
    VmsListed(BTreeSet<VmId>),
    /// The VM list was read, but some of its entries have no name: it shows which VMs exist, not
    /// which ones are gone.
    VmsListedInPart(BTreeSet<VmId>),
    /// The VM list could not be read.
    ListFailed,
    /// Periodic: orders releases again, requests the VM list and retries calls to the store.
    Tick,
}

/// Output of a [`PlacementOwner`], to be performed by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the object.
    Read,
    /// Write the object if the condition holds.
    Write(Bytes, WriteCondition),
    /// Read the VM list.
    ListVms,
    /// Order a side process to unload and release its slot.
    OrderRelease(SlotHolder, FencingNumber),
    /// Report the outcome of a requested edit.
    Report(PlacementEdit, OwnerReport),
}

/// Outcome of a requested edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerReport {
    /// The stored object matches the edit.
    Applied,
    /// The edit is not permitted.
    Refused(EditRefusal),
    /// Too many edits wait for the store; the edit was dropped.
    QueueFull,
}

#[derive(Debug)]
struct CachedObject {
    version: ObjectVersion,
    object: PlacementObject,
}

#[derive(Debug)]
struct InFlightWrite {
    object: PlacementObject,
    edits: Vec<PlacementEdit>,
}

/// Owner of one model; see the documentation of the module.
#[derive(Debug)]
pub struct PlacementOwner {
    model: ModelId,
    process: ProcessIncarnation,
    checks: PlacementChecks,
    cached: Option<CachedObject>,
    is_stale: bool,
    pending: Vec<PlacementEdit>,
    writing: Option<InFlightWrite>,
    uncertain_write: Option<EditTag>,
    is_reading: bool,
    write_count: u64,
    vms: VmWatch,
    failures: u32,
    retry_at: Option<Instant>,
    actions: Vec<OwnerAction>,
}

impl PlacementOwner {
    /// Creates an owner that has not read the object; `process` identifies its writes.
    pub fn new(model: ModelId, process: ProcessIncarnation) -> Self {
        Self::with_checks(model, process, PlacementChecks::default())
    }

    /// Creates an owner with the given checks; other than the default only in tests.
    pub fn with_checks(
        model: ModelId,
        process: ProcessIncarnation,
        checks: PlacementChecks,
    ) -> Self {
        Self {
            model,
            process,
            checks,
            cached: None,
            is_stale: true,
            pending: Vec::new(),
            writing: None,
            uncertain_write: None,
            is_reading: false,
            write_count: 0,
            vms: VmWatch::default(),
            failures: 0,
            retry_at: None,
            actions: Vec::new(),
        }
    }

    /// Applies one event and returns the actions to perform, in order.
    pub fn step(&mut self, event: OwnerEvent, now: Instant) -> Vec<OwnerAction> {
        match event {
            OwnerEvent::ReadAnswered(answer) => self.handle_read(answer, now),
            OwnerEvent::WriteAnswered(answer) => self.handle_write(answer, now),
            OwnerEvent::ObjectChanged(object) => self.apply_change(&object),
            OwnerEvent::EditRequested(edit) => self.add_edit(edit),
            OwnerEvent::Unloaded(holder, fence) => {
                self.add_edit(PlacementEdit::Free(holder.vm, fence))
            }
            OwnerEvent::HolderSeen(holder) => self.update_holder(holder),
            OwnerEvent::VmsListed(vms) => self.apply_vm_list(&vms),
            OwnerEvent::VmsListedInPart(vms) => self.vms.apply_part(&vms),
            OwnerEvent::ListFailed => self.vms.fail_request(),
            OwnerEvent::Tick => self.tick(),
        }
        self.start_next_call(now);
        mem::take(&mut self.actions)
    }

    /// The object as last read or written, also while the store is down; `None` if there is none.
    pub fn object(&self) -> Option<&PlacementObject> {
        self.cached.as_ref().map(|cached| &cached.object)
    }

    /// Whether the object was read, and no later write failed by a conflict or with an unknown
    /// outcome.
    pub fn is_current(&self) -> bool {
        !self.is_stale
    }

    /// Whether a call to the store failed and none succeeded since; conflicts and writes with an
    /// unknown outcome do not count as failures.
    pub fn is_store_failing(&self) -> bool {
        self.failures > 0
    }

    /// Slots under which loads are permitted.
    pub fn held_slots(&self) -> impl Iterator<Item = &PlacementSlot> {
        let slots = self.object().map(|object| object.slots.as_slice()).unwrap_or_default();
        slots.iter().filter(|slot| slot.is_held())
    }

    fn add_edit(&mut self, edit: PlacementEdit) {
        if self.pending.contains(&edit) {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            return self.report(edit, OwnerReport::QueueFull);
        }
        match &edit {
            PlacementEdit::Grant(holder, _) if !self.vms.contains(&holder.vm) => {
                self.report(edit, OwnerReport::Refused(EditRefusal::VmUnknown));
            }
            _ => self.pending.push(edit),
        }
    }

    fn update_holder(&mut self, holder: SlotHolder) {
        let slot = self.object().and_then(|object| object.slot(&holder.vm));
        if slot.is_some_and(|slot| slot.holder != holder) {
            self.add_edit(PlacementEdit::Rebind(holder));
        }
    }

    fn tick(&mut self) {
        self.order_releases();
        if self.vms.start_request(self.cached.as_ref().map(|cached| cached.object.last_fence)) {
            self.actions.push(OwnerAction::ListVms);
        }
    }

    fn order_releases(&mut self) {
        let Some(cached) = &self.cached else { return };
        for slot in &cached.object.slots {
            if let SlotState::Releasing(_) = slot.state {
                self.actions.push(OwnerAction::OrderRelease(slot.holder.clone(), slot.fence));
            }
        }
    }

    fn apply_vm_list(&mut self, vms: &BTreeSet<VmId>) {
        let slots = self.cached.as_ref().map(|cached| cached.object.slots.as_slice());
        let edits = self.vms.apply_list(vms, slots.unwrap_or_default(), self.checks);
        edits.into_iter().for_each(|edit| self.add_edit(edit));
    }

    fn report(&mut self, edit: PlacementEdit, report: OwnerReport) {
        self.actions.push(OwnerAction::Report(edit, report));
    }
}
