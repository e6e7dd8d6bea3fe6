//! Decoding of the Object API's answers. An answer that cannot be decoded gives
//! [`StoreError::BadAnswer`]; a single entry that cannot be decoded is reported beside the others.

use std::borrow::Cow;

use base::prelude::*;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::messages::{ObjectMessage, ObjectName, RawObjects};
use crate::{
    object::{ObjectChange, ObjectKey, ObjectList, ObjectVersion, Result, StoreError},
    vms::{VmEntry, VmListing},
};

/// Header with which the Object API states that a failed write took no effect.
pub const NOT_WRITTEN_HEADER: &str = "x-object-not-written";

/// What could be read of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadAnswer<T> {
    /// The entries.
    pub entries: T,
    /// One text for each entry that could not be read.
    pub faults: Vec<String>,
}

/// The name in an entry of the VM list.
#[derive(Deserialize)]
struct VmName {
    id: String,
}

/// Reads the object version from the `ETag` header, a number in double quotes.
///
/// # Errors
///
/// Fails if the header is missing or malformed.
pub fn read_version(headers: &HeaderMap) -> Result<ObjectVersion> {
    let tag = headers.get(header::ETAG).and_then(|value| value.to_str().ok());
    let digits = tag.and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'));
    let version = digits.and_then(|digits| digits.parse().ok());
    version.map(ObjectVersion).ok_or(StoreError::BadAnswer)
}

/// Maps the status of a failed call to an error.
///
/// A server error without [`NOT_WRITTEN_HEADER`] may come from a proxy that lost the answer to a
/// write, so the outcome of the write is unknown.
pub fn read_failure(status: StatusCode, headers: &HeaderMap, is_write: bool) -> StoreError {
    match status {
        StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => StoreError::ConditionFailed,
        StatusCode::PAYLOAD_TOO_LARGE => StoreError::BodyTooLarge,
        StatusCode::TOO_MANY_REQUESTS => StoreError::Unavailable,
        _ if !status.is_server_error() => StoreError::BadAnswer,
        _ if !is_write || headers.contains_key(NOT_WRITTEN_HEADER) => StoreError::Unavailable,
        _ => StoreError::AnswerLost,
    }
}

/// An entry of a list or watch that could not be read.
struct EntryFault {
    key: Option<ObjectKey>,
    reason: String,
}

impl EntryFault {
    fn text(&self) -> String {
        match &self.key {
            Some(key) => format!("{key}: {}", self.reason),
            None => self.reason.clone(),
        }
    }
}

/// Reads each entry by itself; bytes that are not UTF-8 make only their entry unreadable.
fn read_entries<T>(
    body: &[u8],
    prefix: &str,
    convert: fn(ObjectMessage) -> Result<T>,
) -> Result<Vec<Result<T, EntryFault>>> {
    let text = String::from_utf8_lossy(body);
    let is_replaced = matches!(text, Cow::Owned(_));
    let raw = serde_json::from_str::<RawObjects<'_>>(&text).map_err(|_| StoreError::BadAnswer)?;
    let fits = |key: &ObjectKey| {
        let name = key.as_str();
        let is_exact = !is_replaced || !name.contains(char::REPLACEMENT_CHARACTER);
        name.starts_with(prefix) && is_exact
    };
    let entries = raw.objects.into_iter().map(|item| {
        let name = serde_json::from_str::<ObjectName>(item.get());
        let key = match name {
            Ok(name) if fits(&name.key) => name.key,
            Ok(name) => {
                let reason = format!("{:?} is no name of this list", name.key.as_str());
                return Err(EntryFault { key: None, reason });
            }
            Err(error) => {
                let reason = format!("an object without a name: {error}");
                return Err(EntryFault { key: None, reason });
            }
        };
        let message = serde_json::from_str::<ObjectMessage>(item.get());
        let converted = message.map_err(|error| error.to_string()).and_then(|message| {
            convert(message).map_err(|_| "its contents are malformed".to_owned())
        });
        converted.map_err(|reason| EntryFault { key: Some(key), reason })
    });
    Ok(entries.collect())
}

/// Reads the answer to a list call. Objects are unreadable that are malformed or deletions; those
/// whose names do not start with `prefix` count as unnamed.
///
/// # Errors
///
/// Fails if the body is malformed outside its entries.
pub fn read_objects(body: &[u8], prefix: &str) -> Result<ReadAnswer<ObjectList>> {
    let mut entries = ObjectList::default();
    let mut faults = Vec::new();
    for entry in read_entries(body, prefix, ObjectMessage::into_object)? {
        let fault = match entry {
            Ok(object) => {
                entries.objects.push(object);
                continue;
            }
            Err(fault) => fault,
        };
        faults.push(fault.text());
        match fault.key {
            Some(key) => entries.unreadable.push(key),
            None => entries.unnamed += 1,
        }
    }
    Ok(ReadAnswer { entries, faults })
}

/// Reads the answer to a watch call. Changes that are malformed, or whose names do not start with
/// `prefix`, are left out.
///
/// # Errors
///
/// Fails if the body is malformed outside its entries.
pub fn read_changes(body: &[u8], prefix: &str) -> Result<ReadAnswer<Vec<ObjectChange>>> {
    let mut entries = Vec::new();
    let mut faults = Vec::new();
    for entry in read_entries(body, prefix, ObjectMessage::into_change)? {
        match entry {
            Ok(change) => entries.push(change),
            Err(fault) => faults.push(fault.text()),
        }
    }
    Ok(ReadAnswer { entries, faults })
}

/// Reads the VM list. Entries that cannot be read are left out, with their names if these can be.
///
/// # Errors
///
/// Fails if the body is not a JSON array.
pub fn read_vms(body: &[u8]) -> Result<ReadAnswer<VmListing>> {
    let text = String::from_utf8_lossy(body);
    let items = serde_json::from_str::<Vec<&RawValue>>(&text);
    let mut entries = VmListing::default();
    let mut faults = Vec::new();
    for item in items.map_err(|_| StoreError::BadAnswer)? {
        let error = match serde_json::from_str::<VmEntry>(item.get()) {
            Ok(vm) => {
                entries.vms.push(vm);
                continue;
            }
            Err(error) => error,
        };
        let name = serde_json::from_str::<VmName>(item.get());
        match name.map(|name| VmId::new(name.id)) {
            Ok(Ok(id)) => {
                faults.push(format!("VM {id}: {error}"));
                entries.unreadable.insert(id);
            }
            // No VM of this system can have such a name.
            Ok(Err(error)) => faults.push(error.to_string()),
            Err(_) => {
                faults.push(format!("an entry without a name: {error}"));
                entries.unnamed += 1;
            }
        }
    }
    Ok(ReadAnswer { entries, faults })
}
