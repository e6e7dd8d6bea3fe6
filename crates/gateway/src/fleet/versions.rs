//! The software versions that have served lately, as this entry and the platform's store know them.

use std::collections::BTreeSet;

use ::origins::{UnknownOrigin, VersionHistory};
use base::prelude::*;
use roster::SoftwareVersion;
use tokio::time;

use super::Fleet;
use crate::version_archive::{ServedVersion, VersionArchive};

/// Time between two updates of the history without a change of the roster.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The versions that have served lately, and those of them that the store has.
#[derive(Debug)]
pub(super) struct VersionBook {
    history: VersionHistory,
    stored: BTreeSet<ServedVersion>,
}

impl VersionBook {
    pub(super) fn new(now: Instant) -> Self {
        Self { history: VersionHistory::new(now), stored: BTreeSet::new() }
    }
}

impl Fleet {
    /// Reads the versions that earlier processes have stored, trying again until the store answers.
    pub async fn restore_versions(&self, archive: &VersionArchive) {
        let stored = archive.list().await;
        let mut state = self.lock();
        state.versions.history.restore(stored.iter().cloned(), Instant::now());
        state.versions.stored.extend(stored);
    }

    /// The version that began a stream whose origin nobody keeps.
    pub(super) fn only_version(
        &self,
        service: &ServiceName,
    ) -> Result<SoftwareVersion, UnknownOrigin> {
        self.record_listed_versions();
        self.lock().versions.history.only_version(service, Instant::now())
    }

    /// Writes the versions to the store again, which has lost them.
    pub fn store_versions_again(&self) {
        self.lock().versions.stored.clear();
        self.versions_changed.notify_one();
    }

    /// Follows the versions in the roster, until the process ends. The entry that plans stores new
    /// ones, and deletes those whose streams have ended.
    pub async fn follow_versions(self, archive: VersionArchive) {
        loop {
            self.record_listed_versions();
            if self.is_planner() {
                self.store_versions(&archive).await;
            }
            tokio::select! {
                () = time::sleep(UPDATE_INTERVAL) => {}
                () = self.versions_changed.notified() => {}
            }
        }
    }

    fn is_planner(&self) -> bool {
        let state = self.lock();
        !state.peers.is_draining() && state.peers.planner().is_none()
    }

    fn record_listed_versions(&self) {
        let listed: Vec<ServedVersion> = self.backends.with_dispatcher(|dispatcher, _| {
            let served: BTreeSet<_> =
                dispatcher.servers().map(|view| (&view.service, &view.software)).collect();
            let versions = served.into_iter();
            versions.map(|(service, software)| (service.clone(), software.clone())).collect()
        });
        let now = Instant::now();
        let mut state = self.lock();
        for (service, software) in &listed {
            state.versions.history.record_listed(service, software, now);
        }
    }

    async fn store_versions(&self, archive: &VersionArchive) {
        let (missing, ended) = {
            let mut state = self.lock();
            state.versions.history.expire(Instant::now());
            let served = state.versions.history.versions();
            let stored = &state.versions.stored;
            let missing: Vec<ServedVersion> = served.difference(stored).cloned().collect();
            let ended: Vec<ServedVersion> = stored.difference(&served).cloned().collect();
            (missing, ended)
        };
        for version in missing {
            match archive.write(&version).await {
                Ok(()) => {
                    self.lock().versions.stored.insert(version);
                }
                Err(error) => log::warn!(
                    "versions: storing version {} of {} failed, retrying: {error}",
                    version.1,
                    version.0
                ),
            }
        }
        for version in ended {
            match archive.delete(&version).await {
                Ok(()) => {
                    self.lock().versions.stored.remove(&version);
                }
                Err(error) => log::warn!(
                    "versions: deleting version {} of {} failed, retrying: {error}",
                    version.1,
                    version.0
                ),
            }
        }
    }
}
