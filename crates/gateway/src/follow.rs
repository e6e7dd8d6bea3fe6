//! Watches the configuration and the backend servers in the platform's store.

use base::prelude::*;
use catalog::{AdoptOutcome, Catalog, CurrentCatalog};
use events::{DecisionEvent, Dependency, EventLog, millis};
use platform::{PlatformStore, StoreError, WatchOutcome};
use roster::{Roster, RosterRevision, RosterUpdate};
use std::sync::Arc;
use tokio::{sync::watch, time};

use crate::{backends::Backends, fleet::Fleet, metrics::GatewayMetrics, settings::StoreSettings};

/// Delay before the next call to the store after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Records in the decision log when a dependency becomes unavailable and available again.
struct DependencyWatch {
    log: EventLog,
    dependency: Dependency,
    lost_at: Option<Instant>,
}

impl DependencyWatch {
    fn new(log: EventLog, dependency: Dependency) -> Self {
        Self { log, dependency, lost_at: None }
    }

    fn record_loss(&mut self, error: &StoreError) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(Instant::now());
        let reason = error.to_string();
        let dependency = self.dependency;
        self.log.record(&DecisionEvent::DependencyLost { dependency, reason: &reason });
    }

    fn record_recovery(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let outage_ms = millis(lost_at.elapsed());
            let dependency = self.dependency;
            self.log.record(&DecisionEvent::DependencyRegained { dependency, outage_ms });
        }
    }
}

/// Keeps the current configuration up to date.
pub struct CatalogFollower {
    /// Client of the store.
    pub store: PlatformStore,
    /// Settings of the store, which hold the intervals of the watch.
    pub settings: StoreSettings,
    /// Decision log.
    pub log: EventLog,
    /// Metrics, for the version of the configuration.
    pub metrics: GatewayMetrics,
    /// Where each new configuration is published.
    pub sender: watch::Sender<Option<Arc<Catalog>>>,
}

impl CatalogFollower {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut current = CurrentCatalog::default();
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreCatalog);
        let mut since = None;
        loop {
            let step = match since {
                None => self.read(&mut current).await,
                Some(revision) => self.watch(&mut current, revision).await,
            };
            match step {
                Ok(revision) => {
                    dependency.record_recovery();
                    since = revision;
                }
                Err(error) => {
                    dependency.record_loss(&error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read(
        &self,
        current: &mut CurrentCatalog,
    ) -> Result<Option<RosterRevision>, StoreError> {
        let (catalog, revision) = self.store.read_catalog().await?;
        if let Some(catalog) = catalog {
            self.adopt(current, catalog);
        }
        Ok(Some(revision))
    }

    async fn watch(
        &self,
        current: &mut CurrentCatalog,
        since: RosterRevision,
    ) -> Result<Option<RosterRevision>, StoreError> {
        match self.store.watch_catalog(since, self.settings.watch_wait()).await? {
            WatchOutcome::HistoryExpired => Ok(None),
            WatchOutcome::Changes { changes, revision } => {
                let is_changed = !changes.is_empty();
                for catalog in changes {
                    self.adopt(current, catalog);
                }
                if is_changed {
                    time::sleep(self.settings.watch_interval()).await;
                }
                Ok(Some(revision))
            }
        }
    }

    fn adopt(&self, current: &mut CurrentCatalog, catalog: Catalog) {
        let version = catalog.version();
        let routes = catalog.route_count();
        if let AdoptOutcome::Adopted { before } = current.adopt(catalog) {
            self.log.record(&DecisionEvent::CatalogAdopted { version, before, routes });
            self.metrics.catalog_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
            self.sender.send_replace(current.get().cloned());
        }
    }
}

/// Keeps the roster of backend servers up to date.
pub struct RosterFollower {
    /// Client of the store.
    pub store: PlatformStore,
    /// Settings of the store, which hold the intervals of the watch.
    pub settings: StoreSettings,
    /// Decision log.
    pub log: EventLog,
    /// Dispatcher that gets the changes of the roster.
    pub backends: Backends,
    /// Other processes: side processes of new backend servers are contacted, and draining or
    /// removed backend servers are taken out of planning.
    pub fleet: Fleet,
}

impl RosterFollower {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut roster = Roster::default();
        let mut dependency = DependencyWatch::new(self.log.clone(), Dependency::StoreServers);
        let mut since = None;
        loop {
            let now = Instant::now();
            let expired = roster.expire(now);
            self.publish(&roster, &expired, since.unwrap_or_default());
            let wait = self.watch_wait(&roster, now);
            let step = match since {
                None => self.list(&mut roster).await,
                Some(revision) => self.watch(&mut roster, revision, wait).await,
            };
            match step {
                Ok(revision) => {
                    dependency.record_recovery();
                    since = revision;
                }
                Err(error) => {
                    dependency.record_loss(&error);
                    roster.record_store_loss(Instant::now());
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Longest wait of the next watch, which ends at the latest when a server of the roster
    /// expires.
    fn watch_wait(&self, roster: &Roster, now: Instant) -> Duration {
        let wait = self.settings.watch_wait();
        roster.next_expiry().map_or(wait, |at| wait.min(at.saturating_duration_since(now)))
    }

    async fn list(&self, roster: &mut Roster) -> Result<Option<RosterRevision>, StoreError> {
        let (servers, revision) = self.store.list_servers().await?;
        let now = Instant::now();
        roster.record_store_recovery(now);
        let updates = roster.apply_snapshot(servers, now);
        self.publish(roster, &updates, revision);
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
                let updates: Vec<RosterUpdate> = changes
                    .into_iter()
                    .filter_map(|change| roster.apply_change(change, now))
                    .collect();
                self.publish(roster, &updates, revision);
                if is_changed {
                    time::sleep(self.settings.watch_interval()).await;
                }
                Ok(Some(revision))
            }
        }
    }

    fn publish(&self, roster: &Roster, updates: &[RosterUpdate], revision: RosterRevision) {
        if updates.is_empty() {
            return;
        }
        for update in updates {
            self.record(update, revision);
        }
        self.backends.with_dispatcher(|dispatcher, now| {
            for update in updates {
                match update {
                    RosterUpdate::Joined(id)
                    | RosterUpdate::Changed(id)
                    | RosterUpdate::Draining(id) => {
                        if let Some((server, _)) = roster.get(id) {
                            dispatcher.upsert_server(server, now);
                        }
                    }
                    RosterUpdate::Lapsed(_) => {}
                    RosterUpdate::Removed(id) => dispatcher.remove_server(id),
                }
            }
            dispatcher.review_waiting(now);
        });
        self.fleet.contact_unknown_peers();
        for update in updates {
            if let RosterUpdate::Draining(id) | RosterUpdate::Removed(id) = update {
                self.fleet.remove_engine(id);
            }
        }
        self.backends.drop_unused_pools();
    }

    fn record(&self, update: &RosterUpdate, revision: RosterRevision) {
        let (server, status) = match update {
            RosterUpdate::Joined(id) => (id, "joined"),
            RosterUpdate::Changed(id) => (id, "changed"),
            RosterUpdate::Draining(id) => (id, "draining"),
            RosterUpdate::Lapsed(id) => (id, "lapsed"),
            RosterUpdate::Removed(id) => (id, "gone"),
        };
        self.log.record(&DecisionEvent::ServerChanged {
            server,
            standing: status,
            source: "store",
            revision: revision.0,
        });
    }
}
