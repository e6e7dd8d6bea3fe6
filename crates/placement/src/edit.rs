//! Edits of a placement object: each is idempotent, so that it can be applied again to what
//! another writer left.

use std::fmt;

use base::prelude::*;

use crate::{
    guards::PlacementGuards,
    object::{MAX_SLOTS, PlacementObject, PlacementSlot, SlotHolder, SlotState},
};

/// A change of a placement object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEdit {
    /// Replace the wanted count by the one of a version of the lists.
    Resize {
        /// Count asked for.
        to: u32,
        /// Version of the lists that asks for it.
        list: ListVersion,
    },
    /// Give a slot to a side process, for a model that takes this much memory.
    Grant(SlotHolder, ByteSize),
    /// Take the slot of a VM back once its holder has unloaded.
    Release(VmId),
    /// The holder confirmed the release with this fencing number.
    Free(VmId, FencingNumber),
    /// A new side process runs on a VM that has a slot.
    Rebind(SlotHolder),
    /// The holder knows that no earlier process's order can still happen.
    Settle(SlotHolder, FencingNumber),
    /// The VM list no longer has the VM, which held a slot with this fencing number.
    Bury(VmId, FencingNumber),
}

impl fmt::Display for PlacementEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementEdit::Resize { to, list } => write!(f, "resize to {to} by lists {list}"),
            PlacementEdit::Grant(holder, memory) => write!(f, "grant {memory} to {holder}"),
            PlacementEdit::Release(vm) => write!(f, "release at {vm}"),
            PlacementEdit::Free(vm, fence) => write!(f, "free {fence} at {vm}"),
            PlacementEdit::Rebind(holder) => write!(f, "rebind to {holder}"),
            PlacementEdit::Settle(holder, fence) => write!(f, "settle {fence} at {holder}"),
            PlacementEdit::Bury(vm, fence) => write!(f, "free {fence} of lost {vm}"),
        }
    }
}

/// Why an edit cannot be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditRefusal {
    /// All decided slots are taken.
    NoSlot,
    /// The VM has a slot that is being released.
    StillReleasing,
    /// The wanted count comes from newer lists.
    CountChanged,
    /// The slot is gone or has changed since.
    SlotChanged,
    /// The VM list that was read last does not have the VM.
    VmUnknown,
    /// The count is larger than one object can hold.
    CountTooLarge,
}

impl fmt::Display for EditRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EditRefusal::NoSlot => "all decided slots are taken",
            EditRefusal::StillReleasing => "the slot on the VM is being released",
            EditRefusal::CountChanged => "the wanted count comes from newer lists",
            EditRefusal::SlotChanged => "the slot has changed since",
            EditRefusal::VmUnknown => "the VM list does not have the VM",
            EditRefusal::CountTooLarge => "the count is larger than an object can hold",
        })
    }
}

/// What an edit did to the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditOutcome {
    /// The object was changed.
    Changed,
    /// The object was already so.
    Unchanged,
    /// Nothing was changed.
    Refused(EditRefusal),
}

impl PlacementObject {
    /// Applies `edit`.
    pub fn apply(&mut self, edit: &PlacementEdit, guards: PlacementGuards) -> EditOutcome {
        match edit {
            PlacementEdit::Resize { to, list } => self.resize(*to, *list, guards),
            PlacementEdit::Grant(holder, memory) => self.grant(holder, *memory, guards),
            PlacementEdit::Release(vm) => self.release(vm, guards),
            PlacementEdit::Free(vm, fence) => self.free(vm, *fence),
            PlacementEdit::Rebind(holder) => self.rebind(holder),
            PlacementEdit::Settle(holder, fence) => self.settle(holder, *fence),
            PlacementEdit::Bury(vm, fence) => self.bury(vm, *fence),
        }
    }

    fn draw_fence(&mut self) -> FencingNumber {
        self.last_fence = self.last_fence.next();
        self.last_fence
    }

    fn resize(&mut self, to: u32, list: ListVersion, guards: PlacementGuards) -> EditOutcome {
        if self.wanted == to {
            return EditOutcome::Unchanged;
        }
        if to > MAX_SLOTS {
            return EditOutcome::Refused(EditRefusal::CountTooLarge);
        }
        if guards.compare_count && list < self.list {
            return EditOutcome::Refused(EditRefusal::CountChanged);
        }
        self.wanted = to;
        self.list = list;
        self.release_excess(guards);
        self.follow_wanted();
        EditOutcome::Changed
    }

    /// Marks held slots above the wanted count as releasing, the newest first.
    fn release_excess(&mut self, guards: PlacementGuards) {
        let held: Vec<VmId> = self
            .slots
            .iter()
            .filter(|slot| slot.is_held())
            .map(|slot| slot.holder.vm.clone())
            .collect();
        for vm in held.iter().skip(self.wanted as usize).rev() {
            self.release(vm, guards);
        }
    }

    /// The decided count falls to the wanted count only as fast as slots are freed.
    fn follow_wanted(&mut self) {
        self.decided = self.wanted.max(self.slot_count());
    }

    fn grant(
        &mut self,
        holder: &SlotHolder,
        memory: ByteSize,
        guards: PlacementGuards,
    ) -> EditOutcome {
        match self.slot(&holder.vm) {
            Some(slot) if !slot.is_held() => {
                return EditOutcome::Refused(EditRefusal::StillReleasing);
            }
            Some(slot) if slot.holder == *holder => return self.enlarge(&holder.vm, memory),
            Some(_) => return self.rebind(holder),
            None => {}
        }
        if guards.bound_slots && self.slot_count() >= self.wanted {
            return EditOutcome::Refused(EditRefusal::NoSlot);
        }
        let fence = self.draw_fence();
        let (holder, state) = (holder.clone(), SlotState::Held);
        self.slots.push(PlacementSlot { holder, fence, state, memory, unsettled: 0 });
        EditOutcome::Changed
    }

    /// A slot's memory only grows, so that room for its load is never underestimated.
    fn enlarge(&mut self, vm: &VmId, memory: ByteSize) -> EditOutcome {
        match self.slot_mut(vm) {
            Some(slot) if slot.memory < memory => {
                slot.memory = memory;
                EditOutcome::Changed
            }
            _ => EditOutcome::Unchanged,
        }
    }

    fn release(&mut self, vm: &VmId, guards: PlacementGuards) -> EditOutcome {
        if self.slot(vm).is_none_or(|slot| !slot.is_held()) {
            return EditOutcome::Unchanged;
        }
        if !guards.await_confirmation {
            return self.drop_slot(vm);
        }
        let fence = self.draw_fence();
        if let Some(slot) = self.slot_mut(vm) {
            slot.fence = fence;
            slot.state = SlotState::Releasing(fence);
        }
        EditOutcome::Changed
    }

    fn free(&mut self, vm: &VmId, fence: FencingNumber) -> EditOutcome {
        let Some(slot) = self.slot(vm) else { return EditOutcome::Unchanged };
        match slot.state {
            SlotState::Releasing(since) if fence >= since => self.drop_slot(vm),
            _ => EditOutcome::Refused(EditRefusal::SlotChanged),
        }
    }

    fn bury(&mut self, vm: &VmId, fence: FencingNumber) -> EditOutcome {
        match self.slot(vm) {
            None => EditOutcome::Unchanged,
            Some(slot) if slot.fence == fence => self.drop_slot(vm),
            Some(_) => EditOutcome::Refused(EditRefusal::SlotChanged),
        }
    }

    fn drop_slot(&mut self, vm: &VmId) -> EditOutcome {
        self.slots.retain(|slot| slot.holder.vm != *vm);
        self.follow_wanted();
        EditOutcome::Changed
    }

    fn rebind(&mut self, holder: &SlotHolder) -> EditOutcome {
        if self.slot(&holder.vm).is_none_or(|slot| slot.holder == *holder) {
            return EditOutcome::Unchanged;
        }
        let fence = self.draw_fence();
        if let Some(slot) = self.slot_mut(&holder.vm) {
            slot.holder = holder.clone();
            slot.fence = fence;
            slot.unsettled += 1;
        }
        EditOutcome::Changed
    }

    fn settle(&mut self, holder: &SlotHolder, fence: FencingNumber) -> EditOutcome {
        let is_same = |slot: &&mut PlacementSlot| slot.holder == *holder && slot.fence == fence;
        match self.slot_mut(&holder.vm).filter(is_same) {
            Some(slot) if slot.unsettled > 0 => {
                slot.unsettled = 0;
                EditOutcome::Changed
            }
            Some(_) => EditOutcome::Unchanged,
            None => EditOutcome::Refused(EditRefusal::SlotChanged),
        }
    }

    fn slot_mut(&mut self, vm: &VmId) -> Option<&mut PlacementSlot> {
        self.slots.iter_mut().find(|slot| slot.holder.vm == *vm)
    }
}
