//! The agent: the side process on the users' platform.
//!
//! It runs beside one engine, is the only one to give it orders, and tells the entries what the
//! engine holds.

mod engine;
pub mod metrics;
pub mod process;
pub mod settings;
mod telling;

pub use crate::{
    process::{Agent, StartError},
    settings::AgentSettings,
};
