//! The log of decisions: one JSON line for each decision that touches a request or changes what a
//! process believes.
//!
//! Writing never blocks the process. Lines beyond the rate or the buffer are dropped and counted.

mod event;
mod run;
mod sink;

pub use crate::{
    event::{DecisionEvent, Dependency, millis},
    run::run_logged,
    sink::{EventLog, LogLimits},
};
