//! Limits and checks of a run ledger.

use base::prelude::*;

/// Limits of a run ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Most runs that may wait for the engine or be at the engine at once.
    pub max_runs: usize,
    /// Time after which the next epoch starts.
    pub epoch_duration: Duration,
    /// Number of records after which the next epoch starts early.
    pub max_epoch_records: usize,
    /// Number of past epochs whose records are kept.
    pub kept_epochs: u64,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_runs: 256,
            epoch_duration: Duration::from_secs(10),
            max_epoch_records: 1_024,
            kept_epochs: 60,
        }
    }
}

/// Checks of a ledger; tests disable each one to show that the fault it prevents is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerChecks {
    /// Refuses orders for another incarnation.
    pub incarnation: bool,
    /// Refuses to run a known attempt again.
    pub duplicates: bool,
    /// Records refusals, and cancels of unknown attempts, so that later orders are refused.
    pub tombstones: bool,
    /// Refuses orders from epochs whose records were dropped.
    pub epochs: bool,
    /// Refuses new runs while the side process drains.
    pub drain: bool,
    /// Runs an isolated run with no other run at the engine.
    pub isolation: bool,
}

impl Default for LedgerChecks {
    fn default() -> Self {
        Self {
            incarnation: true,
            duplicates: true,
            tombstones: true,
            epochs: true,
            drain: true,
            isolation: true,
        }
    }
}
