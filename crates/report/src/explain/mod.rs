//! Explains one request from the decision logs of several processes.
//!
//! Lines of one process are ordered by their numbers. Lines of different processes are ordered by
//! cause, because wall clocks jump and disagree: a plan comes before the order that follows from
//! it, and an order before the assignment of requests to that engine.

mod line;
mod order;
mod trace;

pub use self::{
    line::{DecisionLogs, LogLine},
    trace::{CallTrace, explain},
};
