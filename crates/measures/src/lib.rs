//! Code that the benches share: measured figures with their targets, CPU time and memory of a
//! process, and simulated replays of request traces.

pub mod figures;
pub mod replay;
pub mod usage;
