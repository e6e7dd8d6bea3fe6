//! Contents and names of the objects that hold the lists.

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectKey;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    image::{ImageDigest, ListDelta},
    store::{ListError, Result},
};

/// Name of the head.
pub const HEAD_NAME: &str = "lists/head";
/// Largest part, in bytes; well below what the platform accepts, so that a small edit of large
/// lists writes little.
pub const PART_BYTES: usize = 192 << 10;
/// Largest record that is stored in one object, in bytes.
pub const INLINE_RECORD_BYTES: usize = 512 << 10;
/// Digits of a version in the name of a record; records of one prefix can be listed together.
const VERSION_DIGITS: usize = 12;

/// Both lists as their operators wrote them, with comments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListTexts {
    /// The list of plans.
    pub plans: String,
    /// The list of rights.
    pub rights: String,
}

/// One part of a text, with the name of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextPart {
    /// Name of the object.
    pub name: String,
    /// Its contents.
    pub text: String,
}

/// The version in force and where its parts are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadObject {
    /// Version in force.
    pub version: ListVersion,
    /// Checksum of its image.
    pub digest: ImageDigest,
    /// Names of the parts of the list of plans, in order.
    pub plans: Vec<String>,
    /// Names of the parts of the list of rights, in order.
    pub rights: Vec<String>,
    /// Name of the record of the edit that led here.
    pub edit: String,
}

/// Who changed what and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Version to which the edit led.
    pub version: ListVersion,
    /// Random number that tells racing edits apart.
    pub nonce: u64,
    /// Checksum of that version's image.
    pub digest: ImageDigest,
    /// Name of the record of the edit before; empty for the first.
    pub previous: String,
    /// Who made the edit.
    pub operator: OperatorName,
    /// Why, in the operator's words.
    pub note: String,
    /// When the edit was sent, in milliseconds since the Unix epoch by the operator's machine.
    pub sent_millis: u64,
    /// The sections it changed.
    pub delta: ListDelta,
    /// Former texts of the sections it changed, for the account.
    pub former: ListDelta,
}

/// How a record is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredRecord {
    /// The record itself.
    Inline(Box<EditRecord>),
    /// Names of the objects that together hold the encoded record.
    Parts(Vec<String>),
}

/// A node that has not acknowledged the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// Name of the node.
    pub node: VmId,
    /// Last version it acknowledged; zero if none.
    pub has: ListVersion,
    /// Whether the VM list says that it leaves or has left.
    pub leaving: bool,
}

/// When a version had been acknowledged by every node of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationTime {
    /// The version.
    pub version: ListVersion,
    /// When it was, in milliseconds since the Unix epoch by the relay's machine.
    pub millis: u64,
}

/// What one relay knows about its zone; written to `status/<zone>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusObject {
    /// The zone.
    pub zone: ZoneName,
    /// The relay that wrote the object.
    pub relay: VmId,
    /// Version that every reachable node of the zone has acknowledged.
    pub in_force: ListVersion,
    /// Version that the relay has.
    pub newest: ListVersion,
    /// Nodes of the zone.
    pub nodes: u32,
    /// Nodes that lack the newest version; at most [`MAX_LAGGING`] are named.
    pub lacking: Vec<LaggingNode>,
    /// Number of nodes that lack the newest version.
    pub lacking_count: u32,
    /// When recent versions came into force, oldest first.
    pub times: Vec<ActivationTime>,
}

/// Lacking nodes that a status names.
pub const MAX_LAGGING: usize = 64;
/// Times that are moved to an object of their own at once; a status holds up to twice as many.
pub const KEPT_ACTIVATIONS: usize = 32;
/// Versions whose older times are read together.
pub const TIMES_BLOCK: u64 = 10_000;
/// Prefix of the statuses.
pub const STATUS_PREFIX: &str = "status/";

/// Key of the head.
pub fn head_key() -> ObjectKey {
    ObjectKey::new(HEAD_NAME)
}

/// Key of the status of `zone`.
pub fn status_key(zone: &ZoneName) -> ObjectKey {
    ObjectKey::new(format!("{STATUS_PREFIX}{zone}"))
}

/// Prefix of the older times of `zone` in the ten thousand versions around `version`.
pub fn times_prefix(zone: &ZoneName, version: ListVersion) -> String {
    let digits = VERSION_DIGITS - 4;
    format!("status-times/{zone}/{:0digits$}", version.0 / TIMES_BLOCK)
}

/// Key of older times of `zone`, the first of which is of `version`.
pub fn times_key(zone: &ZoneName, version: ListVersion) -> ObjectKey {
    ObjectKey::new(format!("status-times/{zone}/{:0VERSION_DIGITS$}", version.0))
}

/// Name of the record of an edit; `nonce` tells racing edits apart.
pub fn edit_name(version: ListVersion, nonce: u64) -> String {
    format!("lists/history/{:0VERSION_DIGITS$}-{nonce:016x}", version.0)
}

/// Name of a part; never used twice.
pub fn part_name(version: ListVersion, nonce: u64, index: usize) -> String {
    format!("lists/part/{:0VERSION_DIGITS$}-{nonce:016x}-{index}", version.0)
}

/// Name of a part of a large record; never used twice.
pub fn record_part_name(version: ListVersion, nonce: u64, index: usize) -> String {
    format!("lists/record-part/{:0VERSION_DIGITS$}-{nonce:016x}-{index}", version.0)
}

/// Prefix of the records of the hundred versions around `version`.
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

/// Cuts `text` into parts of at most [`PART_BYTES`] that end at the ends of lines.
///
/// A single longer line becomes a part of its own.
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
