//! The configuration in force: where new versions take effect, whatever their source.

use std::sync::{Arc, Mutex, MutexGuard};

use base::locks;
use bytes::Bytes;
use catalog::{AdoptOutcome, Catalog, CatalogVersion, CurrentCatalog};
use events::{DecisionEvent, EventLog};
use platform::StoredCatalog;
use tokio::sync::watch;

use crate::{fleet::Fleet, metrics::GatewayMetrics};

/// Where a configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatalogSource {
    /// The platform's store.
    Store,
    /// An entry that has a newer version.
    Peer,
}

impl CatalogSource {
    /// Name in the decision log.
    pub fn text(self) -> &'static str {
        match self {
            CatalogSource::Store => "store",
            CatalogSource::Peer => "peer",
        }
    }
}

#[derive(Default)]
struct HeldCatalog {
    current: CurrentCatalog,
    /// The configuration in force as the store holds it, for other entries; contains keys.
    contents: Bytes,
}

/// The configuration in force; clones share it.
#[derive(Clone)]
pub struct CatalogHolder {
    held: Arc<Mutex<HeldCatalog>>,
    sender: watch::Sender<Option<Arc<Catalog>>>,
    fleet: Fleet,
    log: EventLog,
    metrics: GatewayMetrics,
}

impl CatalogHolder {
    /// A holder without a configuration, which publishes each new one to `sender`.
    pub fn new(
        sender: watch::Sender<Option<Arc<Catalog>>>,
        fleet: Fleet,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> Self {
        Self { held: Arc::default(), sender, fleet, log, metrics }
    }

    fn lock(&self) -> MutexGuard<'_, HeldCatalog> {
        locks::lock(&self.held)
    }

    /// Puts a configuration into force unless the same or a later version is; returns whether it
    /// did.
    pub fn adopt(&self, stored: StoredCatalog, source: CatalogSource) -> bool {
        let StoredCatalog { catalog, contents } = stored;
        let (version, routes) = (catalog.version(), catalog.route_count());
        let mut held = self.lock();
        let AdoptOutcome::Adopted { before } = held.current.adopt(catalog) else { return false };
        held.contents = contents;
        // Under the lock, so that versions are published in order.
        self.sender.send_replace(held.current.get().cloned());
        self.fleet.record_held_catalog(version);
        drop(held);
        let source = source.text();
        self.log.record(&DecisionEvent::CatalogAdopted { version, before, routes, source });
        self.metrics.catalog_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        true
    }

    /// Size of the configuration in force in bytes; zero before the first.
    pub fn size(&self) -> usize {
        self.lock().contents.len()
    }

    /// Version in force; none before the first.
    pub fn version(&self) -> Option<CatalogVersion> {
        self.lock().current.version()
    }

    /// The configuration in force as the store holds it, if its version is later than `version`.
    /// It holds the keys of callers in plain text and must not be logged.
    pub fn contents_newer_than(&self, version: CatalogVersion) -> Option<Bytes> {
        let held = self.lock();
        held.current.version().filter(|held| *held > version).map(|_| held.contents.clone())
    }
}
