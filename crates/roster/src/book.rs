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
pub const REGISTER_AGAIN: Duration = Duration::from_secs(2);

/// What the roster says of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
pub enum RosterNews {
    /// A backend server appeared.
    Joined(InstanceId),
    /// Its entry changed.
    Changed(InstanceId),
    /// It takes no new work.
    Draining(InstanceId),
    /// Its entry is missing after an outage.
    Lapsed(InstanceId),
    /// It is gone.
    Gone(InstanceId),
}

#[derive(Debug, Clone)]
struct RosterEntry {
    server: BackendServer,
    standing: Standing,
}

/// All backend servers that are registered.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    store_lost: Option<Instant>,
    settles: Option<Instant>,
}

impl Roster {
    /// The entry and standing of `id`.
    pub fn get(&self, id: &InstanceId) -> Option<(&BackendServer, Standing)> {
        self.entries.get(id).map(|entry| (&entry.server, entry.standing))
    }

    /// All backend servers with their standing.
    pub fn servers(&self) -> impl Iterator<Item = (&BackendServer, Standing)> {
        self.entries.values().map(|entry| (&entry.server, entry.standing))
    }

    /// Notes that the store does not answer.
    pub fn lose_store(&mut self, now: Instant) {
        self.store_lost.get_or_insert(now);
    }

    /// Notes that the store answers, and returns whether it had been lost.
    pub fn regain_store(&mut self, now: Instant) -> bool {
        let was_lost = self.store_lost.take().is_some();
        if was_lost {
            self.settles = Some(now + REGISTER_AGAIN);
        }
        was_lost
    }

    /// Takes in a complete listing.
    pub fn replace(&mut self, servers: Vec<BackendServer>, now: Instant) -> Vec<RosterNews> {
        let listed: std::collections::BTreeSet<InstanceId> =
            servers.iter().map(|server| server.id.clone()).collect();
        let missing: Vec<InstanceId> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut news: Vec<RosterNews> =
            servers.into_iter().filter_map(|server| self.list(server)).collect();
        news.extend(missing.iter().filter_map(|id| self.remove(id, now)));
        news
    }

    /// Takes in one change.
    pub fn apply(&mut self, change: RosterChange, now: Instant) -> Option<RosterNews> {
        match change {
            RosterChange::Listed(server) => self.list(*server),
            RosterChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Drops the backend servers that did not register again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<RosterNews> {
        let is_over = |entry: &RosterEntry| match entry.standing {
            Standing::Lapsed { until } => until <= now,
            Standing::Ready | Standing::Draining => false,
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
        gone.into_iter().map(RosterNews::Gone).collect()
    }

    /// When [`Roster::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let lapsed = self.entries.values().filter_map(|entry| match entry.standing {
            Standing::Lapsed { until } => Some(until),
            Standing::Ready | Standing::Draining => None,
        });
        lapsed.min()
    }

    fn list(&mut self, server: BackendServer) -> Option<RosterNews> {
        let id = server.id.clone();
        let standing = match server.state {
            ServerState::Ready => Standing::Ready,
            ServerState::Draining { .. } => Standing::Draining,
        };
        let before = self.entries.insert(id.clone(), RosterEntry { server, standing });
        let after = &self.entries[&id];
        match before {
            Some(before) if before.standing == standing && before.server == after.server => None,
            Some(before) if before.standing == standing => Some(RosterNews::Changed(id)),
            _ if standing == Standing::Draining => Some(RosterNews::Draining(id)),
            Some(_) => Some(RosterNews::Changed(id)),
            None => Some(RosterNews::Joined(id)),
        }
    }

    fn remove(&mut self, id: &InstanceId, now: Instant) -> Option<RosterNews> {
        let entry = self.entries.get_mut(id)?;
        let settles = self.settles.filter(|settles| now < *settles);
        match (entry.standing, settles) {
            (Standing::Ready, Some(until)) => {
                entry.standing = Standing::Lapsed { until };
                Some(RosterNews::Lapsed(id.clone()))
            }
            (Standing::Lapsed { until }, _) if now < until => None,
            _ => {
                self.entries.remove(id);
                Some(RosterNews::Gone(id.clone()))
            }
        }
    }
}
