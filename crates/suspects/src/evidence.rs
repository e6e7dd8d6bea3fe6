//! Evidence against requests that were in flight when backend servers crashed.

use std::collections::HashMap;

use base::prelude::*;

use crate::{
    answered::AnsweredKeys,
    key::{SuspectKey, SuspectKeys},
};

/// Crashes after which requests with a key are blocked. The platform bounds what reaches servers
/// after the third crash under one request.
pub const CRASHES_TO_BLOCK: u32 = 3;
/// Time after the last crash for which evidence is kept.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Time without an answer after which a key that was in requests answered before can be found.
/// Several engines may crash before the next answer to requests that many callers send.
const RECENT_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Time in which the entries see one crash, by the age that they report.
const SAME_CRASH_TIME: Duration = Duration::from_millis(100);
/// Most keys with evidence; the one whose last crash is the oldest is dropped for a new one.
const MAX_KEYS: usize = 1_024;

/// A request whose answer had not begun when its backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSighting {
    /// Keys of the request.
    pub keys: SuspectKeys,
    /// When the entry that saw the crash last received answers to requests with some of the keys.
    pub answered: Vec<(SuspectKey, Instant)>,
    /// When it was sent to the backend server.
    pub sent: Instant,
    /// When the backend server crashed.
    pub crashed: Instant,
}

impl CrashSighting {
    /// When a request with `key` was last answered, as far as the entry that saw the crash knows.
    pub fn last_answer(&self, key: SuspectKey) -> Option<Instant> {
        self.answered.iter().find(|(answered, _)| *answered == key).map(|(_, at)| *at)
    }
}

#[derive(Debug, Clone, Copy)]
struct KeyEvidence {
    crashes: u32,
    /// When the request of the first crash was sent.
    first_sent: Instant,
    last_crash: Instant,
}

impl KeyEvidence {
    fn is_of_same_crash(&self, sighting: &CrashSighting) -> bool {
        let (earlier, later) =
            (self.last_crash.min(sighting.crashed), self.last_crash.max(sighting.crashed));
        later - earlier < SAME_CRASH_TIME
    }
}

/// Keys that were in flight at enough crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundSuspects {
    /// The keys.
    pub keys: SuspectKeys,
    /// When the first request with one of them was sent that was in flight at a crash, or before:
    /// keys that were in requests answered since are no suspects.
    pub since: Instant,
}

/// Evidence by key.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    keys: HashMap<SuspectKey, KeyEvidence>,
}

impl EvidenceTable {
    /// Counts a crash for each key of the request. Returns those that have been in flight at enough
    /// crashes with this one; none if there are none.
    ///
    /// A request crashes one backend server after the other: a crash counts only if the request
    /// was sent after the crash that was counted before it. All requests that are in flight when
    /// many servers fail together therefore count once. An answer after the first crash, here or at
    /// the entry that saw this crash, clears a key.
    pub fn record_crash(
        &mut self,
        sighting: &CrashSighting,
        answered: &AnsweredKeys,
        now: Instant,
    ) -> Option<FoundSuspects> {
        self.remove_expired(now);
        let mut found: Vec<(SuspectKey, Instant)> = Vec::new();
        for key in sighting.keys.iter() {
            let last_answer = sighting.last_answer(key).max(answered.last_answer(key));
            let counted = self.count_crash(key, sighting, last_answer);
            let enough = counted.filter(|evidence| evidence.crashes >= CRASHES_TO_BLOCK);
            let is_recent = last_answer.is_some_and(|at| at + RECENT_ANSWER_TIME > now);
            found.extend(enough.filter(|_| !is_recent).map(|evidence| (key, evidence.first_sent)));
        }
        let since = found.iter().map(|(_, first_sent)| *first_sent).min()?;
        // The time does not lie before the clock's start unless the process is that young.
        let quiet_since = now.checked_sub(RECENT_ANSWER_TIME).unwrap_or(since);
        let keys = found.into_iter().map(|(key, _)| key).collect();
        Some(FoundSuspects { keys, since: since.min(quiet_since) })
    }

    /// Counts a crash for `key`; returns its evidence, or none if the crash does not count. Another
    /// request with the key that was in flight at the same crash counts as this one.
    fn count_crash(
        &mut self,
        key: SuspectKey,
        sighting: &CrashSighting,
        last_answer: Option<Instant>,
    ) -> Option<KeyEvidence> {
        if last_answer.is_some_and(|at| at >= sighting.sent) {
            self.keys.remove(&key);
            return None;
        }
        let is_cleared = |known: &KeyEvidence| last_answer.is_some_and(|at| at >= known.first_sent);
        let known = self.keys.get(&key).copied().filter(|known| !is_cleared(known));
        let evidence = match known {
            Some(known) if sighting.sent < known.last_crash => {
                return known.is_of_same_crash(sighting).then_some(known);
            }
            Some(known) => {
                KeyEvidence { crashes: known.crashes + 1, last_crash: sighting.crashed, ..known }
            }
            None => {
                KeyEvidence { crashes: 1, first_sent: sighting.sent, last_crash: sighting.crashed }
            }
        };
        if known.is_none() {
            self.make_room();
        }
        self.keys.insert(key, evidence);
        Some(evidence)
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
