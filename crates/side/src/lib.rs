//! The side process that runs beside each backend server.
//!
//! It is the only giver of orders to its backend server and the last gate for memory, loads,
//! drain and admission.

pub mod admin;
pub mod answer;
pub mod backend;
pub mod drain;
pub mod engine_watch;
pub mod loads;
pub mod metrics;
pub mod process;
pub mod requests;
pub mod settings;

pub use crate::{process::SideHandle, settings::SideSettings};
