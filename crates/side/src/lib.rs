//! The side process that runs beside each backend server.
//!
//! Only this process sends load, unload and cancel orders to its backend server. It makes the final
//! check of memory, loads, drain and admission before a request reaches the backend server.

pub mod admin;
pub mod answer;
pub mod backend;
pub mod drain;
pub mod engine_watch;
pub mod listing;
pub mod loads;
pub mod metrics;
pub mod process;
pub mod requests;
pub mod settings;

pub use crate::{process::SideHandle, settings::SideSettings};
