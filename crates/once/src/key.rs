//! Idempotency keys, their creation times and the shards that hold their claims.

use std::fmt;

use base::prelude::*;
use sha2::{Digest, Sha256};
use snafu::{OptionExt, Snafu};

/// Number of claim shards in a region.
pub const SHARD_COUNT: u16 = 16;

/// Length of [`KeyDigest`] in bytes; the SHA-256 hash is truncated to it.
pub const DIGEST_BYTES: usize = 16;

const UUID_BYTES: usize = 36;
const SECONDS_DIGITS: usize = 10;

/// A key does not contain its creation time.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display(
    "the idempotency key is neither a version 7 UUID nor starts with its time in seconds"
))]
pub struct KeyError;

/// Result of parsing a key.
pub type Result<T, E = KeyError> = std::result::Result<T, E>;

/// Time at which a caller created a key, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CreationTime(pub u64);

impl CreationTime {
    /// Returns the time `age` before `now`, where `now` is the time since the Unix epoch.
    pub fn before(now: Duration, age: Duration) -> Self {
        Self(u64::try_from(now.saturating_sub(age).as_millis()).unwrap_or(u64::MAX))
    }

    /// Parses the creation time of a key.
    ///
    /// The key is a version 7 UUID, or starts with ten digits of Unix seconds and a separator.
    ///
    /// # Errors
    ///
    /// Fails on keys of any other form, as their age is unknown.
    pub fn of_key(key: &IdempotencyKey) -> Result<Self> {
        let text = key.as_str();
        uuid_time(text).or_else(|| seconds_time(text)).context(KeySnafu)
    }
}

impl fmt::Display for CreationTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

fn uuid_time(text: &str) -> Option<CreationTime> {
    let parts = text.split('-').collect::<Vec<_>>();
    let lengths = parts.iter().map(|part| part.len()).collect::<Vec<_>>();
    let is_hex = parts.iter().all(|part| part.bytes().all(|b| b.is_ascii_hexdigit()));
    if text.len() != UUID_BYTES || lengths != [8, 4, 4, 4, 12] || !is_hex {
        return None;
    }
    if !parts[2].starts_with('7') {
        return None;
    }
    u64::from_str_radix(&[parts[0], parts[1]].concat(), 16).ok().map(CreationTime)
}

fn seconds_time(text: &str) -> Option<CreationTime> {
    let digits = text.get(..SECONDS_DIGITS)?;
    let separator = text.as_bytes().get(SECONDS_DIGITS)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) || separator.is_ascii_alphanumeric() {
        return None;
    }
    digits.parse::<u64>().ok().map(|seconds| CreationTime(seconds * 1_000))
}

/// Digest of a customer and an idempotency key, which identifies the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of `key` as used by `customer`.
    pub fn of_key(customer: &CustomerId, key: &IdempotencyKey) -> Self {
        let mut hash = Sha256::new();
        hash.update((customer.as_str().len() as u64).to_be_bytes());
        hash.update(customer.as_str());
        hash.update(key.as_str());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the shard that holds the claim.
    pub fn shard(self) -> ShardId {
        ShardId(u16::from_be_bytes([self.0[0], self.0[1]]) % SHARD_COUNT)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// A customer's idempotency key in the form that the shards use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Digest of the customer and the key.
    pub digest: KeyDigest,
    /// When the caller created the key.
    pub created: CreationTime,
}

impl ClaimKey {
    /// Creates the claim key for `key` as used by `customer`.
    ///
    /// # Errors
    ///
    /// See [`CreationTime::of_key`].
    pub fn new(customer: &CustomerId, key: &IdempotencyKey) -> Result<Self> {
        let created = CreationTime::of_key(key)?;
        Ok(Self { digest: KeyDigest::of_key(customer, key), created })
    }
}

/// Number of a claim shard in its region, below [`SHARD_COUNT`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Iterates over all shards of a region.
    pub fn all() -> impl Iterator<Item = ShardId> {
        (0..SHARD_COUNT).map(ShardId)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
