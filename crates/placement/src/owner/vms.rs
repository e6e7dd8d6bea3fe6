//! Detects slots whose VM no longer exists, from a VM list that may lag behind.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::{checks::PlacementChecks, edit::PlacementEdit, object::PlacementSlot};

/// The latest VM list, and the request for the next one; at most one request is open.
#[derive(Debug, Default)]
pub(super) struct VmWatch {
    /// Highest fencing number that was known when the open request was sent; `None` if none is
    /// open. A slot with a higher one may be on a VM that is newer than the answer.
    fence_at_request: Option<FencingNumber>,
    listed: BTreeSet<VmId>,
}

impl VmWatch {
    /// Starts a request unless one is open, and returns whether it did.
    pub fn start_request(&mut self, last_fence: Option<FencingNumber>) -> bool {
        let is_due = self.fence_at_request.is_none();
        if is_due {
            self.fence_at_request = Some(last_fence.unwrap_or_default());
        }
        is_due
    }

    /// Ends the open request without an answer.
    pub fn fail_request(&mut self) {
        self.fence_at_request = None;
    }

    /// Applies an answer that names only some of the VMs: it shows which ones exist, but not which
    /// ones are gone.
    pub fn apply_part(&mut self, vms: &BTreeSet<VmId>) {
        if self.fence_at_request.take().is_some() {
            self.listed.clone_from(vms);
        }
    }

    /// Whether the latest list has `vm`.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.listed.contains(vm)
    }

    /// Applies the answer and returns the edits that free slots whose VM is not in it.
    pub fn apply_list(
        &mut self,
        vms: &BTreeSet<VmId>,
        slots: &[PlacementSlot],
        checks: PlacementChecks,
    ) -> Vec<PlacementEdit> {
        let Some(highest_fence) = self.fence_at_request.take() else { return Vec::new() };
        self.listed.clone_from(vms);
        slots
            .iter()
            .filter(|slot| slot.fence <= highest_fence || !checks.ignore_old_lists)
            .filter(|slot| !vms.contains(&slot.holder.vm))
            .map(|slot| PlacementEdit::FreeLost(slot.holder.vm.clone(), slot.fence))
            .collect()
    }
}
