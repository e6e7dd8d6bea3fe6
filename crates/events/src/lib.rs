//! The decision log: one JSON line for each decision that affects a request or changes the state
//! that a process keeps of other processes.
//!
//! Writing never blocks the process. Lines beyond the rate limit or the buffer size are dropped and
//! counted.

mod engine_event;
mod event;
mod fields;
mod run;
mod sink;
mod tasks;

pub use crate::{
    engine_event::EngineEvent,
    event::DecisionEvent,
    fields::{Dependency, millis},
    run::{record_early_stop, run_with_log, run_with_output},
    sink::{EventLog, LogLimits, WriterThread},
    tasks::spawn_lasting,
};
