//! Claims of idempotency keys: calls to the owner of a key, here or at another entry.

mod calls;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
};

use base::prelude::*;
use bytes::Bytes;
use object_api::{budget::BudgetedStore, http::PlatformClient};
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
pub type PlatformStore = BudgetedStore<PlatformClient>;

/// Messages about claims that may wait.
pub const MESSAGE_QUEUE: usize = 1024;

/// Time that a release may take, also after its request's deadline.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer kept for callers that repeat a request.
const MAX_CACHED_ANSWER: ByteSize = ByteSize(64 << 10);
/// Time between looks at which shards this process owns.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// What peers send about claims.
#[derive(Debug)]
pub enum ClaimMessage {
    /// A message, with the connection to answer by.
    Received(PeerHandle, Bytes),
    /// A connection has ended.
    Lost(PeerIdentity),
}

/// A request that wants to hold a key.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    /// The customer.
    pub customer: CustomerId,
    /// The key as the caller showed it.
    pub key: IdempotencyKey,
    /// The request.
    pub id: RequestId,
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request holds the key.
    Held,
    /// The same request was answered before; this is its answer.
    Cached(Bytes),
    /// The request may not run.
    Refused(ResultCode),
}

/// Claims and releases keys wherever their owner is.
pub struct ClaimClient {
    me: VmId,
    region: RegionName,
    /// Entries that said that they are of another region.
    foreign: Mutex<HashSet<VmId>>,
    service: ClaimService<PlatformStore>,
    objects: ObjectClaims<PlatformStore>,
    calls: CallTable,
    peers: Arc<PeerPool>,
    fleet: watch::Receiver<Arc<FleetView>>,
}

impl ClaimClient {
    /// A desk of the process `me`, whose claims are kept under the name of `region`.
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

    /// Claims the key of a request; a refusal as not run leaves the key free.
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

    /// Releases the key of a request that did not run; `true` once the key may be used again.
    pub async fn release(&self, request: &KeyedRequest) -> bool {
        let reply = match ClaimKey::new(&request.customer, &request.key) {
            Ok(key) => self.release_at_owner(claim_request(key, request)).await,
            Err(_) => self.objects.release(digest(request), request.id).await,
        };
        reply == ClaimReply::Released
    }

    /// Keeps the answer of a request that holds its key, if it is small.
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

    /// Asks the owners in their order until one replies, and tells whether another may have acted.
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
                    self.foreign.lock().expect("no holder panics").insert(owner);
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
        let foreign = self.foreign.lock().expect("no holder panics");
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
            Err(error) => log::warn!("claims: {} sent garbage: {error}", handle.peer.vm),
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

    /// Whether this process is the first owner of `shard`.
    fn owns(&self, shard: ShardId) -> bool {
        self.ranking(shard).first() == Some(&self.me)
    }
}

/// Longest time that a call of another entry may wait here.
const MAX_REMOTE_BUDGET: Duration = Duration::from_secs(600);

/// Handles messages of peers until all senders are gone.
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

/// Gives up shards that other entries own, and tells whether this process is the one that cleans.
pub async fn follow_ownership(client: Arc<ClaimClient>, set_cleaner: impl Fn(bool)) {
    loop {
        time::sleep(OWNERSHIP_CHECK_INTERVAL).await;
        client.service.retain_shards(|shard| client.owns(shard));
        set_cleaner(client.owns(ShardId(0)));
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
