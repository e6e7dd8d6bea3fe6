//! Switches for single safety checks, so that tests can show what each check prevents.

/// The safety checks of the memory ledger; all are on outside tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardSet {
    /// Memory is reserved before the engine is ordered to load.
    pub reserve_first: bool,
    /// Memory is freed only when a listing shows the target gone.
    pub free_by_listing: bool,
    /// A listing requested before the latest change of a target says nothing about it.
    pub ignore_old_listings: bool,
    /// Room is kept for load orders whose fate is unknown.
    pub keep_doubtful: bool,
    /// Orders with an old fencing number or for another process are denied.
    pub check_fences: bool,
    /// Requests keep their model loaded.
    pub spare_busy: bool,
}

impl Default for GuardSet {
    fn default() -> Self {
        Self {
            reserve_first: true,
            free_by_listing: true,
            ignore_old_listings: true,
            keep_doubtful: true,
            check_fences: true,
            spare_busy: true,
        }
    }
}
