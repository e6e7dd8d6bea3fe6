//! Last known registrations of the backend servers.
//!
//! Registrations expire while the platform's store is unavailable, and those of the last seconds are
//! lost if it is restored from a copy. A ready backend server whose registration is missing then
//! keeps receiving requests for a grace period, in which it can register again. The period begins
//! when the store was back at the earliest; after an outage that was not the store's there is none. What the copy lists
//! of an incarnation that is known to drain or to be gone counts only if the server has written it
//! since.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::{
    outage::{FailedRead, StoreContact},
    server::{
        BackendServer, CheckInCount, IncarnationStart, InstanceId, RosterChange, ServerState,
        StoreEra,
    },
};

/// Grace period for registering again after the store has recovered.
///
/// The platform promises that servers do so within about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Status of a backend server in the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterStatus {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests.
    Draining,
    /// Its registration was missing after a store outage; it still gets requests until `until`.
    Lapsed {
        /// When it is removed unless it registers again.
        until: Instant,
    },
}

/// A change of the roster, for consumers such as the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterUpdate {
    /// A backend server registered and accepts new requests.
    Joined(InstanceId),
    /// Its registration changed, or it is ready again after it had lapsed or drained.
    Changed(InstanceId),
    /// It accepts no new requests.
    Draining(InstanceId),
    /// Its registration is missing after a store outage.
    Lapsed(InstanceId),
    /// It was removed.
    Removed(InstanceId),
}

/// Time for which removed backend servers are remembered.
const REMOVAL_RETENTION: Duration = Duration::from_secs(600);
/// Most of them; the one that was removed first is forgotten for a new one.
const MAX_REMOVED: usize = 4_096;

#[derive(Debug, Clone)]
struct RosterEntry {
    server: BackendServer,
    status: RosterStatus,
    /// Start of the incarnation before the present one.
    previous: Option<IncarnationStart>,
    /// Era of the store in which it was last listed.
    era: StoreEra,
}

/// A backend server that was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedServer {
    started: Option<IncarnationStart>,
    check_ins: Option<CheckInCount>,
    /// Era of the store in which it was removed.
    era: StoreEra,
    removed_at: Instant,
}

/// Whether a registration is not newer than the known one of the same incarnation. Without counts,
/// one of an earlier era is not.
fn is_outdated(
    (known_count, known_era): (Option<CheckInCount>, StoreEra),
    (listed_count, listed_era): (Option<CheckInCount>, StoreEra),
) -> bool {
    match (known_count, listed_count) {
        (Some(known), Some(listed)) => listed <= known && known_era < listed_era,
        _ => known_era < listed_era,
    }
}

/// The known backend servers with their status.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    removed: HashMap<InstanceId, RemovedServer>,
    era: Option<StoreEra>,
    contact: StoreContact,
    /// When the store was back at the earliest, if the latest answer ended an outage.
    returned_at: Option<Instant>,
    grace_ends: Option<Instant>,
}

impl Roster {
    /// The registration and status of `id`.
    pub fn get(&self, id: &InstanceId) -> Option<(&BackendServer, RosterStatus)> {
        self.entries.get(id).map(|entry| (&entry.server, entry.status))
    }

    /// All backend servers with their status.
    pub fn servers(&self) -> impl Iterator<Item = (&BackendServer, RosterStatus)> {
        self.entries.values().map(|entry| (&entry.server, entry.status))
    }

    /// Records a read that the store did not answer.
    pub fn record_store_failure(&mut self, read: FailedRead, now: Instant) {
        self.contact.record_failure(read, now);
    }

    /// Records that the store answers. If registrations may have expired in an outage that this
    /// ends, the grace period begins.
    pub fn record_store_answer(&mut self, now: Instant) {
        let ended = self.contact.record_answer(now);
        self.returned_at = ended.map(|ended| ended.earliest);
        if let Some(ended) = ended.filter(|ended| ended.may_have_expired) {
            self.grace_ends = Some(ended.earliest + REREGISTRATION_GRACE);
        }
    }

    /// Records the era of the store in the next listing, and returns whether the store was restored
    /// since the one before. Servers that are missing then get the same grace period as after an
    /// outage.
    pub fn record_era(&mut self, era: StoreEra, now: Instant) -> bool {
        let was_restored = self.era.is_some_and(|before| before < era);
        self.era = Some(era);
        if was_restored {
            self.grace_ends = Some(self.returned_at.unwrap_or(now) + REREGISTRATION_GRACE);
        }
        was_restored
    }

    /// Replaces the known servers by a complete listing and returns what changed.
    pub fn apply_snapshot(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<RosterUpdate> {
        self.apply_listing(servers, now, |_| true)
    }

    /// Applies a listing that lacks servers, and returns what changed. It is complete up to the name
    /// `read_up_to`; a known server behind that stays, and without that name all do.
    pub fn apply_partial(
        &mut self,
        servers: Vec<BackendServer>,
        read_up_to: Option<&str>,
        now: Instant,
    ) -> Vec<RosterUpdate> {
        self.apply_listing(servers, now, |id| read_up_to.is_some_and(|last| id.as_str() <= last))
    }

    /// Adds the listed servers, and removes the others of which `is_read` holds.
    fn apply_listing(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
        is_read: impl Fn(&InstanceId) -> bool,
    ) -> Vec<RosterUpdate> {
        let listed: std::collections::BTreeSet<InstanceId> =
            servers.iter().map(|server| server.id.clone()).collect();
        let missing: Vec<InstanceId> = self
            .entries
            .keys()
            .filter(|id| is_read(id) && !listed.contains(*id))
            .cloned()
            .collect();
        let mut updates: Vec<RosterUpdate> =
            servers.into_iter().filter_map(|server| self.upsert_server(server)).collect();
        updates.extend(missing.iter().filter_map(|id| self.remove_server(id, now)));
        updates
    }

    /// Applies one change; returns none if it makes no difference.
    pub fn apply_change(&mut self, change: RosterChange, now: Instant) -> Option<RosterUpdate> {
        match change {
            RosterChange::Listed(server) => self.upsert_server(*server),
            RosterChange::Removed(id) | RosterChange::Unreadable { id, .. } => {
                self.remove_server(&id, now)
            }
        }
    }

    /// Removes the lapsed backend servers whose grace period is over.
    pub fn expire(&mut self, now: Instant) -> Vec<RosterUpdate> {
        let is_expired = |entry: &RosterEntry| match entry.status {
            RosterStatus::Lapsed { until } => until <= now,
            RosterStatus::Ready | RosterStatus::Draining => false,
        };
        let expired: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.forget(id, now);
        }
        expired.into_iter().map(RosterUpdate::Removed).collect()
    }

    /// When the next lapsed backend server is due for [`Roster::expire`]; none if none has lapsed.
    pub fn next_expiry(&self) -> Option<Instant> {
        let lapsed = self.entries.values().filter_map(|entry| match entry.status {
            RosterStatus::Lapsed { until } => Some(until),
            RosterStatus::Ready | RosterStatus::Draining => None,
        });
        lapsed.min()
    }

    fn upsert_server(&mut self, server: BackendServer) -> Option<RosterUpdate> {
        if self.is_superseded(&server) || self.lacks_start(&server) {
            return None;
        }
        let id = server.id.clone();
        let status = match server.state {
            ServerState::Ready => RosterStatus::Ready,
            ServerState::Draining { .. } => RosterStatus::Draining,
        };
        self.removed.remove(&id);
        let era = self.era.unwrap_or_default();
        let previous = self.entries.get(&id).and_then(|before| {
            let is_other = before.server.started != server.started;
            if is_other { before.server.started } else { before.previous }
        });
        let before = self.entries.insert(id.clone(), RosterEntry { server, status, previous, era });
        let after = &self.entries[&id].server;
        let is_same = |before: &BackendServer| {
            // The count alone makes no difference to anyone.
            BackendServer { check_ins: after.check_ins, ..before.clone() } == *after
        };
        match before {
            Some(before) if before.status == status && is_same(&before.server) => None,
            Some(before) if before.status == status => Some(RosterUpdate::Changed(id)),
            _ if status == RosterStatus::Draining => Some(RosterUpdate::Draining(id)),
            Some(_) => Some(RosterUpdate::Changed(id)),
            None => Some(RosterUpdate::Joined(id)),
        }
    }

    /// Whether a listed server stands so only in the copy from which the store was restored: a later
    /// incarnation is known, or the same one is known to drain or to be gone and has not written its
    /// registration since.
    fn is_superseded(&self, listed: &BackendServer) -> bool {
        let is_earlier = |known: &RosterEntry| {
            known.previous.is_some()
                && known.previous == listed.started
                && known.era < self.era.unwrap_or_default()
        };
        if self.entries.get(&listed.id).is_some_and(is_earlier) {
            return true;
        }
        if listed.state != ServerState::Ready {
            return false;
        }
        let listed_at = (listed.check_ins, self.era.unwrap_or_default());
        let removed = self.removed.get(&listed.id).filter(|removed| {
            removed.started == listed.started
                && is_outdated((removed.check_ins, removed.era), listed_at)
        });
        let draining = self.entries.get(&listed.id).filter(|entry| {
            entry.status == RosterStatus::Draining
                && entry.server.started == listed.started
                && is_outdated((entry.server.check_ins, entry.era), listed_at)
        });
        removed.is_some() || draining.is_some()
    }

    /// Whether a listed server names no start although the known one of its name did: another
    /// writer's object, which says nothing of the server.
    fn lacks_start(&self, listed: &BackendServer) -> bool {
        let known = self.entries.get(&listed.id).map(|entry| entry.server.started);
        let removed = self.removed.get(&listed.id).map(|removed| removed.started);
        listed.started.is_none() && known.or(removed).flatten().is_some()
    }

    fn remove_server(&mut self, id: &InstanceId, now: Instant) -> Option<RosterUpdate> {
        let entry = self.entries.get_mut(id)?;
        let grace_ends = self.grace_ends.filter(|ends| now < *ends);
        match (entry.status, grace_ends) {
            (RosterStatus::Ready, Some(until)) => {
                entry.status = RosterStatus::Lapsed { until };
                Some(RosterUpdate::Lapsed(id.clone()))
            }
            (RosterStatus::Lapsed { until }, _) if now < until => None,
            _ => {
                self.forget(id, now);
                Some(RosterUpdate::Removed(id.clone()))
            }
        }
    }

    /// Removes an entry, and remembers which incarnation it was.
    fn forget(&mut self, id: &InstanceId, now: Instant) {
        let Some(entry) = self.entries.remove(id) else { return };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.retain(|_, removed| {
                now.saturating_duration_since(removed.removed_at) < REMOVAL_RETENTION
            });
        }
        let first = self.removed.iter().min_by_key(|(_, removed)| removed.removed_at);
        let first = first.map(|(id, _)| id.clone());
        if self.removed.len() >= MAX_REMOVED
            && let Some(first) = first
        {
            self.removed.remove(&first);
        }
        let removed = RemovedServer {
            started: entry.server.started,
            check_ins: entry.server.check_ins,
            era: self.era.unwrap_or_default(),
            removed_at: now,
        };
        self.removed.insert(id.clone(), removed);
    }
}
