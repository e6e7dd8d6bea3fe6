//! Switches for single checks, so that tests can show what each check prevents.

/// Checks of a placement owner; all are on outside of tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementChecks {
    /// After a failed conditional write, edits are applied again to the object as it is stored.
    pub reread: bool,
    /// A slot is freed only after its holder has confirmed the unload.
    pub await_confirmation: bool,
    /// A VM list frees a slot only if it was requested after the slot was read.
    pub ignore_old_lists: bool,
    /// A count from older lists does not replace one from newer lists.
    pub compare_count: bool,
    /// No more slots are granted than the wanted count.
    pub bound_slots: bool,
}

impl Default for PlacementChecks {
    fn default() -> Self {
        Self {
            reread: true,
            await_confirmation: true,
            ignore_old_lists: true,
            compare_count: true,
            bound_slots: true,
        }
    }
}
