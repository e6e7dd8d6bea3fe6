//! Choice of owner and backend server, hedges, retries and the assembly of answers.

pub mod rendezvous;

pub use crate::rendezvous::{OwnerCount, OwnerKey, OwnerRanking};
