//! Blocks of requests that crash backend servers, in the platform's store, for entries that start
//! when no other entry knows them any more.

use base::{clock, prelude::*};
use platform::{ObjectKind, PlatformStore};
use serde::{Deserialize, Serialize};
use suspects::{RequestBlock, SuspectKey, SuspectKeys};
use tokio::time;

use crate::backends::Backends;

/// Attempts to write a block.
const WRITE_ATTEMPTS: u32 = 3;
/// Delay between two of them.
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

/// Writes and reads the stored blocks; clones share the client of the store.
#[derive(Clone)]
pub struct BlockArchive {
    /// Client of the store.
    pub store: PlatformStore,
}

impl BlockArchive {
    /// Writes a block that this entry has decided or narrowed.
    pub async fn write(self, block: RequestBlock) {
        let stored = encode(&block, Instant::now(), clock::since_epoch());
        let contents = match serde_json::to_string(&stored) {
            Ok(contents) => contents,
            Err(error) => {
                log::error!("blocks: a block cannot be encoded, it is not stored: {error}");
                return;
            }
        };
        let name = block.id();
        for attempt in 1..=WRITE_ATTEMPTS {
            let kind = ObjectKind::RequestBlocks;
            let written = self.store.write_system_object(kind, &name.to_string(), &contents).await;
            let Err(error) = written else { return };
            log::warn!("blocks: writing block {name} failed, try {attempt}: {error}");
            time::sleep(WRITE_RETRY_DELAY).await;
        }
        log::warn!("blocks: block {name} is not stored; entries that start ask other entries");
    }

    /// Applies the stored blocks that have not ended, and deletes those that ended long ago.
    pub async fn restore(&self, backends: &Backends) {
        let listed = match self.store.list_system_objects(ObjectKind::RequestBlocks).await {
            Ok(listed) => listed,
            Err(error) => {
                log::warn!("blocks: cannot list the stored blocks, going on without: {error}");
                return;
            }
        };
        for (name, contents) in listed {
            let stored = match serde_json::from_str::<StoredBlock>(&contents) {
                Ok(stored) => stored,
                Err(error) => {
                    log::warn!("blocks: ignoring the stored block {name:?}: {error}");
                    continue;
                }
            };
            let (now, unix_time) = (Instant::now(), clock::since_epoch());
            if Duration::from_millis(stored.until_ms) + RETENTION < unix_time {
                self.delete(&name).await;
                continue;
            }
            let block = decode(&stored, now, unix_time);
            backends.with_dispatcher(|dispatcher, now| {
                dispatcher.suspects_mut().restore_block(&block, now);
            });
        }
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
