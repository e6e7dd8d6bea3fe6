//! Last known registrations of the backend servers.
//!
//! Registrations expire while the platform's store is unavailable. A ready backend server whose
//! registration is missing after an outage keeps receiving requests for a grace period, in which it
//! can register again.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::{BackendServer, InstanceId, RosterChange, ServerState};

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

#[derive(Debug, Clone)]
struct RosterEntry {
    server: BackendServer,
    status: RosterStatus,
}

/// The known backend servers with their status.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    store_lost_at: Option<Instant>,
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

    /// Records that the store does not answer.
    pub fn record_store_loss(&mut self, now: Instant) {
        self.store_lost_at.get_or_insert(now);
    }

    /// Records that the store answers, and returns whether it had been unavailable.
    pub fn record_store_recovery(&mut self, now: Instant) -> bool {
        let was_unavailable = self.store_lost_at.take().is_some();
        if was_unavailable {
            self.grace_ends = Some(now + REREGISTRATION_GRACE);
        }
        was_unavailable
    }

    /// Replaces the known servers by a complete listing and returns what changed.
    pub fn apply_snapshot(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<RosterUpdate> {
        let listed: std::collections::BTreeSet<InstanceId> =
            servers.iter().map(|server| server.id.clone()).collect();
        let missing: Vec<InstanceId> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut updates: Vec<RosterUpdate> =
            servers.into_iter().filter_map(|server| self.upsert_server(server)).collect();
        updates.extend(missing.iter().filter_map(|id| self.remove_server(id, now)));
        updates
    }

    /// Applies one change; returns none if it makes no difference.
    pub fn apply_change(&mut self, change: RosterChange, now: Instant) -> Option<RosterUpdate> {
        match change {
            RosterChange::Listed(server) => self.upsert_server(*server),
            RosterChange::Removed(id) => self.remove_server(&id, now),
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
            self.entries.remove(id);
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
        let id = server.id.clone();
        let status = match server.state {
            ServerState::Ready => RosterStatus::Ready,
            ServerState::Draining { .. } => RosterStatus::Draining,
        };
        let before = self.entries.insert(id.clone(), RosterEntry { server, status });
        let after = &self.entries[&id];
        match before {
            Some(before) if before.status == status && before.server == after.server => None,
            Some(before) if before.status == status => Some(RosterUpdate::Changed(id)),
            _ if status == RosterStatus::Draining => Some(RosterUpdate::Draining(id)),
            Some(_) => Some(RosterUpdate::Changed(id)),
            None => Some(RosterUpdate::Joined(id)),
        }
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
                self.entries.remove(id);
                Some(RosterUpdate::Removed(id.clone()))
            }
        }
    }
}
