//! Blocks of requests that crash backend servers, in the platform's store, for entries that start
//! when no other entry knows them any more.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{clock, locks, prelude::*};
use platform::{Listing, ObjectKind, PlatformStore, StoreError};
use serde::{Deserialize, Serialize};
use suspects::{BlockId, RequestBlock, SuspectKey, SuspectKeys};
use tokio::{sync::Notify, time};

use crate::{backends::Backends, relisting::RelistDelays};

/// Delay before the next attempt to write a block after one that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after its end for which a block stays in the store.
const RETENTION: Duration = Duration::from_secs(3_600);

/// A block as it is stored; times are in milliseconds since the Unix epoch.
#[derive(Debug, Serialize, Deserialize)]
struct StoredBlock {
    keys: Vec<String>,
    cleared: Vec<String>,
    decided_ms: u64,
    until_ms: u64,
    renewals: u32,
}

/// Writes and reads the stored blocks; clones share the client of the store and the blocks to write.
#[derive(Clone)]
pub struct BlockArchive {
    store: PlatformStore,
    unwritten: Arc<Mutex<BTreeMap<BlockId, RequestBlock>>>,
    has_unwritten: Arc<Notify>,
}

impl BlockArchive {
    /// An archive in `store`. [`BlockArchive::run`] writes what is added to it.
    pub fn new(store: PlatformStore) -> Self {
        Self { store, unwritten: Arc::default(), has_unwritten: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<BlockId, RequestBlock>> {
        locks::lock(&self.unwritten)
    }

    /// Adds a block that this entry has decided or narrowed. It replaces the same block of an
    /// earlier state that is not written yet.
    pub fn add(&self, block: RequestBlock) {
        let progress = |block: &RequestBlock| (block.renewals, block.cleared.iter().count());
        let mut unwritten = self.lock();
        let known = unwritten.get(&block.id());
        if known.is_none_or(|known| progress(known) <= progress(&block)) {
            unwritten.insert(block.id(), block);
        }
        self.has_unwritten.notify_one();
    }

    /// Writes the added blocks until the process ends. A block whose writing fails is written again
    /// until that succeeds or the block has ended.
    pub async fn run(self) {
        loop {
            let blocks: Vec<RequestBlock> = self.lock().values().cloned().collect();
            if blocks.is_empty() {
                self.has_unwritten.notified().await;
                continue;
            }
            let mut has_failed = false;
            for block in blocks {
                match self.write(&block).await {
                    Ok(()) => self.remove(&block),
                    Err(error) if block.until <= Instant::now() => {
                        log::warn!(
                            "blocks: block {} has ended unwritten, dropping it: {error}",
                            block.id()
                        );
                        self.remove(&block);
                    }
                    Err(error) => {
                        log::warn!(
                            "blocks: writing block {} failed, retrying: {error}",
                            block.id()
                        );
                        has_failed = true;
                    }
                }
            }
            if has_failed {
                time::sleep(WRITE_RETRY_DELAY).await;
            }
        }
    }

    /// Removes a block that is done with, unless a later state of it was added meanwhile.
    fn remove(&self, block: &RequestBlock) {
        let mut unwritten = self.lock();
        if unwritten.get(&block.id()) == Some(block) {
            unwritten.remove(&block.id());
        }
    }

    async fn write(&self, block: &RequestBlock) -> Result<(), StoreError> {
        let stored = encode(block, Instant::now(), clock::since_epoch());
        let contents = serde_json::json!(stored).to_string();
        let name = block.id().to_string();
        self.store.write_system_object(ObjectKind::RequestBlocks, &name, &contents).await
    }

    /// Reads the stored blocks, trying again until the store lists all. Applies those that have not
    /// ended, and deletes those that ended long ago.
    pub async fn restore(&self, backends: &Backends) {
        let mut delays = RelistDelays::default();
        loop {
            let listing = self.list(&mut delays).await;
            for (name, contents) in listing.items {
                self.restore_block(&name, &contents, backends).await;
            }
            let Some(gap) = listing.gap else { return };
            time::sleep(delays.after_gap(&gap)).await;
        }
    }

    async fn list(&self, delays: &mut RelistDelays) -> Listing<(String, String)> {
        let mut failures = 0_u32;
        let listing = loop {
            let error = match self.store.list_system_objects(ObjectKind::RequestBlocks).await {
                Ok(listing) => break listing,
                Err(error) => error,
            };
            match failures {
                0 => log::warn!("blocks: cannot list the stored blocks, retrying: {error}"),
                _ => log::debug!("blocks: cannot list the stored blocks: {error}"),
            }
            failures += 1;
            time::sleep(delays.after_failure(&error)).await;
        };
        if failures > 0 {
            log::info!("blocks: listed the stored blocks after {failures} failed calls");
        }
        listing
    }

    async fn restore_block(&self, name: &str, contents: &str, backends: &Backends) {
        let stored = match serde_json::from_str::<StoredBlock>(contents) {
            Ok(stored) => stored,
            Err(error) => {
                log::warn!("blocks: ignoring the stored block {name:?}: {error}");
                return;
            }
        };
        let (now, unix_time) = (Instant::now(), clock::since_epoch());
        if Duration::from_millis(stored.until_ms) + RETENTION < unix_time {
            self.delete(name).await;
            return;
        }
        let block = decode(&stored, now, unix_time);
        backends.with_dispatcher(|dispatcher, now| {
            dispatcher.suspects_mut().restore_block(&block, now);
        });
    }

    async fn delete(&self, name: &str) {
        let deleted = self.store.delete_system_object(ObjectKind::RequestBlocks, name).await;
        if let Err(error) = deleted {
            log::warn!("blocks: the ended block {name} is left in the store: {error}");
        }
    }
}

fn encode(block: &RequestBlock, now: Instant, unix_time: Duration) -> StoredBlock {
    let texts = |keys: &SuspectKeys| keys.iter().map(|key| key.to_string()).collect();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    StoredBlock {
        keys: texts(&block.keys),
        cleared: texts(&block.cleared),
        decided_ms: millis(unix_time.saturating_sub(now.saturating_duration_since(block.decided))),
        until_ms: millis(unix_time + block.until.saturating_duration_since(now)),
        renewals: block.renewals,
    }
}

/// The stored block by the clock of this process. The time of day may have jumped since it was
/// written, so its rest is bounded by the longest block.
fn decode(stored: &StoredBlock, now: Instant, unix_time: Duration) -> RequestBlock {
    let keys = |texts: &[String]| -> SuspectKeys {
        texts.iter().filter_map(|text| text.parse::<SuspectKey>().ok()).collect()
    };
    let age = unix_time.saturating_sub(Duration::from_millis(stored.decided_ms));
    let decided = now.checked_sub(age).unwrap_or(now);
    let rest = Duration::from_millis(stored.until_ms).saturating_sub(unix_time);
    RequestBlock {
        keys: keys(&stored.keys),
        cleared: keys(&stored.cleared),
        since: decided,
        decided,
        until: now + rest.min(RequestBlock::MAX_TIME),
        renewals: stored.renewals,
    }
}
