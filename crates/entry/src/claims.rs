//! Claims idempotency keys at their owner, which is this process or another entry.

mod calls;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
};

use base::prelude::*;
use bytes::Bytes;
use object_api::{http::PlatformClient, rate_limit::RateLimitedStore};
use once::{
    ClaimExchange, ClaimKey, ClaimReply, ClaimRequest, ClaimService, ExchangeCall, KeyDigest,
    ObjectClaims, RecordKind, RequestFingerprint, ShardId, ShardLimits, shard_ranking,
};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use wire::{Message, PeerIdentity};

use self::calls::CallTable;
use crate::{
    fleet::FleetView,
    peers::{PeerHandle, PeerPool},
};

/// The platform's store as this process uses it.
pub type PlatformStore = RateLimitedStore<PlatformClient>;

/// Capacity of the queue of messages from peers about claims.
pub const MESSAGE_QUEUE: usize = 1024;

/// Timeout of a release; it may extend beyond the request's deadline.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is cached for callers that repeat a request.
const MAX_CACHED_ANSWER: ByteSize = ByteSize(64 << 10);
/// Time between checks of which shards this process owns.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Events from peers that concern claims.
#[derive(Debug)]
pub enum ClaimMessage {
    /// An encoded message, with the connection for the reply.
    Received(PeerHandle, Bytes),
    /// A connection has ended.
    Lost(PeerIdentity),
}

/// A request with an idempotency key.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    /// Customer, within which the key is unique.
    pub customer: CustomerId,
    /// Key as the caller sent it.
    pub key: IdempotencyKey,
    /// Id of the request, which holds the key once claimed.
    pub id: RequestId,
    /// Fingerprint of target and body, by which a repetition is recognized.
    pub fingerprint: RequestFingerprint,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request holds the key.
    Held,
    /// The same request was answered before; this is its encoded answer.
    Cached(Bytes),
    /// The request must not run.
    Refused(ResultCode),
}

/// Claims and releases keys at their owner, local or remote.
pub struct ClaimClient {
    me: VmId,
    region: RegionName,
    /// Entries that replied that they belong to another region. They are skipped as owners: they
    /// store claims under their own region, so a key could run once in each region.
    foreign: Mutex<HashSet<VmId>>,
    service: ClaimService<PlatformStore>,
    objects: ObjectClaims<PlatformStore>,
    calls: CallTable,
    peers: Arc<PeerPool>,
    fleet: watch::Receiver<Arc<FleetView>>,
}

impl ClaimClient {
    /// Creates the client of the process `me`; claims are stored under the name of `region`.
    pub fn new(
        me: &PeerIdentity,
        region: &RegionName,
        limits: ShardLimits,
        store: &Arc<PlatformStore>,
        peers: Arc<PeerPool>,
        fleet: watch::Receiver<Arc<FleetView>>,
    ) -> Self {
        let store = Arc::clone(store);
        let service = ClaimService::new(Arc::clone(&store), region, me.incarnation, limits);
        let (calls, objects) = (CallTable::default(), ObjectClaims::new(store));
        let (me, region, foreign) = (me.vm.clone(), region.clone(), Mutex::default());
        Self { me, region, foreign, service, objects, calls, peers, fleet }
    }

    /// Claims the key of a request. A refusal whose code means "not run" leaves the key free.
    pub async fn claim(&self, request: &KeyedRequest) -> ClaimOutcome {
        let reply = match ClaimKey::new(&request.customer, &request.key) {
            Ok(key) => self.claim_at_owner(claim_request(key, request)).await,
            Err(_) => self.objects.claim(digest(request), request.id).await,
        };
        match reply {
            ClaimReply::Granted => ClaimOutcome::Held,
            ClaimReply::Cached(answer) => ClaimOutcome::Cached(answer),
            ClaimReply::Refused(code) => ClaimOutcome::Refused(code),
            ClaimReply::Released | ClaimReply::Unconfirmed => {
                ClaimOutcome::Refused(ResultCode::ClaimUncertain)
            }
        }
    }

    /// Releases the key of a request that did not run; `true` if the key can be used again.
    pub async fn release(&self, request: &KeyedRequest) -> bool {
        let reply = match ClaimKey::new(&request.customer, &request.key) {
            Ok(key) => self.release_at_owner(claim_request(key, request)).await,
            Err(_) => self.objects.release(digest(request), request.id).await,
        };
        reply == ClaimReply::Released
    }

    /// Caches the answer of a request that holds its key, unless it is too large.
    pub async fn cache_answer(&self, request: &KeyedRequest, answer: Bytes) {
        let Ok(key) = ClaimKey::new(&request.customer, &request.key) else { return };
        if answer.len() as u64 > MAX_CACHED_ANSWER.0 {
            return;
        }
        let fingerprint = request.fingerprint;
        let Some(owner) = self.ranking(key.digest.shard()).into_iter().next() else { return };
        if owner == self.me {
            return self.service.cache_answer(key, fingerprint, answer).await;
        }
        let message = ClaimExchange::Answered { key, fingerprint, answer };
        if let Some(handle) = self.link(&owner).await {
            handle.sender.offer(Message::ClaimExchange(message.encode()));
        }
    }

    async fn claim_at_owner(&self, request: ClaimRequest) -> ClaimReply {
        let (reply, may_have_acted) = self.call_owner(RecordKind::Claim, request).await;
        let reply = reply.unwrap_or(ClaimReply::Refused(ResultCode::OwnerUnreachable));
        let ClaimReply::Refused(code) = reply else { return reply };
        let is_uncertain = code == ResultCode::ClaimUncertain
            || may_have_acted && code.run_state() == RunState::NotRun;
        if !is_uncertain {
            return ClaimReply::Refused(code);
        }
        match self.release_at_owner(request).await {
            ClaimReply::Released => ClaimReply::Refused(ResultCode::StoreUnavailable),
            _ => ClaimReply::Refused(ResultCode::ClaimUncertain),
        }
    }

    async fn release_at_owner(&self, request: ClaimRequest) -> ClaimReply {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let (reply, _) =
            self.call_owner(RecordKind::Release, ClaimRequest { deadline, ..request }).await;
        reply.unwrap_or(ClaimReply::Unconfirmed)
    }

    /// Calls the owners in ranking order until one replies. The flag is true if an owner that did
    /// not reply may have executed the call.
    async fn call_owner(
        &self,
        kind: RecordKind,
        request: ClaimRequest,
    ) -> (Option<ClaimReply>, bool) {
        let mut may_have_acted = false;
        for owner in self.ranking(request.key.digest.shard()) {
            if owner == self.me {
                let reply = match kind {
                    RecordKind::Claim => self.service.claim(request).await,
                    RecordKind::Release => self.service.release(request).await,
                };
                return (Some(reply), may_have_acted);
            }
            let Some(handle) = self.link(&owner).await else { continue };
            let (serial, replied) = self.calls.register(&handle.peer);
            let call = ExchangeCall {
                serial,
                kind,
                key: request.key,
                request: request.request,
                fingerprint: request.fingerprint,
                budget: request.deadline.saturating_duration_since(Instant::now()),
                region: self.region.clone(),
            };
            let message = Message::ClaimExchange(ClaimExchange::Call(call).encode());
            if handle.sender.send(message).await.is_err() {
                continue;
            }
            match time::timeout_at(request.deadline, replied).await {
                Ok(Ok(ClaimReply::Refused(ResultCode::RegionUnreachable))) => {
                    self.foreign
                        .lock()
                        .expect("no thread panics while holding the lock")
                        .insert(owner);
                }
                Ok(Ok(reply)) => return (Some(reply), may_have_acted),
                Ok(Err(_)) => may_have_acted = true,
                Err(_) => return (Some(ClaimReply::Refused(ResultCode::ClaimUncertain)), true),
            }
        }
        (None, may_have_acted)
    }

    fn ranking(&self, shard: ShardId) -> Vec<VmId> {
        let entries = self.fleet.borrow().entries();
        let foreign = self.foreign.lock().expect("no thread panics while holding the lock");
        let ranking = shard_ranking(shard, &entries).into_iter();
        ranking.filter(|entry| !foreign.contains(*entry)).cloned().collect()
    }

    async fn link(&self, owner: &VmId) -> Option<PeerHandle> {
        let address = self.fleet.borrow().address(owner)?;
        self.peers.link(address).await.ok()
    }

    async fn handle_message(self: Arc<Self>, handle: PeerHandle, bytes: Bytes) {
        match ClaimExchange::decode(bytes) {
            Ok(ClaimExchange::Call(call)) => {
                let serial = call.serial;
                let reply = self.serve(call).await;
                let message = ClaimExchange::Reply { serial, reply };
                handle.sender.offer(Message::ClaimExchange(message.encode()));
            }
            Ok(ClaimExchange::Reply { serial, reply }) => self.calls.deliver_reply(serial, reply),
            Ok(ClaimExchange::Answered { key, fingerprint, answer }) => {
                self.service.cache_answer(key, fingerprint, answer).await;
            }
            Err(error) => {
                log::warn!("claims: dropped a malformed message from {}: {error}", handle.peer.vm)
            }
        }
    }

    async fn serve(&self, call: ExchangeCall) -> ClaimReply {
        if call.region != self.region {
            return ClaimReply::Refused(ResultCode::RegionUnreachable);
        }
        let request = ClaimRequest {
            key: call.key,
            request: call.request,
            fingerprint: call.fingerprint,
            deadline: Instant::now() + call.budget.min(MAX_REMOTE_BUDGET),
        };
        match call.kind {
            RecordKind::Claim => self.service.claim(request).await,
            RecordKind::Release => self.service.release(request).await,
        }
    }

    /// Whether this process ranks first among the owners of `shard`.
    fn owns(&self, shard: ShardId) -> bool {
        self.ranking(shard).first() == Some(&self.me)
    }
}

/// Longest time that a call from another entry may take here.
const MAX_REMOTE_BUDGET: Duration = Duration::from_secs(600);

/// Handles messages from peers until all senders are dropped.
pub async fn receive(client: Arc<ClaimClient>, mut messages: mpsc::Receiver<ClaimMessage>) {
    while let Some(message) = messages.recv().await {
        match message {
            ClaimMessage::Received(handle, bytes) => {
                tokio::spawn(Arc::clone(&client).handle_message(handle, bytes));
            }
            ClaimMessage::Lost(peer) => client.calls.handle_peer_loss(&peer),
        }
    }
}

/// Drops the shards that other entries own, at regular intervals until the process ends. Also sets
/// whether this process deletes quarantine records that are no longer needed: only the owner of
/// shard 0 does.
pub async fn follow_ownership(client: Arc<ClaimClient>, set_is_cleaner: impl Fn(bool)) {
    loop {
        time::sleep(OWNERSHIP_CHECK_INTERVAL).await;
        client.service.retain_shards(|shard| client.owns(shard));
        set_is_cleaner(client.owns(ShardId(0)));
    }
}

fn claim_request(key: ClaimKey, request: &KeyedRequest) -> ClaimRequest {
    ClaimRequest {
        key,
        request: request.id,
        fingerprint: request.fingerprint,
        deadline: request.deadline,
    }
}

fn digest(request: &KeyedRequest) -> KeyDigest {
    KeyDigest::of_key(&request.customer, &request.key)
}
