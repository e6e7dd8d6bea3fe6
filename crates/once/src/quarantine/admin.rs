//! Operator calls on the stored crash records.

use std::collections::BTreeSet;

use object_api::{ObjectKey, ObjectStore, StoreError};
use snafu::Snafu;

use super::{StoredRecord, record::CrashRecord};
use crate::fingerprint::RequestFingerprint;

/// Prefix of the objects that hold crash records.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// An operator's call failed.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The store returned an error.
    #[snafu(display("the store returned an error: {source}"), context(false))]
    Store {
        /// Error of the store call.
        source: StoreError,
    },
}

/// Result of an operator's call.
pub type Result<T, E = AdminError> = std::result::Result<T, E>;

/// Name of the object that holds the crash record of a request.
pub fn record_key(fingerprint: RequestFingerprint) -> ObjectKey {
    ObjectKey::new(format!("{QUARANTINE_PREFIX}{fingerprint}"))
}

/// Parses the fingerprint from an object name; `None` if the name holds none.
pub fn fingerprint_of(key: &ObjectKey) -> Option<RequestFingerprint> {
    let fingerprint = key.as_str().strip_prefix(QUARANTINE_PREFIX)?.parse().ok()?;
    (record_key(fingerprint) == *key).then_some(fingerprint)
}

/// The crash records as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordList {
    /// Records that could be read.
    pub records: Vec<StoredRecord>,
    /// Requests whose records exist but could not be read.
    pub unreadable: BTreeSet<RequestFingerprint>,
}

/// Reads all crash records; objects with other names are skipped.
///
/// # Errors
///
/// Fails if the store returns an error.
pub async fn read_records(store: &dyn ObjectStore) -> Result<RecordList> {
    let listed = store.list_all(QUARANTINE_PREFIX).await?;
    let mut list = RecordList::default();
    list.unreadable.extend(listed.unreadable.iter().filter_map(fingerprint_of));
    for object in listed.objects {
        let Some(fingerprint) = fingerprint_of(&object.key) else {
            log::warn!("quarantine: ignoring {}, whose name is none of a record", object.key);
            continue;
        };
        match CrashRecord::decode(object.body) {
            Ok(record) => {
                let version = object.version;
                list.records.push(StoredRecord { fingerprint, version, record });
            }
            Err(error) => {
                log::error!("quarantine: the record of {fingerprint} is malformed: {error}");
                list.unreadable.insert(fingerprint);
            }
        }
    }
    Ok(list)
}

/// Reads the crash records that can be read.
///
/// # Errors
///
/// Fails if the store returns an error.
pub async fn list_records(store: &dyn ObjectStore) -> Result<Vec<StoredRecord>> {
    Ok(read_records(store).await?.records)
}

/// Deletes the crash record of a request; returns false if there is none.
///
/// # Errors
///
/// Fails if the store returns an error: [`StoreError::ConditionFailed`] if the request was in
/// flight at another crash meanwhile, [`StoreError::AnswerLost`] if the record may be deleted.
pub async fn lift_record(store: &dyn ObjectStore, fingerprint: RequestFingerprint) -> Result<bool> {
    let key = record_key(fingerprint);
    let Some(object) = store.get(&key).await? else { return Ok(false) };
    store.delete(&key, object.version).await?;
    log::info!("quarantine: lifted {fingerprint}");
    Ok(true)
}
