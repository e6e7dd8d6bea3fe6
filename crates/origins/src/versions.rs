//! The software versions that may have begun a stream whose origin nobody knows.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use roster::SoftwareVersion;

use crate::MAX_STREAM_AGE;

/// Why a stream without a known origin cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Servers of several versions have served within the longest life of a stream.
    SeveralVersions,
    /// It is not known which versions have served.
    NoHistory,
    /// It is not known before this time which versions have served.
    NotBefore(Instant),
}

/// The software versions of each service that have served within the longest life of a stream.
#[derive(Debug)]
pub struct VersionHistory {
    /// When each version was listed last.
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Instant>>,
    /// From when on the history is complete.
    complete_from: Instant,
    /// When a read of the roster showed all servers last.
    roster_read: Option<Instant>,
}

impl VersionHistory {
    /// A history without versions, of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { services: BTreeMap::new(), complete_from: now + MAX_STREAM_AGE, roster_read: None }
    }

    /// Records that a server of this version is listed; returns whether the version is new.
    pub fn record_listed(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Instant,
    ) -> bool {
        let versions = match self.services.get_mut(service) {
            Some(versions) => versions,
            None => self.services.entry(service.clone()).or_default(),
        };
        match versions.get_mut(software) {
            Some(listed) => {
                *listed = now;
                false
            }
            None => {
                versions.insert(software.clone(), now);
                true
            }
        }
    }

    /// From when on the history is complete.
    pub fn complete_from(&self) -> Instant {
        self.complete_from
    }

    /// Records that the roster was read; it lists all servers as of `now`.
    pub fn record_roster_read(&mut self, now: Instant) {
        self.roster_read = self.roster_read.max(Some(now));
    }

    /// Adds the versions that earlier processes have recorded. How long ago they served is not
    /// known, so that each may have begun a stream just now. The history is complete from
    /// `complete_from` on: at once, unless the record may lack the newest versions.
    pub fn restore(
        &mut self,
        recorded: impl IntoIterator<Item = (ServiceName, SoftwareVersion)>,
        complete_from: Instant,
        now: Instant,
    ) {
        for (service, software) in recorded {
            self.record_listed(&service, &software, now);
        }
        self.complete_from = self.complete_from.min(complete_from);
    }

    /// Removes the versions that have not been listed for the longest life of a stream, and returns
    /// them.
    pub fn expire(&mut self, now: Instant) -> Vec<(ServiceName, SoftwareVersion)> {
        let mut expired = Vec::new();
        for (service, versions) in &mut self.services {
            versions.retain(|software, listed| {
                let is_current = now.saturating_duration_since(*listed) < MAX_STREAM_AGE;
                if !is_current {
                    expired.push((service.clone(), software.clone()));
                }
                is_current
            });
        }
        expired
    }

    /// All versions with their services.
    pub fn versions(&self) -> BTreeSet<(ServiceName, SoftwareVersion)> {
        let services = self.services.iter();
        let pairs = services.flat_map(|(service, versions)| {
            versions.keys().map(|software| (service.clone(), software.clone()))
        });
        pairs.collect()
    }

    /// The version that began a stream of `service` whose origin nobody knows. `max_age` is the time
    /// within which a change of the roster must be known.
    ///
    /// # Errors
    ///
    /// Fails if it may have been one of several versions, or of none that is known, as for a process
    /// that has not read the roster lately.
    pub fn only_version(
        &self,
        service: &ServiceName,
        max_age: Duration,
        now: Instant,
    ) -> Result<SoftwareVersion, UnknownOrigin> {
        let versions = self.services.get(service).into_iter().flatten();
        let mut current = versions
            .filter(|(_, listed)| now.saturating_duration_since(**listed) < MAX_STREAM_AGE)
            .map(|(software, _)| software);
        let (first, second) = (current.next(), current.next());
        // What is not known yet can only add versions.
        if second.is_some() {
            return Err(UnknownOrigin::SeveralVersions);
        }
        if now < self.complete_from {
            return Err(UnknownOrigin::NotBefore(self.complete_from));
        }
        let is_fresh = |read: Instant| now.saturating_duration_since(read) <= max_age;
        let known = first.filter(|_| self.roster_read.is_some_and(is_fresh));
        known.cloned().ok_or(UnknownOrigin::NoHistory)
    }
}
