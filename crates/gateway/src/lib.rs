//! The gateway: the entry process on the users' platform.
//!
//! It accepts requests from callers, decides by the desk where each goes, and passes answers on.

pub mod attempt;
pub mod backends;
mod call;
mod fleet;
mod follow;
mod front;
pub mod metrics;
mod ops;
mod own_entry;
mod permits;
pub mod process;
mod relay;
pub mod settings;
pub mod sse;
mod story;
pub mod telling;

pub use crate::{
    process::{GatewayHandle, StartError},
    settings::GatewaySettings,
};
