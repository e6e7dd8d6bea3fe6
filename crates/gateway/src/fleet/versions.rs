//! The software versions that have served lately, as this entry and the platform's store know them.

use std::collections::BTreeSet;

use ::origins::{MAX_STREAM_AGE, StreamOrigin, UnknownOrigin, VersionHistory};
use base::prelude::*;
use platform::ListingGap;
use roster::{SoftwareVersion, StoreEra};
use tokio::time;

use super::Fleet;
use crate::{
    relisting::RelistDelays,
    version_archive::{self, ServedVersion, VersionArchive, VersionListing},
};

/// Time between two updates of the history without a change of the roster.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a restore of the store from a copy within which servers and entries have written what
/// the copy lacks: two seconds, and the time until that is read.
pub(super) const REWRITE_TIME: Duration = Duration::from_millis(2_200);
/// Time between two listings of the stored versions by the entry that plans: others may have written
/// or deleted some while it was out of step.
const RELIST_INTERVAL: Duration = MAX_STREAM_AGE;
/// Entries besides the one that plans that store a new version: that one may be out of step.
const STORING_ENTRIES: usize = 3;
/// Time that these leave to the entry that plans.
const STORING_DELAY: Duration = Duration::from_millis(200);

/// The versions that have served lately, and those of them that the store has.
#[derive(Debug)]
pub(super) struct VersionBook {
    history: VersionHistory,
    /// What the store has; none if that has to be listed again.
    stored: Option<BTreeSet<ServedVersion>>,
    /// When the store's versions were listed last.
    listed: Option<Instant>,
    /// Latest era of the store; none before the first answer.
    era: Option<StoreEra>,
}

impl VersionBook {
    pub(super) fn new(now: Instant) -> Self {
        Self { history: VersionHistory::new(now), stored: None, listed: None, era: None }
    }

    /// Takes the era that the store has named: after a restore the newest versions may be missing.
    fn record_era(&mut self, era: StoreEra, now: Instant) {
        if self.era.is_some_and(|known| known < era) {
            self.history.record_restore(now + REWRITE_TIME);
        }
        self.era = self.era.max(Some(era));
    }

    /// Takes a listing of the store. Versions of it that were not known to be stored may have served
    /// until just now, while this entry was out of step.
    fn record_listing(&mut self, listing: VersionListing, now: Instant) {
        let known = self.stored.take().unwrap_or_default();
        let listed = listing.versions.iter().filter(|version| !known.contains(version)).cloned();
        self.history.restore(listed, self.history.complete_from(), now);
        self.listed = Some(now);
        // After a restore all are written again, so that they have the present era.
        let stored = if listing.may_be_old { Vec::new() } else { listing.versions };
        self.stored = Some(stored.into_iter().collect());
    }
}

impl Fleet {
    /// Reads the versions that earlier processes have stored, trying again until the store answers;
    /// returns the gap in their listing.
    pub async fn restore_versions(
        &self,
        archive: &VersionArchive,
        delays: &mut RelistDelays,
    ) -> Option<ListingGap> {
        let listing = archive.list(delays).await;
        let now = Instant::now();
        let complete_from = match (&listing.gap, listing.may_be_old) {
            (Some(_), _) => now + MAX_STREAM_AGE,
            // Servers and entries write again what a copy lacks.
            (None, true) => now + REWRITE_TIME,
            (None, false) => now,
        };
        let mut state = self.lock();
        state.versions.record_era(archive.era(), now);
        let versions = listing.versions;
        state.versions.history.restore(versions.iter().cloned(), complete_from, now);
        state.versions.stored = Some(versions.into_iter().collect());
        listing.gap
    }

    /// The version that began a stream whose origin nobody keeps, by what the store lists now.
    pub(super) async fn only_version(
        &self,
        service: &ServiceName,
    ) -> Result<SoftwareVersion, UnknownOrigin> {
        let asked = Instant::now();
        self.record_listed_versions();
        let known = self.lock().versions.history.only_version(service, asked, asked);
        // What the store lists can only add versions.
        if known == Err(UnknownOrigin::SeveralVersions) {
            return known;
        }
        self.read_versions(asked).await;
        self.lock().versions.history.only_version(service, asked, Instant::now())
    }

    /// Reads the versions from the store, unless another lookup has since `asked`. Lookups that come
    /// together share a read.
    async fn read_versions(&self, asked: Instant) {
        let mut read_as_of = self.version_reads.lock().await;
        if read_as_of.is_some_and(|sent| sent >= asked) {
            return;
        }
        let sent = Instant::now();
        let listed = tokio::try_join!(self.versions.list_serving(), self.versions.list_once());
        match listed {
            Ok((_, recorded)) if recorded.gap.is_some() => log::warn!(
                "versions: the stored versions are not listed to the end, streams of unknown origin \
                 are refused"
            ),
            Ok((listed, recorded)) => {
                *read_as_of = Some(sent);
                let now = Instant::now();
                let mut state = self.lock();
                state.versions.record_era(self.versions.era(), now);
                let history = &mut state.versions.history;
                history.record_read(listed, recorded.versions, sent, now);
            }
            Err(error) => log::warn!(
                "versions: cannot read which versions serve, streams of unknown origin are \
                 refused: {error}"
            ),
        }
    }

    /// From when on the versions that have served are known, as far as the store tells.
    pub(super) fn versions_complete_from(&self) -> Instant {
        self.lock().versions.history.complete_from()
    }

    /// Whether servers of this version were listed lately.
    pub(super) fn knows_version(&self, origin: &StreamOrigin) -> bool {
        self.record_listed_versions();
        let versions = self.lock().versions.history.versions();
        versions.contains(&(origin.service.clone(), origin.software.clone()))
    }

    /// Takes the era that the store has named.
    pub fn record_store_era(&self, era: StoreEra) {
        self.lock().versions.record_era(era, Instant::now());
    }

    /// Writes the versions to the store again, which has lost them.
    pub fn store_versions_again(&self) {
        self.lock().versions.stored = None;
        self.versions_changed.notify_one();
    }

    /// Follows the versions in the roster, until the process ends. The entry that plans stores new
    /// ones, and deletes those whose streams have ended. Some others store what it does not.
    pub async fn follow_versions(self, archive: VersionArchive) {
        let mut was_planner = false;
        loop {
            self.record_listed_versions();
            let is_planner = self.is_planner();
            if is_planner && !was_planner {
                // The entry that planned before has written and deleted versions.
                self.lock().versions.stored = None;
            }
            was_planner = is_planner;
            match is_planner {
                true => self.store_versions(&archive).await,
                false => self.store_missing_versions(&archive).await,
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
        let is_listing_due = {
            let state = self.lock();
            let listed = state.versions.listed.filter(|_| state.versions.stored.is_some());
            listed.is_none_or(|listed| listed.elapsed() >= RELIST_INTERVAL)
        };
        if is_listing_due {
            let listing = archive.list(&mut RelistDelays::default()).await;
            self.lock().versions.record_listing(listing, Instant::now());
        }
        let (missing, stored) = {
            let mut state = self.lock();
            state.versions.history.expire(Instant::now());
            let served = state.versions.history.versions();
            let Some(stored) = &state.versions.stored else { return };
            let missing: Vec<ServedVersion> = served.difference(stored).cloned().collect();
            (missing, stored.clone())
        };
        self.write_versions(archive, missing).await;
        self.delete_ended(archive, &stored).await;
    }

    /// Stores the versions that the entry that plans has not stored, if this entry is among those that
    /// see to it.
    async fn store_missing_versions(&self, archive: &VersionArchive) {
        if self.missing_versions().is_empty() {
            return;
        }
        time::sleep(STORING_DELAY).await;
        match archive.list_once().await {
            Ok(listing) => {
                let listed = listing.versions.into_iter().collect();
                self.lock().versions.stored = Some(listed);
                self.write_versions(archive, self.missing_versions()).await;
            }
            Err(error) => {
                log::warn!("versions: cannot list the stored versions, retrying: {error}");
            }
        }
    }

    /// The versions that this entry has to store and that the store had not when it was listed.
    fn missing_versions(&self) -> Vec<ServedVersion> {
        let mut state = self.lock();
        let current = state.versions.history.current_versions(Instant::now());
        if let Some(stored) = &mut state.versions.stored {
            // The entry that plans deletes what is not current any more.
            stored.retain(|version| current.contains(version));
        }
        let stored = state.versions.stored.clone().unwrap_or_default();
        let missing = current.difference(&stored).filter(|version| {
            let hash = version_archive::version_hash(version);
            state.peers.ranked_for(hash, STORING_ENTRIES).contains(&None)
        });
        missing.cloned().collect()
    }

    async fn write_versions(&self, archive: &VersionArchive, versions: Vec<ServedVersion>) {
        for version in versions {
            match archive.write(&version).await {
                Ok(()) => self.update_stored(|stored| stored.insert(version)),
                Err(error) => log::warn!(
                    "versions: storing version {} of {} failed, retrying: {error}",
                    version.1,
                    version.0
                ),
            }
        }
    }

    /// Deletes those of the stored versions whose streams have ended; none while the history may lack
    /// versions of earlier processes.
    async fn delete_ended(&self, archive: &VersionArchive, stored: &BTreeSet<ServedVersion>) {
        if Instant::now() < self.versions_complete_from() {
            return;
        }
        let served = self.lock().versions.history.versions();
        for version in stored.difference(&served) {
            match archive.delete(version).await {
                Ok(()) => self.update_stored(|stored| stored.remove(version)),
                Err(error) => log::warn!(
                    "versions: deleting version {} of {} failed, retrying: {error}",
                    version.1,
                    version.0
                ),
            }
        }
    }

    fn update_stored(&self, update: impl FnOnce(&mut BTreeSet<ServedVersion>) -> bool) {
        // A restore of the store meanwhile leaves nothing to update.
        self.lock().versions.stored.as_mut().map(update);
    }
}
