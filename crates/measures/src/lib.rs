//! What the benches share: figures with their targets, the use of a process, and
//! replays of request histories.

pub mod figures;
pub mod replay;
pub mod usage;
