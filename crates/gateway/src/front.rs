//! Accepts the connections of callers.

use std::{
    io,
    net::SocketAddr,
    panic::{self, AssertUnwindSafe},
    sync::Arc,
};

use base::prelude::*;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    caller_connection::{self, ConnectionGuard},
    process::Gateway,
    watched_connection::RECEIVE_BUFFER,
};

/// Delay after a failed accept, which occurs when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of the buffer that the kernel sends an answer from. What it holds counts as memory of the VM,
/// and the kernel would let it grow to several MiB. It doubles this value.
const SEND_BUFFER: ByteSize = ByteSize(64 * 1024);

/// Accepts connections until a planned stop closes the listener. It closes before the process ends,
/// so that later callers get a refused connection and know that their request has not run.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>, guard: ConnectionGuard) {
    let _guard = guard;
    if let Err(error) = limit_buffers(&listener) {
        log::warn!("front: failed to limit the socket buffers of connections: {error}");
    }
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = gateway.wait_until_listener_closed() => break,
        };
        match accepted {
            Ok((stream, address)) => {
                // A panic, which the log shows, ends this connection and not the listener.
                let admission = || spawn_connection(stream, address, &gateway);
                let _ = panic::catch_unwind(AssertUnwindSafe(admission));
            }
            Err(error) => {
                log::warn!("front: failed to accept a connection, retrying: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_backlog(listener, &gateway) {
        log::warn!("front: failed to accept the last connections, they are reset: {error}");
    }
}

/// Accepts the connections that the kernel has completed. They would be reset with the listener,
/// and the runtime does not know of those that it has not polled for yet.
fn accept_backlog(listener: TcpListener, gateway: &Arc<Gateway>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, address)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, address, gateway);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Accepted connections inherit the sizes from the listener.
fn limit_buffers(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(buffer_size(RECEIVE_BUFFER))?;
    socket.set_send_buffer_size(buffer_size(SEND_BUFFER))
}

fn buffer_size(size: ByteSize) -> usize {
    usize::try_from(size.0).unwrap_or(usize::MAX)
}

fn spawn_connection(stream: TcpStream, address: SocketAddr, gateway: &Arc<Gateway>) {
    let Some(watch) = gateway.registry.admit(address.ip()) else { return };
    let guard = gateway.connections.guard();
    tokio::spawn(caller_connection::serve(stream, Arc::clone(gateway), guard, watch));
}
