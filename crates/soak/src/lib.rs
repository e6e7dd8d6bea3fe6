//! Randomized soak test: runs the real programs as separate processes, injects faults from outside
//! and checks invariants on what callers and backend servers record.
//!
//! A seed determines the size of the fleet, the faults with their times, and the requests. Clock
//! and disk faults are not injected: the programs use wall-clock time for display only and have no
//! storage of their own. Faults of the store are faults of the platform's store.

pub mod callers;
pub mod checks;
pub mod deployed;
pub mod fleet;
pub mod injection;
pub mod odd_names;
pub mod plan;
pub mod run;

pub use crate::{plan::SoakPlan, run::run_plan};
