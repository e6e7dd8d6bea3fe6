//! Replay of the spread's state machines in virtual time, with encoded messages.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use base::prelude::*;
use lists::{
    ListDelta, ListImage, SectionKind, SectionName,
    image::SectionChange,
    spread::{
        NodeIdentity, RosterEntry, SpreadAction, SpreadBody, SpreadEvent, SpreadFrame, SpreadNode,
        SpreadSettings, StoreUpdate, copy::EditStep,
    },
};
use object_api::{VmEntry, VmState, vms::VmRole};
use prost::Message;

/// One-way latency between two nodes.
const HOP_LATENCY: Duration = Duration::from_millis(1);
/// Latency of an answer of the platform.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// Time between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes that a frame adds to an encoded spread message: its length and the envelope.
const FRAME_BYTES: u64 = 10;

/// Size and load of a replayed fleet.
#[derive(Clone, Copy)]
pub struct ReplayPlan {
    pub zones: usize,
    /// Entries of each zone.
    pub entries: usize,
    /// Side processes of each zone.
    pub sides: usize,
    pub fan_out: usize,
    /// Edits a second.
    pub edit_rate: f64,
    /// Virtual time in which edits are made, after the warm-up.
    pub measured: Duration,
}

/// Traffic in both directions and CPU time of a node.
#[derive(Default, Clone, Copy)]
pub struct NodeCost {
    pub bytes: u64,
    pub messages: u64,
    pub cpu_time: Duration,
}

/// Role of a node in the spread.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NodeRole {
    Relay,
    Entry,
    Side,
}

struct ReplayNode {
    node: SpreadNode,
    role: NodeRole,
    watching: bool,
    cost: NodeCost,
}

enum ReplayEvent {
    Spread(SpreadEvent),
    Frame { from: usize, bytes: Vec<u8> },
}

/// Scheduled event; `order` breaks ties, first scheduled first.
struct DueEvent {
    at: Instant,
    order: u64,
    to: usize,
    event: ReplayEvent,
}

impl PartialEq for DueEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for DueEvent {}
impl PartialOrd for DueEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for DueEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Result of a replay.
pub struct ReplayResult {
    /// Slowest edit, from its acceptance until the last node has it.
    pub slowest: Duration,
    /// Slowest edit, from its acceptance until the relays of all zones know that it is active.
    pub slowest_known: Duration,
    /// Cost a second of the nodes of each role.
    pub roles: Vec<RoleCost>,
}

/// Mean and largest cost a second of the nodes of one role.
pub struct RoleCost {
    pub role: NodeRole,
    pub max_bytes: f64,
    pub mean_bytes: f64,
    pub max_messages: f64,
    pub mean_cpu_time: Duration,
    pub max_cpu_time: Duration,
}

/// Distribution of one edit: nodes that don't have it yet, and when the last one got it.
struct EditProgress {
    accepted: Instant,
    missing: usize,
    done: Option<Instant>,
}

pub struct Replay {
    now: Instant,
    nodes: Vec<ReplayNode>,
    index: HashMap<VmId, usize>,
    vms: Vec<VmEntry>,
    image: ListImage,
    steps: Vec<EditStep>,
    progress: HashMap<u64, EditProgress>,
    known: HashMap<u64, Vec<Instant>>,
    queue: BinaryHeap<Reverse<DueEvent>>,
    order: u64,
    plan: ReplayPlan,
}

impl Replay {
    pub fn new(plan: ReplayPlan) -> Self {
        let mut replay = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            index: HashMap::new(),
            vms: fleet_vms(&plan),
            image: first_image(),
            steps: Vec::new(),
            progress: HashMap::new(),
            known: HashMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            plan,
        };
        replay.start_nodes();
        replay
    }

    /// Lets the fleet converge for 20 s, then measures edits at the planned rate.
    pub fn measure(mut self) -> ReplayResult {
        self.run(Duration::from_secs(20));
        for node in &mut self.nodes {
            node.cost = NodeCost::default();
        }
        let pause = Duration::from_secs_f64(1.0 / self.plan.edit_rate);
        let edits = self.plan.measured.div_duration_f64(pause) as u64;
        for _ in 0..edits {
            self.accept_edit();
            self.run(pause);
        }
        let span = pause * edits as u32;
        self.run(Duration::from_secs(5));
        self.result(span + Duration::from_secs(5))
    }

    fn start_nodes(&mut self) {
        let settings = SpreadSettings { fan_out: self.plan.fan_out, ..SpreadSettings::default() };
        let mut relays = Vec::new();
        let mut rosters: HashMap<ZoneName, Vec<RosterEntry>> = HashMap::new();
        for vm in self.vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let entry = RosterEntry { vm: vm.id.clone(), address: vm.address };
            rosters.entry(vm.zone.clone()).or_default().push(entry);
        }
        for zone in 0..self.plan.zones {
            let roster = lists::spread::EntryRoster::from_vms(&zone_name(zone), &self.vms);
            relays.extend(roster.relays().iter().map(|relay| relay.vm.clone()));
        }
        for vm in &self.vms {
            let incarnation = ProcessIncarnation(1);
            let identity = NodeIdentity { vm: vm.id.clone(), zone: vm.zone.clone(), incarnation };
            let seeds = rosters[&vm.zone].clone();
            let node = SpreadNode::new(identity, settings, seeds, self.now);
            let role = match vm.role {
                VmRole::Entry if relays.contains(&vm.id) => NodeRole::Relay,
                VmRole::Entry => NodeRole::Entry,
                VmRole::Backend => NodeRole::Side,
            };
            self.index.insert(vm.id.clone(), self.nodes.len());
            let cost = NodeCost::default();
            self.nodes.push(ReplayNode { node, role, watching: false, cost });
        }
        for index in 0..self.nodes.len() {
            let jitter = Duration::from_micros(index as u64 * 7_919 % 1_000_000);
            if self.nodes[index].role == NodeRole::Relay {
                let event = SpreadEvent::VmsRead(self.vms.clone());
                let actions = self.nodes[index].node.handle(event, self.now);
                self.apply_actions(index, actions);
            }
            self.push(self.now + jitter, index, ReplayEvent::Spread(SpreadEvent::Tick));
        }
    }

    fn accept_edit(&mut self) {
        let number = self.steps.len() as u64;
        let name = SectionName::new(SectionKind::Model, format!("model-{}", number % 8));
        let text = format!(
            "service = rosnatka\nreplicas = {}\nmemory = 14GiB\nclass = short\n",
            number % 12
        );
        let delta = ListDelta { changes: vec![SectionChange { name, text: Some(text) }] };
        self.image.apply(&delta);
        let version = ListVersion(number + 2);
        self.steps.push(EditStep { version, digest: self.image.digest(), delta });
        let missing = self.nodes.len();
        self.progress.insert(version.0, EditProgress { accepted: self.now, missing, done: None });
        for index in 0..self.nodes.len() {
            if self.nodes[index].watching {
                let event = ReplayEvent::Spread(SpreadEvent::HeadRead(version));
                self.push(self.now + STORE_LATENCY, index, event);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|due| due.0.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { return };
            self.now = due.at;
            self.deliver(due);
        }
        self.now = end;
    }

    fn deliver(&mut self, due: DueEvent) {
        let started = Instant::now();
        let node = &mut self.nodes[due.to];
        let is_tick = matches!(due.event, ReplayEvent::Spread(SpreadEvent::Tick));
        let event = match due.event {
            ReplayEvent::Spread(event) => event,
            ReplayEvent::Frame { from, bytes } => {
                node.cost.bytes += bytes.len() as u64 + FRAME_BYTES;
                node.cost.messages += 1;
                let frame = SpreadFrame::decode(bytes.as_slice()).expect("encoded here");
                let body = frame.body.expect("encoded here");
                SpreadEvent::Received { from: self.vms[from].id.clone(), body }
            }
        };
        let actions = node.node.handle(event, due.at);
        node.cost.cpu_time += started.elapsed();
        self.apply_actions(due.to, actions);
        if is_tick {
            if self.nodes[due.to].watching && self.order.is_multiple_of(16) {
                let event = SpreadEvent::HeadRead(self.latest_version());
                self.push(self.now + STORE_LATENCY, due.to, ReplayEvent::Spread(event));
            }
            self.push(self.now + TICK_INTERVAL, due.to, ReplayEvent::Spread(SpreadEvent::Tick));
        }
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<SpreadAction>) {
        for action in actions {
            self.apply_action(from, action);
        }
    }

    fn apply_action(&mut self, from: usize, action: SpreadAction) {
        match action {
            SpreadAction::Send { to, body } => self.send(from, &to, body),
            SpreadAction::WatchHead(watching) => {
                self.nodes[from].watching = watching;
                let event = SpreadEvent::HeadRead(self.latest_version());
                self.push(self.now + STORE_LATENCY, from, ReplayEvent::Spread(event));
            }
            SpreadAction::ReadHead => {
                let event = SpreadEvent::HeadRead(self.latest_version());
                self.push(self.now + STORE_LATENCY, from, ReplayEvent::Spread(event));
            }
            SpreadAction::ReadLists { after } => {
                let update = match after.0 {
                    0 => StoreUpdate::Whole {
                        version: self.latest_version(),
                        image: self.image.clone(),
                    },
                    after => StoreUpdate::Edits(self.steps[after as usize - 1..].to_vec()),
                };
                let event = SpreadEvent::ListsRead(update);
                self.push(self.now + STORE_LATENCY * 2, from, ReplayEvent::Spread(event));
            }
            SpreadAction::ReadVms => {}
            SpreadAction::Install(set) => self.record_install(set.version().0),
            SpreadAction::WriteStatus(report) => {
                for time in report.times {
                    let known = self.known.entry(time.version.0).or_default();
                    known.push(time.at);
                }
            }
        }
    }

    fn record_install(&mut self, version: u64) {
        let Some(progress) = self.progress.get_mut(&version) else { return };
        progress.missing -= 1;
        if progress.missing == 0 {
            progress.done = Some(self.now);
        }
    }

    fn send(&mut self, from: usize, to: &VmId, body: SpreadBody) {
        let started = Instant::now();
        let bytes = SpreadFrame { body: Some(body) }.encode_to_vec();
        let cost = &mut self.nodes[from].cost;
        cost.cpu_time += started.elapsed();
        cost.bytes += bytes.len() as u64 + FRAME_BYTES;
        cost.messages += 1;
        let to = self.index[to];
        self.push(self.now + HOP_LATENCY, to, ReplayEvent::Frame { from, bytes });
    }

    fn latest_version(&self) -> ListVersion {
        ListVersion(self.steps.len() as u64 + 1)
    }

    fn push(&mut self, at: Instant, to: usize, event: ReplayEvent) {
        self.order += 1;
        self.queue.push(Reverse(DueEvent { at, order: self.order, to, event }));
    }

    fn result(&self, span: Duration) -> ReplayResult {
        let activation_time = |edit: &EditProgress| {
            edit.done.map_or(Duration::MAX, |done| done.duration_since(edit.accepted))
        };
        let slowest = self.progress.values().map(activation_time).max().unwrap_or_default();
        let known = self.progress.iter().map(|(version, edit)| {
            let last = self.known.get(version).and_then(|times| times.iter().max());
            last.map_or(Duration::MAX, |last| last.saturating_duration_since(edit.accepted))
        });
        let slowest_known = known.max().unwrap_or_default();
        let roles = [NodeRole::Relay, NodeRole::Entry, NodeRole::Side];
        let roles = roles.into_iter().filter_map(|role| self.role_cost(role, span));
        ReplayResult { slowest, slowest_known, roles: roles.collect() }
    }

    fn role_cost(&self, role: NodeRole, span: Duration) -> Option<RoleCost> {
        let costs: Vec<_> =
            self.nodes.iter().filter(|node| node.role == role).map(|node| node.cost).collect();
        let count = u32::try_from(costs.len()).ok().filter(|count| *count > 0)?;
        let seconds = span.as_secs_f64();
        let total: u64 = costs.iter().map(|cost| cost.bytes).sum();
        let cpu_time: Duration = costs.iter().map(|cost| cost.cpu_time).sum();
        Some(RoleCost {
            role,
            max_bytes: costs.iter().map(|cost| cost.bytes).max()? as f64 / seconds,
            mean_bytes: total as f64 / f64::from(count) / seconds,
            max_messages: costs.iter().map(|cost| cost.messages).max()? as f64 / seconds,
            mean_cpu_time: (cpu_time / count).div_f64(seconds),
            max_cpu_time: costs.iter().map(|cost| cost.cpu_time).max()?.div_f64(seconds),
        })
    }
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{zone}")).expect("a valid name")
}

fn first_image() -> ListImage {
    let rights = "[service rosnatka]\nkind = engine\nreplicas = 12\nmemory = 80GiB\n\
        [plan gold]\npriority = 1\nshare = 1\nmodels = *\n";
    lists::check_lists("", rights).expect("valid lists")
}

fn fleet_vms(plan: &ReplayPlan) -> Vec<VmEntry> {
    let mut vms = Vec::new();
    for zone in 0..plan.zones {
        for (role, count) in [(VmRole::Entry, plan.entries), (VmRole::Backend, plan.sides)] {
            for index in 0..count {
                let kind = if role == VmRole::Entry { "entry" } else { "back" };
                let number = vms.len();
                let address = format!("10.{}.{}.1:7000", number / 250, number % 250);
                vms.push(VmEntry {
                    id: VmId::new(format!("{kind}-{zone}-{index}")).expect("a valid name"),
                    role,
                    service: None,
                    zone: zone_name(zone),
                    address: address.parse().expect("a valid address"),
                    state: VmState::Live,
                });
            }
        }
    }
    vms
}
