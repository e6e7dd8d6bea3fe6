//! The socket for datagrams.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use base::prelude::*;
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;

use crate::messages::{Datagram, DatagramBody};

/// Largest datagram that is read.
const MAX_DATAGRAM: usize = 16 * 1024;

/// The socket failed.
#[derive(Debug, Snafu)]
#[snafu(display("datagrams at {address}: {source}"))]
pub struct SocketError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Result of opening the socket.
pub type Result<T, E = SocketError> = std::result::Result<T, E>;

/// Sends and receives datagrams of one process.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    vm: VmId,
    incarnation: ProcessIncarnation,
    number: AtomicU64,
}

impl PeerSocket {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub async fn bind(
        address: SocketAddr,
        vm: VmId,
        incarnation: ProcessIncarnation,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(address).await.context(SocketSnafu { address })?;
        Ok(Self { socket, vm, incarnation, number: AtomicU64::new(0) })
    }

    /// Sends `body` to `address`. A datagram that cannot be sent is lost like any other.
    pub fn send(&self, address: SocketAddr, body: DatagramBody) {
        let bytes = self.encode(body);
        self.send_bytes(address, &bytes);
    }

    /// Sends `body` to all `addresses`.
    pub fn send_all(&self, addresses: &[SocketAddr], body: DatagramBody) {
        let bytes = self.encode(body);
        for address in addresses {
            self.send_bytes(*address, &bytes);
        }
    }

    fn encode(&self, body: DatagramBody) -> Vec<u8> {
        let datagram = Datagram {
            vm: self.vm.to_string(),
            incarnation: self.incarnation.0,
            number: self.number.fetch_add(1, Ordering::Relaxed) + 1,
            body: Some(body),
        };
        datagram.encode_to_vec()
    }

    fn send_bytes(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            log::debug!("peers: a datagram to {address} is lost: {error}");
        }
    }

    /// The next datagram and where it came from. Bytes that are none are passed over.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // A peer that is gone is told as an error of an earlier datagram.
                    log::debug!("peers: receiving failed: {error}");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => return (source, datagram),
                Err(error) => log::warn!("peers: a datagram of {source} is passed over: {error}"),
            }
        }
    }
}
