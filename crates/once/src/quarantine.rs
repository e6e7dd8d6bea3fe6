//! Quarantine of requests that crash the engines that run them.
//!
//! A request in flight at one crash is a suspect: it runs alone, and is cleared when it ends
//! well. In flight at a second crash it is refused everywhere until an operator lifts it. The
//! crashes stand in the store, one object for each request, so that they outlive entry processes
//! and reach all of them; while the store is down an entry process acts on what it knows.

pub mod admin;
pub mod record;
pub mod service;

use std::collections::BTreeMap;

use base::prelude::*;
use object_api::{ObjectVersion, WriteCondition};

use self::record::{CrashRecord, CrashedRequest, QuarantineStatus};
use crate::{claim::WriteOutcome, fingerprint::RequestFingerprint};

/// Bounds of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// How long a request that was in flight at one crash is suspected.
    pub suspect_duration: Duration,
    /// Most requests remembered.
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
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Its contents.
    pub record: CrashRecord,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// A request of this process was in flight at a crash.
    Crashed(CrashedRequest),
    /// A suspect ran alone and ended well.
    SuspectCompleted(RequestFingerprint),
    /// All records were read.
    Loaded(Vec<StoredRecord>),
    /// A record was written, as a watch or a read tells.
    Written(StoredRecord),
    /// A record is gone.
    Deleted {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Version of the deletion, if a watch told it.
        version: Option<ObjectVersion>,
    },
    /// A write or delete asked for has ended.
    StoreCallEnded {
        /// The request.
        fingerprint: RequestFingerprint,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// Some time has passed; one entry process is the cleaner of records nobody needs.
    Tick {
        /// Whether this process is the cleaner.
        is_cleaner: bool,
    },
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineAction {
    /// Write a record.
    Write {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Its contents.
        record: CrashRecord,
        /// What must hold.
        condition: WriteCondition,
    },
    /// Delete a record.
    Delete {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Version of the object.
        version: ObjectVersion,
    },
    /// Read a record.
    Read {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

/// The call to the store that is under way for a record.
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
    /// The record holds crashes that the store does not.
    unsaved: bool,
    call: StoreCall,
}

/// The crashes known to an entry process.
#[derive(Debug)]
pub struct CrashQuarantine {
    limits: QuarantineLimits,
    records: BTreeMap<RequestFingerprint, KnownRecord>,
}

impl CrashQuarantine {
    /// A quarantine that knows of no crash.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new() }
    }

    /// Whether a request may run at `unix`, the time since the Unix epoch.
    pub fn status(&self, fingerprint: RequestFingerprint, unix_time: Duration) -> QuarantineStatus {
        match self.records.get(&fingerprint) {
            Some(known) => known.record.status(unix_time, self.limits.suspect_duration),
            None => QuarantineStatus::Clear,
        }
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes one event at `unix` and returns what to do, in order.
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

    fn loaded(&mut self, records: Vec<StoredRecord>) -> Vec<QuarantineAction> {
        self.records.retain(|_, known| known.unsaved || known.call != StoreCall::Idle);
        records.into_iter().flat_map(|stored| self.written(stored)).collect()
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

    /// Writes a record that the store lacks; a failed write is tried again at a tick.
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
        let life = self.limits.suspect_duration;
        let clear = self.records.iter().filter(|(_, known)| {
            known.record.status(unix_time, life) == QuarantineStatus::Clear && !known.unsaved
        });
        let clear = clear.filter_map(|(fingerprint, known)| Some((*fingerprint, known.stored?)));
        let clear = clear.collect::<Vec<_>>();
        clear
            .into_iter()
            .flat_map(|(fingerprint, version)| self.delete(fingerprint, version))
            .collect()
    }
}
