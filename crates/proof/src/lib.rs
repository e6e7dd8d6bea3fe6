//! Starts the programs and the stand-ins as separate processes, injects faults and judges by the
//! stand-ins' records whether every promise was kept.

pub mod admin;
pub mod binaries;
pub mod callers;
pub mod checks;
pub mod edits;
pub mod faults;
pub mod fleet;
pub mod injection;
pub mod matrix;
pub mod nodes;
pub mod plan;
pub mod process;
pub mod records;
pub mod relay;
pub mod runner;
pub mod steps;
