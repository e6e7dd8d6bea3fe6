//! Keys by which requests that crash backend servers are recognized when they come again.

use std::{fmt, num::ParseIntError, str::FromStr};

use xxhash_rust::xxh3::Xxh3;

/// Identifies a property of a request that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey(pub u64);

impl SuspectKey {
    /// The key of a request by its contents. Retries of a caller have the same one, although each
    /// has a call id of its own.
    pub fn of_request(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// The key of a part of a prompt, which requests for different models may share.
    pub fn of_prompt_part(part: u64) -> Self {
        let mut hash = Xxh3::new();
        hash.update(b"prompt part");
        hash.update(&part.to_be_bytes());
        Self(hash.digest())
    }
}

impl From<u64> for SuspectKey {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SuspectKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The keys of one request, in ascending order and without duplicates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SuspectKeys(Vec<SuspectKey>);

impl SuspectKeys {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether `key` is among them.
    pub fn contains(&self, key: SuspectKey) -> bool {
        self.0.binary_search(&key).is_ok()
    }

    /// Whether all of `others` are among them.
    pub fn contains_all(&self, others: &SuspectKeys) -> bool {
        others.iter().all(|key| self.contains(key))
    }

    /// Those that are not among `others`.
    pub fn without(&self, others: &SuspectKeys) -> SuspectKeys {
        self.iter().filter(|key| !others.contains(*key)).collect()
    }

    /// The keys in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = SuspectKey> + '_ {
        self.0.iter().copied()
    }
}

impl FromIterator<SuspectKey> for SuspectKeys {
    fn from_iter<I: IntoIterator<Item = SuspectKey>>(keys: I) -> Self {
        let mut keys: Vec<SuspectKey> = keys.into_iter().collect();
        keys.sort_unstable();
        keys.dedup();
        Self(keys)
    }
}

impl fmt::Display for SuspectKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: Vec<String> = self.iter().map(|key| key.to_string()).collect();
        f.write_str(&keys.join(" "))
    }
}
