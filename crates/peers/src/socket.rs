//! The UDP socket for datagrams.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use base::{prelude::*, startup::take_when_free};
use prost::Message;
use tokio::net::UdpSocket;

use crate::messages::{Datagram, DatagramBody};

/// Size of the receive buffer; larger datagrams are truncated and fail to decode.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives datagrams of one process.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    vm: VmId,
    incarnation: ProcessIncarnation,
    number: AtomicU64,
}

impl PeerSocket {
    /// Binds `address`; waits for one that is in use or not available yet. Datagrams sent from the
    /// socket carry `vm` and `incarnation`.
    pub async fn bind(address: SocketAddr, vm: VmId, incarnation: ProcessIncarnation) -> Self {
        let bind = async || {
            let bound = UdpSocket::bind(address).await;
            bound.map_err(|error| format!("cannot bind the UDP socket at {address}: {error}"))
        };
        let socket = take_when_free(bind).await;
        Self { socket, vm, incarnation, number: AtomicU64::new(0) }
    }

    /// Incarnation that datagrams carry.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation
    }

    /// Sends `body` to `address` without waiting. A datagram that cannot be sent now is dropped.
    pub fn send(&self, address: SocketAddr, body: DatagramBody) {
        let bytes = self.encode(body);
        self.send_bytes(address, &bytes);
    }

    /// Sends `body` to all `addresses`, as one datagram with the same number.
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
            log::debug!("peers: cannot send a datagram to {address}, dropping it: {error}");
        }
    }

    /// Waits for the next datagram and returns it with its source address. Bytes that cannot be
    /// decoded are skipped.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // After a datagram to an unreachable peer, the kernel returns its error here.
                    log::debug!("peers: receiving a datagram failed, retrying: {error}");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => return (source, datagram),
                Err(error) => {
                    log::warn!("peers: skipping an invalid datagram from {source}: {error}")
                }
            }
        }
    }
}
