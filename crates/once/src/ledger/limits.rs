//! Bounds and checks of a run ledger.

use base::prelude::*;

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Most runs at the engine at once.
    pub max_runs: usize,
    /// Length of an epoch.
    pub epoch_duration: Duration,
    /// Most requests recorded in an epoch before the next one starts.
    pub max_epoch_records: usize,
    /// Epochs whose records are kept.
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

/// Checks of a ledger; tests turn single ones off to see their faults found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerGuards {
    /// Orders for another incarnation are refused.
    pub incarnation: bool,
    /// Known request ids are not run again.
    pub repeats: bool,
    /// A cancel for an unknown request, and a refusal, bar later orders.
    pub tombstones: bool,
    /// Orders from forgotten epochs are refused.
    pub epochs: bool,
    /// A leaving side process refuses new work.
    pub drain: bool,
    /// A suspect runs alone.
    pub isolation: bool,
}

impl Default for LedgerGuards {
    fn default() -> Self {
        Self {
            incarnation: true,
            repeats: true,
            tombstones: true,
            epochs: true,
            drain: true,
            isolation: true,
        }
    }
}
