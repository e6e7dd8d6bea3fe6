//! Edits of a placement object. Each is idempotent, so that it can be applied again to the object
//! as another writer changed it.

use std::fmt;

use base::prelude::*;

use crate::{
    checks::PlacementChecks,
    object::{MAX_SLOTS, PlacementObject, PlacementSlot, SlotHolder, SlotState},
};

/// A change of a placement object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEdit {
    /// Set the wanted count to that of a version of the lists.
    Resize {
        /// New wanted count.
        to: u32,
        /// Version of the lists that the count comes from.
        list: ListVersion,
    },
    /// Grant a slot to a side process; the model takes this much memory.
    Grant(SlotHolder, ByteSize),
    /// Start the release of the slot on a VM; it is freed once its holder has unloaded.
    Release(VmId),
    /// Free a slot whose holder confirmed the release with this fencing number.
    Free(VmId, FencingNumber),
    /// Move the slot of a VM to the new side process that runs there.
    Rebind(SlotHolder),
    /// Clear [`PlacementSlot::unsettled`]: the holder, under this fencing number, knows that no
    /// order of an earlier process can still take effect.
    ClearUnsettled(SlotHolder, FencingNumber),
    /// Free a slot with this fencing number whose VM is no longer in the VM list.
    FreeLost(VmId, FencingNumber),
}

impl fmt::Display for PlacementEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementEdit::Resize { to, list } => write!(f, "resize to {to} by lists {list}"),
            PlacementEdit::Grant(holder, memory) => write!(f, "grant {memory} to {holder}"),
            PlacementEdit::Release(vm) => write!(f, "release at {vm}"),
            PlacementEdit::Free(vm, fence) => write!(f, "free {fence} at {vm}"),
            PlacementEdit::Rebind(holder) => write!(f, "rebind to {holder}"),
            PlacementEdit::ClearUnsettled(holder, fence) => {
                write!(f, "clear unsettled at {fence} of {holder}")
            }
            PlacementEdit::FreeLost(vm, fence) => write!(f, "free {fence} of lost {vm}"),
        }
    }
}

/// Reason for which an edit is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditRefusal {
    /// There are already as many slots as wanted.
    NoSlot,
    /// The VM has a slot that is being released.
    StillReleasing,
    /// The current wanted count comes from newer lists.
    CountChanged,
    /// The slot no longer exists, or has another holder, fencing number or state.
    SlotChanged,
    /// The VM list that was read last does not have the VM.
    VmUnknown,
    /// The count is larger than [`MAX_SLOTS`].
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

/// Outcome of applying an edit to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditOutcome {
    /// The object was changed.
    Changed,
    /// The object already matches the edit.
    Unchanged,
    /// The edit is not permitted; the object was not changed.
    Refused(EditRefusal),
}

impl PlacementObject {
    /// Applies `edit`, with the given checks.
    pub fn apply(&mut self, edit: &PlacementEdit, checks: PlacementChecks) -> EditOutcome {
        match edit {
            PlacementEdit::Resize { to, list } => self.resize(*to, *list, checks),
            PlacementEdit::Grant(holder, memory) => self.grant(holder, *memory, checks),
            PlacementEdit::Release(vm) => self.release(vm, checks),
            PlacementEdit::Free(vm, fence) => self.free(vm, *fence),
            PlacementEdit::Rebind(holder) => self.rebind(holder),
            PlacementEdit::ClearUnsettled(holder, fence) => self.clear_unsettled(holder, *fence),
            PlacementEdit::FreeLost(vm, fence) => self.free_lost(vm, *fence),
        }
    }

    fn issue_fence(&mut self) -> FencingNumber {
        self.last_fence = self.last_fence.next();
        self.last_fence
    }

    fn resize(&mut self, to: u32, list: ListVersion, checks: PlacementChecks) -> EditOutcome {
        if self.wanted == to {
            return EditOutcome::Unchanged;
        }
        if to > MAX_SLOTS {
            return EditOutcome::Refused(EditRefusal::CountTooLarge);
        }
        if checks.compare_count && list < self.list {
            return EditOutcome::Refused(EditRefusal::CountChanged);
        }
        self.wanted = to;
        self.list = list;
        self.release_excess(checks);
        self.update_decided();
        EditOutcome::Changed
    }

    /// Starts the release of held slots above the wanted count, the newest first.
    fn release_excess(&mut self, checks: PlacementChecks) {
        let held: Vec<VmId> = self
            .slots
            .iter()
            .filter(|slot| slot.is_held())
            .map(|slot| slot.holder.vm.clone())
            .collect();
        for vm in held.iter().skip(self.wanted as usize).rev() {
            self.release(vm, checks);
        }
    }

    /// Sets the decided count, which falls to a lower wanted count only as slots are freed.
    fn update_decided(&mut self) {
        self.decided = self.wanted.max(self.slot_count());
    }

    fn grant(
        &mut self,
        holder: &SlotHolder,
        memory: ByteSize,
        checks: PlacementChecks,
    ) -> EditOutcome {
        match self.slot(&holder.vm) {
            Some(slot) if !slot.is_held() => {
                return EditOutcome::Refused(EditRefusal::StillReleasing);
            }
            Some(slot) if slot.holder == *holder => return self.raise_memory(&holder.vm, memory),
            Some(_) => return self.rebind(holder),
            None => {}
        }
        if checks.bound_slots && self.slot_count() >= self.wanted {
            return EditOutcome::Refused(EditRefusal::NoSlot);
        }
        let fence = self.issue_fence();
        let (holder, state) = (holder.clone(), SlotState::Held);
        self.slots.push(PlacementSlot { holder, fence, state, memory, unsettled: 0 });
        EditOutcome::Changed
    }

    /// Raises the memory of a slot. It never shrinks, so that the memory of a load is never
    /// underestimated.
    fn raise_memory(&mut self, vm: &VmId, memory: ByteSize) -> EditOutcome {
        match self.slot_mut(vm) {
            Some(slot) if slot.memory < memory => {
                slot.memory = memory;
                EditOutcome::Changed
            }
            _ => EditOutcome::Unchanged,
        }
    }

    fn release(&mut self, vm: &VmId, checks: PlacementChecks) -> EditOutcome {
        if self.slot(vm).is_none_or(|slot| !slot.is_held()) {
            return EditOutcome::Unchanged;
        }
        if !checks.await_confirmation {
            return self.remove_slot(vm);
        }
        let fence = self.issue_fence();
        if let Some(slot) = self.slot_mut(vm) {
            slot.fence = fence;
            slot.state = SlotState::Releasing(fence);
        }
        EditOutcome::Changed
    }

    fn free(&mut self, vm: &VmId, fence: FencingNumber) -> EditOutcome {
        let Some(slot) = self.slot(vm) else { return EditOutcome::Unchanged };
        match slot.state {
            SlotState::Releasing(since) if fence >= since => self.remove_slot(vm),
            _ => EditOutcome::Refused(EditRefusal::SlotChanged),
        }
    }

    fn free_lost(&mut self, vm: &VmId, fence: FencingNumber) -> EditOutcome {
        match self.slot(vm) {
            None => EditOutcome::Unchanged,
            Some(slot) if slot.fence == fence => self.remove_slot(vm),
            Some(_) => EditOutcome::Refused(EditRefusal::SlotChanged),
        }
    }

    fn remove_slot(&mut self, vm: &VmId) -> EditOutcome {
        self.slots.retain(|slot| slot.holder.vm != *vm);
        self.update_decided();
        EditOutcome::Changed
    }

    fn rebind(&mut self, holder: &SlotHolder) -> EditOutcome {
        if self.slot(&holder.vm).is_none_or(|slot| slot.holder == *holder) {
            return EditOutcome::Unchanged;
        }
        let fence = self.issue_fence();
        if let Some(slot) = self.slot_mut(&holder.vm) {
            slot.holder = holder.clone();
            slot.fence = fence;
            slot.unsettled += 1;
        }
        EditOutcome::Changed
    }

    fn clear_unsettled(&mut self, holder: &SlotHolder, fence: FencingNumber) -> EditOutcome {
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
