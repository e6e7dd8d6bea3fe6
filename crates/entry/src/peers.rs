//! Connections to other entries and to side processes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use base::prelude::*;
use tokio::{net::TcpListener, sync::Mutex as AsyncMutex, time};
use wire::{
    FleetSecret, LinkOptions, LinkReceiver, LinkSender, Message, PeerIdentity, PeerLink,
    link::Result,
};

use crate::{inbox::PeerInbox, metrics::EntryMetrics};

/// Handle of an open connection to a peer.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    /// Identity of the peer.
    pub peer: PeerIdentity,
    /// Sender of messages to the peer.
    pub sender: LinkSender,
    /// Epoch that the side process last announced; zero before the first announcement.
    pub epoch: Arc<AtomicU64>,
}

impl PeerHandle {
    fn new(peer: PeerIdentity, sender: LinkSender) -> Self {
        Self { peer, sender, epoch: Arc::default() }
    }
}

/// Time since the last message after which an unused connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time between scans for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Handles of an unused connection: those of the pool and of the receiving task.
const UNUSED_HOLDERS: usize = 2;

type LinkCell = Arc<AsyncMutex<Option<PeerHandle>>>;

/// Pool with at most one outgoing connection to each address.
#[derive(Debug)]
pub struct PeerPool {
    secret: FleetSecret,
    identity: PeerIdentity,
    links: Mutex<HashMap<SocketAddr, LinkCell>>,
    inbox: PeerInbox,
}

impl PeerPool {
    /// Creates an empty pool; received messages are delivered to `inbox`.
    pub fn new(secret: FleetSecret, identity: PeerIdentity, inbox: PeerInbox) -> Self {
        Self { secret, identity, links: Mutex::default(), inbox }
    }

    /// Returns the connection to `address`, opening it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer in time or does not prove the fleet secret.
    pub async fn link(&self, address: SocketAddr) -> Result<PeerHandle> {
        let cell = {
            let mut links = self.links.lock().expect("no thread panics while holding the lock");
            Arc::clone(links.entry(address).or_default())
        };
        let mut open = cell.lock().await;
        if let Some(handle) = open.as_ref().filter(|handle| !handle.sender.is_closed()) {
            return Ok(handle.clone());
        }
        let link =
            PeerLink::dial(address, &self.secret, &self.identity, LinkOptions::default()).await?;
        let handle = PeerHandle::new(link.peer, link.sender);
        tokio::spawn(receive(link.receiver, handle.clone(), self.inbox.clone()));
        *open = Some(handle.clone());
        Ok(handle)
    }

    /// Closes idle connections periodically until the process ends.
    ///
    /// Otherwise an entry would stay connected to every side process of its region, and the
    /// heartbeats alone would exceed its share of the network.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            self.close_unused(IDLE_LIMIT);
        }
    }

    /// Closes connections that are unused and were idle for `limit`, and removes closed ones from
    /// the pool.
    pub fn close_unused(&self, limit: Duration) {
        let mut links = self.links.lock().expect("no thread panics while holding the lock");
        links.retain(|_, cell| {
            let Ok(open) = cell.try_lock() else { return true };
            let Some(handle) = open.as_ref() else { return false };
            let is_unused = handle.sender.holders() <= UNUSED_HOLDERS;
            if is_unused && handle.sender.idle_time() >= limit {
                handle.sender.close();
            }
            !handle.sender.is_closed()
        });
    }

    /// Number of connections in the pool, including those being opened.
    pub fn open_links(&self) -> usize {
        self.links.lock().expect("no thread panics while holding the lock").len()
    }

    /// Returns the connection to `address` if one is open.
    pub fn open_link(&self, address: SocketAddr) -> Option<PeerHandle> {
        let cell = Arc::clone(
            self.links.lock().expect("no thread panics while holding the lock").get(&address)?,
        );
        let open = cell.try_lock().ok()?;
        open.as_ref().filter(|handle| !handle.sender.is_closed()).cloned()
    }

    /// Accepts connections from peers until the listener fails.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, metrics: EntryMetrics) {
        while let Ok((stream, address)) = listener.accept().await {
            let pool = Arc::clone(&self);
            let metrics = metrics.clone();
            tokio::spawn(async move {
                let options = LinkOptions::default();
                match PeerLink::accept(stream, &pool.secret, &pool.identity, options).await {
                    Ok(link) => {
                        let handle = PeerHandle::new(link.peer, link.sender);
                        receive(link.receiver, handle, pool.inbox.clone()).await;
                    }
                    Err(error) => {
                        metrics.refused_peers.inc();
                        log::warn!("peers: refused a connection from {address}: {error}");
                    }
                }
            });
        }
    }
}

async fn receive(mut receiver: LinkReceiver, handle: PeerHandle, inbox: PeerInbox) {
    let mut is_spread_only = true;
    let error = loop {
        match receiver.next().await {
            Ok(message) => {
                is_spread_only &= matches!(message, Message::ListSpread(_));
                inbox.deliver(&handle, message).await;
            }
            Err(error) => break error,
        }
    };
    log::debug!("peers: connection to {} ended: {error}", handle.peer.vm);
    drop(receiver);
    // No grant request or credit depends on a connection that carried only list messages.
    if !is_spread_only {
        inbox.handle_peer_loss(&handle).await;
    }
}
