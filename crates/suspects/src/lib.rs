//! Requests that may crash the backend servers that run them.

pub mod key;
pub mod severed;

pub use crate::{
    key::{SuspectKey, SuspectKeys},
    severed::{SeveredAttempt, SeveredAttempts},
};
