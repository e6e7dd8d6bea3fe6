//! A randomized soak: the real programs as separate processes, faults injected from outside, and
//! the promises checked from what callers and backend servers see.
//!
//! A seed fixes the size of the fleet, the faults with their times, and the requests. The programs
//! use wall-clock time for display only and have no storage of their own, so clocks are left alone;
//! the store is disturbed as the platform's.

pub mod callers;
pub mod checks;
pub mod plan;
pub mod run;
pub mod strike;
pub mod world;

pub use crate::{plan::SoakPlan, run::run_plan};
