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
}

/// The software versions of each service that have served within the longest life of a stream.
#[derive(Debug)]
pub struct VersionHistory {
    /// When each version was listed last.
    services: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Instant>>,
    /// From when on the history is complete without the record of earlier processes.
    complete_from: Instant,
    is_restored: bool,
}

impl VersionHistory {
    /// A history without versions, of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { services: BTreeMap::new(), complete_from: now + MAX_STREAM_AGE, is_restored: false }
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

    /// Adds the versions that earlier processes have recorded. How long ago they served is not
    /// known, so that each may have begun a stream just now.
    pub fn restore(
        &mut self,
        recorded: impl IntoIterator<Item = (ServiceName, SoftwareVersion)>,
        now: Instant,
    ) {
        for (service, software) in recorded {
            self.record_listed(&service, &software, now);
        }
        self.is_restored = true;
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

    /// The version that began a stream of `service` whose origin nobody knows.
    ///
    /// # Errors
    ///
    /// Fails if it may have been one of several versions, or of none that is known.
    pub fn only_version(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Result<SoftwareVersion, UnknownOrigin> {
        if !self.is_restored && now < self.complete_from {
            return Err(UnknownOrigin::NoHistory);
        }
        let versions = self.services.get(service).ok_or(UnknownOrigin::NoHistory)?;
        let mut current = versions
            .iter()
            .filter(|(_, listed)| now.saturating_duration_since(**listed) < MAX_STREAM_AGE);
        match (current.next(), current.next()) {
            (Some((software, _)), None) => Ok(software.clone()),
            (Some(_), Some(_)) => Err(UnknownOrigin::SeveralVersions),
            (None, _) => Err(UnknownOrigin::NoHistory),
        }
    }
}
