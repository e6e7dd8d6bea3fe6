//! JSON messages of the Object API's list and watch calls.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::object::{
    MAX_OBJECT_BYTES, ObjectChange, ObjectKey, ObjectVersion, Result, StoreError, StoredObject,
};

/// An object in a list, or a change (a written object or a deletion) in a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMessage {
    /// Name of the object.
    pub key: ObjectKey,
    /// Version of the object or of its deletion.
    pub version: ObjectVersion,
    /// Contents in Base64; absent for a deletion.
    pub body: Option<String>,
}

/// Answer to a list or watch call, with its entries unread.
#[derive(Debug, Deserialize)]
pub struct RawObjects<'a> {
    /// Encoded [`ObjectMessage`]s.
    #[serde(borrow)]
    pub objects: Vec<&'a RawValue>,
}

/// The name in an [`ObjectMessage`].
#[derive(Debug, Deserialize)]
pub struct ObjectName {
    /// Name of the object.
    pub key: ObjectKey,
}

/// Answer to a list or watch call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsMessage {
    /// Objects in the order of their names, or changes in the order of their versions.
    pub objects: Vec<ObjectMessage>,
}

impl From<StoredObject> for ObjectMessage {
    fn from(object: StoredObject) -> Self {
        let body = BASE64_STANDARD.encode(&object.body);
        Self { key: object.key, version: object.version, body: Some(body) }
    }
}

impl From<ObjectChange> for ObjectMessage {
    fn from(change: ObjectChange) -> Self {
        match change {
            ObjectChange::Written(object) => object.into(),
            ObjectChange::Deleted { key, version } => Self { key, version, body: None },
        }
    }
}

impl ObjectMessage {
    /// Converts the message to a change: a deletion if it has no body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid Base64 or longer than [`MAX_OBJECT_BYTES`].
    pub fn into_change(self) -> Result<ObjectChange> {
        let Some(text) = self.body else {
            return Ok(ObjectChange::Deleted { key: self.key, version: self.version });
        };
        let body = BASE64_STANDARD.decode(text).map_err(|_| StoreError::BadAnswer)?;
        if body.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::BadAnswer);
        }
        let object = StoredObject { key: self.key, version: self.version, body: Bytes::from(body) };
        Ok(ObjectChange::Written(object))
    }

    /// Converts the message to an object.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::into_change`], and if the message is a deletion.
    pub fn into_object(self) -> Result<StoredObject> {
        match self.into_change()? {
            ObjectChange::Written(object) => Ok(object),
            ObjectChange::Deleted { .. } => Err(StoreError::BadAnswer),
        }
    }
}
