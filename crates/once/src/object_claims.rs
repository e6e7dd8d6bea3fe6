//! Claims stored as one object per key, created only if it is absent.
//!
//! This is the simple implementation, against which [`crate::ClaimShard`] is tested and
//! benchmarked. It also serves keys without a creation time: their claims cannot expire safely and
//! stay until an operator deletes them.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectKey, ObjectStore, StoreError, StoredObject, WriteCondition};

use crate::{claim::ClaimReply, key::KeyDigest};

/// Claims that need one store write each.
#[derive(Debug)]
pub struct ObjectClaims<S> {
    store: Arc<S>,
}

impl<S: ObjectStore> ObjectClaims<S> {
    /// Creates claims that are stored in `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Claims the key for `request`; succeeds again for the request that holds it.
    pub async fn claim(&self, digest: KeyDigest, request: RequestId) -> ClaimReply {
        let body = Bytes::from(request.to_string());
        match self.store.put(&object_key(digest), body, WriteCondition::Absent).await {
            Ok(_) => ClaimReply::Granted,
            Err(StoreError::ConditionFailed) => self.holder_reply(digest, request).await,
            Err(error) if error.is_uncertain() => self.holder_reply(digest, request).await,
            Err(_) => ClaimReply::Refused(ResultCode::StoreUnavailable),
        }
    }

    /// Deletes the claim of the key if `request` holds it.
    pub async fn release(&self, digest: KeyDigest, request: RequestId) -> ClaimReply {
        let holder = match self.holder(digest).await {
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

    async fn holder_reply(&self, digest: KeyDigest, request: RequestId) -> ClaimReply {
        match self.holder(digest).await {
            Ok(Some(object)) if is_held_by(&object, request) => ClaimReply::Granted,
            Ok(Some(_)) => ClaimReply::Refused(ResultCode::DuplicateKey),
            Ok(None) | Err(_) => ClaimReply::Refused(ResultCode::ClaimUncertain),
        }
    }

    async fn holder(&self, digest: KeyDigest) -> Result<Option<StoredObject>, StoreError> {
        self.store.get(&object_key(digest)).await
    }
}

fn object_key(digest: KeyDigest) -> ObjectKey {
    ObjectKey::new(format!("claims/keys/{digest}"))
}

fn is_held_by(object: &StoredObject, request: RequestId) -> bool {
    object.body == request.to_string().as_bytes()
}
