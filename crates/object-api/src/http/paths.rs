//! Paths and queries of the Object API.

use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use crate::object::{ObjectKey, ObjectVersion};

const OBJECTS_ROOT: &str = "/objects/";

/// Characters that are percent-encoded in paths and query values: all but letters, digits and
/// `-._/@:`.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'/').remove(b'@').remove(b':');

/// Query parameters of a watch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchQuery {
    /// Prefix of the names watched.
    pub prefix: String,
    /// Only changes after this version are reported.
    pub since: ObjectVersion,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// Path of one object, percent-encoded.
pub fn object_path(key: &ObjectKey) -> String {
    format!("{OBJECTS_ROOT}{}", utf8_percent_encode(key.as_str(), ESCAPED))
}

/// Decodes the key from the path of one object; `None` if the path is not that of an object or is
/// not valid UTF-8 once decoded.
pub fn key_of_path(path: &str) -> Option<ObjectKey> {
    let name = path.strip_prefix(OBJECTS_ROOT).filter(|name| !name.is_empty())?;
    let decoded = percent_decode_str(name).decode_utf8().ok()?;
    Some(ObjectKey::new(decoded))
}

/// Path and query of a list call.
pub fn list_path(prefix: &str) -> String {
    format!("/objects?prefix={}", utf8_percent_encode(prefix, ESCAPED))
}

/// Path and query of a watch call.
pub fn watch_path(prefix: &str, since: ObjectVersion, wait: Duration) -> String {
    let prefix = utf8_percent_encode(prefix, ESCAPED);
    format!("/watch?prefix={prefix}&since={since}&wait_ms={}", wait.as_millis())
}
