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

/// An open connection as others use it.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    /// Who is at the other end.
    pub peer: PeerIdentity,
    /// Sends to it.
    pub sender: LinkSender,
    /// Epoch that a side process last announced; zero before.
    pub epoch: Arc<AtomicU64>,
}

impl PeerHandle {
    fn new(peer: PeerIdentity, sender: LinkSender) -> Self {
        Self { peer, sender, epoch: Arc::default() }
    }
}

/// Time after its last message after which a connection that nobody holds is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time between looks at idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Holders of a connection that nobody uses: the pool and the task that receives.
const UNUSED_HOLDERS: usize = 2;

type LinkCell = Arc<AsyncMutex<Option<PeerHandle>>>;

/// Opens at most one connection to each address.
#[derive(Debug)]
pub struct PeerPool {
    secret: FleetSecret,
    identity: PeerIdentity,
    links: Mutex<HashMap<SocketAddr, LinkCell>>,
    inbox: PeerInbox,
}

impl PeerPool {
    /// A pool without connections; messages that arrive go to `inbox`.
    pub fn new(secret: FleetSecret, identity: PeerIdentity, inbox: PeerInbox) -> Self {
        Self { secret, identity, links: Mutex::default(), inbox }
    }

    /// The connection to `address`, opened if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer in time or does not show the secret.
    pub async fn link(&self, address: SocketAddr) -> Result<PeerHandle> {
        let cell = {
            let mut links = self.links.lock().expect("no holder panics");
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

    /// Closes connections that nobody has used for a while, until the process ends.
    ///
    /// Without this an entry would end up connected to every side process of its region, and the
    /// heartbeats alone would take more than its share of the network.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            self.close_unused(IDLE_LIMIT);
        }
    }

    /// Closes connections that nobody holds and that were idle for `limit`, and forgets those that
    /// have ended.
    pub fn close_unused(&self, limit: Duration) {
        let mut links = self.links.lock().expect("no holder panics");
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

    /// Number of connections opened by this process.
    pub fn open_links(&self) -> usize {
        self.links.lock().expect("no holder panics").len()
    }

    /// The connection to `address`, if one is open.
    pub fn open_link(&self, address: SocketAddr) -> Option<PeerHandle> {
        let cell = Arc::clone(self.links.lock().expect("no holder panics").get(&address)?);
        let open = cell.try_lock().ok()?;
        open.as_ref().filter(|handle| !handle.sender.is_closed()).cloned()
    }

    /// Accepts connections of other entries until the listener fails.
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
                        log::warn!("peers: {address} refused: {error}");
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
    log::debug!("peers: {} left: {error}", handle.peer.vm);
    drop(receiver);
    if !is_spread_only {
        inbox.handle_peer_loss(&handle).await;
    }
}
