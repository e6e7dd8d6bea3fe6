//! The origins that one process keeps.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    num::ParseIntError,
    str::FromStr,
};

use base::prelude::*;
use roster::SoftwareVersion;
use xxhash_rust::xxh3::xxh3_64;

use crate::MAX_STREAM_AGE;

/// Most origins that a process keeps; at about 150 bytes each they stay below 2.5 MB.
const MAX_ORIGINS: usize = 16_384;

/// Identifies a stream by a hash of the call id of the try that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that the try with this call id began.
    pub fn of_call(call: &str) -> Self {
        Self(xxh3_64(call.as_bytes()))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The server that sent the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Its service.
    pub service: ServiceName,
    /// Version of its software.
    pub software: SoftwareVersion,
}

#[derive(Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    recorded: Instant,
}

/// The origins that one process keeps, for as long as callers may take the streams up.
#[derive(Debug, Default)]
pub struct OriginLedger {
    origins: HashMap<StreamKey, KeptOrigin>,
    /// The streams by the time at which they were recorded, oldest first.
    by_age: BTreeSet<(Instant, StreamKey)>,
}

impl OriginLedger {
    /// Keeps the origin of a stream that has begun or goes on. The first one that was recorded
    /// stays, and is returned if it is another one.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        now: Instant,
    ) -> Option<StreamOrigin> {
        self.expire(now);
        let before = self.origins.remove(&key);
        if let Some(before) = &before {
            self.by_age.remove(&(before.recorded, key));
        }
        let (kept, other) = match before {
            None => (origin, None),
            Some(KeptOrigin { origin: first, .. }) => {
                let other = (first != origin).then(|| first.clone());
                (first, other)
            }
        };
        self.origins.insert(key, KeptOrigin { origin: kept, recorded: now });
        self.by_age.insert((now, key));
        while self.origins.len() > MAX_ORIGINS {
            self.remove_oldest();
        }
        other
    }

    /// The origin of a stream, if this process keeps it.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<&StreamOrigin> {
        let kept = self.origins.get(&key)?;
        (now.saturating_duration_since(kept.recorded) < MAX_STREAM_AGE).then_some(&kept.origin)
    }

    /// Number of streams whose origins are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((recorded, _)) = self.by_age.first()
            && now.saturating_duration_since(*recorded) >= MAX_STREAM_AGE
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.origins.remove(&key);
        }
    }
}
