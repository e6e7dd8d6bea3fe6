//! Claims of idempotency keys: one object for each key, created only if absent.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use platform::{ObjectKey, ObjectStore, ObjectVersion, StoreError, WriteCondition};

/// A claim that this process holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    key: ObjectKey,
    version: ObjectVersion,
}

/// Result of claiming.
pub type Result<T, E = ResultCode> = std::result::Result<T, E>;

/// Claims keys in the Object API.
#[derive(Clone)]
pub struct ClaimKeeper {
    store: Arc<dyn ObjectStore>,
}

impl ClaimKeeper {
    /// A keeper of claims in `store`.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Claims `key` of `customer` for request `id`.
    ///
    /// # Errors
    ///
    /// Fails if the key was claimed before or the store does not tell.
    pub async fn claim(
        &self,
        customer: &CustomerId,
        key: &IdempotencyKey,
        id: RequestId,
    ) -> Result<HeldClaim> {
        let name = KeyHash::of_key(&format!("{customer}\n{key}"));
        let key = ObjectKey::new(format!("claims/keys/{name}"));
        let body = Bytes::from(id.to_string());
        match self.store.put(&key, body.clone(), WriteCondition::Absent).await {
            Ok(version) => Ok(HeldClaim { key, version }),
            Err(StoreError::ConditionFailed) => Err(ResultCode::DuplicateKey),
            Err(error) if error.is_uncertain() => self.read_back(key, &body).await,
            Err(_) => Err(ResultCode::StoreUnavailable),
        }
    }

    async fn read_back(&self, key: ObjectKey, body: &Bytes) -> Result<HeldClaim> {
        match self.store.get(&key).await {
            Ok(Some(object)) if object.body == *body => {
                Ok(HeldClaim { key, version: object.version })
            }
            Ok(Some(_)) => Err(ResultCode::DuplicateKey),
            Ok(None) | Err(_) => Err(ResultCode::ClaimUncertain),
        }
    }

    /// Releases a claim; `true` once the key may be used again.
    pub async fn release(&self, claim: &HeldClaim) -> bool {
        self.store.delete(&claim.key, claim.version).await.is_ok()
    }
}
