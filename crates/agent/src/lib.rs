//! The agent: the side process on the users' platform.
//!
//! One agent runs on the VM of each engine. It alone sends orders to that engine, permits requests
//! to be sent to it, and reports the engine's state and load to the entries.

pub mod engine;
pub mod metrics;
pub mod process;
mod publisher;
pub mod settings;

pub use crate::{process::Agent, settings::AgentSettings};
