//! The Object API as this system uses it: versioned objects, conditional writes and watches.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Largest object body that the platform accepts, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Slash-separated name of an object, such as `placement/llama-7b`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Creates a key; the name is not checked.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// The name, unescaped.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version of an object, taken from a counter of the store that rises with every write and
/// deletion.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An object together with the version that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Name of the object.
    pub key: ObjectKey,
    /// Version of the last write to the object.
    pub version: ObjectVersion,
    /// Contents, at most [`MAX_OBJECT_BYTES`] long.
    pub body: Bytes,
}

/// Objects of a list call, in which single ones may be unreadable.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectList {
    /// Objects that could be read, in the order of their names.
    pub objects: Vec<StoredObject>,
    /// Names of objects that are listed but could not be read.
    pub unreadable: Vec<ObjectKey>,
    /// Number of listed objects without a name that fits the call; any name may be theirs.
    pub unnamed: usize,
}

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectChange {
    /// The object was created or replaced.
    Written(StoredObject),
    /// The object was deleted at this version.
    Deleted {
        /// Name of the object.
        key: ObjectKey,
        /// Version of the deletion.
        version: ObjectVersion,
    },
}

impl ObjectChange {
    /// Version at which the change took effect.
    pub fn version(&self) -> ObjectVersion {
        match self {
            ObjectChange::Written(object) => object.version,
            ObjectChange::Deleted { version, .. } => *version,
        }
    }
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ObjectVersion),
}

/// Why a call to the platform failed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The [`WriteCondition`] of a write did not hold; nothing was written.
    #[snafu(display("the condition of the write did not hold; nothing was written"))]
    ConditionFailed,
    /// The call was refused or never sent; nothing was written.
    #[snafu(display("the store is unavailable"))]
    Unavailable,
    /// No answer of the store arrived, or a write got a server error that may come from a proxy; a
    /// write may have taken effect.
    #[snafu(display("no answer from the store; a write may have taken effect"))]
    AnswerLost,
    /// The body is larger than [`MAX_OBJECT_BYTES`]; nothing was written.
    #[snafu(display("the object is larger than the store accepts; nothing was written"))]
    BodyTooLarge,
    /// The rate limit of this process is reached; nothing was sent.
    #[snafu(display("the local rate limit of store calls is reached; nothing was sent"))]
    RateLimited,
    /// The answer is malformed or too large, or has an unexpected status; a write may have taken
    /// effect.
    #[snafu(display(
        "the store's answer is malformed, too large or of an unexpected status; a write may have \
         taken effect"
    ))]
    BadAnswer,
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, StoreError::AnswerLost | StoreError::BadAnswer)
    }
}

/// Result of a call to the platform.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Client side of the Object API.
///
/// Every method fails with a [`StoreError`]; [`StoreError::is_uncertain`] says whether a failed
/// write may have taken effect.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>>;

    /// Writes one object if `condition` holds and returns its new version.
    async fn put(
        &self,
        key: &ObjectKey,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion>;

    /// Deletes one object if it has `version`; otherwise, or if it does not exist, fails with
    /// [`StoreError::ConditionFailed`].
    async fn delete(&self, key: &ObjectKey, version: ObjectVersion) -> Result<()>;

    /// Lists all objects whose names start with `prefix`, also those that cannot be read.
    async fn list_all(&self, prefix: &str) -> Result<ObjectList>;

    /// Reads the objects whose names start with `prefix`, in the order of their names; leaves out
    /// those that cannot be read. Where a missed object does harm, use [`Self::list_all`].
    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>> {
        Ok(self.list_all(prefix).await?.objects)
    }

    /// Returns the changes after `since` to objects whose names start with `prefix`. Waits up to
    /// `wait` for the first one; empty if none came. Changes that cannot be read are left out; with
    /// no others, the call fails with [`StoreError::BadAnswer`].
    async fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> Result<Vec<ObjectChange>>;
}
