//! One block: which requests are refused, and until when.

use std::{fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::key::SuspectKeys;

/// Duration of the first block of a set of keys. After it one crash is enough for the next block,
/// which lasts twice as long: a fault that was repaired costs little, one that stays few crashes.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(60);
/// Time from the decision until requests are refused, in which other entries report the keys that
/// they have seen answered; a datagram there and back takes a few milliseconds.
const OBJECTION_TIME: Duration = Duration::from_millis(50);

/// Identifies a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockId(pub u64);

impl fmt::Display for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BlockId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A block of the requests that have all of its suspect keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestBlock {
    /// Keys that were in flight at several crashes.
    pub keys: SuspectKeys,
    /// Those of the keys that are no suspects, because requests with them were answered since.
    pub cleared: SuspectKeys,
    /// Keys that were in requests answered since are no suspects.
    pub since: Instant,
    /// When it was decided.
    pub decided: Instant,
    /// When it ends.
    pub until: Instant,
    /// How often it was renewed.
    pub renewals: u32,
}

impl RequestBlock {
    /// Longest duration of a block.
    pub const MAX_TIME: Duration = Duration::from_secs(3_600);

    /// The first block of requests with `keys`, which are suspects since `since`.
    pub fn new(keys: SuspectKeys, since: Instant, now: Instant) -> Self {
        let cleared = SuspectKeys::default();
        Self { keys, cleared, since, decided: now, until: now + FIRST_BLOCK_TIME, renewals: 0 }
    }

    /// The block that follows, because of a crash under a request sent at `since`.
    pub(crate) fn renewed(&self, since: Instant, now: Instant) -> Self {
        let renewals = self.renewals.saturating_add(1);
        let doubled = FIRST_BLOCK_TIME.saturating_mul(1 << renewals.min(16));
        Self {
            renewals,
            until: now + doubled.min(Self::MAX_TIME),
            ..Self::new(self.keys.clone(), since, now)
        }
    }

    /// Its identity, which follows from its keys.
    pub fn id(&self) -> BlockId {
        let bytes: Vec<u8> = self.keys.iter().flat_map(|key| key.0.to_be_bytes()).collect();
        BlockId(xxh3_64(&bytes))
    }

    /// The keys that a refused request has; empty if the block is void.
    pub fn suspects(&self) -> SuspectKeys {
        self.keys.without(&self.cleared)
    }

    /// Whether it concerns a request with `keys`.
    pub(crate) fn concerns(&self, keys: &SuspectKeys) -> bool {
        let mut suspects = self.keys.iter().filter(|key| !self.cleared.contains(*key)).peekable();
        suspects.peek().is_some() && suspects.all(|key| keys.contains(key))
    }

    /// Whether requests are refused now, as far as this block is alone.
    pub(crate) fn is_effective(&self, now: Instant) -> bool {
        self.decided + OBJECTION_TIME <= now && now < self.until
    }

    /// Clears keys; returns whether one of them was a suspect.
    pub(crate) fn clear(&mut self, keys: &SuspectKeys) -> bool {
        let cleared: SuspectKeys = self.keys.iter().filter(|key| keys.contains(*key)).collect();
        let is_new = !self.cleared.contains_all(&cleared);
        if is_new {
            self.cleared = self.cleared.iter().chain(cleared.iter()).collect();
        }
        is_new
    }

    /// Term of the digest, which is the same at all entries that know the same of the block.
    pub(crate) fn digest_term(&self) -> u64 {
        let fields = [u64::from(self.renewals), self.keys.iter().count() as u64];
        let keys = self.keys.iter().chain(self.cleared.iter()).map(|key| key.0);
        let bytes: Vec<u8> = fields.into_iter().chain(keys).flat_map(u64::to_be_bytes).collect();
        xxh3_64(&bytes)
    }
}
