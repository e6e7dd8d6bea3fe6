//! Paths and queries of the Object API.

use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use crate::object::{ObjectKey, ObjectVersion};

const OBJECTS_ROOT: &str = "/objects/";

/// Characters that stand unescaped in a path or query value.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'/').remove(b'@').remove(b':');

/// What a watch waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchQuery {
    /// Beginning of the names watched.
    pub prefix: String,
    /// Version after which changes are wanted.
    pub since: ObjectVersion,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// Path of one object.
pub fn object_path(key: &ObjectKey) -> String {
    format!("{OBJECTS_ROOT}{}", utf8_percent_encode(key.as_str(), ESCAPED))
}

/// The key named by the path of one object.
pub fn key_of_path(path: &str) -> Option<ObjectKey> {
    let name = path.strip_prefix(OBJECTS_ROOT).filter(|name| !name.is_empty())?;
    let decoded = percent_decode_str(name).decode_utf8().ok()?;
    Some(ObjectKey::new(decoded))
}

/// Path and query of a list.
pub fn list_path(prefix: &str) -> String {
    format!("/objects?prefix={}", utf8_percent_encode(prefix, ESCAPED))
}

/// Path and query of a watch.
pub fn watch_path(prefix: &str, since: ObjectVersion, wait: Duration) -> String {
    let prefix = utf8_percent_encode(prefix, ESCAPED);
    format!("/watch?prefix={prefix}&since={since}&wait_ms={}", wait.as_millis())
}
