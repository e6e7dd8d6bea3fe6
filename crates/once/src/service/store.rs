//! Reads and writes the objects of one claim shard through the Object API.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use object_api::{ObjectKey, ObjectStore, StoreError, WriteCondition};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use crate::{
    claim::{
        ReadOutcome, SegmentNumber, ShardAction, ShardEvent, ShardSnapshot, StoredBase,
        StoredSegment, WriteOutcome,
    },
    segment::{ClaimSegment, SegmentError, ShardBase},
};

/// Time after which a store call is given up; a write then counts as uncertain.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The objects of a shard could not be read.
#[derive(Debug, Snafu)]
pub enum ShardReadError {
    /// The store returned an error.
    #[snafu(display("the store returned an error: {source}"), context(false))]
    Store {
        /// Error of the store call.
        source: StoreError,
    },
    /// The store did not answer in time.
    #[snafu(display("the store did not answer within {STORE_TIMEOUT:?}"))]
    StoreTimeout {
        /// Error of the timer.
        source: time::error::Elapsed,
    },
    /// An object's body is malformed.
    #[snafu(display("{key} is malformed: {source}"))]
    MalformedObject {
        /// Name of the object.
        key: ObjectKey,
        /// Error of the decoder.
        source: SegmentError,
    },
    /// A live segment is listed, but the store's answer does not contain it in readable form.
    #[snafu(display("the listed segment {key} cannot be read"))]
    UnreadableObject {
        /// Name of the object.
        key: ObjectKey,
    },
    /// An object is listed without its name; it may be a segment.
    #[snafu(display("an object without a name is listed under {prefix}"))]
    UnnamedObject {
        /// Prefix of the list.
        prefix: String,
    },
}

/// Result of reading a shard.
pub type Result<T, E = ShardReadError> = std::result::Result<T, E>;

/// The objects of one shard, all of whose names start with `prefix`.
pub(super) struct ShardStore<S> {
    pub(super) store: Arc<S>,
    pub(super) prefix: String,
}

impl<S> Clone for ShardStore<S> {
    fn clone(&self) -> Self {
        Self { store: self.store.clone(), prefix: self.prefix.clone() }
    }
}

impl<S: ObjectStore> ShardStore<S> {
    /// Performs a store action; returns its result as an event if the shard waits for it.
    pub(super) async fn perform(&self, action: ShardAction) -> Option<ShardEvent> {
        match action {
            ShardAction::Recover => Some(ShardEvent::Recovered(self.recover().await)),
            ShardAction::WriteSegment { number, body } => {
                let key = self.segment_key(number);
                let outcome = self.write(&key, body, WriteCondition::Absent).await;
                Some(ShardEvent::SegmentWritten(outcome))
            }
            ShardAction::ReadSegment { number } => {
                Some(ShardEvent::SegmentRead(self.read_segment(number).await))
            }
            ShardAction::ReadBase => Some(ShardEvent::BaseRead(self.read_base().await.ok())),
            ShardAction::WriteBase { base, condition } => {
                let outcome = self.write(&self.base_key(), base.encode(), condition).await;
                Some(ShardEvent::BaseWritten(outcome))
            }
            ShardAction::DeleteSegment { number, version } => {
                // A later owner of the shard deletes the segment if this call fails.
                let _ = self.store.delete(&self.segment_key(number), version).await;
                None
            }
            ShardAction::Reply { .. } => None,
        }
    }

    fn segment_prefix(&self) -> String {
        format!("{}/log/", self.prefix)
    }

    fn segment_key(&self, number: SegmentNumber) -> ObjectKey {
        ObjectKey::new(format!("{}{number}", self.segment_prefix()))
    }

    fn base_key(&self) -> ObjectKey {
        ObjectKey::new(format!("{}/base", self.prefix))
    }

    async fn recover(&self) -> Option<ShardSnapshot> {
        match self.read_all().await {
            Ok(snapshot) => {
                log::info!("claims: read {} segments of {}", snapshot.segments.len(), self.prefix);
                Some(snapshot)
            }
            Err(error) => {
                log::warn!(
                    "claims: cannot read {}, refusing its waiting calls and retrying: {error}",
                    self.prefix
                );
                None
            }
        }
    }

    /// Reads the shard. A segment that cannot be read fails it, because any key of the shard may
    /// be claimed in it; objects that are no segments, or obsolete, do not.
    async fn read_all(&self) -> Result<ShardSnapshot> {
        let prefix = self.segment_prefix();
        let listed = time::timeout(STORE_TIMEOUT, self.store.list_all(&prefix)).await;
        let listed = listed.context(StoreTimeoutSnafu)??;
        let base = self.read_base().await?;
        ensure!(listed.unnamed == 0, UnnamedObjectSnafu { prefix });
        for key in listed.unreadable {
            let number = self.segment_number(&key);
            let is_live = number.is_some_and(|number| number.0 >= base.base.first);
            ensure!(!is_live, UnreadableObjectSnafu { key });
            log::warn!("claims: ignoring {key}, which cannot be read and is no live segment");
        }
        let mut segments = Vec::new();
        for object in listed.objects {
            let key = object.key;
            let Some(number) = self.segment_number(&key) else {
                log::warn!("claims: ignoring {key}, whose name is none of a segment");
                continue;
            };
            ensure!(number < SegmentNumber::LAST, UnreadableObjectSnafu { key });
            let segment = match ClaimSegment::decode(object.body) {
                Ok(segment) => segment,
                Err(error) if number.0 < base.base.first => {
                    log::warn!("claims: ignoring the malformed obsolete segment {key}: {error}");
                    continue;
                }
                Err(source) => return Err(ShardReadError::MalformedObject { key, source }),
            };
            segments.push(StoredSegment { number, version: object.version, segment });
        }
        segments.sort_by_key(|stored| stored.number);
        Ok(ShardSnapshot { segments, base })
    }

    /// Number of the segment named `key`; `None` if this shard gives no segment that name.
    fn segment_number(&self, key: &ObjectKey) -> Option<SegmentNumber> {
        let digits = key.as_str().strip_prefix(&self.segment_prefix())?;
        let number = SegmentNumber(digits.parse().ok()?);
        (self.segment_key(number) == *key && number <= SegmentNumber::LAST).then_some(number)
    }

    async fn read_base(&self) -> Result<StoredBase> {
        let key = self.base_key();
        let object = time::timeout(STORE_TIMEOUT, self.store.get(&key)).await;
        let Some(object) = object.context(StoreTimeoutSnafu)?? else {
            return Ok(StoredBase::default());
        };
        let base = ShardBase::decode(object.body).context(MalformedObjectSnafu { key })?;
        Ok(StoredBase { version: Some(object.version), base })
    }

    async fn read_segment(&self, number: SegmentNumber) -> ReadOutcome {
        let key = self.segment_key(number);
        let object = match time::timeout(STORE_TIMEOUT, self.store.get(&key)).await {
            Ok(Ok(Some(object))) => object,
            Ok(Ok(None)) => return ReadOutcome::Absent,
            Ok(Err(_)) | Err(_) => return ReadOutcome::Failed,
        };
        match ClaimSegment::decode(object.body) {
            Ok(segment) => {
                let version = object.version;
                ReadOutcome::Found(StoredSegment { number, version, segment })
            }
            Err(error) => {
                log::error!("claims: {key} is malformed, reading it again: {error}");
                ReadOutcome::Failed
            }
        }
    }

    async fn write(&self, key: &ObjectKey, body: Bytes, condition: WriteCondition) -> WriteOutcome {
        match time::timeout(STORE_TIMEOUT, self.store.put(key, body, condition)).await {
            Ok(Ok(version)) => WriteOutcome::Written(version),
            Ok(Err(StoreError::ConditionFailed)) => WriteOutcome::ConditionFailed,
            Ok(Err(StoreError::RateLimited)) => WriteOutcome::Deferred,
            Ok(Err(error)) if error.is_uncertain() => WriteOutcome::Uncertain,
            Ok(Err(_)) => WriteOutcome::NotWritten,
            Err(_) => WriteOutcome::Uncertain,
        }
    }
}
