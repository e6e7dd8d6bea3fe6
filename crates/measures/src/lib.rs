//! What the benches share: figures with their targets, and the use of a process.

pub mod figures;
pub mod usage;
