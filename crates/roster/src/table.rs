//! What a process believes about the registered backend servers.
//!
//! Entries lapse while the platform's store is away. A backend server whose entry is missing after
//! an outage keeps its standing for a short time, in which it can register again.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::server::{BackendServer, InstanceId, RosterChange, ServerState};

/// Time that a backend server has to register again after the store has returned.
///
/// The platform promises about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// What the roster says of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterStatus {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Draining,
    /// Its entry was missing after an outage; it takes work until this time.
    Lapsed {
        /// When it counts as gone.
        until: Instant,
    },
}

/// A belief that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterUpdate {
    /// A backend server appeared.
    Joined(InstanceId),
    /// Its entry changed.
    Changed(InstanceId),
    /// It takes no new work.
    Draining(InstanceId),
    /// Its entry is missing after an outage.
    Lapsed(InstanceId),
    /// It is gone.
    Removed(InstanceId),
}

#[derive(Debug, Clone)]
struct RosterEntry {
    server: BackendServer,
    status: RosterStatus,
}

/// All backend servers that are registered.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    store_lost: Option<Instant>,
    grace_ends: Option<Instant>,
}

impl Roster {
    /// The entry and standing of `id`.
    pub fn get(&self, id: &InstanceId) -> Option<(&BackendServer, RosterStatus)> {
        self.entries.get(id).map(|entry| (&entry.server, entry.status))
    }

    /// All backend servers with their standing.
    pub fn servers(&self) -> impl Iterator<Item = (&BackendServer, RosterStatus)> {
        self.entries.values().map(|entry| (&entry.server, entry.status))
    }

    /// Notes that the store does not answer.
    pub fn record_store_loss(&mut self, now: Instant) {
        self.store_lost.get_or_insert(now);
    }

    /// Notes that the store answers, and returns whether it had been lost.
    pub fn record_store_recovery(&mut self, now: Instant) -> bool {
        let was_lost = self.store_lost.take().is_some();
        if was_lost {
            self.grace_ends = Some(now + REREGISTRATION_GRACE);
        }
        was_lost
    }

    /// Takes in a complete listing.
    pub fn apply_snapshot(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<RosterUpdate> {
        let listed: std::collections::BTreeSet<InstanceId> =
            servers.iter().map(|server| server.id.clone()).collect();
        let missing: Vec<InstanceId> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut news: Vec<RosterUpdate> =
            servers.into_iter().filter_map(|server| self.upsert_server(server)).collect();
        news.extend(missing.iter().filter_map(|id| self.remove_server(id, now)));
        news
    }

    /// Takes in one change.
    pub fn apply_change(&mut self, change: RosterChange, now: Instant) -> Option<RosterUpdate> {
        match change {
            RosterChange::Listed(server) => self.upsert_server(*server),
            RosterChange::Removed(id) => self.remove_server(&id, now),
        }
    }

    /// Drops the backend servers that did not register again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<RosterUpdate> {
        let is_over = |entry: &RosterEntry| match entry.status {
            RosterStatus::Lapsed { until } => until <= now,
            RosterStatus::Ready | RosterStatus::Draining => false,
        };
        let gone: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_over(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.entries.remove(id);
        }
        gone.into_iter().map(RosterUpdate::Removed).collect()
    }

    /// When [`Roster::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let lapsed = self.entries.values().filter_map(|entry| match entry.status {
            RosterStatus::Lapsed { until } => Some(until),
            RosterStatus::Ready | RosterStatus::Draining => None,
        });
        lapsed.min()
    }

    fn upsert_server(&mut self, server: BackendServer) -> Option<RosterUpdate> {
        let id = server.id.clone();
        let standing = match server.state {
            ServerState::Ready => RosterStatus::Ready,
            ServerState::Draining { .. } => RosterStatus::Draining,
        };
        let before = self.entries.insert(id.clone(), RosterEntry { server, status: standing });
        let after = &self.entries[&id];
        match before {
            Some(before) if before.status == standing && before.server == after.server => None,
            Some(before) if before.status == standing => Some(RosterUpdate::Changed(id)),
            _ if standing == RosterStatus::Draining => Some(RosterUpdate::Draining(id)),
            Some(_) => Some(RosterUpdate::Changed(id)),
            None => Some(RosterUpdate::Joined(id)),
        }
    }

    fn remove_server(&mut self, id: &InstanceId, now: Instant) -> Option<RosterUpdate> {
        let entry = self.entries.get_mut(id)?;
        let settles = self.grace_ends.filter(|settles| now < *settles);
        match (entry.status, settles) {
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
