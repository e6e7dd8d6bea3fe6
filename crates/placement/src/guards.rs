//! Switches for single safety checks, so that tests can show what each check prevents.

/// The safety checks of a placement owner; all are on outside tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementGuards {
    /// A write that lost against another is worked out anew from what the other wrote.
    pub reread: bool,
    /// A slot is freed only after its holder's confirmation.
    pub await_confirmation: bool,
    /// Only a VM list requested after the slot was read may show its VM gone.
    pub ignore_old_lists: bool,
    /// A count from older lists does not replace one from newer lists.
    pub compare_count: bool,
    /// No more slots are granted than were decided.
    pub bound_slots: bool,
}

impl Default for PlacementGuards {
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
