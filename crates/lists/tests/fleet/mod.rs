//! Simulates a fleet of distribution nodes in virtual time, with store and network faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use base::prelude::*;
use lists::{
    ImageDigest, ListImage, SectionKind, SectionName, check_lists,
    image::SectionChange,
    spread::{
        CopyChecks, NodeIdentity, RosterEntry, SpreadAction, SpreadBody, SpreadEvent, SpreadNode,
        SpreadSettings, StatusReport, StoreUpdate, copy::EditStep,
    },
};
use object_api::vms::{VmEntry, VmRole, VmState};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const TICK: Duration = Duration::from_millis(250);

/// Random seed, sizes and settings of a fleet.
pub struct FleetPlan {
    pub seed: u64,
    pub zones: usize,
    pub entries: usize,
    pub sides: usize,
    pub checks: CopyChecks,
    pub settings: SpreadSettings,
}

impl FleetPlan {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            zones: 2,
            entries: 7,
            sides: 8,
            checks: CopyChecks::ALL,
            settings: small_settings(),
        }
    }
}

/// Settings with a small fan-out, so that small fleets have deep trees.
fn small_settings() -> SpreadSettings {
    SpreadSettings { fan_out: 3, ..SpreadSettings::default() }
}

/// Fault rates of the whole network.
#[derive(Clone, Copy, Default)]
pub struct NetFault {
    /// Lost messages per thousand.
    pub loss: u64,
    /// Longest random delay of a message; messages can overtake each other.
    pub delay: Duration,
}

struct FleetNode {
    node: SpreadNode,
    incarnation: u64,
    up: bool,
    watching: bool,
    installed: Vec<ListVersion>,
}

struct QueuedEvent {
    at: Instant,
    order: u64,
    to: VmId,
    incarnation: u64,
    event: SpreadEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A violated property of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetFault {
    /// A process installed a version that is not newer than its last one.
    Reverted(VmId),
    /// The lists of a process differ from those accepted at its version.
    WrongLists(VmId),
    /// A process is not ready with the last accepted version at the end of a run.
    Behind(VmId, ListVersion),
}

/// A simulated fleet with its store and network.
pub struct Fleet {
    pub now: Instant,
    pub net: NetFault,
    pub store_down: bool,
    /// Longest random delay of an answer of the store.
    pub store_delay: Duration,
    pub faults: Vec<FleetFault>,
    pub statuses: BTreeMap<ZoneName, StatusReport>,
    /// Nodes on one side of a network partition; they do not reach the other nodes.
    pub isolated: BTreeSet<VmId>,
    /// Nodes that reach both sides of the partition.
    pub bridging: BTreeSet<VmId>,
    /// Bytes received and sent by each node.
    pub traffic: BTreeMap<VmId, u64>,
    /// VMs on which a restarted process installed an older version than its predecessor.
    pub reverted: BTreeSet<VmId>,
    /// Version that was installed last on each VM, also by former processes.
    served: BTreeMap<VmId, ListVersion>,
    nodes: BTreeMap<VmId, FleetNode>,
    vms: Vec<VmEntry>,
    accepted: Vec<(ListImage, EditStep)>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    rng: ChaCha8Rng,
    checks: CopyChecks,
    settings: SpreadSettings,
    seed_vms: Vec<VmEntry>,
    polling_nodes: BTreeMap<VmId, PollingNode>,
}

/// Reference model of a node: polls the store whenever it is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PollingNode {
    version: ListVersion,
    digest: ImageDigest,
}

impl Fleet {
    pub fn new(plan: &FleetPlan) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            net: NetFault { loss: 0, delay: Duration::from_millis(4) },
            store_down: false,
            store_delay: Duration::from_millis(30),
            faults: Vec::new(),
            statuses: BTreeMap::new(),
            isolated: BTreeSet::new(),
            bridging: BTreeSet::new(),
            traffic: BTreeMap::new(),
            reverted: BTreeSet::new(),
            served: BTreeMap::new(),
            nodes: BTreeMap::new(),
            vms: fleet_vms(plan),
            accepted: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            checks: plan.checks,
            settings: plan.settings,
            seed_vms: Vec::new(),
            polling_nodes: BTreeMap::new(),
        };
        fleet.seed_vms = fleet.vms.clone();
        fleet.accept_first();
        for vm in fleet.vms.clone() {
            fleet.start(&vm.id);
        }
        fleet
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    pub fn names(&self) -> Vec<VmId> {
        self.nodes.keys().cloned().collect()
    }

    pub fn node(&self, vm: &VmId) -> &SpreadNode {
        &self.nodes[vm].node
    }

    /// Names of the relays of a zone according to the VM list.
    pub fn relays(&self, zone: &str) -> Vec<VmId> {
        let zone = ZoneName::new(zone).unwrap();
        let roster = lists::spread::EntryRoster::from_vms(&zone, &self.vms);
        roster.relays().iter().map(|relay| relay.vm.clone()).collect()
    }

    pub fn last(&self) -> ListVersion {
        ListVersion(self.accepted.len() as u64)
    }

    /// Starts a process; on a VM that runs one, this is a restart with a new incarnation.
    pub fn start(&mut self, vm: &VmId) {
        let entry = self.seed_vms.iter().find(|entry| entry.id == *vm).unwrap().clone();
        let incarnation = self.nodes.get(vm).map_or(1, |node| node.incarnation + 1);
        let identity = NodeIdentity {
            vm: vm.clone(),
            zone: entry.zone.clone(),
            incarnation: ProcessIncarnation(incarnation),
        };
        let seeds = self.seed_vms.iter().filter(|vm| vm.zone == entry.zone);
        let seeds = seeds.filter(|vm| vm.role == VmRole::Entry).take(3);
        let seeds = seeds.map(|vm| RosterEntry { vm: vm.id.clone(), address: vm.address });
        let node = SpreadNode::with_checks(
            identity,
            self.settings,
            seeds.collect(),
            self.checks,
            self.now,
        );
        let fleet_node =
            FleetNode { node, incarnation, up: true, watching: false, installed: Vec::new() };
        self.nodes.insert(vm.clone(), fleet_node);
        let jitter = Duration::from_millis(self.random(250));
        self.push(self.now + jitter, vm, SpreadEvent::Tick);
    }

    pub fn stop(&mut self, vm: &VmId) {
        self.nodes.get_mut(vm).unwrap().up = false;
    }

    pub fn is_up(&self, vm: &VmId) -> bool {
        self.nodes[vm].up
    }

    /// Adds a VM to the VM list or removes it.
    pub fn list_vm(&mut self, vm: &VmId, listed: bool) {
        self.vms.retain(|entry| entry.id != *vm);
        if listed {
            self.vms.extend(self.seed_vms.iter().find(|entry| entry.id == *vm).cloned());
        }
    }

    /// Accepts an edit of one section.
    pub fn accept(&mut self) {
        let replicas = self.last().0 % 13;
        let name = SectionName::new(SectionKind::Model, format!("m-{}", self.random(5)));
        let text = format!("service = s\nreplicas = {replicas}\nmemory = 1GiB\nclass = short\n");
        let delta = lists::ListDelta { changes: vec![SectionChange { name, text: Some(text) }] };
        let mut image = self.accepted.last().unwrap().0.clone();
        image.apply(&delta);
        let version = self.last().next();
        let step = EditStep { version, digest: image.digest(), delta };
        self.accepted.push((image, step));
        self.wake_watchers();
    }

    /// Runs for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|queued| queued.0.at <= end) {
            let Reverse(queued) = self.queue.pop().unwrap();
            self.now = queued.at;
            self.deliver(queued);
        }
        self.now = end;
        self.update_polling_nodes();
    }

    fn update_polling_nodes(&mut self) {
        let newest = self.accepted.last().unwrap().1.clone();
        let newest = PollingNode { version: newest.version, digest: newest.digest };
        for (vm, node) in &self.nodes {
            if node.up && !self.store_down {
                self.polling_nodes.insert(vm.clone(), newest);
            }
        }
    }

    /// Records a fault for each running process whose lists differ from the reference model's.
    pub fn check_end(&mut self) {
        for (vm, node) in self.nodes.iter().filter(|(_, node)| node.up) {
            let held = PollingNode { version: node.node.version(), digest: node.node.digest() };
            if !node.node.is_ready() || self.polling_nodes.get(vm) != Some(&held) {
                self.faults.push(FleetFault::Behind(vm.clone(), held.version));
            }
        }
    }

    /// Number of running processes whose last installed version is `version`.
    pub fn count_at(&self, version: ListVersion) -> usize {
        let at = |node: &&FleetNode| node.up && node.installed.last() == Some(&version);
        self.nodes.values().filter(at).count()
    }

    /// Queues an event for a node without delay.
    pub fn inject(&mut self, to: &VmId, event: SpreadEvent) {
        self.push(self.now, to, event);
    }

    fn accept_first(&mut self) {
        let rights = "[service s]\nkind = engine\nreplicas = 12\nmemory = 8GiB\n\
            [plan gold]\npriority = 1\nshare = 1\nmodels = *\n";
        let image = check_lists("", rights).unwrap();
        let step = EditStep {
            version: ListVersion(1),
            digest: image.digest(),
            delta: ListImage::default().delta_to(&image),
        };
        self.accepted.push((image, step));
    }

    fn wake_watchers(&mut self) {
        if self.store_down {
            return;
        }
        let head = SpreadEvent::HeadRead(self.last());
        for vm in self.names() {
            if self.nodes[&vm].watching {
                let at = self.now + Duration::from_millis(1 + self.random(20));
                self.push(at, &vm, head.clone());
            }
        }
    }

    fn deliver(&mut self, queued: QueuedEvent) {
        let QueuedEvent { to, incarnation, event, .. } = queued;
        let node = self.nodes.get_mut(&to).unwrap();
        if !node.up || node.incarnation != incarnation {
            return;
        }
        let is_tick = matches!(event, SpreadEvent::Tick);
        let actions = node.node.handle(event, self.now);
        for action in actions {
            self.act(&to, action);
        }
        if is_tick {
            if self.nodes[&to].watching && !self.store_down && self.random(4) == 0 {
                self.push(self.now, &to, SpreadEvent::HeadRead(self.last()));
            }
            self.push(self.now + TICK, &to, SpreadEvent::Tick);
        }
    }

    fn act(&mut self, from: &VmId, action: SpreadAction) {
        match action {
            SpreadAction::Send { to, body } => self.send(from, &to, body),
            SpreadAction::WatchHead(watching) => {
                self.nodes.get_mut(from).unwrap().watching = watching;
            }
            SpreadAction::ReadHead => {
                self.answer(from, SpreadEvent::HeadRead(self.last()));
            }
            SpreadAction::ReadVms => self.answer(from, SpreadEvent::VmsRead(self.vms.clone())),
            SpreadAction::ReadLists { after } => {
                let update = self.update_after(after);
                self.answer(from, SpreadEvent::ListsRead(update));
            }
            SpreadAction::Install(set) => self.record_install(from, set.version()),
            SpreadAction::WriteStatus(report) => {
                let zone = self.nodes[from].node.identity().zone.clone();
                self.statuses.insert(zone, report);
            }
        }
    }

    fn record_install(&mut self, vm: &VmId, version: ListVersion) {
        let node = self.nodes.get_mut(vm).unwrap();
        if node.installed.last().is_some_and(|last| *last >= version) {
            self.faults.push(FleetFault::Reverted(vm.clone()));
        }
        node.installed.push(version);
        if self.served.insert(vm.clone(), version).is_some_and(|served| served > version) {
            self.reverted.insert(vm.clone());
        }
        let digest: ImageDigest = node.node.digest();
        let accepted = version.0.checked_sub(1).and_then(|n| self.accepted.get(n as usize));
        if accepted.is_none_or(|(image, _)| image.digest() != digest) {
            self.faults.push(FleetFault::WrongLists(vm.clone()));
        }
    }

    fn update_after(&self, after: ListVersion) -> StoreUpdate {
        if after == ListVersion(0) {
            let image = self.accepted.last().unwrap().0.clone();
            return StoreUpdate::Whole { version: self.last(), image };
        }
        let steps = self.accepted.iter().skip(after.0 as usize).map(|(_, step)| step.clone());
        StoreUpdate::Edits(steps.collect())
    }

    /// Queues an answer of the store after a random delay; answers can overtake each other.
    fn answer(&mut self, to: &VmId, event: SpreadEvent) {
        if !self.store_down {
            let millis = 2 + self.random(self.store_delay.as_millis() as u64);
            let at = self.now + Duration::from_millis(millis);
            self.push(at, to, event);
        }
    }

    fn send(&mut self, from: &VmId, to: &VmId, body: SpreadBody) {
        use prost::Message;
        let frame = lists::spread::SpreadFrame { body: Some(body) };
        let bytes = frame.encode_to_vec();
        let body = lists::spread::SpreadFrame::decode(bytes.as_slice()).unwrap().body.unwrap();
        let is_bridged = self.bridging.contains(from) || self.bridging.contains(to);
        let is_same_side = self.isolated.contains(from) == self.isolated.contains(to);
        let reachable =
            self.nodes.get(to).is_some_and(|node| node.up) && (is_bridged || is_same_side);
        if !reachable {
            let event = SpreadEvent::Disconnected { peer: to.clone() };
            return self.push(self.now + Duration::from_millis(3), from, event);
        }
        for vm in [from, to] {
            *self.traffic.entry(vm.clone()).or_default() += bytes.len() as u64 + 4;
        }
        if self.random(1_000) < self.net.loss {
            return;
        }
        let delay = Duration::from_micros(500 + self.random(self.net.delay.as_micros() as u64 + 1));
        let event = SpreadEvent::Received { from: from.clone(), body };
        self.push(self.now + delay, to, event);
    }

    fn push(&mut self, at: Instant, to: &VmId, event: SpreadEvent) {
        self.order += 1;
        let incarnation = self.nodes[to].incarnation;
        self.queue.push(Reverse(QueuedEvent {
            at,
            order: self.order,
            to: to.clone(),
            incarnation,
            event,
        }));
    }
}

fn fleet_vms(plan: &FleetPlan) -> Vec<VmEntry> {
    let mut vms = Vec::new();
    for zone in 0..plan.zones {
        for (role, count) in [(VmRole::Entry, plan.entries), (VmRole::Backend, plan.sides)] {
            for index in 0..count {
                let kind = if role == VmRole::Entry { "entry" } else { "back" };
                let port = 1_000 + vms.len();
                vms.push(VmEntry {
                    id: VmId::new(format!("{kind}-{zone}-{index}")).unwrap(),
                    role,
                    service: None,
                    zone: ZoneName::new(format!("z{zone}")).unwrap(),
                    address: format!("127.0.0.1:{port}").parse().unwrap(),
                    state: VmState::Live,
                });
            }
        }
    }
    vms
}
