//! The durable claims of a shard, built from its log.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use object_api::ObjectVersion;

use crate::{
    claim::{SegmentNumber, ShardSnapshot, StoredBase, StoredSegment},
    key::{ClaimKey, CreationTime, KeyDigest},
    segment::{ClaimRecord, ClaimSegment, RecordKind, ShardBase},
};

/// Whether a request holds a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// No request holds the key.
    Free,
    /// This request holds the key.
    Held(RequestId),
}

#[derive(Debug)]
struct ClaimEntry {
    created: CreationTime,
    holder: Option<RequestId>,
    /// Requests that released the key; late copies of their claims are refused.
    released: Vec<RequestId>,
}

#[derive(Debug, Clone, Copy)]
struct SegmentEntry {
    version: ObjectVersion,
    latest_creation: CreationTime,
}

/// The claims of a shard and the segments that record them.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<KeyDigest, ClaimEntry>,
    segments: BTreeMap<SegmentNumber, SegmentEntry>,
    next: SegmentNumber,
    base: StoredBase,
}

impl ClaimTable {
    /// Builds the table from the stored objects; records in segments below the base are ignored.
    pub fn replay(snapshot: &ShardSnapshot) -> Self {
        let mut table = Self { base: snapshot.base, ..Self::default() };
        table.next = SegmentNumber(snapshot.base.base.first);
        for stored in &snapshot.segments {
            table.index(stored);
            if stored.number.0 >= snapshot.base.base.first {
                table.apply(stored);
            }
        }
        table
    }

    /// Number of the next segment in the log.
    pub fn next(&self) -> SegmentNumber {
        self.next
    }

    /// The base as last read.
    pub fn base(&self) -> StoredBase {
        self.base
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether `key` was created before the floor of the base.
    pub fn is_expired(&self, key: ClaimKey) -> bool {
        key.created < self.base.base.floor
    }

    /// Returns whether a request holds `key`.
    pub fn state(&self, key: ClaimKey) -> KeyState {
        let holder = self.claims.get(&key.digest).and_then(|entry| entry.holder);
        holder.map_or(KeyState::Free, KeyState::Held)
    }

    /// Whether `request` released `key`.
    pub fn is_released(&self, key: ClaimKey, request: RequestId) -> bool {
        let entry = self.claims.get(&key.digest);
        entry.is_some_and(|entry| entry.released.contains(&request))
    }

    /// Applies the next segment of the log.
    pub fn apply(&mut self, stored: &StoredSegment) {
        self.index(stored);
        self.next = SegmentNumber(stored.number.0 + 1);
        for record in &stored.segment.records {
            self.apply_record(record);
        }
    }

    /// Sets a new base, and returns and removes the segments that it makes obsolete.
    pub fn set_base(&mut self, base: StoredBase) -> Vec<(SegmentNumber, ObjectVersion)> {
        if base.base.floor > self.base.base.floor {
            self.claims.retain(|_, entry| entry.created >= base.base.floor);
        }
        self.base = base;
        let live = self.segments.split_off(&SegmentNumber(base.base.first));
        let obsolete = std::mem::replace(&mut self.segments, live);
        obsolete.into_iter().map(|(number, entry)| (number, entry.version)).collect()
    }

    /// Computes the base after keys created before `floor` expire.
    ///
    /// Returns `None` if it would make no further segment obsolete.
    pub fn next_base(&self, floor: CreationTime) -> Option<ShardBase> {
        let old = self.base.base;
        let floor = floor.max(old.floor);
        let live = self.segments.iter().find(|(_, entry)| entry.latest_creation >= floor);
        let first = live.map_or(self.next, |(number, _)| *number).0;
        (first > old.first).then_some(ShardBase { first, floor })
    }

    fn index(&mut self, stored: &StoredSegment) {
        let latest_creation = ClaimSegment::latest_creation(&stored.segment);
        let entry = SegmentEntry { version: stored.version, latest_creation };
        self.segments.insert(stored.number, entry);
    }

    fn apply_record(&mut self, record: &ClaimRecord) {
        let (created, request) = (record.created, record.request);
        let fresh = ClaimEntry { created, holder: None, released: Vec::new() };
        let entry = self.claims.entry(record.digest).or_insert(fresh);
        match record.kind {
            RecordKind::Claim => entry.holder = Some(request),
            RecordKind::Release => {
                entry.holder = entry.holder.filter(|holder| *holder != request);
                entry.released.push(request);
            }
        }
    }
}
