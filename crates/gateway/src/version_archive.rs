//! The software versions that have served, in the platform's store, for entries that start when no
//! other process knows which versions began the streams that callers take up again.

use std::collections::BTreeSet;

use base::prelude::*;
use platform::{ListingGap, ObjectKind, PlatformStore, StoreError};
use roster::{SoftwareVersion, StoreEra};
use serde::{Deserialize, Serialize};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::relisting::RelistDelays;

/// A software version of a service.
pub type ServedVersion = (ServiceName, SoftwareVersion);

#[derive(Debug, Serialize, Deserialize)]
struct StoredVersion {
    service: String,
    software: String,
    /// Number of restores of the store before it was written; zero if the store does not tell.
    #[serde(default)]
    era: u64,
}

/// The versions that the store lists.
#[derive(Debug)]
pub struct VersionListing {
    /// The versions.
    pub versions: Vec<ServedVersion>,
    /// Why some are missing; none if the store has listed all of them.
    pub gap: Option<ListingGap>,
    /// Whether versions may be missing: the store may have come back from a copy since the last of
    /// them was written, or its listing is incomplete.
    pub may_be_old: bool,
}

/// Reads and writes the versions in the store.
#[derive(Clone)]
pub struct VersionArchive {
    store: PlatformStore,
}

impl VersionArchive {
    /// An archive in `store`.
    pub fn new(store: PlatformStore) -> Self {
        Self { store }
    }

    /// Lists the stored versions, trying again until the store answers.
    pub async fn list(&self, delays: &mut RelistDelays) -> VersionListing {
        let mut failures = 0_u32;
        let listing = loop {
            let error = match self.list_once().await {
                Ok(listing) => break listing,
                Err(error) => error,
            };
            match failures {
                0 => log::warn!("versions: cannot list the stored versions, retrying: {error}"),
                _ => log::debug!("versions: cannot list the stored versions: {error}"),
            }
            failures += 1;
            time::sleep(delays.after_failure(&error)).await;
        };
        if failures > 0 {
            log::info!("versions: listed the stored versions after {failures} failed calls");
        }
        listing
    }

    /// Lists the stored versions.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn list_once(&self) -> Result<VersionListing, StoreError> {
        let listed = self.store.list_system_objects(ObjectKind::SoftwareVersions).await?;
        let mut listing = VersionListing {
            versions: Vec::new(),
            may_be_old: !listed.is_complete(),
            gap: listed.gap,
        };
        let mut newest = StoreEra::default();
        for (name, contents) in listed.items {
            match decode(&contents) {
                Some((version, era)) => {
                    listing.versions.push(version);
                    newest = newest.max(era);
                }
                None => {
                    log::warn!("versions: ignoring the stored version {name:?}, it cannot be read");
                    listing.may_be_old = true;
                }
            }
        }
        listing.may_be_old |= newest < self.era();
        Ok(listing)
    }

    /// Lists the versions of the servers that the store lists now.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the listing is incomplete.
    pub async fn list_serving(&self) -> Result<Vec<ServedVersion>, StoreError> {
        let listing = self.store.list_servers().await?;
        if !listing.is_complete() {
            return Err(StoreError::NoAnswer { reason: "the listing is incomplete".to_owned() });
        }
        let served = listing.items.into_iter().map(|server| (server.service, server.software));
        let distinct: BTreeSet<ServedVersion> = served.collect();
        Ok(distinct.into_iter().collect())
    }

    /// The latest era of the store that an answer has named.
    pub fn era(&self) -> StoreEra {
        self.store.era().borrow().unwrap_or_default()
    }

    /// Stores a version that serves.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn write(&self, version: &ServedVersion) -> Result<(), StoreError> {
        let (service, software) = version;
        let stored = StoredVersion {
            service: service.to_string(),
            software: software.to_string(),
            era: self.era().0,
        };
        let contents = serde_json::json!(stored).to_string();
        let name = object_name(version);
        self.store.write_system_object(ObjectKind::SoftwareVersions, &name, &contents).await
    }

    /// Deletes a version whose streams have ended.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn delete(&self, version: &ServedVersion) -> Result<(), StoreError> {
        let name = object_name(version);
        self.store.delete_system_object(ObjectKind::SoftwareVersions, &name).await
    }
}

/// Hash of a version of a service.
pub fn version_hash((service, software): &ServedVersion) -> u64 {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    xxh3_64_with_seed(software.as_str().as_bytes(), seed)
}

/// Names in the store have a limited alphabet, and versions may be any text.
fn object_name(version: &ServedVersion) -> String {
    format!("{:016x}", version_hash(version))
}

fn decode(contents: &str) -> Option<(ServedVersion, StoreEra)> {
    let stored: StoredVersion = serde_json::from_str(contents).ok()?;
    let version = (stored.service.parse().ok()?, stored.software.parse().ok()?);
    Some((version, StoreEra(stored.era)))
}
