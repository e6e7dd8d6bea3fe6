//! Quarantine of requests that crash the engines that run them.
//!
//! A request in flight at one crash is a suspect: it runs alone, and is cleared when it completes
//! successfully. A request in flight at a second crash is refused by all entry processes until an
//! operator lifts the quarantine. The crashes are stored with one object per request, so that they
//! survive restarts of entry processes and reach all of them; while the store is unavailable, an
//! entry process uses the records it has.

pub mod admin;
pub mod record;
pub mod service;

use std::collections::BTreeMap;

use base::prelude::*;
use object_api::{ObjectVersion, WriteCondition};

use self::{
    admin::RecordList,
    record::{CrashRecord, CrashedRequest, QuarantineStatus},
};
use crate::{claim::WriteOutcome, fingerprint::RequestFingerprint};

/// Limits of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// How long a request that was in flight at one crash stays a suspect.
    pub suspect_duration: Duration,
    /// Most requests on record; crashes of further requests are ignored.
    pub max_records: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { suspect_duration: Duration::from_secs(3_600), max_records: 20_000 }
    }
}

/// A record as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Decoded body of the object.
    pub record: CrashRecord,
}

/// Input of a quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// A request of this process was in flight at a crash.
    Crashed(CrashedRequest),
    /// A suspect ran alone and completed successfully.
    SuspectCompleted(RequestFingerprint),
    /// All records were read. What is known of a request whose record is unreadable stays.
    Loaded(RecordList),
    /// A watch or a read returned a record.
    Written(StoredRecord),
    /// A watch or a read showed that a record does not exist.
    Deleted {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Version of the deletion; `None` if a read found no object.
        version: Option<ObjectVersion>,
    },
    /// A write or delete of this process has ended.
    StoreCallEnded {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Result of the call.
        outcome: WriteOutcome,
    },
    /// A timer fired; unsaved records are written again.
    Tick {
        /// Whether this process deletes records that are no longer needed; one entry process does.
        is_cleaner: bool,
    },
}

/// Output of a quarantine, performed by its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineAction {
    /// Write a record.
    Write {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Record to write.
        record: CrashRecord,
        /// Condition under which the store accepts the write.
        condition: WriteCondition,
    },
    /// Delete a record.
    Delete {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Version of the object to delete.
        version: ObjectVersion,
    },
    /// Read a record.
    Read {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
}

/// The store call in progress for a record.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StoreCall {
    Idle,
    Writing(CrashRecord),
    Deleting,
}

#[derive(Debug, Clone)]
struct KnownRecord {
    stored: Option<ObjectVersion>,
    record: CrashRecord,
    /// The record holds crashes that the stored object lacks.
    unsaved: bool,
    call: StoreCall,
}

/// The crash records known to an entry process; it performs no I/O itself.
#[derive(Debug)]
pub struct CrashQuarantine {
    limits: QuarantineLimits,
    records: BTreeMap<RequestFingerprint, KnownRecord>,
}

impl CrashQuarantine {
    /// Creates a quarantine without records.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new() }
    }

    /// Whether a request may run at `unix_time`, the time since the Unix epoch.
    pub fn status(&self, fingerprint: RequestFingerprint, unix_time: Duration) -> QuarantineStatus {
        match self.records.get(&fingerprint) {
            Some(known) => known.record.status(unix_time, self.limits.suspect_duration),
            None => QuarantineStatus::Clear,
        }
    }

    /// Number of requests on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies one event at `unix_time` and returns the actions to perform, in order.
    pub fn handle(&mut self, event: QuarantineEvent, unix_time: Duration) -> Vec<QuarantineAction> {
        match event {
            QuarantineEvent::Crashed(request) => self.record_crash(request, unix_time),
            QuarantineEvent::SuspectCompleted(fingerprint) => self.clear_suspect(fingerprint),
            QuarantineEvent::Loaded(records) => self.loaded(records),
            QuarantineEvent::Written(stored) => self.written(stored),
            QuarantineEvent::Deleted { fingerprint, version } => self.deleted(fingerprint, version),
            QuarantineEvent::StoreCallEnded { fingerprint, outcome } => {
                self.store_call_ended(fingerprint, outcome)
            }
            QuarantineEvent::Tick { is_cleaner } => self.tick(is_cleaner, unix_time),
        }
    }

    fn record_crash(
        &mut self,
        request: CrashedRequest,
        unix_time: Duration,
    ) -> Vec<QuarantineAction> {
        let CrashedRequest { fingerprint, customer, model, crash } = request;
        let record = CrashRecord { customer, model, crashes: vec![crash], latest: unix_time };
        if let Some(known) = self.records.get_mut(&fingerprint) {
            known.unsaved |= known.record.merge(&record);
        } else if self.records.len() < self.limits.max_records {
            let known = KnownRecord { stored: None, record, unsaved: true, call: StoreCall::Idle };
            self.records.insert(fingerprint, known);
        }
        self.save(fingerprint)
    }

    fn clear_suspect(&mut self, fingerprint: RequestFingerprint) -> Vec<QuarantineAction> {
        let Some(known) = self.records.get(&fingerprint) else { return Vec::new() };
        if known.record.is_quarantined() {
            return Vec::new();
        }
        match known.stored {
            Some(version) => self.delete(fingerprint, version),
            None => {
                self.records.remove(&fingerprint);
                Vec::new()
            }
        }
    }

    fn delete(
        &mut self,
        fingerprint: RequestFingerprint,
        version: ObjectVersion,
    ) -> Vec<QuarantineAction> {
        let Some(known) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        if known.call != StoreCall::Idle {
            return Vec::new();
        }
        known.call = StoreCall::Deleting;
        vec![QuarantineAction::Delete { fingerprint, version }]
    }

    fn loaded(&mut self, list: RecordList) -> Vec<QuarantineAction> {
        self.records.retain(|fingerprint, known| {
            let is_pending = known.unsaved || known.call != StoreCall::Idle;
            is_pending || list.unreadable.contains(fingerprint)
        });
        list.records.into_iter().flat_map(|stored| self.written(stored)).collect()
    }

    fn written(&mut self, stored: StoredRecord) -> Vec<QuarantineAction> {
        let StoredRecord { fingerprint, version, record } = stored;
        let Some(known) = self.records.get_mut(&fingerprint) else {
            if self.records.len() < self.limits.max_records {
                let (stored, call) = (Some(version), StoreCall::Idle);
                let known = KnownRecord { stored, record, unsaved: false, call };
                self.records.insert(fingerprint, known);
            }
            return Vec::new();
        };
        if known.stored.is_some_and(|old| old >= version) {
            return self.save(fingerprint);
        }
        let own = std::mem::replace(&mut known.record, record);
        known.stored = Some(version);
        if known.unsaved {
            known.unsaved = known.record.merge(&own);
        }
        self.save(fingerprint)
    }

    fn deleted(
        &mut self,
        fingerprint: RequestFingerprint,
        version: Option<ObjectVersion>,
    ) -> Vec<QuarantineAction> {
        let Some(known) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        if version.is_some_and(|version| known.stored.is_some_and(|stored| stored > version)) {
            return Vec::new();
        }
        if !known.unsaved {
            self.records.remove(&fingerprint);
            return Vec::new();
        }
        known.stored = None;
        self.save(fingerprint)
    }

    fn store_call_ended(
        &mut self,
        fingerprint: RequestFingerprint,
        outcome: WriteOutcome,
    ) -> Vec<QuarantineAction> {
        let Some(known) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        let call = std::mem::replace(&mut known.call, StoreCall::Idle);
        match (outcome, call) {
            (WriteOutcome::Written(version), StoreCall::Writing(record)) => {
                known.stored = Some(version);
                known.unsaved = known.record != record;
                self.save(fingerprint)
            }
            (WriteOutcome::Written(_), _) => self.deleted(fingerprint, None),
            (WriteOutcome::ConditionFailed | WriteOutcome::Uncertain, _) => {
                vec![QuarantineAction::Read { fingerprint }]
            }
            (WriteOutcome::NotWritten | WriteOutcome::Deferred, _) => Vec::new(),
        }
    }

    /// Writes a record with unsaved crashes; a failed write is retried at the next tick.
    fn save(&mut self, fingerprint: RequestFingerprint) -> Vec<QuarantineAction> {
        let Some(known) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        if !known.unsaved || known.call != StoreCall::Idle {
            return Vec::new();
        }
        let condition = match known.stored {
            Some(version) => WriteCondition::Version(version),
            None => WriteCondition::Absent,
        };
        let record = known.record.clone();
        known.call = StoreCall::Writing(record.clone());
        vec![QuarantineAction::Write { fingerprint, record, condition }]
    }

    fn tick(&mut self, is_cleaner: bool, unix_time: Duration) -> Vec<QuarantineAction> {
        let unsaved = self.records.iter().filter(|(_, known)| known.unsaved);
        let unsaved = unsaved.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>();
        let mut actions =
            unsaved.into_iter().flat_map(|fingerprint| self.save(fingerprint)).collect::<Vec<_>>();
        if is_cleaner {
            actions.extend(self.clean(unix_time));
        }
        actions
    }

    fn clean(&mut self, unix_time: Duration) -> Vec<QuarantineAction> {
        let suspect_duration = self.limits.suspect_duration;
        let clear = self.records.iter().filter(|(_, known)| {
            known.record.status(unix_time, suspect_duration) == QuarantineStatus::Clear
                && !known.unsaved
        });
        let clear = clear.filter_map(|(fingerprint, known)| Some((*fingerprint, known.stored?)));
        let clear = clear.collect::<Vec<_>>();
        clear
            .into_iter()
            .flat_map(|(fingerprint, version)| self.delete(fingerprint, version))
            .collect()
    }
}
