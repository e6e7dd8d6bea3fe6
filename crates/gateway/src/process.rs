//! Start and planned stop of the gateway.

use std::{io, sync::Arc};

use base::{
    descriptors::{DescriptorCount, raise_limit},
    memory,
    prelude::*,
};
use catalog::Catalog;
use dispatch::{CallDispatcher, DispatchSettings};
use events::{DecisionEvent, EventLog, spawn_lasting};
use peers::PeerSocket;
use platform::PlatformStore;
use tokio::{
    sync::{mpsc, watch},
    task, time,
};
use wire::listen::{listen, listen_when_free};

use crate::{
    backends::Backends,
    block_archive::BlockArchive,
    caller_connection::OpenConnections,
    catalog_exchange::CatalogExchange,
    catalog_holder::CatalogHolder,
    connection_table::ConnectionLimits,
    fleet::{Fleet, FleetIdentity, FleetLinks},
    follow::{CatalogFollower, RosterFollower},
    front,
    memory::ProcessMemory,
    memory_budget::BudgetLimits,
    metrics::GatewayMetrics,
    ops,
    permits::PermitClient,
    registration::EntryRegistration,
    relisting::RelistDelays,
    restores::RestoreFollower,
    settings::GatewaySettings,
    store_reads::StoreReads,
    version_archive::VersionArchive,
    watched_connection::ConnectionRegistry,
};

/// Time after the stop signal for which all new requests are still served: the balancer checks
/// readiness once a second and removes the process after two failed checks.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Longest part of the grace time that is reserved for the shutdown of the process itself.
const MAX_SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// The same as a share of the grace time: requests at work are not to be aborted before its last
/// sixth.
const SHUTDOWN_SHARE: f64 = 0.125;
/// Time before the deadline of a planned stop from which requests that wait for a backend server
/// are refused, so that their callers can still reach another entry.
const QUEUE_REFUSAL_MARGIN: Duration = Duration::from_millis(2_500);
/// Time to send the answers of requests that are aborted at the deadline of a planned stop. A VM
/// that shares its core can stall for a tenth of a second.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// Part of the grace time that is reserved for writing the log.
const LOG_MARGIN: Duration = Duration::from_millis(100);
/// Time between two checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Most reports on requests that crash backend servers that wait to be sent to other entries.
const MAX_REPORTS_QUEUED: usize = 64;

/// Longest time for which the first configuration waits until the stored blocks are read.
const MAX_RESTORE_TIME: Duration = Duration::from_millis(200);

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// When the stop signal came.
    pub began: Instant,
    /// When the process ends, even if requests are still in flight.
    pub deadline: Instant,
}

impl PlannedStop {
    /// From this time on, connections of callers are closed, so that callers go to other entries.
    fn closes_connections_from(&self) -> Instant {
        self.began + DRAIN_ACCEPT_TIME
    }
}

/// State that all requests of the process share.
pub struct Gateway {
    /// Decision log.
    pub log: EventLog,
    /// Metrics of the process.
    pub metrics: GatewayMetrics,
    /// Current configuration; `None` until the first has been read.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Dispatcher and connections to the backend servers.
    pub backends: Backends,
    /// Other processes of the system.
    pub fleet: Fleet,
    /// The planned stop in progress, if any.
    pub draining: watch::Sender<Option<PlannedStop>>,
    /// Open connections of callers.
    pub connections: Arc<OpenConnections>,
    /// Limits and state of the open connections of callers.
    pub registry: ConnectionRegistry,
    /// Whether the listener for callers is closed.
    pub listener_closed: watch::Sender<bool>,
}

impl Gateway {
    /// Whether the balancer may send new connections to this process: it can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.catalog.borrow().is_some() && self.fleet.has_roster()
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.borrow().is_some()
    }

    /// Waits until a planned stop has reached the time from which connections of callers are
    /// closed.
    pub async fn wait_until_connections_close(&self) {
        let mut draining = self.draining.subscribe();
        // Waiting fails only without a sender, and this gateway holds it.
        let stop = draining.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        if let Some(stop) = stop {
            time::sleep_until(stop.closes_connections_from()).await;
        }
    }

    /// Waits until the listener for callers closes.
    pub async fn wait_until_listener_closed(&self) {
        let mut listener_closed = self.listener_closed.subscribe();
        // Waiting fails only without a sender, and this gateway holds it.
        let _ = listener_closed.wait_for(|listener_closed| *listener_closed).await;
    }

    /// Whether a planned stop has reached the time from which connections of callers are closed.
    pub fn closes_connections(&self) -> bool {
        self.draining.borrow().is_some_and(|stop| Instant::now() > stop.closes_connections_from())
    }

    /// Returns when the process ends, if a new request with `deadline` must be refused for that
    /// reason; `None` if the request can be served.
    ///
    /// A balancer that still sends requests when connections of callers are being closed has no
    /// other entry to send them to. As long as connections are accepted, requests that end in time
    /// are served. The others are refused, and their callers are asked to retry once the process
    /// has ended, when they reach another entry.
    pub fn end_before(&self, deadline: Instant) -> Option<Instant> {
        let stop = (*self.draining.borrow())?;
        if *self.listener_closed.borrow() {
            return Some(Instant::now());
        }
        (self.closes_connections() && deadline > stop.deadline).then_some(stop.deadline)
    }
}

/// Time from the start of a planned stop until the requests that are still at work are aborted.
pub fn time_to_abort(grace: Duration) -> Duration {
    grace - MAX_SHUTDOWN_MARGIN.min(grace.mul_f64(SHUTDOWN_SHARE))
}

/// Reads the stored software versions until all are listed. After the first listing, those that serve
/// are followed in a task of its own.
async fn follow_versions(fleet: Fleet, archive: VersionArchive) {
    let mut delays = RelistDelays::default();
    let mut gap = fleet.restore_versions(&archive, &mut delays).await;
    let (follower, followed) = (fleet.clone(), archive.clone());
    spawn_lasting("versions", move || follower.clone().follow_versions(followed.clone()));
    while let Some(found) = gap {
        time::sleep(delays.after_gap(&found)).await;
        gap = fleet.restore_versions(&archive, &mut delays).await;
    }
}

/// A running gateway.
pub struct GatewayHandle {
    gateway: Arc<Gateway>,
    registration: EntryRegistration,
    settings: GatewaySettings,
}

impl GatewayHandle {
    /// Binds all addresses, other than that of the metrics as soon as they are free, and starts the
    /// tasks of the gateway.
    pub async fn start(settings: GatewaySettings, log: EventLog) -> Self {
        let initial_settings = settings.clone();
        let incarnation = ProcessIncarnation::random();
        log.record(&DecisionEvent::Started {
            program: "gateway",
            version: env!("CARGO_PKG_VERSION"),
            incarnation,
        });
        let vm = settings.identity.vm.clone();
        let socket = Arc::new(PeerSocket::bind(settings.listen.peers, vm, incarnation).await);
        let ready = listen_when_free(settings.listen.ready).await;
        // After the others: a caller whose connection is accepted expects an answer.
        let callers = listen_when_free(settings.listen.callers).await;
        // Bound last: the process works without, and may need the port itself.
        let metrics_listener = listen(settings.listen.metrics).await;
        let store = PlatformStore::new(settings.store.address, settings.store.call_timeout);
        let metrics = GatewayMetrics::new();
        let mut dispatcher = CallDispatcher::new(DispatchSettings {
            zone: settings.identity.zone.clone(),
            retry_limits: settings.limits.retry_limits,
        });
        dispatcher.set_hedge_limits(settings.limits.hedge_limits);
        let (report_sender, reports) = mpsc::channel(MAX_REPORTS_QUEUED);
        let permits = PermitClient::new(Arc::clone(&socket), settings.listen.peers.port());
        let resources = settings.resources;
        let vm_memory = memory::within_vm(resources.memory);
        dispatcher.set_server_bytes(resources.server_bytes);
        let memory = ProcessMemory::new(BudgetLimits::for_vm(vm_memory), metrics.clone());
        let connection_limits = ConnectionLimits::for_vm(
            vm_memory,
            raise_limit(DescriptorCount(resources.descriptors)).0,
            resources.connections_per_address,
        );
        let registry = ConnectionRegistry::new(connection_limits, metrics.clone());
        let (unread, bodies) = (registry.clone(), memory.clone());
        spawn_lasting("unread answers", move || unread.clone().close_unread(bodies.clone()));
        let backends =
            Backends::new(dispatcher, permits, log.clone(), metrics.clone(), report_sender, memory);
        let (sender, catalog) = watch::channel(None);
        let identity = FleetIdentity {
            vm: settings.identity.vm.clone(),
            core_share: settings.identity.core_share,
            side_port: settings.listen.peers.port(),
        };
        let reads = StoreReads::new(settings.store.known_within);
        let archive = BlockArchive::new(store.clone());
        let versions = VersionArchive::new(store.clone());
        let links = FleetLinks {
            socket,
            reads: reads.clone(),
            archive: archive.clone(),
            versions: versions.clone(),
            quota_tolerance: settings.quotas,
        };
        let fleet = Fleet::new(
            identity,
            links,
            backends.clone(),
            catalog.clone(),
            log.clone(),
            metrics.clone(),
        );
        let gateway = Arc::new(Gateway {
            log: log.clone(),
            metrics: metrics.clone(),
            catalog,
            backends: backends.clone(),
            fleet: fleet.clone(),
            draining: watch::Sender::new(None),
            connections: Arc::default(),
            registry,
            listener_closed: watch::Sender::new(false),
        });
        let holder = CatalogHolder::new(sender, fleet.clone(), log.clone(), metrics.clone());
        let exchange = CatalogExchange {
            holder: holder.clone(),
            fleet: fleet.clone(),
            log: log.clone(),
            metrics,
        };
        let catalog_follower = CatalogFollower {
            store: store.clone(),
            reads: reads.clone(),
            log: log.clone(),
            holder,
            fleet: fleet.clone(),
            max_wait: settings.store.known_within,
        };
        let registration = EntryRegistration {
            store: store.clone(),
            vm: settings.identity.vm,
            address: settings.listen.peers,
        };
        let written = archive.clone();
        spawn_lasting("blocks", move || written.clone().run());
        let (registered, others) = (registration.clone(), fleet.clone());
        spawn_lasting("registration", move || registered.clone().register(others.clone()));
        fleet.start(reports);
        let (served, peers) = (exchange.clone(), settings.listen.peers);
        spawn_lasting("configuration for others", move || served.clone().serve(peers));
        let restores = RestoreFollower {
            store: store.clone(),
            reads: reads.clone(),
            log: log.clone(),
            registration: registration.clone(),
            fleet: fleet.clone(),
        };
        spawn_lasting("restores", move || restores.clone().run());
        let restored = backends.clone();
        let versioned = fleet.clone();
        let roster_follower = RosterFollower { store, reads, log, backends, fleet };
        // Requests are served once the configuration is known, and so not before the blocks and the
        // software versions are, unless the store does not answer; then they are read as soon as it does.
        tokio::spawn(async move {
            let blocks = spawn_lasting("restore of blocks", move || {
                let (archive, restored) = (archive.clone(), restored.clone());
                async move { archive.restore(&restored).await }
            });
            let versions = spawn_lasting("restore of versions", move || {
                follow_versions(versioned.clone(), versions.clone())
            });
            let restoring = async { tokio::join!(blocks, versions) };
            let _ = time::timeout(MAX_RESTORE_TIME, restoring).await;
            spawn_lasting("configuration of others", move || exchange.clone().follow());
            spawn_lasting("configuration", move || catalog_follower.clone().run());
        });
        spawn_lasting("roster", move || roster_follower.clone().run());
        let waiting = gateway.backends.clone();
        spawn_lasting("waiting requests", move || waiting.clone().review_waiting());
        let listener_guard = gateway.connections.guard();
        tokio::spawn(front::serve(callers, Arc::clone(&gateway), listener_guard));
        tokio::spawn(ops::serve_ready(ready, Arc::clone(&gateway)));
        tokio::spawn(ops::serve_metrics(
            metrics_listener,
            settings.listen.metrics,
            Arc::clone(&gateway),
        ));
        Self { gateway, registration, settings: initial_settings }
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.gateway.metrics
    }

    /// Applies the new contents of the settings file called `name`. Only the limits change; the
    /// other settings need a restart. Records the result in the decision log.
    pub fn reload(&mut self, name: &str, text: io::Result<String>) {
        let read = text
            .map_err(|error| format!("{name}: {error}"))
            .and_then(|text| GatewaySettings::parse_usable(name, &text).map_err(|e| e.to_string()));
        let (accepted, detail) = match read {
            Ok((settings, lesser)) => {
                lesser.warn();
                (true, self.apply(&settings).to_owned())
            }
            Err(fault) => (false, fault),
        };
        let event = DecisionEvent::SettingsReloaded { accepted, detail: &detail };
        self.gateway.log.record(&event);
    }

    fn apply(&mut self, settings: &GatewaySettings) -> &'static str {
        let limits = settings.limits;
        let before = std::mem::replace(&mut self.settings.limits, limits);
        self.gateway.backends.with_dispatcher(|dispatcher, _| {
            dispatcher.set_retry_limits(limits.retry_limits);
            dispatcher.set_hedge_limits(limits.hedge_limits);
        });
        match (*settings == self.settings, before == limits) {
            (true, true) => "nothing changed",
            (true, false) => "the limits are in force",
            (false, _) => "the limits are in force, the rest needs a restart",
        }
    }

    /// Drains the process: asks callers to go to other entries, waits for the requests in flight and
    /// for those that callers may still send on open connections, and returns when all connections
    /// are closed. Requests that are still in flight when the grace time is nearly over are aborted.
    pub async fn stop(&self) {
        self.stop_since(Instant::now()).await;
    }

    /// The same for a stop that was requested after `began`, the last time at which it had not been.
    /// The process ends in its grace although it noticed the request late.
    pub async fn stop_since(&self, began: Instant) {
        let in_flight = || u64::try_from(self.gateway.metrics.in_flight.get()).unwrap_or(0);
        let deadline = began + time_to_abort(self.settings.limits.grace);
        self.gateway.log.record(&DecisionEvent::Stopping { in_flight: in_flight() });
        self.gateway.draining.send_replace(Some(PlannedStop { began, deadline }));
        self.gateway.fleet.drain();
        tokio::spawn(self.registration.clone().deregister());
        let min_end = began + DRAIN_ACCEPT_TIME;
        let refuse_waiting_at = deadline - QUEUE_REFUSAL_MARGIN;
        let mut accepts_waiting = true;
        loop {
            let now = Instant::now();
            if now >= deadline || (now >= min_end && in_flight() == 0) {
                break;
            }
            if accepts_waiting && now >= refuse_waiting_at {
                accepts_waiting = false;
                self.gateway.backends.refuse_waiting();
            }
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.gateway.listener_closed.send_replace(true);
        self.gateway.backends.abort_calls();
        let last = began + self.settings.limits.grace.saturating_sub(LOG_MARGIN);
        let limit = deadline.max(Instant::now() + LAST_ANSWERS_TIME).min(last);
        let connections = &self.gateway.connections;
        if time::timeout_at(limit, connections.wait_until_none()).await.is_err() {
            log::info!(
                "process: {} connections of callers are still open at the deadline of the planned \
                 stop, closing them",
                connections.count()
            );
        }
        // The time may have passed before the tasks of all requests ran.
        while in_flight() > 0 && Instant::now() < last {
            task::yield_now().await;
        }
        self.gateway.log.record(&DecisionEvent::Stopped { in_flight: in_flight() });
    }
}
