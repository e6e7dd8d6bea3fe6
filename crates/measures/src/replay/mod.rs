//! Discrete-event replay of request traces in virtual time, routed by an owner's grant allocator or
//! by a naive router.
//!
//! Backend servers are simulated by slots, a queue and a speed; there is no network traffic.

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
