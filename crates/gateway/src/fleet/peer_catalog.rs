//! The versions of the configuration that the other entries use.
//!
//! A store that was restored from a copy may hold an older configuration than the entries use, until
//! its operators write the newer one again. An entry that starts then learns of the newer one from
//! heartbeats, as does an entry that does not reach the store.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use catalog::{CatalogVersion, FetchPlanner, FetchStep};
use tokio::{
    sync::{Notify, watch},
    time,
};

use super::Fleet;

/// Longest wait for the first heartbeat of another entry; those that live answer the first one of an
/// entry that starts within some milliseconds.
const FIRST_CONTACT_TIMEOUT: Duration = Duration::from_millis(100);

/// Versions of the configuration at other entries, as heartbeats state them.
#[derive(Default)]
pub(super) struct PeerCatalogs {
    /// Newest version; none before the first heartbeat.
    newest: watch::Sender<Option<CatalogVersion>>,
    planner: Mutex<FetchPlanner<SocketAddr>>,
    changed: Notify,
}

impl PeerCatalogs {
    fn planner(&self) -> MutexGuard<'_, FetchPlanner<SocketAddr>> {
        locks::lock(&self.planner)
    }
}

impl Fleet {
    pub(super) fn record_peer_catalog(&self, source: SocketAddr, version: CatalogVersion) {
        let catalogs = &self.peer_catalogs;
        if catalogs.planner().record_offer(source, version, Instant::now()) {
            catalogs.changed.notify_one();
        }
        catalogs.newest.send_if_modified(|newest| {
            let is_newer = *newest < Some(version);
            *newest = (*newest).max(Some(version));
            is_newer
        });
        self.record_newest_catalog();
    }

    /// Records the version of the configuration that is in force at this entry.
    pub fn record_held_catalog(&self, version: CatalogVersion) {
        self.peer_catalogs.planner().record_held(version);
        self.record_newest_catalog();
    }

    fn record_newest_catalog(&self) {
        if let Some(CatalogVersion(newest)) = self.peer_catalogs.planner().newest() {
            self.metrics.newest_catalog_version.set(i64::try_from(newest).unwrap_or(i64::MAX));
        }
    }

    /// Whether a version of the configuration is known that is newer than the one in force here.
    pub fn is_catalog_behind(&self) -> bool {
        self.peer_catalogs.planner().is_behind()
    }

    /// The next step towards the newest version of the configuration. A fetch is to be followed by
    /// [`Fleet::finish_catalog_fetch`].
    pub fn next_catalog_fetch(&self) -> FetchStep<SocketAddr> {
        self.peer_catalogs.planner().next(rand::random(), Instant::now())
    }

    /// Records the end of a fetch, and whether it has brought a newer version.
    pub fn finish_catalog_fetch(&self, is_delivered: bool) {
        self.peer_catalogs.planner().finish(is_delivered, rand::random(), Instant::now());
    }

    /// Waits until the next step towards the newest version may be another one.
    pub async fn wait_for_catalog_offer(&self) {
        self.peer_catalogs.changed.notified().await;
    }

    /// Whether another entry uses a later version of the configuration than `version`. Waits a
    /// moment for the first heartbeat of another entry.
    pub async fn has_newer_catalog(&self, version: CatalogVersion) -> bool {
        let mut newest = self.peer_catalogs.newest.subscribe();
        let first = newest.wait_for(Option::is_some);
        // Without a heartbeat there is probably no other entry.
        let Ok(Ok(newest)) = time::timeout(FIRST_CONTACT_TIMEOUT, first).await else {
            return false;
        };
        newest.is_some_and(|newest| newest > version)
    }
}
