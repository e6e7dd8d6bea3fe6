//! Runs claim shards against the Object API, each in its own task.

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

pub use self::store::ShardReadError;
use self::store::ShardStore;
use crate::{
    claim::{CallTicket, ClaimCall, ClaimReply, ShardAction, ShardEvent, ShardTime},
    fingerprint::RequestFingerprint,
    key::{ClaimKey, ShardId},
    segment::RecordKind,
    shard::{ClaimShard, ShardLimits},
};

/// Most commands queued for a shard's task; further senders wait.
const CHANNEL_CAPACITY: usize = 1_024;

/// A request to claim or release a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key to claim or release.
    pub key: ClaimKey,
    /// Request that claims or releases.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

enum ShardCommand {
    Call { kind: RecordKind, request: ClaimRequest, reply: oneshot::Sender<ClaimReply> },
    Answered { key: ClaimKey, fingerprint: RequestFingerprint, answer: Bytes },
}

/// The claim shards that this entry process owns.
///
/// A shard is read from the store at its first call. It is safe for two processes to own the same
/// shard, but write conflicts slow both down.
#[derive(Debug)]
pub struct ClaimService<S> {
    store: Arc<S>,
    prefix: String,
    writer: ProcessIncarnation,
    limits: ShardLimits,
    shards: Mutex<BTreeMap<ShardId, mpsc::Sender<ShardCommand>>>,
}

impl<S: ObjectStore + 'static> ClaimService<S> {
    /// Creates a service for the claims of `region`; `writer` identifies its segments.
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
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let lost = ClaimReply::Refused(ResultCode::ClaimUncertain);
        self.call(RecordKind::Claim, request).await.unwrap_or(lost)
    }

    /// Releases a key; returns once the release is durable or past its deadline.
    pub async fn release(&self, request: ClaimRequest) -> ClaimReply {
        self.call(RecordKind::Release, request).await.unwrap_or(ClaimReply::Unconfirmed)
    }

    /// Caches the answer given to the request that holds `key`, for retries.
    pub async fn cache_answer(
        &self,
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        answer: Bytes,
    ) {
        let command = ShardCommand::Answered { key, fingerprint, answer };
        // A stopped shard task caches no answers.
        let _ = self.shard(key.digest.shard()).send(command).await;
    }

    /// Stops the shards for which `owned` returns false.
    pub fn retain_shards(&self, owned: impl Fn(ShardId) -> bool) {
        self.shards
            .lock()
            .expect("no thread panics while holding the lock")
            .retain(|shard, _| owned(*shard));
    }

    async fn call(&self, kind: RecordKind, request: ClaimRequest) -> Option<ClaimReply> {
        let (reply, answer) = oneshot::channel();
        let command = ShardCommand::Call { kind, request, reply };
        self.shard(request.key.digest.shard()).send(command).await.ok()?;
        answer.await.ok()
    }

    fn shard(&self, id: ShardId) -> mpsc::Sender<ShardCommand> {
        let mut shards = self.shards.lock().expect("no thread panics while holding the lock");
        shards.entry(id).or_insert_with(|| self.spawn(id)).clone()
    }

    fn spawn(&self, id: ShardId) -> mpsc::Sender<ShardCommand> {
        let (sender, commands) = mpsc::channel(CHANNEL_CAPACITY);
        let store =
            ShardStore { store: self.store.clone(), prefix: format!("{}/{id}", self.prefix) };
        let shard = ClaimShard::new(self.writer, self.limits, Instant::now());
        tokio::spawn(ShardTask::new(store, shard).run(commands));
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

    async fn run(mut self, mut commands: mpsc::Receiver<ShardCommand>) {
        loop {
            let wake_at = self.shard.wake_at();
            let event = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.accept(command),
                    None => return,
                },
                Some(result) = self.results.recv() => result,
                () = time::sleep_until(wake_at) => ShardEvent::Tick,
            };
            for action in self.shard.handle(event, ShardTime::current()) {
                self.perform(action);
            }
        }
    }

    fn accept(&mut self, command: ShardCommand) -> ShardEvent {
        match command {
            ShardCommand::Answered { key, fingerprint, answer } => {
                ShardEvent::Answered { key, fingerprint, answer }
            }
            ShardCommand::Call { kind, request, reply } => {
                self.last_ticket.0 += 1;
                let ticket = self.last_ticket;
                self.waiters.insert(ticket, reply);
                let ClaimRequest { key, request, fingerprint, deadline } = request;
                ShardEvent::Call(ClaimCall { ticket, kind, key, request, fingerprint, deadline })
            }
        }
    }

    fn perform(&mut self, action: ShardAction) {
        if let ShardAction::Reply { ticket, reply } = action {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The send fails only if the caller stopped waiting.
                let _ = waiter.send(reply);
            }
            return;
        }
        let (store, done) = (self.store.clone(), self.done.clone());
        tokio::spawn(async move {
            if let Some(event) = store.perform(action).await {
                // The send fails only if the shard task has stopped.
                let _ = done.send(event);
            }
        });
    }
}
