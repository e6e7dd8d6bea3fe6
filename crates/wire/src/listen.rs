//! Binding of the addresses of a process.

use std::{io, net::SocketAddr};

use base::{prelude::*, startup::take_when_free};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpSocket},
    time,
};

/// Connections that the kernel completes before the process accepts them. A VM that shares its core
/// stalls for tenths of a second, and the standard library's 128 overflow in a burst then; a caller
/// whose connection is dropped tries again only after a second.
const ACCEPT_BACKLOG: u32 = 512;

/// Pause between two attempts to bind the address of the metrics.
const METRICS_RETRY_PAUSE: Duration = Duration::from_secs(5);

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
    bind(address).context(ListenSnafu { address })
}

/// The same; waits for an address that is in use or not available yet.
pub async fn listen_when_free(address: SocketAddr) -> TcpListener {
    take_when_free(async || listen(address).await).await
}

/// Returns `listener`, or one that is bound as soon as `address` can be. The process works without:
/// the platform does not reserve the port of the metrics, and another program may have it for good.
pub async fn listen_for_metrics(
    mut listener: Result<TcpListener>,
    address: SocketAddr,
) -> TcpListener {
    let mut is_first = true;
    loop {
        match listener {
            Ok(listener) => return listener,
            Err(error) if is_first => log::warn!(
                "metrics: {error}; not served for now, trying again every {METRICS_RETRY_PAUSE:?}"
            ),
            Err(error) => log::debug!("metrics: {error}"),
        }
        is_first = false;
        time::sleep(METRICS_RETRY_PAUSE).await;
        listener = listen(address).await;
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A process that starts again may take the address while closed connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
