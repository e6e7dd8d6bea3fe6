//! The chain of accepted edits.

use std::collections::HashMap;

use base::prelude::*;
use object_api::{ObjectKey, ObjectStore};
use snafu::ResultExt;

use crate::store::{
    Result, StoreCallSnafu,
    objects::{EditRecord, HeadObject, StoredRecord, bad_object, decode_object, history_prefix},
};

/// Reads the record of one edit; `name` is its object name.
///
/// # Errors
///
/// Fails if the store fails a call, or if the record or one of its parts does not exist.
pub async fn edit_record(store: &dyn ObjectStore, name: &str) -> Result<EditRecord> {
    let key = ObjectKey::new(name);
    let object = store.get(&key).await.context(StoreCallSnafu { key: key.clone() })?;
    let object = object.ok_or_else(|| bad_object(&key, "no such record"))?;
    whole_record(store, &key, decode_object(&key, &object.body)?).await
}

async fn whole_record(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    stored: StoredRecord,
) -> Result<EditRecord> {
    let parts = match stored {
        StoredRecord::Inline(record) => return Ok(*record),
        StoredRecord::Parts(parts) => parts,
    };
    let mut body = Vec::new();
    for name in parts {
        let part_key = ObjectKey::new(name);
        let object = store.get(&part_key).await;
        let object = object.context(StoreCallSnafu { key: part_key.clone() })?;
        let object = object.ok_or_else(|| bad_object(&part_key, "no such part"))?;
        body.extend_from_slice(&object.body);
    }
    decode_object(key, &body)
}

/// Reads the accepted edits that led from `after` to the version of `head`, oldest first.
///
/// The store may also hold records of refused edits, so only the chain that starts at the head
/// counts. Short chains are read record by record, long ones by listing the records of a hundred
/// versions at a time.
///
/// # Errors
///
/// Fails if the store fails a call, or if a record of the chain is missing, malformed or of another
/// version than its place in the chain.
pub async fn edits_between(
    store: &dyn ObjectStore,
    head: &HeadObject,
    after: ListVersion,
) -> Result<Vec<EditRecord>> {
    let mut edits = Vec::new();
    let mut listed: HashMap<String, EditRecord> = HashMap::new();
    // No record name starts with this.
    let mut listed_prefix = String::from("none");
    let mut name = head.edit.clone();
    let mut version = head.version;
    let is_long = version.0.saturating_sub(after.0) > SHORT_CHAIN;
    while version > after && !name.is_empty() {
        let is_new_block = !name.starts_with(&listed_prefix);
        if is_long && is_new_block {
            listed_prefix = history_prefix(version);
            listed = list_records(store, version).await?;
        }
        let record = match listed.remove(&name) {
            Some(record) => record,
            None => edit_record(store, &name).await?,
        };
        if record.version != version {
            let reason = format!("version {} in the place of {version}", record.version);
            return Err(bad_object(&ObjectKey::new(name), &reason));
        }
        name.clone_from(&record.previous);
        version = ListVersion(record.version.0.saturating_sub(1));
        edits.push(record);
    }
    edits.reverse();
    Ok(edits)
}

/// Length of the longest chain that is read record by record, in edits.
const SHORT_CHAIN: u64 = 8;

/// Lists the records of a block that can be read. A record of the chain that is missing here is read
/// by its name.
async fn list_records(
    store: &dyn ObjectStore,
    version: ListVersion,
) -> Result<HashMap<String, EditRecord>> {
    let prefix = history_prefix(version);
    let key = ObjectKey::new(&prefix);
    let objects = store.list(&prefix).await.context(StoreCallSnafu { key })?;
    let mut records = HashMap::new();
    for object in objects {
        match decode_object(&object.key, &object.body) {
            Ok(StoredRecord::Inline(record)) => {
                records.insert(object.key.as_str().to_owned(), *record);
            }
            Ok(StoredRecord::Parts(_)) => {}
            Err(error) => log::warn!("lists: leaving out a record: {error}"),
        }
    }
    Ok(records)
}
