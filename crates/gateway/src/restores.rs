//! Follows restores of the platform's store from a copy.

use base::prelude::*;
use events::{DecisionEvent, EventLog};
use platform::PlatformStore;
use rand::RngExt;
use roster::StoreEra;
use tokio::time;

use crate::{fleet::Fleet, registration::EntryRegistration, store_reads::StoreReads};

/// Longest delay before what the store has lost is written again; the entries spread their calls
/// over it.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);

/// What follows from a restore of the store.
#[derive(Clone)]
pub struct RestoreFollower {
    /// Client of the store.
    pub store: PlatformStore,
    /// What this process knows of the store.
    pub reads: StoreReads,
    /// Decision log.
    pub log: EventLog,
    /// Registration of this entry.
    pub registration: EntryRegistration,
    /// Other entries, which are listed in the store, blocks of requests, and
    /// software versions.
    pub fleet: Fleet,
}

impl RestoreFollower {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut eras = self.store.era();
        let mut before = None;
        // Fails only if the client of the store is gone.
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            if let Some(era) = era {
                self.fleet.record_store_era(era);
            }
            // The first era that is seen says nothing of a restore.
            if let (Some(before), Some(era)) = (before, era) {
                self.record(before, era);
                let delay = MAX_WRITE_DELAY.mul_f64(rand::rng().random());
                time::sleep(delay).await;
                self.registration.renew(&self.fleet).await;
                self.fleet.store_blocks_again();
                self.fleet.store_versions_again();
            }
            before = era;
        }
    }

    fn record(&self, StoreEra(before): StoreEra, StoreEra(era): StoreEra) {
        let known_revision = self.reads.sighting().map_or(0, |sighting| sighting.revision);
        self.log.record(&DecisionEvent::StoreRestored { era, before, known_revision });
    }
}
