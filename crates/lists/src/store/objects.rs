//! Contents and names of the stored objects.

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectKey;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    image::{ImageDigest, ListDelta},
    store::{ListError, Result},
};

/// Name of the head object.
pub const HEAD_NAME: &str = "lists/head";
/// Largest part, in bytes; far below the platform's limit for objects, so that a small edit of
/// large lists rewrites little.
pub const PART_BYTES: usize = 192 << 10;
/// Largest record that is stored in one object, in bytes.
pub const INLINE_RECORD_BYTES: usize = 512 << 10;
/// Digits of a version in object names; zero-padded, so that a prefix selects a block of versions.
const VERSION_DIGITS: usize = 12;

/// Texts of both lists as the operators wrote them, with comments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListTexts {
    /// Text of the list of plans.
    pub plans: String,
    /// Text of the list of rights.
    pub rights: String,
}

/// One part of a text and the object that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextPart {
    /// Name of the object.
    pub name: String,
    /// Contents of the object.
    pub text: String,
}

/// The head: the current version and the names of its parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadObject {
    /// Version of the lists in force.
    pub version: ListVersion,
    /// Checksum of the version's image.
    pub digest: ImageDigest,
    /// Names of the parts of the list of plans, in order.
    pub plans: Vec<String>,
    /// Names of the parts of the list of rights, in order.
    pub rights: Vec<String>,
    /// Name of the record of the edit that created the version.
    pub edit: String,
}

/// The record of one edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Version that the edit created.
    pub version: ListVersion,
    /// Random number that distinguishes concurrent edits of the same version.
    pub nonce: u64,
    /// Checksum of the version's image.
    pub digest: ImageDigest,
    /// Name of the record of the previous edit; empty for the first.
    pub previous: String,
    /// Operator who made the edit.
    pub operator: OperatorName,
    /// Reason for the edit, as the operator wrote it.
    pub note: String,
    /// When the edit was sent, in milliseconds since the Unix epoch on the operator's clock.
    pub sent_millis: u64,
    /// Changed sections with their new texts.
    pub delta: ListDelta,
    /// Texts of the same sections before the edit, for the `account` command and for conflicts.
    pub former: ListDelta,
}

/// Stored form of an edit's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredRecord {
    /// The complete record.
    Inline(Box<EditRecord>),
    /// Names of the objects whose contents, in this order, form the encoded record.
    Parts(Vec<String>),
}

/// A node that is unreachable or has an older version than its zone's relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// VM of the node.
    pub node: VmId,
    /// Version that the node has; zero if none or if it is unreachable.
    pub has: ListVersion,
    /// Whether the VM list marks the VM as leaving.
    pub leaving: bool,
}

/// When a version became active in a zone, that is, when every reachable node had acknowledged it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationTime {
    /// Version that became active.
    pub version: ListVersion,
    /// Time of the activation, in milliseconds since the Unix epoch on the relay's clock.
    pub millis: u64,
}

/// Status of a zone, written by one of its relays to `status/<zone>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusObject {
    /// Zone of the relay.
    pub zone: ZoneName,
    /// Relay that wrote the object last.
    pub relay: VmId,
    /// Version that every reachable node of the zone has acknowledged.
    pub in_force: ListVersion,
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Number of reachable nodes of the zone.
    pub nodes: u32,
    /// Nodes with an older version, and unreachable nodes; at most [`MAX_LAGGING`] are named.
    pub lacking: Vec<LaggingNode>,
    /// Number of all such nodes.
    pub lacking_count: u32,
    /// Activations of recent versions, oldest first.
    pub times: Vec<ActivationTime>,
}

/// Maximum number of lagging nodes that a status names.
pub const MAX_LAGGING: usize = 64;
/// Maximum number of activations in a report, and the number that is moved together from a stored
/// status to an object of their own; a stored status holds up to twice as many.
pub const KEPT_ACTIVATIONS: usize = 32;
/// Versions per block of older activations; one call to the store lists a whole block.
pub const TIMES_BLOCK: u64 = 10_000;
/// Prefix of the statuses of all zones.
pub const STATUS_PREFIX: &str = "status/";

/// Key of the head object.
pub fn head_key() -> ObjectKey {
    ObjectKey::new(HEAD_NAME)
}

/// Key of the status of `zone`.
pub fn status_key(zone: &ZoneName) -> ObjectKey {
    ObjectKey::new(format!("{STATUS_PREFIX}{zone}"))
}

/// Prefix of the older activations of `zone` in the block of [`TIMES_BLOCK`] versions that holds
/// `version`.
pub fn times_prefix(zone: &ZoneName, version: ListVersion) -> String {
    let digits = VERSION_DIGITS - 4;
    format!("status-times/{zone}/{:0digits$}", version.0 / TIMES_BLOCK)
}

/// Key of the object with older activations of `zone` that starts at `version`.
pub fn times_key(zone: &ZoneName, version: ListVersion) -> ObjectKey {
    ObjectKey::new(format!("status-times/{zone}/{:0VERSION_DIGITS$}", version.0))
}

/// Name of the record of an edit; `nonce` distinguishes concurrent edits.
pub fn edit_name(version: ListVersion, nonce: u64) -> String {
    format!("lists/history/{:0VERSION_DIGITS$}-{nonce:016x}", version.0)
}

/// Name of a part of a text; never reused.
pub fn part_name(version: ListVersion, nonce: u64, index: usize) -> String {
    format!("lists/part/{:0VERSION_DIGITS$}-{nonce:016x}-{index}", version.0)
}

/// Name of a part of a large record; never reused.
pub fn record_part_name(version: ListVersion, nonce: u64, index: usize) -> String {
    format!("lists/record-part/{:0VERSION_DIGITS$}-{nonce:016x}-{index}", version.0)
}

/// Prefix of the records in the block of a hundred versions that holds `version`.
pub fn history_prefix(version: ListVersion) -> String {
    let digits = VERSION_DIGITS - 2;
    format!("lists/history/{:0digits$}", version.0 / 100)
}

/// Encodes an object as JSON.
pub fn encode_object<T>(key: &ObjectKey, object: &T) -> Result<Bytes>
where
    T: Serialize,
{
    let body = serde_json::to_vec(object);
    let body = body.map_err(|error| bad_object(key, &error.to_string()))?;
    Ok(Bytes::from(body))
}

/// Decodes an object from JSON.
pub fn decode_object<T>(key: &ObjectKey, body: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| bad_object(key, &error.to_string()))
}

pub(super) fn bad_object(key: &ObjectKey, reason: &str) -> ListError {
    ListError::BadObject { key: key.clone(), reason: reason.to_owned() }
}

/// Splits `text` at line ends into parts of at most [`PART_BYTES`].
///
/// A longer line becomes a part of its own.
pub fn split_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if end > start && end + line.len() - start > PART_BYTES {
            parts.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        parts.push(&text[start..end]);
    }
    parts
}
