//! Switches for the safety checks of the memory ledger, so that tests can turn one off and show the
//! fault that it prevents.

/// Safety checks of the memory ledger; all are on by default and in production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Reserve memory before the load call is sent to the engine.
    pub reserve_before_load: bool,
    /// Free memory only when an engine listing no longer contains the target.
    pub free_by_listing: bool,
    /// Ignore a listing that was requested before the latest change of a target.
    pub ignore_stale_listings: bool,
    /// Keep memory reserved for load calls whose outcome is unknown.
    pub reserve_uncertain_loads: bool,
    /// Deny orders with an old fencing number or for another process.
    pub check_fences: bool,
    /// Never unload a target that requests are using.
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
