//! The gateway: the entry process on the users' platform.
//!
//! It accepts requests from callers, has the dispatcher choose a backend server for each, and
//! relays the answers.

pub mod answer_memory;
pub mod attempt;
mod authentication;
pub mod backends;
mod block_archive;
mod call;
mod caller_connection;
mod catalog_exchange;
mod catalog_holder;
pub mod connection_table;
mod crash_probe;
pub mod demand;
mod fleet;
mod follow;
mod front;
pub mod hedging;
mod memory;
pub mod memory_budget;
pub mod metrics;
mod ops;
mod permits;
pub mod process;
mod quota;
pub mod quota_metrics;
mod registration;
mod relay;
pub mod relisting;
mod request_body;
pub mod request_memory;
mod restores;
mod resumption;
pub mod settings;
pub mod sse;
mod store_reads;
mod trace;
pub mod version_archive;
mod watched_connection;

pub use crate::{
    memory::ProcessMemory, permits::PermitClient, process::GatewayHandle, settings::GatewaySettings,
};
