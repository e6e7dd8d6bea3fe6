//! Reads and writes of the placement object: one call at a time, with bounded exponential backoff.

use std::mem;

use base::prelude::*;
use object_api::{ObjectVersion, StoreError, StoredObject, WriteCondition};

use super::{CachedObject, InFlightWrite, OwnerAction, OwnerReport, PlacementOwner};
use crate::{
    edit::{EditOutcome, PlacementEdit},
    object::{self, EditTag, PlacementObject},
};

/// Delay before the retry after a first failure; doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Longest delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

impl PlacementOwner {
    pub(super) fn apply_change(&mut self, object: &StoredObject) {
        let is_newer = self.cached.as_ref().is_none_or(|cached| object.version > cached.version);
        let is_busy = self.is_reading || self.writing.is_some() || self.uncertain_write.is_some();
        if is_newer && !is_busy {
            // An object that cannot be read was logged; the next write finds it.
            let _ = self.cache_object(object);
        }
    }

    pub(super) fn handle_read(
        &mut self,
        answer: Result<Option<StoredObject>, StoreError>,
        now: Instant,
    ) {
        self.is_reading = false;
        match answer {
            Ok(Some(object)) => match self.cache_object(&object) {
                Ok(()) => self.record_success(),
                Err(_) => self.record_failure(now),
            },
            Ok(None) => {
                self.record_success();
                self.cache_absent();
            }
            Err(_) => self.record_failure(now),
        }
    }

    fn cache_object(&mut self, stored: &StoredObject) -> object::Result<()> {
        let object = PlacementObject::decode(&self.model, &stored.body).inspect_err(|error| {
            log::error!(
                "placement: {}: ignoring version {} of the object: {error}",
                self.model,
                stored.version
            );
        })?;
        self.log_uncertain_write(&object);
        self.is_stale = false;
        match &mut self.cached {
            Some(cached) if !self.checks.reread => cached.version = stored.version,
            cached => *cached = Some(CachedObject { version: stored.version, object }),
        }
        self.order_releases();
        Ok(())
    }

    /// Logs whether the object that was read back is that of the write with an unknown outcome.
    fn log_uncertain_write(&mut self, object: &PlacementObject) {
        let Some(tag) = self.uncertain_write.take() else { return };
        let state = if object.edit == tag { "took effect" } else { "is not the latest" };
        log::info!("placement: {}: write {} with unknown outcome {state}", self.model, tag.number);
    }

    fn cache_absent(&mut self) {
        self.uncertain_write = None;
        self.is_stale = false;
        self.cached = None;
    }

    pub(super) fn handle_write(&mut self, answer: Result<ObjectVersion, StoreError>, now: Instant) {
        let Some(write) = self.writing.take() else { return };
        match answer {
            Ok(version) => {
                self.record_success();
                self.cached = Some(CachedObject { version, object: write.object });
                write.edits.into_iter().for_each(|edit| self.report(edit, OwnerReport::Applied));
                self.order_releases();
            }
            Err(error) => self.handle_write_error(write, &error, now),
        }
    }

    fn handle_write_error(&mut self, write: InFlightWrite, error: &StoreError, now: Instant) {
        if error.is_uncertain() {
            self.uncertain_write = Some(write.object.edit);
        }
        if error.is_uncertain() || *error == StoreError::ConditionFailed {
            self.is_stale = true;
        } else {
            self.record_failure(now);
        }
        let newer = mem::replace(&mut self.pending, write.edits);
        newer.into_iter().for_each(|edit| self.add_edit(edit));
    }

    fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    fn record_failure(&mut self, now: Instant) {
        let backoff = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + backoff);
    }

    /// Starts the next call to the store, if one is due.
    pub(super) fn start_next_call(&mut self, now: Instant) {
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
        let (mut object, condition) = match &self.cached {
            Some(cached) => (cached.object.clone(), WriteCondition::Version(cached.version)),
            None => (PlacementObject::new(self.model.clone()), WriteCondition::Absent),
        };
        let edits = self.apply_pending(&mut object);
        if edits.is_empty() {
            return;
        }
        self.write_count += 1;
        object.edit = EditTag { writer: self.process, number: self.write_count };
        self.actions.push(OwnerAction::Write(object.encode(), condition));
        self.writing = Some(InFlightWrite { object, edits });
    }

    /// Applies all pending edits, reports those that need no write and returns the others.
    fn apply_pending(&mut self, object: &mut PlacementObject) -> Vec<PlacementEdit> {
        let mut edits = Vec::new();
        for edit in mem::take(&mut self.pending) {
            match object.apply(&edit, self.checks) {
                EditOutcome::Changed => edits.push(edit),
                EditOutcome::Unchanged => self.report(edit, OwnerReport::Applied),
                EditOutcome::Refused(refusal) => self.report(edit, OwnerReport::Refused(refusal)),
            }
        }
        edits
    }
}
