//! Evidence against requests that were in flight when backend servers crashed.

use std::collections::HashMap;

use base::prelude::*;

use crate::key::{SuspectKey, SuspectKeys};

/// Crashes after which requests with a key are blocked. The platform bounds what reaches servers
/// after the third crash under one request.
pub const CRASHES_TO_BLOCK: u32 = 3;
/// Time after the last crash for which evidence is kept.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Most keys with evidence; the one whose last crash is the oldest is dropped for a new one.
const MAX_KEYS: usize = 1_024;

/// A request whose answer had not begun when its backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSighting {
    /// Keys of the request.
    pub keys: SuspectKeys,
    /// When it was sent to the backend server.
    pub sent: Instant,
    /// When the backend server crashed.
    pub crashed: Instant,
}

#[derive(Debug, Clone, Copy)]
struct KeyEvidence {
    crashes: u32,
    last_crash: Instant,
}

/// Evidence by key.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    keys: HashMap<SuspectKey, KeyEvidence>,
}

impl EvidenceTable {
    /// Counts a crash for each key of the request. Returns the keys that have been in flight at
    /// enough crashes now; empty if none has.
    ///
    /// A request crashes one backend server after the other: a crash counts only if the request
    /// was sent after the crash that was counted before it. All requests that are in flight when
    /// many servers fail together therefore count once.
    pub fn record_crash(&mut self, sighting: &CrashSighting, now: Instant) -> SuspectKeys {
        self.remove_expired(now);
        sighting.keys.iter().filter(|key| self.count_crash(*key, sighting)).collect()
    }

    fn count_crash(&mut self, key: SuspectKey, sighting: &CrashSighting) -> bool {
        let Some(evidence) = self.keys.get_mut(&key) else {
            self.make_room();
            self.keys.insert(key, KeyEvidence { crashes: 1, last_crash: sighting.crashed });
            return CRASHES_TO_BLOCK <= 1;
        };
        if sighting.sent < evidence.last_crash {
            return false;
        }
        evidence.crashes += 1;
        evidence.last_crash = sighting.crashed;
        evidence.crashes >= CRASHES_TO_BLOCK
    }

    /// Number of crashes counted for `key`.
    pub fn crashes(&self, key: SuspectKey) -> u32 {
        self.keys.get(&key).map_or(0, |evidence| evidence.crashes)
    }

    /// Records that a backend server answered a request with these keys: none of them crashes
    /// whatever server runs it.
    pub fn record_answer(&mut self, keys: &SuspectKeys) {
        for key in keys.iter() {
            self.keys.remove(&key);
        }
    }

    /// Drops the evidence against `keys`, because requests with them are blocked.
    pub fn remove(&mut self, keys: &SuspectKeys) {
        self.record_answer(keys);
    }

    fn remove_expired(&mut self, now: Instant) {
        self.keys.retain(|_, evidence| {
            now.saturating_duration_since(evidence.last_crash) < EVIDENCE_TIME
        });
    }

    fn make_room(&mut self) {
        if self.keys.len() < MAX_KEYS {
            return;
        }
        let oldest = self.keys.iter().min_by_key(|(_, evidence)| evidence.last_crash);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.keys.remove(&key);
        }
    }
}
