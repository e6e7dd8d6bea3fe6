//! The owner of a model: the machine that changes its placement object.
//!
//! Any number of owners may run at once. Each works on the object as it last read it, writes
//! only by conditional update, and works its edits out anew when another writer was first.

mod store;
mod vms;

use std::{collections::BTreeSet, mem};

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectVersion, StoreError, StoredObject, WriteCondition};

use self::vms::VmWatch;
use crate::{
    edit::{EditRefusal, PlacementEdit},
    guards::PlacementGuards,
    object::{EditTag, PlacementObject, PlacementSlot, SlotHolder, SlotState},
};

/// Edits that may wait for the store.
const MAX_PENDING: usize = 256;

/// Something that happened at the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The object was read, or the read failed.
    ReadAnswered(Result<Option<StoredObject>, StoreError>),
    /// A write was answered.
    WriteAnswered(Result<ObjectVersion, StoreError>),
    /// A watch or relay showed a newer object.
    Changed(StoredObject),
    /// An edit is asked for.
    Asked(PlacementEdit),
    /// A side process confirmed that its engine has unloaded.
    Unloaded(SlotHolder, FencingNumber),
    /// A side process said who it is.
    HolderSeen(SlotHolder),
    /// The VM list was read.
    VmsListed(BTreeSet<VmId>),
    /// The VM list could not be read.
    ListFailed,
    /// Time passed.
    Tick,
}

/// What an owner must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the object.
    Read,
    /// Write the object.
    Write(Bytes, WriteCondition),
    /// Read the VM list.
    ListVms,
    /// Tell a side process to unload and give its slot up.
    OrderRelease(SlotHolder, FencingNumber),
    /// Tell the asker what became of an edit.
    Report(PlacementEdit, OwnerReport),
}

/// What became of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerReport {
    /// The object is as asked.
    Made,
    /// The edit cannot be made.
    Refused(EditRefusal),
    /// Too many edits wait for the store.
    QueueFull,
}

#[derive(Debug)]
struct KnownObject {
    version: ObjectVersion,
    object: PlacementObject,
}

#[derive(Debug)]
struct OpenWrite {
    object: PlacementObject,
    edits: Vec<PlacementEdit>,
}

/// The owner of one model; see the module's documentation.
#[derive(Debug)]
pub struct PlacementOwner {
    model: ModelId,
    process: ProcessIncarnation,
    guards: PlacementGuards,
    known: Option<KnownObject>,
    is_stale: bool,
    pending: Vec<PlacementEdit>,
    writing: Option<OpenWrite>,
    uncertain: Option<EditTag>,
    is_reading: bool,
    edits: u64,
    vms: VmWatch,
    failures: u32,
    retry_at: Option<Instant>,
    actions: Vec<OwnerAction>,
}

impl PlacementOwner {
    /// An owner that has read nothing yet.
    pub fn new(model: ModelId, process: ProcessIncarnation) -> Self {
        Self::with_guards(model, process, PlacementGuards::default())
    }

    /// An owner with some checks off, for tests that show what the checks prevent.
    pub fn with_guards(
        model: ModelId,
        process: ProcessIncarnation,
        guards: PlacementGuards,
    ) -> Self {
        Self {
            model,
            process,
            guards,
            known: None,
            is_stale: true,
            pending: Vec::new(),
            writing: None,
            uncertain: None,
            is_reading: false,
            edits: 0,
            vms: VmWatch::default(),
            failures: 0,
            retry_at: None,
            actions: Vec::new(),
        }
    }

    /// Takes in one event and returns what must be done, in order.
    pub fn step(&mut self, event: OwnerEvent, now: Instant) -> Vec<OwnerAction> {
        match event {
            OwnerEvent::ReadAnswered(answer) => self.take_read(answer, now),
            OwnerEvent::WriteAnswered(answer) => self.take_write(answer, now),
            OwnerEvent::Changed(object) => self.take_change(&object),
            OwnerEvent::Asked(edit) => self.ask(edit),
            OwnerEvent::Unloaded(holder, fence) => self.ask(PlacementEdit::Free(holder.vm, fence)),
            OwnerEvent::HolderSeen(holder) => self.see_holder(holder),
            OwnerEvent::VmsListed(vms) => self.take_vms(&vms),
            OwnerEvent::ListFailed => self.vms.fail(),
            OwnerEvent::Tick => self.tick(),
        }
        self.proceed(now);
        mem::take(&mut self.actions)
    }

    /// The object as last read or written; usable while the store is down.
    pub fn object(&self) -> Option<&PlacementObject> {
        self.known.as_ref().map(|known| &known.object)
    }

    /// Whether the object was read and no write of this owner is in doubt.
    pub fn is_current(&self) -> bool {
        !self.is_stale
    }

    /// Whether the store failed the latest call.
    pub fn is_store_failing(&self) -> bool {
        self.failures > 0
    }

    /// Slots under which loads may be ordered.
    pub fn held_slots(&self) -> impl Iterator<Item = &PlacementSlot> {
        let slots = self.object().map(|object| object.slots.as_slice()).unwrap_or_default();
        slots.iter().filter(|slot| slot.is_held())
    }

    fn ask(&mut self, edit: PlacementEdit) {
        if self.pending.contains(&edit) {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            return self.report(edit, OwnerReport::QueueFull);
        }
        match &edit {
            PlacementEdit::Grant(holder, _) if !self.vms.has(&holder.vm) => {
                self.report(edit, OwnerReport::Refused(EditRefusal::VmUnknown));
            }
            _ => self.pending.push(edit),
        }
    }

    fn see_holder(&mut self, holder: SlotHolder) {
        let slot = self.object().and_then(|object| object.slot(&holder.vm));
        if slot.is_some_and(|slot| slot.holder != holder) {
            self.ask(PlacementEdit::Rebind(holder));
        }
    }

    fn tick(&mut self) {
        self.order_releases();
        if self.vms.start(self.known.as_ref().map(|known| known.object.last_fence)) {
            self.actions.push(OwnerAction::ListVms);
        }
    }

    fn order_releases(&mut self) {
        let Some(known) = &self.known else { return };
        for slot in &known.object.slots {
            if let SlotState::Releasing(_) = slot.state {
                self.actions.push(OwnerAction::OrderRelease(slot.holder.clone(), slot.fence));
            }
        }
    }

    fn take_vms(&mut self, vms: &BTreeSet<VmId>) {
        let slots = self.known.as_ref().map(|known| known.object.slots.as_slice());
        let gone = self.vms.take(vms, slots.unwrap_or_default(), self.guards);
        gone.into_iter().for_each(|edit| self.ask(edit));
    }

    fn report(&mut self, edit: PlacementEdit, report: OwnerReport) {
        self.actions.push(OwnerAction::Report(edit, report));
    }
}
