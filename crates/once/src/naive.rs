//! The naive way to keep claims: one object for each key, created only if it is absent.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use platform::{ObjectKey, ObjectStore, StoreError, StoredObject, WriteCondition};

use crate::{claim::ClaimReply, key::ClaimKey};

/// Claims that cost a write of the store each; the yardstick for [`crate::ClaimShard`].
#[derive(Debug)]
pub struct NaiveClaims<S> {
    store: Arc<S>,
}

impl<S: ObjectStore> NaiveClaims<S> {
    /// Claims kept in `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Claims `key` for `request`.
    pub async fn claim(&self, key: ClaimKey, request: RequestId) -> ClaimReply {
        let body = Bytes::from(request.to_string());
        match self.store.put(&object_key(key), body, WriteCondition::Absent).await {
            Ok(_) => ClaimReply::Granted,
            Err(StoreError::ConditionFailed) => self.holder_reply(key, request).await,
            Err(error) if error.is_uncertain() => self.holder_reply(key, request).await,
            Err(_) => ClaimReply::Refused(ResultCode::StoreUnavailable),
        }
    }

    /// Releases `key`, which `request` holds.
    pub async fn release(&self, key: ClaimKey, request: RequestId) -> ClaimReply {
        let holder = match self.holder(key).await {
            Ok(holder) => holder,
            Err(_) => return ClaimReply::Unconfirmed,
        };
        let Some(object) = holder.filter(|object| is_held_by(object, request)) else {
            return ClaimReply::Released;
        };
        match self.store.delete(&object.key, object.version).await {
            Ok(()) => ClaimReply::Released,
            Err(_) => ClaimReply::Unconfirmed,
        }
    }

    async fn holder_reply(&self, key: ClaimKey, request: RequestId) -> ClaimReply {
        match self.holder(key).await {
            Ok(Some(object)) if is_held_by(&object, request) => ClaimReply::Granted,
            Ok(Some(_)) => ClaimReply::Refused(ResultCode::DuplicateKey),
            Ok(None) | Err(_) => ClaimReply::Refused(ResultCode::ClaimUncertain),
        }
    }

    async fn holder(&self, key: ClaimKey) -> Result<Option<StoredObject>, StoreError> {
        self.store.get(&object_key(key)).await
    }
}

fn object_key(key: ClaimKey) -> ObjectKey {
    ObjectKey::new(format!("naive-claims/{}", key.digest))
}

fn is_held_by(object: &StoredObject, request: RequestId) -> bool {
    object.body == request.to_string().as_bytes()
}
