//! Switches for single safety checks, so that tests can show what each check prevents.

/// The safety checks of the memory ledger; all are on outside tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Memory is reserved before the engine is ordered to load.
    pub reserve_before_load: bool,
    /// Memory is freed only when a listing shows the target gone.
    pub free_by_listing: bool,
    /// A listing requested before the latest change of a target says nothing about it.
    pub ignore_stale_listings: bool,
    /// Room is kept for load orders whose fate is unknown.
    pub reserve_uncertain_loads: bool,
    /// Orders with an old fencing number or for another process are denied.
    pub check_fences: bool,
    /// Requests keep their model loaded.
    pub protect_busy_targets: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            reserve_before_load: true,
            free_by_listing: true,
            ignore_stale_listings: true,
            reserve_uncertain_loads: true,
            check_fences: true,
            protect_busy_targets: true,
        }
    }
}
