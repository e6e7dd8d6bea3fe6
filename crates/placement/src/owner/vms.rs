//! Which holders' VMs are gone, as far as a lagging VM list can prove it.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::{edit::PlacementEdit, guards::PlacementGuards, object::PlacementSlot};

/// One request for the VM list at a time, and what was known when it was sent.
#[derive(Debug, Default)]
pub(super) struct VmWatch {
    basis: Option<FencingNumber>,
    listed: BTreeSet<VmId>,
}

impl VmWatch {
    /// Whether a request is due; remembers which slots were known before it.
    pub fn start(&mut self, last_fence: Option<FencingNumber>) -> bool {
        let is_due = self.basis.is_none();
        if is_due {
            self.basis = Some(last_fence.unwrap_or_default());
        }
        is_due
    }

    /// The request was not answered.
    pub fn fail(&mut self) {
        self.basis = None;
    }

    /// Whether the latest list has `vm`.
    pub fn has(&self, vm: &VmId) -> bool {
        self.listed.contains(vm)
    }

    /// Edits that free the slots whose VM the list no longer has.
    pub fn take(
        &mut self,
        vms: &BTreeSet<VmId>,
        slots: &[PlacementSlot],
        guards: PlacementGuards,
    ) -> Vec<PlacementEdit> {
        let Some(basis) = self.basis.take() else { return Vec::new() };
        self.listed.clone_from(vms);
        slots
            .iter()
            .filter(|slot| slot.fence <= basis || !guards.ignore_old_lists)
            .filter(|slot| !vms.contains(&slot.holder.vm))
            .map(|slot| PlacementEdit::Bury(slot.holder.vm.clone(), slot.fence))
            .collect()
    }
}
