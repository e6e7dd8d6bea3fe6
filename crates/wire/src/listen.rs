//! Listening on the addresses of a process.

use std::{io, net::SocketAddr};

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

/// An address is taken; for a peer address, another process of the same kind may be running.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Result of listening.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Listens on `address`; no other process can while this one does.
///
/// # Errors
///
/// Fails if the address is taken.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}
