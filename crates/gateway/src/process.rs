//! Start and planned stop of the gateway.

use std::{io, sync::Arc};

use base::prelude::*;
use catalog::Catalog;
use dispatch::{CallDispatcher, DispatchSettings};
use events::{DecisionEvent, EventLog};
use peers::PeerSocket;
use platform::PlatformStore;
use snafu::Snafu;
use tokio::{sync::watch, time};
use wire::{ListenError, listen::listen};

use crate::{
    backends::Backends,
    fleet::{Fleet, FleetIdentity},
    follow::{CatalogFollower, RosterFollower},
    front,
    metrics::GatewayMetrics,
    ops,
    own_entry::OwnEntry,
    permits::Permits,
    settings::GatewaySettings,
};

/// Time after a request to stop for which new requests are still served: the balancer notices
/// within two of its questions, one a second.
const TURN_AWAY: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is kept for the end of the process itself.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end from which requests do not wait any more, so that others can serve them.
const LAST_WAIT: Duration = Duration::from_millis(2_500);
/// Time for the requests on connections that were accepted before no more are.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// Time between looks at whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(25);

/// The gateway cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address is taken.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// The socket for datagrams cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// Cause.
        source: peers::socket::SocketError,
    },
}

/// Result of starting.
pub type Result<T, E = StartError> = std::result::Result<T, E>;

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// When it began.
    pub began: Instant,
    /// When the process ends at the latest.
    pub latest: Instant,
}

impl PlannedStop {
    /// From when on callers are told to go elsewhere.
    fn turns_away_at(&self) -> Instant {
        self.began + TURN_AWAY
    }
}

/// What the requests of the process share.
pub struct Gateway {
    /// Log of decisions.
    pub log: EventLog,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Configuration in force; none before the first was read.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Backend servers.
    pub backends: Backends,
    /// Other processes of the system.
    pub fleet: Fleet,
    /// The planned stop that has begun.
    pub draining: watch::Sender<Option<PlannedStop>>,
    /// Whether connections are not accepted any more.
    pub closing: watch::Sender<bool>,
}

impl Gateway {
    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.catalog.borrow().is_some()
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.borrow().is_some()
    }

    /// Waits until callers are told to go elsewhere because the process is about to end.
    pub async fn turned_away(&self) {
        let mut draining = self.draining.subscribe();
        // The sender lives as long as this gateway.
        let stop = draining.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        if let Some(stop) = stop {
            time::sleep_until(stop.turns_away_at()).await;
        }
    }

    /// Waits until connections are not accepted any more.
    pub async fn closed(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this gateway.
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Whether callers are told to go elsewhere because the process is about to end.
    pub fn turns_away(&self) -> bool {
        self.draining.borrow().is_some_and(|stop| Instant::now() > stop.turns_away_at())
    }

    /// When the process ends, if that is too early for a new request with this deadline.
    ///
    /// A balancer that still sends requests has nobody else to send them to. Those that end in time
    /// are served as long as connections are accepted, the others find another process then.
    pub fn ends_before(&self, deadline: Instant) -> Option<Instant> {
        let stop = (*self.draining.borrow())?;
        if *self.closing.borrow() {
            return Some(Instant::now());
        }
        (self.turns_away() && deadline > stop.latest).then_some(stop.latest)
    }
}

/// A running gateway.
pub struct GatewayHandle {
    gateway: Arc<Gateway>,
    own: OwnEntry,
    settings: GatewaySettings,
}

impl GatewayHandle {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken.
    pub async fn start(settings: GatewaySettings, log: EventLog) -> Result<Self> {
        let kept = settings.clone();
        let incarnation = ProcessIncarnation::random();
        log.record(&DecisionEvent::Started {
            program: "gateway",
            version: env!("CARGO_PKG_VERSION"),
            incarnation,
        });
        let callers = listen(settings.listen.callers).await?;
        let ready = listen(settings.listen.ready).await?;
        let metrics_listener = listen(settings.listen.metrics).await?;
        let vm = settings.identity.vm.clone();
        let socket = Arc::new(PeerSocket::bind(settings.listen.peers, vm, incarnation).await?);
        let store = PlatformStore::new(settings.store.address, settings.store.call_timeout);
        let metrics = GatewayMetrics::new();
        let desk = CallDispatcher::new(DispatchSettings {
            zone: settings.identity.zone.clone(),
            retry_limits: settings.limits.repeats,
        });
        let permits = Permits::new(Arc::clone(&socket), settings.listen.peers.port());
        let backends = Backends::new(desk, permits.clone());
        let (sender, catalog) = watch::channel(None);
        let identity = FleetIdentity {
            vm: settings.identity.vm.clone(),
            core_share: settings.identity.core_share,
            side_port: settings.listen.peers.port(),
        };
        let fleet = Fleet::new(
            identity,
            socket,
            backends.clone(),
            permits,
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
            closing: watch::Sender::new(false),
        });
        let catalog_follower = CatalogFollower {
            store: store.clone(),
            settings: settings.store,
            log: log.clone(),
            metrics,
            sender,
        };
        let own = OwnEntry {
            store: store.clone(),
            vm: settings.identity.vm,
            address: settings.listen.peers,
        };
        tokio::spawn(own.clone().join(fleet.clone()));
        fleet.start();
        let roster_follower =
            RosterFollower { store, settings: settings.store, log, backends, fleet };
        tokio::spawn(catalog_follower.run());
        tokio::spawn(roster_follower.run());
        tokio::spawn(gateway.backends.clone().review_waiting());
        tokio::spawn(front::serve(callers, Arc::clone(&gateway)));
        tokio::spawn(ops::serve_ready(ready, Arc::clone(&gateway)));
        tokio::spawn(ops::serve_metrics(metrics_listener, Arc::clone(&gateway)));
        Ok(Self { gateway, own, settings: kept })
    }

    /// Takes in what the settings file called `name` holds now, as far as that needs no restart.
    pub fn reload(&mut self, name: &str, text: io::Result<String>) {
        let read = text
            .map_err(|error| format!("{name}: {error}"))
            .and_then(|text| GatewaySettings::parse(name, &text).map_err(|e| e.to_string()));
        let (accepted, detail) = match read {
            Ok(settings) => (true, self.apply(&settings).to_owned()),
            Err(fault) => (false, fault),
        };
        let event = DecisionEvent::SettingsReloaded { accepted, detail: &detail };
        self.gateway.log.record(&event);
    }

    fn apply(&mut self, settings: &GatewaySettings) -> &'static str {
        let limits = settings.limits;
        let before = std::mem::replace(&mut self.settings.limits, limits);
        self.gateway.backends.step(|desk, _| desk.set_retry_limits(limits.repeats));
        match (*settings == self.settings, before == limits) {
            (true, true) => "nothing changed",
            (true, false) => "the limits are in force",
            (false, _) => "the limits are in force, the rest needs a restart",
        }
    }

    /// Turns new requests away, lets those in flight end, and returns when they have, or when the
    /// grace time is about to end.
    pub async fn stop(&self) {
        let in_flight = || u64::try_from(self.gateway.metrics.in_flight.get()).unwrap_or(0);
        let began = Instant::now();
        let latest = began + self.settings.limits.grace.saturating_sub(END_MARGIN);
        self.gateway.log.record(&DecisionEvent::Stopping { in_flight: in_flight() });
        self.gateway.draining.send_replace(Some(PlannedStop { began, latest }));
        self.gateway.fleet.drain();
        tokio::spawn(self.own.clone().leave());
        let earliest = began + TURN_AWAY;
        let last_wait = latest - LAST_WAIT;
        let mut may_wait = true;
        loop {
            let now = Instant::now();
            if now >= latest || (now >= earliest && in_flight() == 0) {
                break;
            }
            if may_wait && now >= last_wait {
                may_wait = false;
                self.gateway.backends.stop_waiting();
            }
            time::sleep(DRAIN_POLL).await;
        }
        self.gateway.closing.send_replace(true);
        self.gateway.backends.end();
        let closed = Instant::now();
        while closed.elapsed() < LAST_ANSWERS || (in_flight() > 0 && Instant::now() < latest) {
            time::sleep(DRAIN_POLL).await;
        }
        self.gateway.log.record(&DecisionEvent::Stopped { in_flight: in_flight() });
    }
}
