//! Requests that are refused because requests like them crash backend servers.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::key::SuspectKeys;

/// Duration of the first block of a set of keys. After it one crash is enough for the next block,
/// which lasts twice as long: a fault that was repaired costs little, one that stays few crashes.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(60);
/// Longest duration of a block.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(3_600);
/// Time after its end for which a block is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(3_600);
/// Most blocks, active or remembered; the one that ends first is dropped for a new one.
const MAX_BLOCKS: usize = 64;

/// Identifies a block, by its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockId(u64);

/// A block of the requests that have all of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestBlock {
    /// The keys.
    pub keys: SuspectKeys,
    /// When it ends.
    pub until: Instant,
    /// How often it was renewed after its end.
    pub renewals: u32,
}

impl RequestBlock {
    /// The first block of requests with `keys`.
    pub fn new(keys: SuspectKeys, now: Instant) -> Self {
        Self { keys, until: now + FIRST_BLOCK_TIME, renewals: 0 }
    }

    /// The block that follows after its end.
    fn renewed(&self, now: Instant) -> Self {
        let renewals = self.renewals + 1;
        let doubled = FIRST_BLOCK_TIME.saturating_mul(1 << renewals.min(16));
        Self { keys: self.keys.clone(), until: now + doubled.min(MAX_BLOCK_TIME), renewals }
    }

    /// Its identity, which is the same at all entries.
    pub fn id(&self) -> BlockId {
        let bytes: Vec<u8> = self.keys.iter().flat_map(|key| key.0.to_be_bytes()).collect();
        BlockId(xxh3_64(&bytes))
    }
}

/// Sum over the active blocks of an entry; entries with the same blocks have the same digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockDigest(pub u64);

/// The blocks that an entry knows.
#[derive(Debug, Default)]
pub struct BlockList {
    blocks: Vec<RequestBlock>,
}

impl BlockList {
    /// Adds a block or extends a known one. Returns whether the list has changed.
    pub fn apply(&mut self, block: &RequestBlock, now: Instant) -> bool {
        if block.keys.is_empty() || block.until <= now {
            return false;
        }
        let known = self.blocks.iter_mut().find(|known| known.keys == block.keys);
        if let Some(known) = known {
            let is_newer = block.renewals > known.renewals;
            if is_newer {
                known.clone_from(block);
            }
            return is_newer;
        }
        self.blocks.retain(|known| now < known.until + MEMORY_TIME);
        if self.blocks.len() >= MAX_BLOCKS {
            let first = self.blocks.iter().enumerate().min_by_key(|(_, known)| known.until);
            if let Some(index) = first.map(|(index, _)| index) {
                self.blocks.remove(index);
            }
        }
        self.blocks.push(block.clone());
        true
    }

    /// The renewal of an ended block, after a request with all of its keys was in flight at a
    /// crash.
    pub fn renewal(&self, keys: &SuspectKeys, now: Instant) -> Option<RequestBlock> {
        let ended = self.blocks.iter().find(|block| {
            block.until <= now && now < block.until + MEMORY_TIME && keys.contains_all(&block.keys)
        });
        ended.map(|block| block.renewed(now))
    }

    /// When the block of a request with `keys` ends; none if the request is not blocked.
    pub fn blocked_until(&self, keys: &SuspectKeys, now: Instant) -> Option<Instant> {
        let blocking = self.active(now).filter(|block| keys.contains_all(&block.keys));
        blocking.map(|block| block.until).max()
    }

    /// The blocks that have not ended.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &RequestBlock> {
        self.blocks.iter().filter(move |block| now < block.until)
    }

    /// Digest of the active blocks; zero without any.
    pub fn digest(&self, now: Instant) -> BlockDigest {
        let terms = self.active(now).map(|block| {
            let BlockId(id) = block.id();
            id.wrapping_mul(u64::from(block.renewals) + 1)
        });
        BlockDigest(terms.fold(0, u64::wrapping_add))
    }
}
