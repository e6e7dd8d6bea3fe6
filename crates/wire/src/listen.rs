//! Binding of the addresses of a process.

use std::{io, net::SocketAddr};

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

/// An address could not be bound. If it is the peer address, another process of the same kind may
/// be running on the VM.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Result of binding an address.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Binds `address` exclusively and listens on it.
///
/// # Errors
///
/// Fails if the address is in use or not available on this VM.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}
