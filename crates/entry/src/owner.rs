//! The owner task: for the models and services that rendezvous hashing assigns to this process, it
//! tracks the replicas, orders loads and grants credits to waiting requests.
//!
//! One task holds all state. Calls to the store and to side processes run in separate tasks, which
//! return their results as events.

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
use crate::{fleet::FleetView, grants::GrantReply, peers::PeerPool};

/// Time between checks of deadlines and replicas.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the event queue of the owner task.
pub const EVENT_QUEUE: usize = 8192;
/// Bytes of a request body that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Delay before reconnecting to a side process that could not be reached or was lost.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Path by which the reply to a grant request is sent.
#[derive(Debug)]
pub enum ReplyPath {
    /// The request waits in this process.
    Local(oneshot::Sender<GrantReply>),
    /// The request waits at another entry.
    Peer(LinkSender),
}

impl ReplyPath {
    fn grant(self, grant: Grant) {
        match self {
            ReplyPath::Local(reply) => drop(reply.send(GrantReply::Granted(grant))),
            ReplyPath::Peer(sender) => drop(sender.offer(Message::Grant(grant))),
        }
    }

    fn refuse(self, refusal: CreditRefusal) {
        match self {
            ReplyPath::Local(reply) => drop(reply.send(GrantReply::Refused(refusal))),
            ReplyPath::Peer(sender) => drop(sender.offer(Message::AskRefusal(refusal))),
        }
    }
}

/// Events that the owner task handles.
#[derive(Debug)]
pub enum OwnerEvent {
    /// An entry requests a grant on a backend server.
    Request {
        /// Entry that holds the request.
        from: PeerIdentity,
        /// Request for the grant, as received from the entry.
        request: CreditRequest,
        /// Path of the reply.
        reply: ReplyPath,
    },
    /// A credit is returned, or a grant request is withdrawn.
    CreditReturn(CreditReturn),
    /// A side process reports the outcome of a load or unload order.
    OrderOutcome {
        /// Side process that executed the order.
        peer: PeerIdentity,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// A side process reports the state of its backend server.
    BackendReport {
        /// Side process that sent the report.
        peer: PeerIdentity,
        /// Models, memory and concurrency of the backend server.
        report: BackendReport,
    },
    /// The connection to this peer has ended.
    PeerLost(PeerIdentity),
    /// The platform answered a store or VM list call for a placement.
    Placement {
        /// Model of the placement.
        model: ModelId,
        /// Event for the placement's state machine.
        event: PlacementEvent,
    },
    /// Result of connecting to a VM that is a candidate for a slot.
    CandidateConnection {
        /// Model that needs the slot.
        model: ModelId,
        /// VM that may take the slot.
        vm: VmId,
        /// Identity of its side process, or `None` if it could not be reached.
        peer: Option<PeerIdentity>,
    },
    /// Result of connecting to the side process of a replica.
    SideConnection {
        /// Model or service of the replica.
        key: OwnerKey,
        /// VM of the side process.
        vm: VmId,
        /// Identity of the side process, or `None` if it could not be reached or a send to it
        /// failed.
        peer: Option<PeerIdentity>,
    },
    /// Requests a report on all models and services of this owner.
    Describe(oneshot::Sender<Vec<TargetReport>>),
}

/// Components of the process that the owner task uses.
#[derive(Debug, Clone)]
pub struct OwnerContext {
    /// Identity of this process.
    pub identity: PeerIdentity,
    /// Current lists; `None` before the first arrive.
    pub lists: watch::Receiver<Option<ListSet>>,
    /// Latest snapshot of the VM list.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Connections to side processes.
    pub peers: Arc<PeerPool>,
    /// Sender by which spawned tasks return their results to the owner task.
    pub events: mpsc::Sender<OwnerEvent>,
}

/// State of the owner task.
pub struct OwnerTask {
    context: OwnerContext,
    store: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
    targets: BTreeMap<OwnerKey, TargetState>,
    /// Idle gaps of all models, the prior for models with little history of their own.
    prior: GapHistogram,
    adopted: Option<AdoptedState>,
}

/// Lists and fleet from which the models of this owner were last determined.
#[derive(Debug)]
struct AdoptedState {
    list: ListVersion,
    fleet: Arc<FleetView>,
}

impl OwnerTask {
    /// Creates a task without targets.
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

    /// Handles events until all senders are dropped.
    pub async fn run(mut self, mut events: mpsc::Receiver<OwnerEvent>) {
        let mut tick = time::interval(TICK_INTERVAL);
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
            OwnerEvent::Request { from, request, reply } => {
                self.request_grant(&from, &request, reply, now);
            }
            OwnerEvent::CreditReturn(returned) => self.return_credit(&returned, now),
            OwnerEvent::OrderOutcome { peer, outcome } => self.apply_outcome(&peer, &outcome, now),
            OwnerEvent::BackendReport { peer, report } => self.apply_report(&peer, &report, now),
            OwnerEvent::PeerLost(peer) => self.handle_peer_loss(&peer, now),
            OwnerEvent::Placement { model, event } => {
                self.step_placement(&model, event, now);
                self.advance_target(&OwnerKey::Model(model), now);
            }
            OwnerEvent::CandidateConnection { model, vm, peer } => {
                self.record_candidate(&model, vm, peer.as_ref(), now);
            }
            OwnerEvent::SideConnection { key, vm, peer } => self.record_side(&key, &vm, peer, now),
            OwnerEvent::Describe(reply) => {
                let reports = self.targets.iter().map(|(key, target)| target.describe(key));
                let _ = reply.send(reports.collect());
            }
        }
    }

    fn request_grant(
        &mut self,
        from: &PeerIdentity,
        request: &CreditRequest,
        reply: ReplyPath,
        now: Instant,
    ) {
        let Some(id) = AttemptId::from_wire(&request.request, request.attempt) else { return };
        let (Some(key), Some(grant_request)) =
            (owner_key(&request.target), parse_request(from, id, request, now))
        else {
            return refuse(id, reply, ResultCode::MalformedRequest);
        };
        let lists = self.context.lists.borrow().clone();
        let Some(lists) = lists else { return refuse(id, reply, ResultCode::ListsMissing) };
        let Some(decided) = configured_replicas(&lists, &key) else {
            return refuse(id, reply, ResultCode::UnknownModel);
        };
        let target = self.targets.entry(key.clone()).or_insert_with(TargetState::new);
        if matches!(key, OwnerKey::Service(_)) {
            target.decided = decided;
        }
        if let Some(percent) = long_percent(&lists, &key) {
            target.limit_long(percent, now);
        }
        target.request_grant(grant_request, reply, now);
        self.update_replicas(&key, &lists, now);
        self.advance_target(&key, now);
    }

    /// Updates which backend servers may serve the target and connects to them.
    fn update_replicas(&mut self, key: &OwnerKey, lists: &ListSet, now: Instant) {
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(target) = self.targets.get_mut(key) else { return };
        match key {
            OwnerKey::Service(service) => {
                for vm in fleet.backends(service) {
                    let new = || Replica::new(vm.address, vm.zone.clone());
                    target.replicas.entry(vm.id.clone()).or_insert_with(new);
                }
                target.retain_replicas(|vm| fleet.vm(vm).is_some(), now);
                self.connect_replicas(key);
            }
            OwnerKey::Model(model) => {
                if let Some(entry) = lists.model(model) {
                    self.update_placement(entry, lists.version(), now);
                }
            }
        }
    }

    /// Connects to the side processes of replicas that are disconnected.
    fn connect_replicas(&mut self, key: &OwnerKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        for (vm, replica) in &mut target.replicas {
            if replica.stage != ReplicaStage::Disconnected {
                continue;
            }
            replica.stage = ReplicaStage::Connecting;
            let (key, vm, address) = (key.clone(), vm.clone(), replica.address);
            let context = self.context.clone();
            tokio::spawn(async move {
                let handle = context.peers.link(address).await.ok();
                if let Some(handle) = &handle {
                    let subscription = Message::ReportSubscription(ReportSubscription {});
                    let _ = handle.sender.send(subscription).await;
                }
                let peer = handle.map(|handle| handle.peer);
                let _ = context.events.send(OwnerEvent::SideConnection { key, vm, peer }).await;
            });
        }
    }

    fn record_side(&mut self, key: &OwnerKey, vm: &VmId, peer: Option<PeerIdentity>, now: Instant) {
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
                    self.report_holder(model, &peer, now);
                    self.update_load_slots(key, now);
                }
            }
            None => {
                replica.pending = None;
                replica.stage = ReplicaStage::Failed { until: now + RECONNECT_DELAY };
                self.update_load_slots(key, now);
            }
        }
        self.advance_target(key, now);
    }

    fn apply_report(&mut self, peer: &PeerIdentity, report: &BackendReport, now: Instant) {
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
            self.apply_model_report(&key, peer, report, now);
            self.advance_target(&key, now);
        }
    }

    fn handle_peer_loss(&mut self, peer: &PeerIdentity, now: Instant) {
        match peer.role {
            PeerRole::Side => self.handle_side_loss(peer, now),
            PeerRole::Entry => {
                let entry = EntryIncarnation { vm: peer.vm.clone(), incarnation: peer.incarnation };
                for target in self.targets.values_mut() {
                    target.apply_event(GrantEvent::EntryLost(entry.clone()), now);
                }
            }
        }
    }

    fn handle_side_loss(&mut self, peer: &PeerIdentity, now: Instant) {
        let mut lost = Vec::new();
        for (key, target) in &mut self.targets {
            if let Some(replica) = target.replicas.get_mut(&peer.vm)
                && replica.incarnation == peer.incarnation
            {
                replica.pending = None;
                replica.stage = ReplicaStage::Failed { until: now + RECONNECT_DELAY };
                target.update_allocator(now);
                lost.push(key.clone());
            }
        }
        for key in lost {
            self.update_load_slots(&key, now);
        }
    }

    fn return_credit(&mut self, returned: &CreditReturn, now: Instant) {
        let Some(id) = AttemptId::from_wire(&returned.request, returned.attempt) else { return };
        let Some(key) = owner_key(&returned.target) else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        let end = credit_end(returned);
        if let (Some(capacity), CreditEnd::Served(time)) = (target.capacity.as_mut(), end) {
            capacity.record_service_time(time);
        }
        target.apply_event(GrantEvent::CreditReturned { id, end }, now);
        self.advance_target(&key, now);
    }

    fn tick(&mut self, now: Instant) {
        let lists = self.context.lists.borrow().clone();
        if let Some(lists) = &lists {
            self.readopt_models(lists, now);
        }
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let keys: Vec<OwnerKey> = self.targets.keys().cloned().collect();
        for key in keys {
            let Some(target) = self.targets.get_mut(&key) else { continue };
            target.update_leaving(&fleet);
            target.update_allocator(now);
            target.tick(now);
            let is_model = matches!(key, OwnerKey::Model(_));
            if !target.has_waiting() && !is_model {
                continue;
            }
            if let Some(lists) = &lists {
                self.update_replicas(&key, lists, now);
            }
            self.connect_replicas(&key);
            self.step_scheduler(&key, SchedulerEvent::Tick, now);
            self.advance_target(&key, now);
        }
    }

    /// Determines the models of this owner again if the lists or the fleet have changed.
    fn readopt_models(&mut self, lists: &ListSet, now: Instant) {
        let (list, fleet) = (lists.version(), Arc::clone(&self.context.fleet.borrow()));
        let is_same =
            |adopted: &AdoptedState| adopted.list == list && Arc::ptr_eq(&adopted.fleet, &fleet);
        if !self.adopted.as_ref().is_some_and(is_same) {
            self.adopted = Some(AdoptedState { list, fleet });
            self.adopt_models(lists, now);
        }
    }

    /// Grants credits and orders loads and unloads as the replicas and the demand allow.
    fn advance_target(&mut self, key: &OwnerKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.update_allocator(now);
        if matches!(key, OwnerKey::Model(_)) {
            self.update_loads(key, now);
        }
    }
}

fn parse_request(
    from: &PeerIdentity,
    id: AttemptId,
    request: &CreditRequest,
    now: Instant,
) -> Option<GrantRequest> {
    let tokens = request.max_tokens.saturating_add(request.body_bytes / BYTES_PER_TOKEN);
    let class = if request.is_long { WorkClass::Long } else { WorkClass::Short };
    let kind = if request.is_hedge { AttemptKind::Hedge } else { AttemptKind::Primary };
    Some(GrantRequest {
        id,
        entry: EntryIncarnation { vm: from.vm.clone(), incarnation: from.incarnation },
        zone: from.zone.clone(),
        customer: request.customer.parse().ok()?,
        share: ShareWeight(request.share.max(1)),
        priority: RequestPriority(u8::try_from(request.priority).unwrap_or(u8::MAX)),
        class,
        size: RequestSize(u32::try_from(tokens).unwrap_or(u32::MAX)),
        queue_limit: request.queue_limit,
        deadline: now + Duration::from_millis(request.timeout_ms),
        kind,
        may_retry: request.may_retry,
        tried: request.tried.iter().filter_map(|vm| vm.parse().ok()).collect(),
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

/// Share of a backend server's request slots that long requests may take, in percent.
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

fn configured_replicas(lists: &ListSet, key: &OwnerKey) -> Option<u32> {
    match key {
        OwnerKey::Model(model) => lists.model(model).map(|entry| entry.replicas.0),
        OwnerKey::Service(service) => lists.service(service).map(|entry| entry.replicas.0),
    }
}
