//! The owner's duty: for the models and services that rendezvous hashing assigns to this process,
//! keep the replicas, order loads and grant credits to waiting requests.
//!
//! One task holds all state. Calls to the store and to side processes run in tasks of their own
//! and come back as events.

mod placing;
mod target;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use base::prelude::*;
use lists::ListSet;
use platform::ObjectStore;
use routing::rendezvous::OwnerKey;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use wire::{
    LinkSender, Message, PeerIdentity, PeerRole,
    ask::{Ask, AskRefusal, AskTarget, CreditReturn, Grant},
    load::{BackendReport, LoadOrder, OrderOutcome, ReportSubscription},
};

use self::{
    placing::{PlacedSlot, Placing},
    target::{Replica, ReplicaStage, TargetState, WaitingAsk},
};
use crate::{
    asks::{AskReply, AttemptId},
    fleet::FleetView,
    peers::PeerPool,
};

/// Time between looks at deadlines and replicas.
const TICK: Duration = Duration::from_millis(50);
/// Events that may wait for the owner's task.
pub const EVENT_QUEUE: usize = 8192;
/// Pause before a failed placement is read again.
const PLACE_RETRY: Duration = Duration::from_secs(1);

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

    fn refuse(self, refusal: AskRefusal) {
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
        /// The ask.
        ask: Ask,
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
    /// A placement was read or written.
    Placed {
        /// Model.
        model: ModelId,
        /// Its slots, or `None` if the store did not answer.
        slots: Option<Vec<PlacedSlot>>,
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

/// What the owner knows of one model or service.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct TargetReport {
    /// Model or service.
    pub target: String,
    /// Decided number of replicas.
    pub decided: u32,
    /// Replicas with their stages.
    pub replicas: Vec<ReplicaReport>,
    /// Requests that wait.
    pub waiting: usize,
}

/// What the owner knows of one replica.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ReplicaReport {
    /// VM of the backend server.
    pub vm: VmId,
    /// Stage of the model there.
    pub stage: String,
    /// Credits granted and not returned.
    pub outstanding: usize,
}

/// What the owner's task uses of the rest of the process.
#[derive(Debug, Clone)]
pub struct OwnerContext {
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
    placing: Placing,
    targets: BTreeMap<OwnerKey, TargetState>,
    keys: HashMap<AttemptId, OwnerKey>,
}

impl OwnerDuty {
    /// A duty without targets.
    pub fn new(context: OwnerContext, store: Arc<dyn ObjectStore>) -> Self {
        let placing = Placing::new(store, context.events.clone(), Arc::clone(&context.peers));
        Self { context, placing, targets: BTreeMap::new(), keys: HashMap::new() }
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
            OwnerEvent::Ask { ask, reply } => self.ask(ask, reply, now),
            OwnerEvent::CreditReturn(returned) => self.take_back(&returned),
            OwnerEvent::OrderOutcome { peer, outcome } => self.order_ended(&peer, &outcome, now),
            OwnerEvent::BackendReport { peer, report } => self.report(&peer, &report),
            OwnerEvent::PeerLost(peer) => self.lose(&peer, now),
            OwnerEvent::Placed { model, slots } => self.placed(&model, slots, now),
            OwnerEvent::SideReached { key, vm, peer } => self.side_reached(&key, &vm, peer, now),
            OwnerEvent::Describe(reply) => {
                let reports = self.targets.iter().map(|(key, target)| target.describe(key));
                let _ = reply.send(reports.collect());
            }
        }
    }

    fn ask(&mut self, ask: Ask, reply: AskReplyPath, now: Instant) {
        let Some(id) = AttemptId::from_wire(&ask.request, ask.attempt) else { return };
        let waiting = WaitingAsk::new(id, ask, reply, now);
        let Some(key) = owner_key(&waiting.ask.target) else {
            return waiting.refuse(ResultCode::MalformedRequest);
        };
        let lists = self.context.lists.borrow().clone();
        let Some(lists) = lists else { return waiting.refuse(ResultCode::ListsMissing) };
        let Some(decided) = decided_count(&lists, &key) else {
            return waiting.refuse(ResultCode::UnknownModel);
        };
        let target = self.targets.entry(key.clone()).or_default();
        target.decided = decided;
        target.queue.push_back(waiting);
        self.keys.insert(id, key.clone());
        self.place(&key, &lists, now);
        self.pump(&key);
    }

    /// Finds out which backend servers may serve the target.
    fn place(&mut self, key: &OwnerKey, lists: &ListSet, now: Instant) {
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(target) = self.targets.get_mut(key) else { return };
        match key {
            OwnerKey::Service(service) => {
                for vm in fleet.backends(service) {
                    target
                        .replicas
                        .entry(vm.id.clone())
                        .or_insert_with(|| Replica::new(vm.address));
                }
                target.replicas.retain(|vm, _| fleet.vm(vm).is_some());
                self.reach(key);
            }
            OwnerKey::Model(model) => {
                let is_due = target.place_again.is_none_or(|at| at <= now);
                if !target.is_placing && is_due {
                    let Some(entry) = lists.model(model) else { return };
                    target.is_placing = true;
                    self.placing.start(entry, &fleet);
                }
            }
        }
    }

    fn placed(&mut self, model: &ModelId, slots: Option<Vec<PlacedSlot>>, now: Instant) {
        let key = OwnerKey::Model(model.clone());
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.is_placing = false;
        target.place_again = Some(now + PLACE_RETRY);
        let Some(slots) = slots else { return };
        target.replicas.retain(|vm, _| slots.iter().any(|slot| slot.vm == *vm));
        for slot in slots {
            let Some(address) = fleet.address(&slot.vm) else { continue };
            let replica =
                target.replicas.entry(slot.vm.clone()).or_insert_with(|| Replica::new(address));
            replica.slot = Some(slot);
        }
        self.reach(&key);
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
            }
            None => replica.stage = ReplicaStage::Failed { until: now + PLACE_RETRY },
        }
        self.pump(key);
    }

    fn report(&mut self, peer: &PeerIdentity, report: &BackendReport) {
        let mut changed = Vec::new();
        for (key, target) in &mut self.targets {
            let Some(replica) = target.replicas.get_mut(&peer.vm) else { continue };
            if replica.incarnation != peer.incarnation {
                continue;
            }
            replica.concurrency = report.concurrency as usize;
            replica.is_draining = report.is_draining;
            if let OwnerKey::Model(model) = key {
                let held = report.models.iter().find(|held| held.model == model.as_str());
                replica.observe(held.map(|held| held.is_loaded));
            }
            changed.push(key.clone());
        }
        for key in changed {
            self.pump(&key);
        }
    }

    fn order_ended(&mut self, peer: &PeerIdentity, outcome: &OrderOutcome, now: Instant) {
        let Ok(model) = outcome.model.parse::<ModelId>() else { return };
        let key = OwnerKey::Model(model);
        let Some(target) = self.targets.get_mut(&key) else { return };
        let Some(replica) = target.replicas.get_mut(&peer.vm) else { return };
        if replica.incarnation != peer.incarnation {
            return;
        }
        replica.stage = match outcome.is_loaded {
            true => ReplicaStage::Ready,
            false => ReplicaStage::Failed { until: now + PLACE_RETRY },
        };
        self.pump(&key);
    }

    fn lose(&mut self, peer: &PeerIdentity, now: Instant) {
        if peer.role != PeerRole::Side {
            return;
        }
        for target in self.targets.values_mut() {
            if let Some(replica) = target.replicas.get_mut(&peer.vm)
                && replica.incarnation == peer.incarnation
            {
                replica.outstanding.clear();
                replica.stage = ReplicaStage::Failed { until: now + PLACE_RETRY };
                target.place_again = None;
            }
        }
    }

    fn take_back(&mut self, returned: &CreditReturn) {
        let Some(id) = AttemptId::from_wire(&returned.request, returned.attempt) else { return };
        let Some(key) = self.keys.remove(&id) else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.queue.retain(|waiting| waiting.id != id);
        for replica in target.replicas.values_mut() {
            replica.outstanding.remove(&id);
        }
        self.pump(&key);
    }

    fn tick(&mut self, now: Instant) {
        let lists = self.context.lists.borrow().clone();
        let keys: Vec<OwnerKey> = self.targets.keys().cloned().collect();
        for key in keys {
            self.expire(&key, now);
            let Some(target) = self.targets.get_mut(&key) else { continue };
            target.revive(now);
            if target.queue.is_empty() {
                continue;
            }
            if let Some(lists) = &lists {
                self.place(&key, lists, now);
            }
            self.reach(&key);
            self.pump(&key);
        }
    }

    fn expire(&mut self, key: &OwnerKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        for waiting in target.take_expired(now) {
            self.keys.remove(&waiting.id);
            waiting.refuse(ResultCode::DeadlinePassed);
        }
    }

    /// Grants credits and orders loads as far as the replicas allow.
    fn pump(&mut self, key: &OwnerKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.grant_waiting();
        if target.queue.is_empty() {
            return;
        }
        let OwnerKey::Model(model) = key else { return };
        let lists = self.context.lists.borrow();
        let Some(entry) = lists.as_ref().and_then(|lists| lists.model(model)) else { return };
        let Some((vm, replica)) = target.next_load() else { return };
        let Some(slot) = &replica.slot else { return };
        if slot.incarnation != replica.incarnation {
            target.place_again = None;
            return;
        }
        let order = LoadOrder {
            model: model.to_string(),
            fencing: slot.fencing.0,
            memory: entry.memory.0,
            incarnation: replica.incarnation.0,
        };
        replica.stage = ReplicaStage::Loading;
        log::info!("owner: ordering {model} at {vm}");
        let (peers, address) = (Arc::clone(&self.context.peers), replica.address);
        tokio::spawn(async move {
            if let Ok(handle) = peers.link(address).await {
                let _ = handle.sender.send(Message::LoadOrder(order)).await;
            }
        });
    }
}

fn owner_key(target: &AskTarget) -> Option<OwnerKey> {
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
