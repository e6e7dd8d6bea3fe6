//! Decoding of the Object API's answers; input that cannot be decoded gives
//! [`StoreError::BadAnswer`].

use http::{HeaderMap, StatusCode, header};

use super::messages::{ObjectMessage, ObjectsMessage};
use crate::{
    object::{ObjectChange, ObjectVersion, Result, StoreError, StoredObject},
    vms::VmEntry,
};

/// Header with which the Object API states that a failed write took no effect.
pub const NOT_WRITTEN_HEADER: &str = "x-object-not-written";

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

fn read_messages(body: &[u8]) -> Result<Vec<ObjectMessage>> {
    let message = serde_json::from_slice::<ObjectsMessage>(body);
    message.map(|message| message.objects).map_err(|_| StoreError::BadAnswer)
}

/// Reads the answer to a list call.
///
/// # Errors
///
/// Fails if the body is malformed, or contains a deletion or a name that does not start with
/// `prefix`.
pub fn read_objects(body: &[u8], prefix: &str) -> Result<Vec<StoredObject>> {
    let objects = read_messages(body)?
        .into_iter()
        .map(ObjectMessage::into_object)
        .collect::<Result<Vec<_>>>()?;
    let fits = objects.iter().all(|object| object.key.as_str().starts_with(prefix));
    fits.then_some(objects).ok_or(StoreError::BadAnswer)
}

/// Reads the answer to a watch call.
///
/// # Errors
///
/// Fails if the body is malformed or contains a name that does not start with `prefix`.
pub fn read_changes(body: &[u8], prefix: &str) -> Result<Vec<ObjectChange>> {
    let messages = read_messages(body)?;
    let fits = messages.iter().all(|message| message.key.as_str().starts_with(prefix));
    if !fits {
        return Err(StoreError::BadAnswer);
    }
    messages.into_iter().map(ObjectMessage::into_change).collect()
}

/// Reads the VM list.
///
/// # Errors
///
/// Fails if the body is malformed.
pub fn read_vms(body: &[u8]) -> Result<Vec<VmEntry>> {
    serde_json::from_slice(body).map_err(|_| StoreError::BadAnswer)
}
