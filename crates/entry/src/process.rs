//! Start and planned stop of the entry process.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use lists::{ListSet, spread::SpreadProcess};
use object_api::{
    ObjectStore, VmList,
    http::{ClientSettings, PlatformClient},
    rate_limit::RateLimitedStore,
};
use once::{QuarantineLimits, QuarantineService};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use wire::{PeerIdentity, PeerRole, listen::listen_when_free};

use crate::{
    answer_memory::AnswerMemory,
    claims::{self, ClaimClient, PlatformStore},
    fleet::{self, FleetView},
    grants::GrantWaiters,
    inbox::PeerInbox,
    leaving,
    metrics::EntryMetrics,
    owner::{EVENT_QUEUE, OwnerContext, OwnerEvent, OwnerTask},
    peers::PeerPool,
    request_body::BodyMemory,
    runs::RunTable,
    server,
    server_load::ServerLoad,
    settings::EntrySettings,
};

/// Time between checks whether all requests have ended during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the tasks of the process.
pub struct EntryState {
    /// Settings the process was started with.
    pub settings: EntrySettings,
    /// Identity of this process, with its incarnation.
    pub identity: PeerIdentity,
    /// Memory for the bodies of requests.
    pub body_memory: BodyMemory,
    /// Memory for answers, which is part of that for bodies.
    pub answer_memory: AnswerMemory,
    /// Bodies that backend servers hold for this process.
    pub server_load: ServerLoad,
    /// Metrics of the process.
    pub metrics: EntryMetrics,
    /// Current lists; `None` before the first arrive.
    pub lists: watch::Receiver<Option<ListSet>>,
    /// Latest snapshot of the VM list.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// Requests that wait for a grant from another entry.
    pub grant_waiters: Arc<GrantWaiters>,
    /// Attempts that run at side processes.
    pub runs: Arc<RunTable>,
    /// Events for the owner task.
    pub owner: mpsc::Sender<OwnerEvent>,
    /// Client that claims idempotency keys.
    pub claims: Arc<ClaimClient>,
    /// Quarantine of requests that crash backend servers.
    pub quarantine: QuarantineService,
    /// The platform's store, with limited and counted calls.
    pub store: Arc<PlatformStore>,
    /// Whether a planned stop has begun; new requests are then refused.
    pub is_draining: watch::Sender<bool>,
}

/// Whether requests can be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Requests can be served.
    Ready,
    /// A planned stop has begun.
    Draining,
    /// No lists have arrived yet.
    NoLists,
    /// The VM list does not contain the VM of this process yet.
    NotListed,
}

impl EntryState {
    /// Whether requests can be served now.
    pub fn readiness(&self) -> Readiness {
        if *self.is_draining.borrow() {
            return Readiness::Draining;
        }
        if self.lists.borrow().is_none() {
            return Readiness::NoLists;
        }
        if self.fleet.borrow().vm(&self.identity.vm).is_none() {
            return Readiness::NotListed;
        }
        Readiness::Ready
    }
}

/// A running entry process.
pub struct EntryHandle {
    state: Arc<EntryState>,
    peer_address: SocketAddr,
    http_address: SocketAddr,
}

impl EntryHandle {
    /// Binds the listeners as soon as their addresses are free, and starts all tasks.
    pub async fn start(settings: EntrySettings) -> Self {
        let peers = listen_when_free(settings.process.peer_address).await;
        let callers = listen_when_free(settings.process.http_address).await;
        let peer_address = peers.local_addr().unwrap_or(settings.process.peer_address);
        let http_address = callers.local_addr().unwrap_or(settings.process.http_address);
        let state = start_tasks(settings);
        let metrics = state.metrics.clone();
        tokio::spawn(Arc::clone(&state.peers).accept(peers, metrics));
        tokio::spawn(Arc::clone(&state.peers).sweep());
        tokio::spawn(server::serve(callers, Arc::clone(&state)));
        log::info!("process: entry {} listens on {http_address}", state.identity.vm);
        Self { state, peer_address, http_address }
    }

    /// Bound address for connections from peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Bound address of the HTTP server for callers and operators.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.state.readiness() == Readiness::Ready
    }

    /// Refuses new requests and waits until those in flight have ended or the drain timeout has
    /// passed.
    pub async fn stop(&self) {
        log::info!("process: draining {} requests", self.state.metrics.in_flight.get());
        self.state.is_draining.send_replace(true);
        let limit = Instant::now() + self.state.settings.limits.drain_timeout.0;
        while self.state.metrics.in_flight.get() > 0 && Instant::now() < limit {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        time::sleep(DRAIN_POLL_INTERVAL).await;
        log::info!("process: stopped");
    }
}

fn start_tasks(settings: EntrySettings) -> Arc<EntryState> {
    let identity = settings.process.identity(PeerRole::Entry, ProcessIncarnation::random());
    let platform = PlatformClient::new(ClientSettings::new(settings.platform.address));
    let store = Arc::new(RateLimitedStore::new(platform.clone(), settings.platform.limits));
    let (fleet_sender, fleet) = watch::channel(Arc::new(FleetView::default()));
    let (owner, owner_events) = mpsc::channel(EVENT_QUEUE);
    let grant_waiters = Arc::new(GrantWaiters::default());
    let metrics = EntryMetrics::new();
    let limits = &settings.limits;
    let total = limits.bodies.max(AnswerMemory::least_total(limits.max_answer));
    let body_memory = BodyMemory::new(total, limits.max_body);
    let answer_memory = AnswerMemory::new(body_memory.budget().clone(), total, limits.max_answer);
    let server_load = ServerLoad::new(limits.server_bytes, metrics.clone());
    let runs = Arc::new(RunTable::new(answer_memory.clone()));
    let (claim_sender, claim_messages) = mpsc::channel(claims::MESSAGE_QUEUE);
    let secret = settings.process.secret.clone();
    let objects: Arc<dyn ObjectStore> = store.clone();
    let vms: Arc<dyn VmList> = Arc::new(platform);
    let SpreadProcess { links, lists } = SpreadProcess::start(
        identity.clone(),
        secret.clone(),
        &settings.spread,
        objects.clone(),
        vms.clone(),
    );
    let inbox = PeerInbox {
        spread: links,
        grant_waiters: grant_waiters.clone(),
        runs: runs.clone(),
        owner: owner.clone(),
        claims: claim_sender,
    };
    let peers = Arc::new(PeerPool::new(secret, identity.clone(), inbox));
    let context = OwnerContext {
        identity: identity.clone(),
        lists: lists.clone(),
        fleet: fleet.clone(),
        peers: peers.clone(),
        events: owner.clone(),
    };
    tokio::spawn(OwnerTask::new(context, objects.clone(), vms.clone()).run(owner_events));
    tokio::spawn(fleet::follow(vms, settings.platform.vm_poll.0, fleet_sender));
    tokio::spawn(leaving::follow(identity.vm.clone(), Arc::clone(&peers), fleet.clone()));
    let region = &settings.process.region;
    let client = ClaimClient::new(
        &identity,
        region,
        settings.claims,
        &store,
        Arc::clone(&peers),
        fleet.clone(),
    );
    let client = Arc::new(client);
    let quarantine = QuarantineService::start(Arc::clone(&store), QuarantineLimits::default());
    let cleaner = quarantine.clone();
    tokio::spawn(claims::receive(Arc::clone(&client), claim_messages));
    tokio::spawn(claims::follow_ownership(Arc::clone(&client), move |is_cleaner| {
        cleaner.set_cleaner(is_cleaner)
    }));
    Arc::new(EntryState {
        settings,
        body_memory,
        answer_memory,
        server_load,
        identity,
        metrics,
        lists,
        fleet,
        peers,
        grant_waiters,
        runs,
        owner,
        claims: client,
        quarantine,
        store,
        is_draining: watch::Sender::new(false),
    })
}
