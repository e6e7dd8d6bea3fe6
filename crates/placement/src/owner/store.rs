//! Reads and writes of the object: one call at a time, with bounded backoff.

use std::mem;

use base::prelude::*;
use object_api::{ObjectVersion, StoreError, StoredObject, WriteCondition};

use super::{KnownObject, OpenWrite, OwnerAction, OwnerReport, PlacementOwner};
use crate::{
    edit::{EditOutcome, PlacementEdit},
    object::{EditTag, PlacementObject},
};

/// Wait before the store is tried again after a first failure.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

impl PlacementOwner {
    pub(super) fn take_change(&mut self, object: &StoredObject) {
        let is_newer = self.known.as_ref().is_none_or(|known| object.version > known.version);
        let is_busy = self.is_reading || self.writing.is_some() || self.uncertain.is_some();
        if is_newer && !is_busy {
            self.learn(object);
        }
    }

    pub(super) fn take_read(
        &mut self,
        answer: Result<Option<StoredObject>, StoreError>,
        now: Instant,
    ) {
        self.is_reading = false;
        match answer {
            Ok(Some(object)) => {
                self.succeed();
                self.learn(&object);
            }
            Ok(None) => {
                self.succeed();
                self.learn_absent();
            }
            Err(_) => self.fail(now),
        }
    }

    fn learn(&mut self, stored: &StoredObject) {
        let Ok(object) = PlacementObject::decode(&stored.body) else {
            log::error!("placement: the object of {} cannot be read", self.model);
            return;
        };
        self.compare_uncertain(&object);
        self.is_stale = false;
        match &mut self.known {
            Some(known) if !self.guards.reread => known.version = stored.version,
            known => *known = Some(KnownObject { version: stored.version, object }),
        }
        self.order_releases();
    }

    /// Whether the write whose answer was lost is the one that was read back.
    fn compare_uncertain(&mut self, object: &PlacementObject) {
        let Some(tag) = self.uncertain.take() else { return };
        let fate = if object.edit == tag { "took effect" } else { "is not the latest" };
        log::info!("placement: write {} of {} {fate}", tag.number, self.model);
    }

    fn learn_absent(&mut self) {
        self.uncertain = None;
        self.is_stale = false;
        self.known = None;
    }

    pub(super) fn take_write(&mut self, answer: Result<ObjectVersion, StoreError>, now: Instant) {
        let Some(write) = self.writing.take() else { return };
        match answer {
            Ok(version) => {
                self.succeed();
                self.known = Some(KnownObject { version, object: write.object });
                write.edits.into_iter().for_each(|edit| self.report(edit, OwnerReport::Made));
                self.order_releases();
            }
            Err(error) => self.fail_write(write, &error, now),
        }
    }

    fn fail_write(&mut self, write: OpenWrite, error: &StoreError, now: Instant) {
        if error.is_uncertain() {
            self.uncertain = Some(write.object.edit);
        }
        if error.is_uncertain() || *error == StoreError::ConditionFailed {
            self.is_stale = true;
        } else {
            self.fail(now);
        }
        let newer = mem::replace(&mut self.pending, write.edits);
        newer.into_iter().for_each(|edit| self.ask(edit));
    }

    fn succeed(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    fn fail(&mut self, now: Instant) {
        let wait = FIRST_WAIT.saturating_mul(1 << self.failures.min(16)).min(LONGEST_WAIT);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + wait);
    }

    /// Sends the next call to the store, if one is due.
    pub(super) fn proceed(&mut self, now: Instant) {
        let is_waiting = self.retry_at.is_some_and(|at| now < at);
        if self.is_reading || self.writing.is_some() || is_waiting {
            return;
        }
        if self.is_stale {
            self.is_reading = true;
            return self.actions.push(OwnerAction::Read);
        }
        if !self.pending.is_empty() {
            self.write_pending();
        }
    }

    fn write_pending(&mut self) {
        let (mut object, condition) = match &self.known {
            Some(known) => (known.object.clone(), WriteCondition::Version(known.version)),
            None => (PlacementObject::new(self.model.clone()), WriteCondition::Absent),
        };
        let edits = self.apply_pending(&mut object);
        if edits.is_empty() {
            return;
        }
        self.edits += 1;
        object.edit = EditTag { writer: self.process, number: self.edits };
        self.actions.push(OwnerAction::Write(object.encode(), condition));
        self.writing = Some(OpenWrite { object, edits });
    }

    /// Applies all waiting edits and returns those that need a write.
    fn apply_pending(&mut self, object: &mut PlacementObject) -> Vec<PlacementEdit> {
        let mut edits = Vec::new();
        for edit in mem::take(&mut self.pending) {
            match object.apply(&edit, self.guards) {
                EditOutcome::Changed => edits.push(edit),
                EditOutcome::Unchanged => self.report(edit, OwnerReport::Made),
                EditOutcome::Refused(why) => self.report(edit, OwnerReport::Refused(why)),
            }
        }
        edits
    }
}
