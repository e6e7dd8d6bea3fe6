//! One module for each way to run.

pub mod agent;
pub mod side;
