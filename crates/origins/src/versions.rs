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
    /// The versions are complete as of this time: a read of the store that was sent then has shown
    /// all servers and all recorded versions.
    read_as_of: Option<Instant>,
}

impl VersionHistory {
    /// A history without versions, of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { services: BTreeMap::new(), complete_from: now + MAX_STREAM_AGE, read_as_of: None }
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

    /// Holds the history for incomplete until `complete_from`: the store has come back from a copy, and
    /// the newest versions are written again by then.
    pub fn record_restore(&mut self, complete_from: Instant) {
        self.complete_from = self.complete_from.max(complete_from);
    }

    /// Records a read of the store that was sent at `sent`, with the versions of all servers that it
    /// lists and those that other processes have recorded. How long ago the latter served is not
    /// known; one that this process knows of is not taken for newer.
    pub fn record_read(
        &mut self,
        listed: impl IntoIterator<Item = (ServiceName, SoftwareVersion)>,
        recorded: impl IntoIterator<Item = (ServiceName, SoftwareVersion)>,
        sent: Instant,
        now: Instant,
    ) {
        for (service, software) in listed {
            self.record_listed(&service, &software, now);
        }
        for (service, software) in recorded {
            let versions = self.services.entry(service).or_default();
            versions.entry(software).or_insert(now);
        }
        self.read_as_of = self.read_as_of.max(Some(sent));
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

    /// The versions that were listed within the longest life of a stream.
    pub fn current_versions(&self, now: Instant) -> BTreeSet<(ServiceName, SoftwareVersion)> {
        let services = self.services.iter();
        let pairs = services.flat_map(|(service, versions)| {
            let current = versions
                .iter()
                .filter(|(_, listed)| now.saturating_duration_since(**listed) < MAX_STREAM_AGE);
            current.map(|(software, _)| (service.clone(), software.clone()))
        });
        pairs.collect()
    }

    /// All versions with their services.
    pub fn versions(&self) -> BTreeSet<(ServiceName, SoftwareVersion)> {
        let services = self.services.iter();
        let pairs = services.flat_map(|(service, versions)| {
            versions.keys().map(|software| (service.clone(), software.clone()))
        });
        pairs.collect()
    }

    /// The version that began a stream of `service` whose origin nobody knows, for a caller that
    /// asked at `asked`. Only a read of the store that was sent since shows all versions that may
    /// have begun it: this process may have been cut off or stood still as another one joined.
    ///
    /// # Errors
    ///
    /// Fails if it may have been one of several versions, or of none that is known.
    pub fn only_version(
        &self,
        service: &ServiceName,
        asked: Instant,
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
        let known = first.filter(|_| self.read_as_of.is_some_and(|sent| sent >= asked));
        known.cloned().ok_or(UnknownOrigin::NoHistory)
    }
}
