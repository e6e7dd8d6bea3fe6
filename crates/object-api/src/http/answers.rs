//! Reading of the Object API's answers; every input is either understood or a typed error.

use http::{HeaderMap, StatusCode, header};

use super::messages::{ObjectMessage, ObjectsMessage};
use crate::{
    object::{ObjectChange, ObjectVersion, Result, StoreError, StoredObject},
    vms::VmEntry,
};

/// Header by which the Object API states that a refused write took no effect.
pub const NOT_WRITTEN_HEADER: &str = "x-object-not-written";

/// Reads the version from the `ETag` header.
pub fn read_version(headers: &HeaderMap) -> Result<ObjectVersion> {
    let tag = headers.get(header::ETAG).and_then(|value| value.to_str().ok());
    let digits = tag.and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'));
    let version = digits.and_then(|digits| digits.parse().ok());
    version.map(ObjectVersion).ok_or(StoreError::BadAnswer)
}

/// Reads the error told by a status other than success.
///
/// A server error without [`NOT_WRITTEN_HEADER`] may stem from a gateway that lost the answer of a
/// write, so the write counts as uncertain.
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

fn read_messages(body: &[u8]) -> Result<Vec<ObjectMessage>> {
    let message = serde_json::from_slice::<ObjectsMessage>(body);
    message.map(|message| message.objects).map_err(|_| StoreError::BadAnswer)
}

/// Reads the answer to a list; every name must start with `prefix`.
pub fn read_objects(body: &[u8], prefix: &str) -> Result<Vec<StoredObject>> {
    let objects = read_messages(body)?
        .into_iter()
        .map(ObjectMessage::into_object)
        .collect::<Result<Vec<_>>>()?;
    let fits = objects.iter().all(|object| object.key.as_str().starts_with(prefix));
    fits.then_some(objects).ok_or(StoreError::BadAnswer)
}

/// Reads the answer to a watch; every name must start with `prefix`.
pub fn read_changes(body: &[u8], prefix: &str) -> Result<Vec<ObjectChange>> {
    let messages = read_messages(body)?;
    let fits = messages.iter().all(|message| message.key.as_str().starts_with(prefix));
    if !fits {
        return Err(StoreError::BadAnswer);
    }
    messages.into_iter().map(ObjectMessage::into_change).collect()
}

/// Reads the VM list.
pub fn read_vms(body: &[u8]) -> Result<Vec<VmEntry>> {
    serde_json::from_slice(body).map_err(|_| StoreError::BadAnswer)
}
