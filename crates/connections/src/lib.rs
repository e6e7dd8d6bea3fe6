//! HTTP connections to backend servers and to the platform's store.
//!
//! A connection carries one request at a time. A failure tells whether the request can have been
//! read by the other end, because only then may it have run.

pub mod connect;
pub mod pool;

pub use crate::{
    connect::{ConnectSettings, Connection, SendError},
    pool::{ConnectionPool, Lease, PoolSettings},
};
