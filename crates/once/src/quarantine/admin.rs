//! Operator calls on the stored crash records.

use object_api::{ObjectKey, ObjectStore, StoreError};
use snafu::{ResultExt, Snafu};

use super::{
    StoredRecord,
    record::{CrashRecord, RecordError},
};
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
    /// An object's body is malformed.
    #[snafu(display("{key} is malformed: {source}"))]
    MalformedRecord {
        /// Name of the object.
        key: ObjectKey,
        /// Error of the decoder.
        source: RecordError,
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
    key.as_str().strip_prefix(QUARANTINE_PREFIX)?.parse().ok()
}

/// Reads all crash records; objects with other names are skipped.
///
/// # Errors
///
/// Fails if the store returns an error, or if a record is malformed.
pub async fn list_records(store: &dyn ObjectStore) -> Result<Vec<StoredRecord>> {
    let mut records = Vec::new();
    for object in store.list(QUARANTINE_PREFIX).await? {
        let Some(fingerprint) = fingerprint_of(&object.key) else { continue };
        let record = CrashRecord::decode(object.body);
        let record = record.context(MalformedRecordSnafu { key: object.key })?;
        records.push(StoredRecord { fingerprint, version: object.version, record });
    }
    Ok(records)
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
