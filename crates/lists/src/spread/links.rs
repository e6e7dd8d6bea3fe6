//! Connections of a distribution node over the wire protocol.
//!
//! A node dials its parent and the peers that it queries; they answer on the same connection.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use bytes::Bytes;
use tokio::{sync::mpsc, time};
use wire::{FleetSecret, LinkOptions, LinkReceiver, LinkSender, Message, PeerIdentity, PeerLink};

use crate::spread::driver::{SpreadInput, SpreadLinks};

/// Maximum number of queued frames per dialled connection; further frames are dropped.
const SEND_QUEUE: usize = 256;
/// Time without a frame to send after which a dialled connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Connections dialled on demand, and senders to nodes that dialled this one.
#[derive(Debug)]
pub struct WireLinks {
    secret: FleetSecret,
    identity: PeerIdentity,
    options: LinkOptions,
    inbox: mpsc::Sender<SpreadInput>,
    tables: Mutex<LinkTables>,
}

#[derive(Debug, Default)]
struct LinkTables {
    dialled: HashMap<VmId, DialledLink>,
    accepted: HashMap<VmId, LinkSender>,
}

#[derive(Debug)]
struct DialledLink {
    address: SocketAddr,
    queue: mpsc::Sender<Bytes>,
}

impl WireLinks {
    /// Creates the links of the process `identity`; received frames go to `inbox`.
    pub fn new(
        secret: FleetSecret,
        identity: PeerIdentity,
        options: LinkOptions,
        inbox: mpsc::Sender<SpreadInput>,
    ) -> Arc<Self> {
        Arc::new(Self { secret, identity, options, inbox, tables: Mutex::default() })
    }

    /// Handles a frame from a peer that dialled this process; frames to the peer use the same
    /// connection from now on.
    pub async fn accept(&self, peer: &PeerIdentity, sender: &LinkSender, frame: Bytes) {
        self.tables().accepted.insert(peer.vm.clone(), sender.clone());
        let input = SpreadInput::Frame { from: peer.vm.clone(), frame };
        let _ = self.inbox.send(input).await;
    }

    fn tables(&self) -> MutexGuard<'_, LinkTables> {
        self.tables.lock().expect("no thread panics while holding the lock")
    }

    async fn run_link(self: Arc<Self>, peer: VmId, address: SocketAddr, queue: FrameQueue) {
        let link = PeerLink::dial(address, &self.secret, &self.identity, self.options).await;
        match link {
            Ok(link) if link.peer.vm == peer => self.exchange(link, queue).await,
            Ok(link) => log::warn!(
                "lists: the process at {address} is {}, not {peer}; closing the connection",
                link.peer.vm
            ),
            Err(error) => log::debug!("lists: connecting to {peer} failed: {error}"),
        }
        self.remove_link(&peer, address);
        let _ = self.inbox.send(SpreadInput::Disconnected { peer }).await;
    }

    async fn exchange(&self, link: PeerLink, queue: FrameQueue) {
        tokio::select! {
            () = send_frames(link.sender, queue) => {}
            () = self.receive_frames(&link.peer, link.receiver) => {}
        }
    }

    async fn receive_frames(&self, peer: &PeerIdentity, mut receiver: LinkReceiver) {
        loop {
            match receiver.next().await {
                Ok(Message::ListSpread(frame)) => {
                    let input = SpreadInput::Frame { from: peer.vm.clone(), frame };
                    if self.inbox.send(input).await.is_err() {
                        return;
                    }
                }
                Ok(other) => log::warn!("lists: ignoring an unexpected message: {other:?}"),
                Err(error) => {
                    log::debug!("lists: the connection to {} ended: {error}", peer.vm);
                    return;
                }
            }
        }
    }

    fn remove_link(&self, peer: &VmId, address: SocketAddr) {
        let mut tables = self.tables();
        if tables.dialled.get(peer).is_some_and(|link| link.address == address) {
            tables.dialled.remove(peer);
        }
    }
}

type FrameQueue = mpsc::Receiver<Bytes>;

/// Sends queued frames until none is queued for [`IDLE_LIMIT`] or the connection ends.
async fn send_frames(sender: LinkSender, mut queue: FrameQueue) {
    while let Ok(Some(frame)) = time::timeout(IDLE_LIMIT, queue.recv()).await {
        if sender.send(Message::ListSpread(frame)).await.is_err() {
            return;
        }
    }
}

/// Shared handle to [`WireLinks`] that implements [`SpreadLinks`] for the driver.
#[derive(Debug, Clone)]
pub struct SharedLinks(pub Arc<WireLinks>);

impl SpreadLinks for SharedLinks {
    fn send(&self, to: &VmId, address: Option<SocketAddr>, frame: Bytes) {
        let mut tables = self.0.tables();
        if let Some(sender) = tables.accepted.get(to) {
            if sender.offer(Message::ListSpread(frame.clone())) {
                return;
            }
            if sender.is_closed() {
                tables.accepted.remove(to);
            }
        }
        let Some(address) = address else { return };
        let is_same = tables.dialled.get(to).is_some_and(|link| link.address == address);
        if !is_same {
            let (queue, frames) = mpsc::channel(SEND_QUEUE);
            let links = Arc::clone(&self.0);
            tokio::spawn(links.run_link(to.clone(), address, frames));
            tables.dialled.insert(to.clone(), DialledLink { address, queue });
        }
        if let Some(link) = tables.dialled.get(to) {
            let _ = link.queue.try_send(frame);
        }
    }
}
