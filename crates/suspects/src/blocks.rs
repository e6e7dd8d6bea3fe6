//! Requests that are refused because requests like them crash backend servers.

use base::prelude::*;

use crate::{
    answered::AnsweredKeys,
    block::RequestBlock,
    evidence::{CrashSighting, FoundSuspects},
    key::SuspectKeys,
};

/// Time after its end for which a block is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(3_600);
/// Time in which the blocks that follow from one crash are decided, by several entries.
const DECISION_TIME: Duration = Duration::from_secs(1);
/// Most blocks, active or remembered; the one that ends first is dropped for a new one.
const MAX_BLOCKS: usize = 64;

/// Sum over the active blocks of an entry; entries with the same blocks have the same digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockDigest(pub u64);

/// What a block of another entry changed here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppliedBlock {
    /// Whether the block or its renewal was not known here.
    pub is_new: bool,
    /// Whether keys are cleared here that the other entry has not cleared; see
    /// [`BlockList::objection`].
    pub has_objection: bool,
    /// The block that this entry has decided, if the other entry has cleared more of its keys.
    pub narrowed: Option<RequestBlock>,
}

#[derive(Debug, Clone)]
struct KnownBlock {
    block: RequestBlock,
    /// Cleared keys that other entries know of.
    shared: SuspectKeys,
    /// Whether this entry has decided it.
    is_own: bool,
}

impl KnownBlock {
    fn has_objection(&self) -> bool {
        !self.shared.contains_all(&self.block.cleared)
    }
}

/// The blocks that an entry knows.
#[derive(Debug, Default)]
pub struct BlockList {
    known: Vec<KnownBlock>,
}

impl BlockList {
    /// Adds a block that this entry has decided.
    pub fn add_own(&mut self, block: RequestBlock, now: Instant) {
        let shared = block.cleared.clone();
        self.insert(KnownBlock { block, shared, is_own: true }, now);
    }

    /// Adds a block that was stored, also one that has ended, unless a newer one is known.
    pub fn restore(&mut self, block: &RequestBlock, now: Instant) {
        let known = self.known.iter().find(|known| known.block.keys == block.keys);
        if known.is_none_or(|known| known.block.renewals < block.renewals) {
            let shared = block.cleared.clone();
            self.insert(KnownBlock { block: block.clone(), shared, is_own: false }, now);
        }
    }

    /// Applies a block of another entry, except for the keys that were in requests answered here.
    pub fn apply(
        &mut self,
        block: &RequestBlock,
        answered: &AnsweredKeys,
        now: Instant,
    ) -> AppliedBlock {
        if block.keys.is_empty() || block.until <= now {
            return AppliedBlock::default();
        }
        let is_same = |known: &&mut KnownBlock| known.block.keys == block.keys;
        let known = self.known.iter_mut().find(is_same);
        let known = known.filter(|known| known.block.renewals >= block.renewals);
        let Some(known) = known else {
            let mut merged = block.clone();
            merged.clear(&answered.answered_since(&block.keys, block.since));
            let has_objection = merged.cleared != block.cleared;
            let shared = block.cleared.clone();
            self.insert(KnownBlock { block: merged, shared, is_own: false }, now);
            return AppliedBlock { is_new: true, has_objection, narrowed: None };
        };
        if known.block.renewals > block.renewals {
            return AppliedBlock::default();
        }
        let is_narrowed = known.block.clear(&block.cleared);
        known.shared = known.shared.iter().chain(block.cleared.iter()).collect();
        AppliedBlock {
            is_new: false,
            has_objection: known.has_objection(),
            narrowed: (is_narrowed && known.is_own).then(|| known.block.clone()),
        }
    }

    /// The block with `keys`, if keys of it are cleared here and the other entries do not know.
    /// They count as known from now on.
    pub fn objection(&mut self, keys: &SuspectKeys) -> Option<RequestBlock> {
        let known = self.known.iter_mut().find(|known| known.block.keys == *keys)?;
        let objection = known.has_objection().then(|| known.block.clone())?;
        known.shared.clone_from(&objection.cleared);
        Some(objection)
    }

    fn insert(&mut self, inserted: KnownBlock, now: Instant) {
        self.known.retain(|known| {
            known.block.keys != inserted.block.keys && now < known.block.until + MEMORY_TIME
        });
        if self.known.len() >= MAX_BLOCKS {
            let first = self.known.iter().enumerate().min_by_key(|(_, known)| known.block.until);
            if let Some(index) = first.map(|(index, _)| index) {
                self.known.remove(index);
            }
        }
        self.known.push(inserted);
    }

    /// The renewal of an ended block, after a request with all of its suspect keys was in flight at
    /// a crash.
    pub fn renewal(&self, sighting: &CrashSighting, now: Instant) -> Option<RequestBlock> {
        let mut blocks = self.known.iter().map(|known| &known.block);
        let ended = blocks.find(|block| {
            let is_remembered = block.until <= now && now < block.until + MEMORY_TIME;
            is_remembered && block.concerns(&sighting.keys)
        });
        ended.map(|block| block.renewed(block.until, now))
    }

    /// The block of requests with the keys in `found`, or its renewal if it has ended, is void or
    /// superseded; none if it is active.
    pub fn block_for(&self, found: &FoundSuspects, now: Instant) -> Option<RequestBlock> {
        let mut blocks = self.known.iter().map(|known| &known.block);
        match blocks.find(|block| block.keys == found.keys) {
            None => Some(RequestBlock::new(found.keys.clone(), found.since, now)),
            Some(block) => {
                let is_active = now < block.until
                    && !block.suspects().is_empty()
                    && !self.is_superseded(block, now);
                (!is_active).then(|| block.renewed(found.since, now))
            }
        }
    }

    /// Whether an active block with more keys takes the place of `block`.
    ///
    /// Of several requests in flight at a crash one is the cause, and the one with the most suspect
    /// keys explains it best. The blocks of the others, decided for the same crash, would refuse
    /// sound requests. They count once a crash after the narrower block shows that it is not enough.
    fn is_superseded(&self, block: &RequestBlock, now: Instant) -> bool {
        self.active(now).any(|other| {
            other.keys != block.keys
                && other.keys.contains_all(&block.keys)
                && block.decided < other.decided + DECISION_TIME
        })
    }

    /// Records that a request with `keys` was answered, which clears them. Returns the active blocks
    /// that have fewer suspect keys now; one that has ended is not renewed once it is void.
    pub fn record_answer(&mut self, keys: &SuspectKeys, now: Instant) -> Vec<RequestBlock> {
        let narrowed = self.known.iter_mut().filter_map(|known| {
            let is_narrowed = known.block.clear(keys);
            (is_narrowed && now < known.block.until).then(|| known.block.clone())
        });
        narrowed.collect()
    }

    /// When the block of a request with `keys` ends; none if the request is not blocked.
    pub fn blocked_until(&self, keys: &SuspectKeys, now: Instant) -> Option<Instant> {
        let blocks = self.known.iter().map(|known| &known.block);
        let blocking = blocks
            .filter(|block| block.is_effective(now) && block.concerns(keys))
            .filter(|block| !self.is_superseded(block, now));
        blocking.map(|block| block.until).max()
    }

    /// The blocks that have not ended.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &RequestBlock> {
        self.known.iter().map(|known| &known.block).filter(move |block| now < block.until)
    }

    /// Digest of the active blocks; zero without any.
    pub fn digest(&self, now: Instant) -> BlockDigest {
        let terms = self.active(now).map(RequestBlock::digest_term);
        BlockDigest(terms.fold(0, u64::wrapping_add))
    }
}
