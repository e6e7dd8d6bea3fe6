//! Replays a history through the decision machines in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
};

use base::prelude::*;
use loading::*;

use crate::workload::{FleetSize, RequestTrace, TracedRequest};

/// Memory of a backend server for models and adapters.
const SERVER_MEMORY: ByteSize = ByteSize::gib(160);
/// Accelerators of a backend server.
const SERVER_ACCELERATORS: f64 = 8.0;
/// Memory of an adapter.
const ADAPTER_MEMORY: ByteSize = ByteSize::mib(128);
/// Checkpoints that a server caches in memory and on disk.
const MEMORY_CACHE: usize = 2;
const DISK_CACHE: usize = 8;
/// Time to load a checkpoint of `SIZE_UNIT` from memory and from disk, in seconds.
const MEMORY_LOAD: f64 = 1.0;
const DISK_LOAD: f64 = 4.0;
const SIZE_UNIT: f64 = 14.0;
/// Time of an unload, of a listing and of a write to the platform's store, in seconds.
const UNLOAD_TIME: f64 = 0.2;
const LIST_TIME: f64 = 0.005;
const WRITE_TIME: f64 = 0.008;
/// Time after the last arrival in which requests may still begin, in seconds.
const TAIL: f64 = 600.0;
/// Pause before a request that a server refused is tried again, in seconds.
const RETRY_PAUSE: f64 = 0.5;
/// Requests that a replica runs together.
const BATCH: u32 = 16;

/// How long idle models are kept, and how loads are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeepPolicy {
    /// A fixed time, with all else as in the system.
    Fixed(Duration),
    /// The plan by expected costs, with this price of a second of waiting.
    Planned(f64),
    /// A fixed time, any server, no gate, one store write for each load.
    Naive(Duration),
}

/// What a replay measured.
#[derive(Debug, Clone, Default)]
pub struct ReplayResult {
    /// Waiting times of all requests, in seconds, sorted.
    pub waits: Vec<f64>,
    /// Waiting times of requests that waited for a load, sorted.
    pub cold: Vec<f64>,
    /// Idle accelerator hours.
    pub idle_hours: f64,
    /// Loads of models.
    pub loads: usize,
    /// Requests that never began.
    pub unserved: usize,
    /// Times that memory or the decided count was exceeded.
    pub breaches: usize,
}

/// The value below which `part` of the sorted values lie.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    match values.len() {
        0 => 0.0,
        len => values[((len as f64 * part).ceil() as usize).clamp(1, len) - 1],
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ReplayEvent {
    Arrive(usize),
    Ended { model: usize, server: usize, adapter: Option<usize> },
    Stored(WeightLoadId),
    Called { server: usize, attempt: EngineCallId },
    Listed { server: usize, number: ListingNumber },
    GateTick,
    Check { model: usize, version: u64 },
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    at: f64,
    request: TracedRequest,
    was_cold: bool,
}

#[derive(Debug, Clone)]
struct EngineCall {
    target: LoadTarget,
    is_load: bool,
}

struct Server {
    ledger: MemoryLedger,
    present: BTreeMap<LoadTarget, ByteSize>,
    calls: HashMap<EngineCallId, EngineCall>,
    memory: VecDeque<usize>,
    disk: VecDeque<usize>,
    parked: HashMap<OrderId, Waiting>,
}

struct Model {
    size: ByteSize,
    slots: Vec<usize>,
    flight: LoadScheduler,
    scale: ReplicaScaler,
    warm: KeepWarm,
    queue: VecDeque<Waiting>,
    running: BTreeMap<usize, u32>,
    ready: BTreeSet<usize>,
    idle_from: BTreeMap<usize, f64>,
    last_busy: f64,
    blocked_until: f64,
    version: u64,
}

/// A load that waits for or reads from the weight store.
#[derive(Debug, Clone, Copy)]
struct StoreLoad {
    server: usize,
    attempt: EngineCallId,
    read: f64,
    rest: f64,
}

/// One replay.
pub struct Replay<'a> {
    size: &'a FleetSize,
    trace: &'a RequestTrace,
    policy: KeepPolicy,
    start: Instant,
    now: f64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, ReplayEvent>,
    sequence: u64,
    servers: Vec<Server>,
    models: Vec<Model>,
    gate: WeightLoadLimiter,
    store_loads: HashMap<WeightLoadId, StoreLoad>,
    next_ticket: u64,
    next_adapter_order: u64,
    prior: GapHistogram,
    result: ReplayResult,
}

fn model_target(model: usize) -> LoadTarget {
    LoadTarget::Model(ModelId::new(format!("model-{model}")).expect("the name is valid"))
}

fn adapter_target(model: usize, adapter: usize) -> LoadTarget {
    let id = AdapterId::new(format!("adapter-{adapter}")).expect("the name is valid");
    LoadTarget::Adapter(model_target(model).model().clone(), id)
}

fn model_of(target: &LoadTarget) -> usize {
    target.model().as_str()["model-".len()..].parse().expect("the name ends in a number")
}

fn vm(server: usize) -> VmId {
    VmId::new(format!("vm-{server:05}")).expect("the name is valid")
}

fn server_of(vm: &VmId) -> usize {
    vm.as_str()["vm-".len()..].parse().expect("the name ends in a number")
}

impl<'a> Replay<'a> {
    /// A fleet without anything loaded.
    pub fn new(size: &'a FleetSize, trace: &'a RequestTrace, policy: KeepPolicy) -> Self {
        let start = Instant::now();
        let mut replay = Self {
            size,
            trace,
            policy,
            start,
            now: 0.0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            servers: (0..size.servers).map(|server| new_server(server, start)).collect(),
            models: Vec::new(),
            gate: WeightLoadLimiter::new(EventRate(size.store_rate), start),
            store_loads: HashMap::new(),
            next_ticket: 1,
            next_adapter_order: 1 << 60,
            prior: GapHistogram::default(),
            result: ReplayResult::default(),
        };
        for model in 0..size.models {
            let model = replay.new_model(model);
            replay.models.push(model);
        }
        for server in 0..size.servers {
            replay.feed_ledger(server, LedgerEvent::Inherited(Vec::new()));
        }
        if !trace.requests.is_empty() {
            replay.schedule(trace.requests[0].at, ReplayEvent::Arrive(0));
        }
        replay
    }

    fn new_model(&self, model: usize) -> Model {
        let size = self.trace.models[model].size;
        let load_time = Duration::from_secs_f64(self.remote_time(size));
        let accelerators = SERVER_ACCELERATORS * size.0 as f64 / SERVER_MEMORY.0 as f64;
        let prices = match self.policy {
            KeepPolicy::Planned(wait) => WarmPrices { wait, ..WarmPrices::default() },
            _ => WarmPrices::default(),
        };
        let speed = ReplicaSpeed { batch: BATCH, service_time: Duration::from_secs(4), load_time };
        let spread = (0..self.size.slots).map(|n| (model * 7 + n * 5) % self.size.servers);
        let slots: BTreeSet<usize> = spread.collect();
        Model {
            size,
            slots: slots.into_iter().collect(),
            flight: LoadScheduler::new(OrderId((model as u64) << 32)),
            scale: ReplicaScaler::new(speed),
            warm: KeepWarm::new(prices, LoadCost { load_time, accelerators }, self.start),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            ready: BTreeSet::new(),
            idle_from: BTreeMap::new(),
            last_busy: f64::NEG_INFINITY,
            blocked_until: 0.0,
            version: 0,
        }
    }

    fn remote_time(&self, size: ByteSize) -> f64 {
        self.read_time() + DISK_LOAD * weight(size)
    }

    fn read_time(&self) -> f64 {
        weight_limiter::MAX_CONCURRENT_LOADS as f64 / self.size.store_rate
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: ReplayEvent) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        let micros = (at.max(self.now) * 1e6).ceil() as u64 + 1;
        self.heap.push(Reverse((micros, self.sequence)));
    }

    /// Runs the whole history.
    pub fn run(mut self) -> ReplayResult {
        while let Some(Reverse((at, sequence))) = self.heap.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.size.hours * 3600.0 + TAIL {
                break;
            }
            let event = self.events.remove(&sequence).expect("each event is scheduled once");
            self.handle(event);
        }
        for model in 0..self.models.len() {
            for server in self.models[model].ready.clone() {
                self.end_idle(model, server);
            }
        }
        self.result.unserved = self.models.iter().map(|model| model.queue.len()).sum();
        self.result.waits.sort_by(f64::total_cmp);
        self.result.cold.sort_by(f64::total_cmp);
        self.result
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(index) => self.arrive(index),
            ReplayEvent::Ended { model, server, adapter } => {
                self.end_request(model, server, adapter)
            }
            ReplayEvent::Stored(ticket) => self.end_read(ticket),
            ReplayEvent::Called { server, attempt } => self.end_call(server, attempt),
            ReplayEvent::Listed { server, number } => self.answer_listing(server, number),
            ReplayEvent::GateTick => self.feed_gate(LimiterEvent::Tick),
            ReplayEvent::Check { model, version } => {
                if self.models[model].version == version {
                    self.pump(model);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = self.trace.requests[index];
        if let Some(next) = self.trace.requests.get(index + 1) {
            self.schedule(next.at, ReplayEvent::Arrive(index + 1));
        }
        let was_cold = self.models[request.model].ready.is_empty();
        let waiting = Waiting { at: self.now, request, was_cold };
        self.models[request.model].queue.push_back(waiting);
        self.pump(request.model);
    }

    /// Starts waiting requests and adjusts the replicas.
    fn pump(&mut self, model: usize) {
        self.start_waiting(model);
        if !self.models[model].queue.is_empty() || self.models[model].ready.is_empty() {
            self.offer_slots(model);
        }
        let now = self.instant();
        let demand = self.demand(model);
        let is_busy = demand != ModelDemand::default();
        let state = &mut self.models[model];
        if is_busy {
            state.last_busy = self.now;
        }
        state.warm.observe(is_busy, &mut self.prior, now);
        let replicas = state.flight.loaded_count() + state.flight.loading_count();
        let target = state.scale.target(demand, replicas, now);
        let is_kept = match self.policy {
            KeepPolicy::Planned(_) => state.warm.warm_request(now) == WarmRequest::Loaded,
            KeepPolicy::Fixed(keep) | KeepPolicy::Naive(keep) => {
                self.now < state.last_busy + keep.as_secs_f64()
            }
        };
        let wanted = desired_replicas(target, demand, is_kept);
        self.feed_flight(model, SchedulerEvent::DesiredReplicas(wanted));
        if demand.waiting == 0 {
            self.unload_surplus(model, wanted);
        }
        self.schedule_check(model, wanted);
    }

    fn demand(&self, model: usize) -> ModelDemand {
        let state = &self.models[model];
        let running = state.running.values().sum();
        ModelDemand { waiting: state.queue.len() as u32, running }
    }

    fn schedule_check(&mut self, model: usize, wanted: u32) {
        let now = self.instant();
        let is_over = self.now > self.size.hours * 3600.0;
        let state = &mut self.models[model];
        state.version += 1;
        let version = state.version;
        let is_loaded = state.flight.loaded_count() > 0;
        let at = match self.policy {
            _ if is_over && !is_loaded => return,
            KeepPolicy::Planned(_) if state.last_busy >= self.now => None,
            KeepPolicy::Planned(_) => {
                let change = state.warm.next_change(now);
                change.map(|at| at.duration_since(self.start).as_secs_f64())
            }
            KeepPolicy::Fixed(keep) | KeepPolicy::Naive(keep) => {
                is_loaded.then_some(state.last_busy + keep.as_secs_f64() + 0.001)
            }
        };
        let surplus = wanted > 1 || state.flight.loaded_count() > wanted;
        let retry = self.demand(model).waiting > 0;
        let soon = (surplus || retry).then_some(self.now + if retry { 1.0 } else { 5.0 });
        let next = [at.filter(|at| *at > self.now), soon].into_iter().flatten().reduce(f64::min);
        if let Some(at) = next {
            self.schedule(at, ReplayEvent::Check { model, version });
        }
    }

    fn offer_slots(&mut self, model: usize) {
        let state = &self.models[model];
        let is_naive = matches!(self.policy, KeepPolicy::Naive(_));
        let candidates = state.slots.iter().map(|&server| {
            let holder = &self.servers[server];
            let free = holder.ledger.capacity().minus(holder.ledger.reserved());
            let tier = if is_naive { CacheTier::Remote } else { holder.tier(model) };
            LoadCandidate {
                vm: vm(server),
                holder: ProcessIncarnation(server as u64 + 1),
                fence: FencingNumber(1),
                tier,
                has_free_memory: is_naive || free >= state.size,
                loads_in_progress: if is_naive { 0 } else { holder.calls.len() as u32 },
            }
        });
        let event = SchedulerEvent::Slots(candidates.collect());
        self.feed_flight(model, event);
    }

    fn feed_flight(&mut self, model: usize, event: SchedulerEvent) {
        let now = self.instant();
        for action in self.models[model].flight.step(event, now) {
            match action {
                SchedulerAction::Order(order, slot) => self.order_load(model, order, &slot),
                SchedulerAction::Ready(vm) => self.make_ready(model, server_of(&vm)),
                SchedulerAction::NoSlotAvailable(_) => {}
            }
        }
    }

    fn order_load(&mut self, model: usize, order: OrderId, slot: &LoadCandidate) {
        let worth = match self.policy {
            KeepPolicy::Planned(_) => self.models[model].warm.worth(&self.prior, self.instant()),
            _ => KeepWorth::default(),
        };
        let load = LoadOrder {
            id: order,
            target: model_target(model),
            size: self.models[model].size,
            holder: slot.holder,
            fence: slot.fence,
            worth: KeepWorth(u64::MAX).min(worth),
        };
        let server = server_of(&slot.vm);
        self.refresh_worth(server);
        let demanded = LoadOrder { worth: KeepWorth(u64::MAX), ..load };
        self.feed_ledger(server, LedgerEvent::Load(demanded));
    }

    /// Tells a server what its idle models are worth now.
    fn refresh_worth(&mut self, server: usize) {
        if !matches!(self.policy, KeepPolicy::Planned(_)) {
            return;
        }
        let held: Vec<usize> = self.servers[server].present.keys().map(model_of).collect();
        for model in held {
            let worth = self.models[model].warm.worth(&self.prior, self.instant());
            let worth = KeepWorth(worth.0.min(u64::MAX - 1));
            self.feed_ledger(server, LedgerEvent::WorthChanged(model_target(model), worth));
        }
    }

    fn make_ready(&mut self, model: usize, server: usize) {
        self.models[model].ready.insert(server);
        self.models[model].idle_from.insert(server, self.now);
        self.start_waiting(model);
    }

    fn start_waiting(&mut self, model: usize) {
        while !self.models[model].queue.is_empty() && self.now >= self.models[model].blocked_until {
            let state = &self.models[model];
            let load = |server: &usize| state.running.get(server).copied().unwrap_or(0);
            let free = state.ready.iter().copied().filter(|server| load(server) < BATCH);
            let Some(server) = free.min_by_key(load) else { return };
            let waiting = self.models[model].queue.pop_front().expect("the queue is not empty");
            self.hand_over(model, server, waiting);
        }
    }

    fn hand_over(&mut self, model: usize, server: usize, waiting: Waiting) {
        self.end_idle(model, server);
        *self.models[model].running.entry(server).or_default() += 1;
        let Some(adapter) = waiting.request.adapter else {
            self.feed_ledger(server, LedgerEvent::RequestStarted(model_target(model)));
            return self.begin(model, server, waiting);
        };
        let target = adapter_target(model, adapter);
        if self.servers[server].ledger.can_serve(&target) {
            self.feed_ledger(server, LedgerEvent::RequestStarted(target));
            return self.begin(model, server, waiting);
        }
        self.next_adapter_order += 1;
        let id = OrderId(self.next_adapter_order);
        self.servers[server].parked.insert(id, waiting);
        let order = LoadOrder {
            id,
            target,
            size: ADAPTER_MEMORY,
            holder: ProcessIncarnation(server as u64 + 1),
            fence: FencingNumber(1),
            worth: KeepWorth::default(),
        };
        self.feed_ledger(server, LedgerEvent::Load(order));
    }

    fn begin(&mut self, model: usize, server: usize, waiting: Waiting) {
        let adapter = waiting.request.adapter;
        if waiting.at >= self.size.learned_hours * 3600.0 {
            let wait = self.now - waiting.at;
            self.result.waits.push(wait);
            if waiting.was_cold {
                self.result.cold.push(wait);
            }
        }
        let end = self.now + waiting.request.service;
        self.schedule(end, ReplayEvent::Ended { model, server, adapter });
    }

    fn end_request(&mut self, model: usize, server: usize, adapter: Option<usize>) {
        let target = match adapter {
            Some(adapter) => adapter_target(model, adapter),
            None => model_target(model),
        };
        self.feed_ledger(server, LedgerEvent::RequestEnded(target));
        self.free_place(model, server);
        self.pump(model);
    }

    fn free_place(&mut self, model: usize, server: usize) {
        let state = &mut self.models[model];
        let running = state.running.entry(server).or_default();
        *running = running.saturating_sub(1);
        if *running == 0 && state.ready.contains(&server) {
            state.idle_from.insert(server, self.now);
        }
    }

    fn end_idle(&mut self, model: usize, server: usize) {
        let Some(from) = self.models[model].idle_from.remove(&server) else { return };
        let (learned, end) = (self.size.learned_hours * 3600.0, self.size.hours * 3600.0);
        let idle = (self.now.min(end) - from.max(learned)).max(0.0);
        let share = self.models[model].size.0 as f64 / SERVER_MEMORY.0 as f64;
        self.result.idle_hours += idle / 3600.0 * share * SERVER_ACCELERATORS;
    }

    fn unload_surplus(&mut self, model: usize, wanted: u32) {
        let state = &self.models[model];
        if state.flight.loaded_count() <= wanted {
            return;
        }
        let is_idle = |server: &&usize| state.running.get(server).copied().unwrap_or(0) == 0;
        let Some(&server) = state.ready.iter().rfind(is_idle) else { return };
        self.lose_replica(model, server);
        let order = UnloadOrder {
            id: OrderId(0),
            target: model_target(model),
            holder: ProcessIncarnation(server as u64 + 1),
            fence: FencingNumber(1),
            purpose: UnloadPurpose::Idle,
        };
        self.feed_ledger(server, LedgerEvent::Unload(order));
    }

    fn lose_replica(&mut self, model: usize, server: usize) {
        self.end_idle(model, server);
        self.models[model].ready.remove(&server);
        self.feed_flight(model, SchedulerEvent::NotLoaded(vm(server)));
    }

    fn feed_ledger(&mut self, server: usize, event: LedgerEvent) {
        let now = self.instant();
        for action in self.servers[server].ledger.step(event, now) {
            self.act(server, action);
        }
    }

    fn act(&mut self, server: usize, action: LedgerAction) {
        match action {
            LedgerAction::ListEngine(number) => {
                self.schedule(self.now + LIST_TIME, ReplayEvent::Listed { server, number });
            }
            LedgerAction::LoadAtEngine { call: attempt, target, .. } => {
                self.begin_load(server, attempt, target);
            }
            LedgerAction::UnloadAtEngine { call: attempt, target, .. } => {
                self.begin_unload(server, attempt, target);
            }
            LedgerAction::Confirm(order, OrderOutcome::Loaded) => self.confirm(server, order),
            LedgerAction::Confirm(..) => {}
            LedgerAction::Deny(order, reason) => self.deny(server, order, reason),
        }
    }

    fn confirm(&mut self, server: usize, order: OrderId) {
        let Some(waiting) = self.servers[server].parked.remove(&order) else {
            let model = (order.0 >> 32) as usize;
            self.feed_flight(model, SchedulerEvent::Confirmed(order));
            return self.pump(model);
        };
        let request = waiting.request;
        let target = adapter_target(request.model, request.adapter.expect("an adapter was loaded"));
        self.feed_ledger(server, LedgerEvent::RequestStarted(target));
        self.begin(request.model, server, waiting);
    }

    fn deny(&mut self, server: usize, order: OrderId, reason: DenyReason) {
        if let Some(waiting) = self.servers[server].parked.remove(&order) {
            let model = waiting.request.model;
            return self.take_back(model, server, waiting);
        }
        let model = (order.0 >> 32) as usize;
        if order.0 != 0 && model < self.models.len() {
            self.feed_flight(model, SchedulerEvent::Denied(order, reason));
            self.schedule_check(model, 1);
        }
    }

    /// An adapter could not be loaded: the request waits, and a leaving model is given up.
    fn take_back(&mut self, model: usize, server: usize, waiting: Waiting) {
        self.free_place(model, server);
        if !self.servers[server].ledger.can_serve(&model_target(model)) {
            self.lose_replica(model, server);
        }
        let state = &mut self.models[model];
        state.queue.push_back(waiting);
        state.blocked_until = self.now + RETRY_PAUSE;
        state.version += 1;
        let version = state.version;
        self.schedule(self.now + RETRY_PAUSE, ReplayEvent::Check { model, version });
    }

    fn begin_load(&mut self, server: usize, attempt: EngineCallId, target: LoadTarget) {
        let model = model_of(&target);
        let is_adapter = target.is_adapter();
        let size = if is_adapter { ADAPTER_MEMORY } else { self.models[model].size };
        let holder = &mut self.servers[server];
        holder.present.insert(target.clone(), size);
        let total = holder.present.values().copied().fold(ByteSize::default(), ByteSize::plus);
        self.result.breaches += usize::from(total > SERVER_MEMORY);
        holder.calls.insert(attempt, EngineCall { target, is_load: true });
        if is_adapter {
            let (low, high) = self.size.adapter_load;
            let time = low + (high - low) * (attempt.0 % 10) as f64 / 9.0;
            return self.schedule(self.now + time, ReplayEvent::Called { server, attempt });
        }
        self.result.loads += usize::from(self.now >= self.size.learned_hours * 3600.0);
        let tier = self.servers[server].tier(model);
        let rest = weight(size) * if tier == CacheTier::Memory { MEMORY_LOAD } else { DISK_LOAD };
        match tier {
            CacheTier::Remote => self.read_store(server, attempt, rest),
            _ => self.schedule(self.now + rest, ReplayEvent::Called { server, attempt }),
        }
    }

    fn read_store(&mut self, server: usize, attempt: EngineCallId, rest: f64) {
        let ticket = WeightLoadId(self.next_ticket);
        self.next_ticket += 1;
        let read = self.read_time();
        self.store_loads.insert(ticket, StoreLoad { server, attempt, read, rest });
        if let KeepPolicy::Naive(_) = self.policy {
            let crowd = self.store_loads.len() as f64 / weight_limiter::MAX_CONCURRENT_LOADS as f64;
            let read = WRITE_TIME + read * crowd.max(1.0);
            return self.schedule(self.now + read, ReplayEvent::Stored(ticket));
        }
        let model = model_of(&self.servers[server].calls[&attempt].target);
        let waiters = self.models[model].queue.len() as u32;
        let class = if waiters > 0 { LoadClass::Interactive } else { LoadClass::Preload };
        let first = self.models[model].queue.front().map_or(self.now, |waiting| waiting.at);
        let deadline = self.start + Duration::from_secs_f64(first + 3600.0);
        self.feed_gate(LimiterEvent::Requested(WeightLoadRequest {
            id: ticket,
            class,
            deadline,
            waiters,
        }));
    }

    fn feed_gate(&mut self, event: LimiterEvent) {
        let now = self.instant();
        for action in self.gate.step(event, now) {
            if let LimiterAction::Permit(ticket) = action {
                let read = self.store_loads[&ticket].read;
                self.schedule(self.now + read, ReplayEvent::Stored(ticket));
            }
        }
        if let Some(at) = self.gate.next_tick() {
            let at = at.duration_since(self.start).as_secs_f64();
            self.schedule(at, ReplayEvent::GateTick);
        }
    }

    fn end_read(&mut self, ticket: WeightLoadId) {
        let load = self.store_loads.remove(&ticket).expect("each read ends once");
        let StoreLoad { server, attempt, rest, .. } = load;
        self.schedule(self.now + rest, ReplayEvent::Called { server, attempt });
        if !matches!(self.policy, KeepPolicy::Naive(_)) {
            self.feed_gate(LimiterEvent::Ended(ticket));
        }
    }

    fn begin_unload(&mut self, server: usize, attempt: EngineCallId, target: LoadTarget) {
        if !target.is_adapter() {
            let model = model_of(&target);
            if self.models[model].ready.contains(&server) {
                self.lose_replica(model, server);
            }
        }
        self.servers[server].calls.insert(attempt, EngineCall { target, is_load: false });
        self.schedule(self.now + UNLOAD_TIME, ReplayEvent::Called { server, attempt });
    }

    fn end_call(&mut self, server: usize, attempt: EngineCallId) {
        let holder = &mut self.servers[server];
        let call = holder.calls.remove(&attempt).expect("each call ends once");
        if !call.is_load {
            holder.present.remove(&call.target);
        } else if !call.target.is_adapter() {
            holder.cache(model_of(&call.target));
        }
        self.feed_ledger(server, LedgerEvent::Answered(attempt, EngineAnswer::Done));
    }

    fn answer_listing(&mut self, server: usize, number: ListingNumber) {
        let listed = |(target, size): (&LoadTarget, &ByteSize)| ListedTarget {
            target: target.clone(),
            size: *size,
        };
        let targets = self.servers[server].present.iter().map(listed).collect();
        let listing = EngineListing { number, incarnation: EngineIncarnation(1), targets };
        self.feed_ledger(server, LedgerEvent::Listed(listing));
    }
}

/// Size of a model beside that which load times are given for.
fn weight(size: ByteSize) -> f64 {
    size.0 as f64 / ByteSize::gib(1).0 as f64 / SIZE_UNIT
}

fn new_server(server: usize, _: Instant) -> Server {
    let settings = LedgerSettings {
        capacity: SERVER_MEMORY,
        largest_adapter: ADAPTER_MEMORY,
        fence_check: FenceCheck::Ignored,
        holder: ProcessIncarnation(server as u64 + 1),
    };
    Server {
        ledger: MemoryLedger::new(settings),
        present: BTreeMap::new(),
        calls: HashMap::new(),
        memory: VecDeque::new(),
        disk: VecDeque::new(),
        parked: HashMap::new(),
    }
}

impl Server {
    fn tier(&self, model: usize) -> CacheTier {
        if self.memory.contains(&model) {
            CacheTier::Memory
        } else if self.disk.contains(&model) {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// Keeps the checkpoint in memory; the least recently used ones sink to disk and away.
    fn cache(&mut self, model: usize) {
        self.memory.retain(|cached| *cached != model);
        self.disk.retain(|cached| *cached != model);
        self.memory.push_front(model);
        if self.memory.len() > MEMORY_CACHE {
            self.disk.extend(self.memory.pop_back());
            self.disk.rotate_right(1);
        }
        self.disk.truncate(DISK_CACHE);
    }
}
