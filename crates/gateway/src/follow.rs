//! Follows the platform's store: the configuration and the backend servers.

use base::prelude::*;
use catalog::{AdoptOutcome, Catalog, CurrentCatalog};
use events::{DecisionEvent, Dependency, EventLog, millis};
use platform::{PlatformStore, StoreError, WatchOutcome};
use roster::{Roster, RosterRevision, RosterUpdate};
use std::sync::Arc;
use tokio::{sync::watch, time};

use crate::{backends::Backends, fleet::Fleet, metrics::GatewayMetrics, settings::StoreSettings};

/// Time between two tries while the store does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Notes when a dependency is lost and regained.
struct DependencyWatch {
    log: EventLog,
    dependency: Dependency,
    lost: Option<Instant>,
}

impl DependencyWatch {
    fn new(log: EventLog, dependency: Dependency) -> Self {
        Self { log, dependency, lost: None }
    }

    fn lose(&mut self, error: &StoreError) {
        if self.lost.is_some() {
            return;
        }
        self.lost = Some(Instant::now());
        let reason = error.to_string();
        let dependency = self.dependency;
        self.log.record(&DecisionEvent::DependencyLost { dependency, reason: &reason });
    }

    fn regain(&mut self) {
        if let Some(lost) = self.lost.take() {
            let outage_ms = millis(lost.elapsed());
            let dependency = self.dependency;
            self.log.record(&DecisionEvent::DependencyRegained { dependency, outage_ms });
        }
    }
}

/// Keeps the configuration in force up to date.
pub struct CatalogFollower {
    /// Store.
    pub store: PlatformStore,
    /// How it is watched.
    pub settings: StoreSettings,
    /// Log.
    pub log: EventLog,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Where the configuration in force is told.
    pub sender: watch::Sender<Option<Arc<Catalog>>>,
}

impl CatalogFollower {
    /// Follows until the process ends.
    pub async fn run(self) {
        let mut in_force = CurrentCatalog::default();
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreCatalog);
        let mut since = None;
        loop {
            let step = match since {
                None => self.read(&mut in_force).await,
                Some(revision) => self.watch(&mut in_force, revision).await,
            };
            match step {
                Ok(revision) => {
                    dependency.regain();
                    since = revision;
                }
                Err(error) => {
                    dependency.lose(&error);
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn read(
        &self,
        in_force: &mut CurrentCatalog,
    ) -> Result<Option<RosterRevision>, StoreError> {
        let (catalog, revision) = self.store.read_catalog().await?;
        if let Some(catalog) = catalog {
            self.adopt(in_force, catalog);
        }
        Ok(Some(revision))
    }

    async fn watch(
        &self,
        in_force: &mut CurrentCatalog,
        since: RosterRevision,
    ) -> Result<Option<RosterRevision>, StoreError> {
        match self.store.watch_catalog(since, self.settings.watch_wait()).await? {
            WatchOutcome::HistoryExpired => Ok(None),
            WatchOutcome::Changes { changes, revision } => {
                let is_changed = !changes.is_empty();
                for catalog in changes {
                    self.adopt(in_force, catalog);
                }
                if is_changed {
                    time::sleep(self.settings.watch_pace()).await;
                }
                Ok(Some(revision))
            }
        }
    }

    fn adopt(&self, in_force: &mut CurrentCatalog, catalog: Catalog) {
        let version = catalog.version();
        let routes = catalog.route_count();
        if let AdoptOutcome::Adopted { before } = in_force.adopt(catalog) {
            self.log.record(&DecisionEvent::CatalogAdopted { version, before, routes });
            self.metrics.catalog_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
            self.sender.send_replace(in_force.get().cloned());
        }
    }
}

/// Keeps the roster of backend servers up to date.
pub struct RosterFollower {
    /// Store.
    pub store: PlatformStore,
    /// How it is watched.
    pub settings: StoreSettings,
    /// Log.
    pub log: EventLog,
    /// The requests' view of the backend servers.
    pub backends: Backends,
    /// The planner's view of them.
    pub fleet: Fleet,
}

impl RosterFollower {
    /// Follows until the process ends.
    pub async fn run(self) {
        let mut roster = Roster::default();
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreServers);
        let mut since = None;
        loop {
            let now = Instant::now();
            let expired = roster.expire(now);
            self.tell(&roster, &expired, since.unwrap_or_default());
            let wait = self.wait(&roster, now);
            let step = match since {
                None => self.list(&mut roster).await,
                Some(revision) => self.watch(&mut roster, revision, wait).await,
            };
            match step {
                Ok(revision) => {
                    dependency.regain();
                    since = revision;
                }
                Err(error) => {
                    dependency.lose(&error);
                    roster.record_store_loss(Instant::now());
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// A watch ends when an entry is due to expire.
    fn wait(&self, roster: &Roster, now: Instant) -> Duration {
        let wait = self.settings.watch_wait();
        roster.next_expiry().map_or(wait, |at| wait.min(at.saturating_duration_since(now)))
    }

    async fn list(&self, roster: &mut Roster) -> Result<Option<RosterRevision>, StoreError> {
        let (servers, revision) = self.store.list_servers().await?;
        let now = Instant::now();
        roster.record_store_recovery(now);
        let news = roster.apply_snapshot(servers, now);
        self.tell(roster, &news, revision);
        Ok(Some(revision))
    }

    async fn watch(
        &self,
        roster: &mut Roster,
        since: RosterRevision,
        wait: Duration,
    ) -> Result<Option<RosterRevision>, StoreError> {
        match self.store.watch_servers(since, wait).await? {
            WatchOutcome::HistoryExpired => Ok(None),
            WatchOutcome::Changes { changes, revision } => {
                let now = Instant::now();
                roster.record_store_recovery(now);
                let is_changed = !changes.is_empty();
                let news: Vec<RosterUpdate> = changes
                    .into_iter()
                    .filter_map(|change| roster.apply_change(change, now))
                    .collect();
                self.tell(roster, &news, revision);
                if is_changed {
                    time::sleep(self.settings.watch_pace()).await;
                }
                Ok(Some(revision))
            }
        }
    }

    fn tell(&self, roster: &Roster, news: &[RosterUpdate], revision: RosterRevision) {
        if news.is_empty() {
            return;
        }
        for item in news {
            self.record(item, revision);
        }
        self.backends.step(|desk, now| {
            for item in news {
                match item {
                    RosterUpdate::Joined(id)
                    | RosterUpdate::Changed(id)
                    | RosterUpdate::Draining(id) => {
                        if let Some((server, _)) = roster.get(id) {
                            desk.upsert_server(server, now);
                        }
                    }
                    RosterUpdate::Lapsed(_) => {}
                    RosterUpdate::Removed(id) => desk.remove_server(id),
                }
            }
            desk.review_waiting(now);
        });
        self.fleet.note_listed();
        for item in news {
            if let RosterUpdate::Draining(id) | RosterUpdate::Removed(id) = item {
                self.fleet.forget_engine(id);
            }
        }
        self.backends.drop_unused_pools();
    }

    fn record(&self, news: &RosterUpdate, revision: RosterRevision) {
        let (server, standing) = match news {
            RosterUpdate::Joined(id) => (id, "joined"),
            RosterUpdate::Changed(id) => (id, "changed"),
            RosterUpdate::Draining(id) => (id, "draining"),
            RosterUpdate::Lapsed(id) => (id, "lapsed"),
            RosterUpdate::Removed(id) => (id, "gone"),
        };
        self.log.record(&DecisionEvent::ServerChanged {
            server,
            standing,
            source: "store",
            revision: revision.0,
        });
    }
}
