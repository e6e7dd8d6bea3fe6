//! The entry process that accepts requests from callers.
//!
//! Any entry serves any caller. Each entry is also the owner of the models and services that
//! rendezvous hashing assigns to it: it tracks their replicas and schedules their waiting requests.

pub mod answer_body;
pub mod answer_codec;
pub mod answer_memory;
pub mod answers;
pub mod calls;
pub mod claims;
pub mod connection_limit;
pub mod fleet;
pub mod grants;
pub mod inbox;
pub mod leaving;
pub mod metrics;
pub mod owner;
pub mod peers;
pub mod process;
pub mod refusals;
pub mod request_body;
pub mod requests;
pub mod runs;
pub mod server;
pub mod server_load;
pub mod settings;
pub mod slow;
pub mod unread;

pub use crate::{process::EntryHandle, settings::EntrySettings};
