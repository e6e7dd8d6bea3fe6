//! Replay of request histories through the decisions of an owner, or of a naive router, in virtual
//! time.
//!
//! Backend servers are reduced to slots and a speed; nothing is sent anywhere.

pub mod driver;
pub mod job;
pub mod naive;
pub mod server;
pub mod summary;

pub use self::{
    driver::{ReplayRouter, replay},
    job::{Job, ReplayFleet, SpeedChange, Workload},
    summary::{JobEnd, JobOutcome, ReplaySummary},
};
