//! Requests that are refused because requests like them crash backend servers.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    answered::AnsweredKeys,
    evidence::CrashSighting,
    key::{SuspectKey, SuspectKeys},
};

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
    /// When the first request with them was sent that was in flight at a crash. Keys that were in
    /// requests answered since are no suspects.
    pub since: Instant,
    /// When it ends.
    pub until: Instant,
    /// How often it was renewed after its end.
    pub renewals: u32,
}

impl RequestBlock {
    /// The first block of requests with `keys`, which are suspects since `since`.
    pub fn new(keys: SuspectKeys, since: Instant, now: Instant) -> Self {
        Self { keys, since, until: now + FIRST_BLOCK_TIME, renewals: 0 }
    }

    /// The block that follows after its end, because of a crash under a request sent at `since`.
    fn renewed(&self, since: Instant, now: Instant) -> Self {
        let renewals = self.renewals + 1;
        let doubled = FIRST_BLOCK_TIME.saturating_mul(1 << renewals.min(16));
        let until = now + doubled.min(MAX_BLOCK_TIME);
        Self { keys: self.keys.clone(), since, until, renewals }
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

/// A block that this entry knows.
#[derive(Debug, Clone)]
struct KnownBlock {
    block: RequestBlock,
    /// Keys without those that were in requests answered since. Empty if a request with all of
    /// them was answered, so that the block is void.
    suspects: SuspectKeys,
}

/// The blocks that an entry knows.
#[derive(Debug, Default)]
pub struct BlockList {
    known: Vec<KnownBlock>,
}

impl BlockList {
    /// Adds a block or extends a known one. Returns whether the list has changed.
    pub fn apply(&mut self, block: &RequestBlock, answered: &AnsweredKeys, now: Instant) -> bool {
        if block.keys.is_empty() || block.until <= now {
            return false;
        }
        let known = self.known.iter_mut().find(|known| known.block.keys == block.keys);
        if let Some(known) = known {
            let is_newer = block.renewals > known.block.renewals;
            if is_newer {
                *known = KnownBlock::new(block, answered);
            }
            return is_newer;
        }
        self.known.retain(|known| now < known.block.until + MEMORY_TIME);
        self.make_room();
        self.known.push(KnownBlock::new(block, answered));
        true
    }

    fn make_room(&mut self) {
        if self.known.len() < MAX_BLOCKS {
            return;
        }
        let first = self.known.iter().enumerate().min_by_key(|(_, known)| known.block.until);
        if let Some(index) = first.map(|(index, _)| index) {
            self.known.remove(index);
        }
    }

    /// The renewal of an ended block, after a request with all of its suspect keys was in flight at
    /// a crash.
    pub fn renewal(&self, sighting: &CrashSighting, now: Instant) -> Option<RequestBlock> {
        let ended = self.known.iter().find(|known| {
            let until = known.block.until;
            until <= now && now < until + MEMORY_TIME && known.concerns(&sighting.keys)
        });
        ended.map(|known| known.block.renewed(sighting.sent, now))
    }

    /// Records that a request with `keys` was answered: the other keys of the blocks with some of
    /// them are the suspects from now on.
    pub fn record_answer(&mut self, keys: &SuspectKeys) {
        for known in &mut self.known {
            if known.suspects.iter().any(|key| keys.contains(key)) {
                known.suspects = known.suspects.iter().filter(|key| !keys.contains(*key)).collect();
            }
        }
    }

    /// When the block of a request with `keys` ends; none if the request is not blocked.
    pub fn blocked_until(&self, keys: &SuspectKeys, now: Instant) -> Option<Instant> {
        let blocking =
            self.known.iter().filter(|known| now < known.block.until && known.concerns(keys));
        blocking.map(|known| known.block.until).max()
    }

    /// The blocks that have not ended.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &RequestBlock> {
        self.known.iter().map(|known| &known.block).filter(move |block| now < block.until)
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

impl KnownBlock {
    fn new(block: &RequestBlock, answered: &AnsweredKeys) -> Self {
        let is_suspect =
            |key: &SuspectKey| answered.last_answer(*key).is_none_or(|at| at < block.since);
        let suspects = block.keys.iter().filter(is_suspect).collect();
        Self { block: block.clone(), suspects }
    }

    fn concerns(&self, keys: &SuspectKeys) -> bool {
        !self.suspects.is_empty() && keys.contains_all(&self.suspects)
    }
}
