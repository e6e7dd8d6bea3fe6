//! Driver that runs shards of claims against the Object API.

mod store;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
};

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectStore;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

pub use self::store::KeeperError;
use self::store::ShardStore;
use crate::{
    claim::{CallTicket, ClaimCall, ClaimReply, ShardAction, ShardEvent, ShardTime},
    fingerprint::RequestFingerprint,
    key::{ClaimKey, ShardId},
    segment::RecordKind,
    shard::{ClaimShard, ShardLimits},
};

/// Calls that wait for a shard's task.
const CHANNEL_CALLS: usize = 1_024;

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
