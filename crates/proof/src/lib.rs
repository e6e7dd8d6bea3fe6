//! Fault matrix over separate processes: starts the programs and the stand-ins, injects faults and
//! checks the system's invariants against what callers received and the stand-ins recorded.

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
