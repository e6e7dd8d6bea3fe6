//! HTTP/1 connections to backend servers and to the platform's store.
//!
//! A connection carries one request at a time. An error says whether the server may have read the
//! request, because only then may the request have run.

pub mod answer_head;
pub mod connect;
pub mod pool;
mod scanned_stream;

pub use crate::{
    connect::{ConnectSettings, Connection, SendError},
    pool::{ConnectionPool, Lease, PoolSettings},
};
