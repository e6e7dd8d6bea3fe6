//! The owner's duty: for the models and services that rendezvous hashing assigns to this process,
//! keep the replicas, order loads and grant credits to waiting requests.
//!
//! One task holds all state. Calls to the store and to side processes run in tasks of their own
//! and come back as events.

mod capacity;
mod loads;
mod report;
mod slots;
mod target;

use std::{collections::BTreeMap, sync::Arc};

use admission::RequestSize;
use base::{ids::AttemptId, prelude::*};
use lists::{ListSet, RequestPriority, WorkClass};
use loading::{GapHistogram, SchedulerEvent};
use object_api::{ObjectStore, VmList};
use placement::OwnerEvent as PlacementEvent;
use routing::{AttemptKind, CreditEnd, EntryIncarnation, GrantEvent, GrantRequest, OwnerKey};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use wire::{
    LinkSender, Message, PeerIdentity, PeerRole,
    credit::{CreditRefusal, CreditRequest, CreditReturn, CreditTarget, CreditUse, Grant},
    load::{BackendReport, OrderOutcome, ReportSubscription},
};

pub use self::report::{ReplicaReport, TargetReport};
use self::target::{Replica, ReplicaStage, TargetState, refuse};
use crate::{asks::AskReply, fleet::FleetView, peers::PeerPool};

/// Time between looks at deadlines and replicas.
const TICK: Duration = Duration::from_millis(50);
/// Events that may wait for the owner's task.
pub const EVENT_QUEUE: usize = 8192;
/// Bytes of a request's body that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Pause before a side process that could not be reached is tried again.
const REACH_RETRY: Duration = Duration::from_secs(1);

/// Where the reply to an ask goes.
#[derive(Debug)]
pub enum AskReplyPath {
    /// The request waits in this process.
    Local(oneshot::Sender<AskReply>),
    /// The request waits at another entry.
    Peer(LinkSender),
}

impl AskReplyPath {
    fn grant(self, grant: Grant) {
        match self {
            AskReplyPath::Local(reply) => drop(reply.send(AskReply::Granted(grant))),
            AskReplyPath::Peer(sender) => drop(sender.offer(Message::Grant(grant))),
        }
    }

    fn refuse(self, refusal: CreditRefusal) {
        match self {
            AskReplyPath::Local(reply) => drop(reply.send(AskReply::Refused(refusal))),
            AskReplyPath::Peer(sender) => drop(sender.offer(Message::AskRefusal(refusal))),
        }
    }
}

/// What the owner's task reacts to.
#[derive(Debug)]
pub enum OwnerEvent {
    /// A request asks for a backend server.
    Ask {
        /// The entry that holds the request.
        from: PeerIdentity,
        /// The ask.
        ask: CreditRequest,
        /// Where the reply goes.
        reply: AskReplyPath,
    },
    /// A credit comes back, or an ask is withdrawn.
    CreditReturn(CreditReturn),
    /// A side process tells what became of an order.
    OrderOutcome {
        /// The side process.
        peer: PeerIdentity,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// A side process reports.
    BackendReport {
        /// The side process.
        peer: PeerIdentity,
        /// Its report.
        report: BackendReport,
    },
    /// A connection has ended.
    PeerLost(PeerIdentity),
    /// The platform answered a call for a placement.
    Placement {
        /// Model.
        model: ModelId,
        /// The answer.
        event: PlacementEvent,
    },
    /// A VM that is to get a slot was reached, or could not be.
    CandidateReached {
        /// Model.
        model: ModelId,
        /// The VM.
        vm: VmId,
        /// Its side process, or `None` if it could not be reached.
        peer: Option<PeerIdentity>,
    },
    /// A side process was reached, or could not be.
    SideReached {
        /// Model or service that wants it.
        key: OwnerKey,
        /// VM of the side process.
        vm: VmId,
        /// Its identity, or `None` if it could not be reached.
        peer: Option<PeerIdentity>,
    },
    /// Somebody wants to know what the owner knows.
    Describe(oneshot::Sender<Vec<TargetReport>>),
}

/// What the owner's task uses of the rest of the process.
#[derive(Debug, Clone)]
pub struct OwnerContext {
    /// This process.
    pub identity: PeerIdentity,
    /// The lists in force.
    pub lists: watch::Receiver<Option<ListSet>>,
    /// The fleet.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Connections to side processes.
    pub peers: Arc<PeerPool>,
    /// Sends events back to the task.
    pub events: mpsc::Sender<OwnerEvent>,
}

/// State of the owner's task.
pub struct OwnerDuty {
    context: OwnerContext,
    store: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
    targets: BTreeMap<OwnerKey, TargetState>,
    prior: GapHistogram,
    adopted: Option<AdoptedState>,
}

/// Lists and fleet for which the models of this process were determined.
#[derive(Debug)]
struct AdoptedState {
    list: ListVersion,
    fleet: Arc<FleetView>,
}

impl OwnerDuty {
    /// A duty without targets.
    pub fn new(context: OwnerContext, store: Arc<dyn ObjectStore>, vms: Arc<dyn VmList>) -> Self {
        Self {
            context,
            store,
            vms,
            targets: BTreeMap::new(),
            prior: GapHistogram::default(),
            adopted: None,
        }
    }

    /// Handles events until all senders are gone.
    pub async fn run(mut self, mut events: mpsc::Receiver<OwnerEvent>) {
        let mut tick = time::interval(TICK);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event, Instant::now()),
                    None => return,
                },
                _ = tick.tick() => self.tick(Instant::now()),
            }
        }
    }

    fn handle(&mut self, event: OwnerEvent, now: Instant) {
        match event {
            OwnerEvent::Ask { from, ask, reply } => self.ask(&from, &ask, reply, now),
            OwnerEvent::CreditReturn(returned) => self.take_back(&returned, now),
            OwnerEvent::OrderOutcome { peer, outcome } => self.order_ended(&peer, &outcome, now),
            OwnerEvent::BackendReport { peer, report } => self.report(&peer, &report, now),
            OwnerEvent::PeerLost(peer) => self.lose(&peer, now),
            OwnerEvent::Placement { model, event } => {
                self.feed_placement(&model, event, now);
                self.pump(&OwnerKey::Model(model), now);
            }
            OwnerEvent::CandidateReached { model, vm, peer } => {
                self.candidate_reached(&model, vm, peer.as_ref(), now);
            }
            OwnerEvent::SideReached { key, vm, peer } => self.side_reached(&key, &vm, peer, now),
            OwnerEvent::Describe(reply) => {
                let reports = self.targets.iter().map(|(key, target)| target.describe(key));
                let _ = reply.send(reports.collect());
            }
        }
    }

    fn ask(&mut self, from: &PeerIdentity, ask: &CreditRequest, reply: AskReplyPath, now: Instant) {
        let Some(id) = AttemptId::from_wire(&ask.request, ask.attempt) else { return };
        let (Some(key), Some(desk_ask)) = (owner_key(&ask.target), read_ask(from, id, ask, now))
        else {
            return refuse(id, reply, ResultCode::MalformedRequest);
        };
        let lists = self.context.lists.borrow().clone();
        let Some(lists) = lists else { return refuse(id, reply, ResultCode::ListsMissing) };
        let Some(decided) = decided_count(&lists, &key) else {
            return refuse(id, reply, ResultCode::UnknownModel);
        };
        let target = self.targets.entry(key.clone()).or_insert_with(TargetState::new);
        if matches!(key, OwnerKey::Service(_)) {
            target.decided = decided;
        }
        if let Some(percent) = long_percent(&lists, &key) {
            target.limit_long(percent, now);
        }
        target.ask(desk_ask, reply, now);
        self.place(&key, &lists, now);
        self.pump(&key, now);
    }

    /// Finds out which backend servers may serve the target.
    fn place(&mut self, key: &OwnerKey, lists: &ListSet, now: Instant) {
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(target) = self.targets.get_mut(key) else { return };
        match key {
            OwnerKey::Service(service) => {
                for vm in fleet.backends(service) {
                    let new = || Replica::new(vm.address, vm.zone.clone());
                    target.replicas.entry(vm.id.clone()).or_insert_with(new);
                }
                target.retain_replicas(|vm| fleet.vm(vm).is_some(), now);
                self.reach(key);
            }
            OwnerKey::Model(model) => {
                if let Some(entry) = lists.model(model) {
                    self.place_model(entry, lists.version(), now);
                }
            }
        }
    }

    /// Connects to side processes of the target that are not connected yet.
    fn reach(&mut self, key: &OwnerKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        for (vm, replica) in &mut target.replicas {
            if replica.stage != ReplicaStage::Unreached {
                continue;
            }
            replica.stage = ReplicaStage::Reaching;
            let (key, vm, address) = (key.clone(), vm.clone(), replica.address);
            let context = self.context.clone();
            tokio::spawn(async move {
                let handle = context.peers.link(address).await.ok();
                if let Some(handle) = &handle {
                    let subscription = Message::ReportSubscription(ReportSubscription {});
                    let _ = handle.sender.send(subscription).await;
                }
                let peer = handle.map(|handle| handle.peer);
                let _ = context.events.send(OwnerEvent::SideReached { key, vm, peer }).await;
            });
        }
    }

    fn side_reached(
        &mut self,
        key: &OwnerKey,
        vm: &VmId,
        peer: Option<PeerIdentity>,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(replica) = target.replicas.get_mut(vm) else { return };
        match peer {
            Some(peer) => {
                replica.incarnation = peer.incarnation;
                replica.stage = match key {
                    OwnerKey::Service(_) => ReplicaStage::Ready,
                    OwnerKey::Model(_) => ReplicaStage::Cold,
                };
                if let OwnerKey::Model(model) = key {
                    self.see_holder(model, &peer, now);
                    self.offer_slots(key, now);
                }
            }
            None => {
                replica.pending = None;
                replica.stage = ReplicaStage::Failed { until: now + REACH_RETRY };
                self.offer_slots(key, now);
            }
        }
        self.pump(key, now);
    }

    fn report(&mut self, peer: &PeerIdentity, report: &BackendReport, now: Instant) {
        let mut changed = Vec::new();
        for (key, target) in &mut self.targets {
            let Some(replica) = target.replicas.get_mut(&peer.vm) else { continue };
            if replica.incarnation != peer.incarnation {
                continue;
            }
            replica.concurrency = report.concurrency as usize;
            replica.is_draining = report.is_draining;
            changed.push(key.clone());
        }
        for key in changed {
            self.observe_model(&key, peer, report, now);
            self.pump(&key, now);
        }
    }

    fn lose(&mut self, peer: &PeerIdentity, now: Instant) {
        match peer.role {
            PeerRole::Side => self.lose_side(peer, now),
            PeerRole::Entry => {
                let entry = EntryIncarnation { vm: peer.vm.clone(), incarnation: peer.incarnation };
                for target in self.targets.values_mut() {
                    target.decide(GrantEvent::EntryLost(entry.clone()), now);
                }
            }
        }
    }

    fn lose_side(&mut self, peer: &PeerIdentity, now: Instant) {
        let mut lost = Vec::new();
        for (key, target) in &mut self.targets {
            if let Some(replica) = target.replicas.get_mut(&peer.vm)
                && replica.incarnation == peer.incarnation
            {
                replica.pending = None;
                replica.stage = ReplicaStage::Failed { until: now + REACH_RETRY };
                target.offer_replicas(now);
                lost.push(key.clone());
            }
        }
        for key in lost {
            self.offer_slots(&key, now);
        }
    }

    fn take_back(&mut self, returned: &CreditReturn, now: Instant) {
        let Some(id) = AttemptId::from_wire(&returned.request, returned.attempt) else { return };
        let Some(key) = owner_key(&returned.target) else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        let end = credit_end(returned);
        if let (Some(capacity), CreditEnd::Served(time)) = (target.capacity.as_mut(), end) {
            capacity.note_service(time);
        }
        target.decide(GrantEvent::CreditReturned { id, end }, now);
        self.pump(&key, now);
    }

    fn tick(&mut self, now: Instant) {
        let lists = self.context.lists.borrow().clone();
        if let Some(lists) = &lists {
            self.follow_lists(lists, now);
        }
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let keys: Vec<OwnerKey> = self.targets.keys().cloned().collect();
        for key in keys {
            let Some(target) = self.targets.get_mut(&key) else { continue };
            target.mark_leaving(&fleet);
            target.offer_replicas(now);
            target.tick(now);
            let is_model = matches!(key, OwnerKey::Model(_));
            if !target.has_waiting() && !is_model {
                continue;
            }
            if let Some(lists) = &lists {
                self.place(&key, lists, now);
            }
            self.reach(&key);
            self.feed_flight(&key, SchedulerEvent::Tick, now);
            self.pump(&key, now);
        }
    }

    /// Takes up models again when the lists or the fleet have changed.
    fn follow_lists(&mut self, lists: &ListSet, now: Instant) {
        let (list, fleet) = (lists.version(), Arc::clone(&self.context.fleet.borrow()));
        let is_same =
            |adopted: &AdoptedState| adopted.list == list && Arc::ptr_eq(&adopted.fleet, &fleet);
        if !self.adopted.as_ref().is_some_and(is_same) {
            self.adopted = Some(AdoptedState { list, fleet });
            self.adopt_models(lists, now);
        }
    }

    /// Grants credits and orders loads as far as the replicas allow.
    fn pump(&mut self, key: &OwnerKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.offer_replicas(now);
        if matches!(key, OwnerKey::Model(_)) {
            self.balance(key, now);
        }
    }
}

fn read_ask(
    from: &PeerIdentity,
    id: AttemptId,
    ask: &CreditRequest,
    now: Instant,
) -> Option<GrantRequest> {
    let tokens = ask.max_tokens.saturating_add(ask.body_bytes / BYTES_PER_TOKEN);
    let class = if ask.is_long { WorkClass::Long } else { WorkClass::Short };
    let kind = if ask.is_hedge { AttemptKind::Hedge } else { AttemptKind::Primary };
    Some(GrantRequest {
        id,
        entry: EntryIncarnation { vm: from.vm.clone(), incarnation: from.incarnation },
        zone: from.zone.clone(),
        customer: ask.customer.parse().ok()?,
        share: ShareWeight(ask.share.max(1)),
        priority: RequestPriority(u8::try_from(ask.priority).unwrap_or(u8::MAX)),
        class,
        size: RequestSize(u32::try_from(tokens).unwrap_or(u32::MAX)),
        queue_limit: ask.queue_limit,
        deadline: now + Duration::from_millis(ask.budget_ms),
        kind,
        may_repeat: ask.may_repeat,
        tried: ask.tried.iter().filter_map(|vm| vm.parse().ok()).collect(),
    })
}

fn credit_end(returned: &CreditReturn) -> CreditEnd {
    let time = Duration::from_micros(returned.service_us);
    match returned.used() {
        CreditUse::Unused => CreditEnd::Unused,
        CreditUse::Served => CreditEnd::Served(time),
        CreditUse::Withdrawn => CreditEnd::Withdrawn(time),
        CreditUse::Failed => CreditEnd::Failed,
    }
}

/// Part of the slots that long work may hold, in percent.
fn long_percent(lists: &ListSet, key: &OwnerKey) -> Option<u32> {
    let service = match key {
        OwnerKey::Model(model) => &lists.model(model)?.service,
        OwnerKey::Service(service) => service,
    };
    let entry = lists.service(service)?;
    Some((entry.slots.0 - entry.short_slots.0.min(entry.slots.0)) * 100 / entry.slots.0.max(1))
}

fn owner_key(target: &CreditTarget) -> Option<OwnerKey> {
    if target.model.is_empty() {
        return target.service.parse().ok().map(OwnerKey::Service);
    }
    target.model.parse().ok().map(OwnerKey::Model)
}

fn decided_count(lists: &ListSet, key: &OwnerKey) -> Option<u32> {
    match key {
        OwnerKey::Model(model) => lists.model(model).map(|entry| entry.replicas.0),
        OwnerKey::Service(service) => lists.service(service).map(|entry| entry.replicas.0),
    }
}
