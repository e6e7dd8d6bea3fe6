//! Driver that runs shards of claims against the Object API.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
};

use base::prelude::*;
use bytes::Bytes;
use platform::{ObjectKey, ObjectStore, StoreError, WriteCondition};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    claim::{
        CallTicket, ClaimCall, ClaimReply, ReadOutcome, SegmentNumber, ShardAction, ShardEvent,
        ShardImage, ShardTime, StoredBase, StoredSegment, WriteOutcome,
    },
    fingerprint::RequestFingerprint,
    key::{ClaimKey, ShardId},
    segment::{ClaimSegment, RecordKind, SegmentError, ShardBase},
    shard::{ClaimShard, ShardLimits},
};

/// Time after which a call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls that wait for a shard's task.
const CHANNEL_CALLS: usize = 1_024;

/// A shard could not be read.
#[derive(Debug, Snafu)]
pub enum KeeperError {
    /// The store failed.
    #[snafu(display("the store failed"), context(false))]
    Store {
        /// Its error.
        source: StoreError,
    },
    /// The store did not answer in time.
    #[snafu(display("the store did not answer in time"))]
    StoreTimeout {
        /// The elapsed timer.
        source: time::error::Elapsed,
    },
    /// An object's body is malformed.
    #[snafu(display("{key} is malformed"))]
    MalformedObject {
        /// Name of the object.
        key: ObjectKey,
        /// What is wrong.
        source: SegmentError,
    },
    /// An object's name holds no segment number.
    #[snafu(display("{key} has no segment number"))]
    MalformedName {
        /// Name of the object.
        key: ObjectKey,
    },
}

/// Result of reading a shard.
pub type Result<T, E = KeeperError> = std::result::Result<T, E>;

/// A request's wish to claim or release its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimAsk {
    /// The key.
    pub key: ClaimKey,
    /// The request.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

enum ShardOrder {
    Call { kind: RecordKind, ask: ClaimAsk, reply: oneshot::Sender<ClaimReply> },
    Answered { key: ClaimKey, fingerprint: RequestFingerprint, answer: Bytes },
}

/// The shards that this entry process owns.
///
/// A shard is read from the store at its first call. Owning one that another process owns too is
/// safe, but slow for both.
#[derive(Debug)]
pub struct ClaimKeeper<S> {
    store: Arc<S>,
    prefix: String,
    writer: ProcessIncarnation,
    limits: ShardLimits,
    shards: Mutex<BTreeMap<ShardId, mpsc::Sender<ShardOrder>>>,
}

impl<S: ObjectStore + 'static> ClaimKeeper<S> {
    /// A keeper of the claims of `region`.
    pub fn new(
        store: Arc<S>,
        region: &RegionName,
        writer: ProcessIncarnation,
        limits: ShardLimits,
    ) -> Self {
        let prefix = format!("claims/{region}");
        Self { store, prefix, writer, limits, shards: Mutex::default() }
    }

    /// Claims a key; returns once the claim is durable, refused, or past its deadline.
    pub async fn claim(&self, ask: ClaimAsk) -> ClaimReply {
        let lost = ClaimReply::Refused(ResultCode::ClaimUncertain);
        self.call(RecordKind::Claim, ask).await.unwrap_or(lost)
    }

    /// Releases a key; returns once the release is durable or past its deadline.
    pub async fn release(&self, ask: ClaimAsk) -> ClaimReply {
        self.call(RecordKind::Release, ask).await.unwrap_or(ClaimReply::Unconfirmed)
    }

    /// Keeps the answer given to the request that holds `key`, for callers that ask again.
    pub async fn answered(&self, key: ClaimKey, fingerprint: RequestFingerprint, answer: Bytes) {
        let order = ShardOrder::Answered { key, fingerprint, answer };
        // A shard that has stopped keeps no answers.
        let _ = self.shard(key.digest.shard()).send(order).await;
    }

    /// Stops the shards that `owned` does not hold.
    pub fn keep_only(&self, owned: impl Fn(ShardId) -> bool) {
        self.shards.lock().expect("no holder panics").retain(|shard, _| owned(*shard));
    }

    async fn call(&self, kind: RecordKind, ask: ClaimAsk) -> Option<ClaimReply> {
        let (reply, answer) = oneshot::channel();
        let order = ShardOrder::Call { kind, ask, reply };
        self.shard(ask.key.digest.shard()).send(order).await.ok()?;
        answer.await.ok()
    }

    fn shard(&self, id: ShardId) -> mpsc::Sender<ShardOrder> {
        let mut shards = self.shards.lock().expect("no holder panics");
        shards.entry(id).or_insert_with(|| self.spawn(id)).clone()
    }

    fn spawn(&self, id: ShardId) -> mpsc::Sender<ShardOrder> {
        let (sender, orders) = mpsc::channel(CHANNEL_CALLS);
        let store =
            ShardStore { store: self.store.clone(), prefix: format!("{}/{id}", self.prefix) };
        let shard = ClaimShard::new(self.writer, self.limits, Instant::now());
        tokio::spawn(ShardTask::new(store, shard).run(orders));
        sender
    }
}

struct ShardTask<S> {
    store: ShardStore<S>,
    shard: ClaimShard,
    waiters: HashMap<CallTicket, oneshot::Sender<ClaimReply>>,
    last_ticket: CallTicket,
    done: mpsc::UnboundedSender<ShardEvent>,
    results: mpsc::UnboundedReceiver<ShardEvent>,
}

impl<S: ObjectStore + 'static> ShardTask<S> {
    fn new(store: ShardStore<S>, shard: ClaimShard) -> Self {
        let (done, results) = mpsc::unbounded_channel();
        let (waiters, last_ticket) = (HashMap::new(), CallTicket(0));
        Self { store, shard, waiters, last_ticket, done, results }
    }

    async fn run(mut self, mut orders: mpsc::Receiver<ShardOrder>) {
        loop {
            let wake_at = self.shard.wake_at();
            let event = tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.accept(order),
                    None => return,
                },
                Some(result) = self.results.recv() => result,
                () = time::sleep_until(wake_at) => ShardEvent::Tick,
            };
            for action in self.shard.handle(event, ShardTime::present()) {
                self.perform(action);
            }
        }
    }

    fn accept(&mut self, order: ShardOrder) -> ShardEvent {
        match order {
            ShardOrder::Answered { key, fingerprint, answer } => {
                ShardEvent::Answered { key, fingerprint, answer }
            }
            ShardOrder::Call { kind, ask, reply } => {
                self.last_ticket.0 += 1;
                let ticket = self.last_ticket;
                self.waiters.insert(ticket, reply);
                let ClaimAsk { key, request, fingerprint, deadline } = ask;
                ShardEvent::Call(ClaimCall { ticket, kind, key, request, fingerprint, deadline })
            }
        }
    }

    fn perform(&mut self, action: ShardAction) {
        if let ShardAction::Reply { ticket, reply } = action {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A caller that is gone needs no reply.
                let _ = waiter.send(reply);
            }
            return;
        }
        let (store, done) = (self.store.clone(), self.done.clone());
        tokio::spawn(async move {
            if let Some(event) = store.perform(action).await {
                // A task that has stopped needs no result.
                let _ = done.send(event);
            }
        });
    }
}

/// The objects of one shard.
struct ShardStore<S> {
    store: Arc<S>,
    prefix: String,
}

impl<S> Clone for ShardStore<S> {
    fn clone(&self) -> Self {
        Self { store: self.store.clone(), prefix: self.prefix.clone() }
    }
}

impl<S: ObjectStore> ShardStore<S> {
    async fn perform(&self, action: ShardAction) -> Option<ShardEvent> {
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
                // Whoever owns the shard next deletes what stays.
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

    async fn recover(&self) -> Option<ShardImage> {
        match self.read_all().await {
            Ok(image) => {
                log::info!("claims: read {} segments of {}", image.segments.len(), self.prefix);
                Some(image)
            }
            Err(error) => {
                log::warn!("claims: {} cannot be read: {error}", self.prefix);
                None
            }
        }
    }

    async fn read_all(&self) -> Result<ShardImage> {
        let prefix = self.segment_prefix();
        let listed = time::timeout(STORE_TIMEOUT, self.store.list(&prefix)).await;
        let mut segments = Vec::new();
        for object in listed.context(StoreTimeoutSnafu)?? {
            let key = object.key;
            let name = key.as_str().strip_prefix(&prefix).and_then(|name| name.parse().ok());
            let number = SegmentNumber(name.context(MalformedNameSnafu { key: key.clone() })?);
            let segment = ClaimSegment::decode(object.body);
            let segment = segment.context(MalformedObjectSnafu { key })?;
            segments.push(StoredSegment { number, version: object.version, segment });
        }
        segments.sort_by_key(|stored| stored.number);
        let base = self.read_base().await?;
        Ok(ShardImage { segments, base })
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
                log::error!("claims: {key} is malformed: {error}");
                ReadOutcome::Failed
            }
        }
    }

    async fn write(&self, key: &ObjectKey, body: Bytes, condition: WriteCondition) -> WriteOutcome {
        match time::timeout(STORE_TIMEOUT, self.store.put(key, body, condition)).await {
            Ok(Ok(version)) => WriteOutcome::Written(version),
            Ok(Err(StoreError::ConditionFailed)) => WriteOutcome::ConditionFailed,
            Ok(Err(StoreError::BudgetSpent)) => WriteOutcome::Deferred,
            Ok(Err(error)) if error.is_uncertain() => WriteOutcome::Uncertain,
            Ok(Err(_)) => WriteOutcome::NotWritten,
            Err(_) => WriteOutcome::Uncertain,
        }
    }
}
