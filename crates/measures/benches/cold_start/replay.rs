//! Replays a request trace through the loading state machines in virtual time.

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
/// Checkpoints that a server caches in memory.
const MEMORY_CACHE: usize = 2;
/// Checkpoints that a server caches on disk.
const DISK_CACHE: usize = 8;
/// Time to load a checkpoint of `REFERENCE_GIB` from memory.
const MEMORY_LOAD_SECONDS: f64 = 1.0;
/// Time to load a checkpoint of `REFERENCE_GIB` from disk.
const DISK_LOAD_SECONDS: f64 = 4.0;
/// Size of the checkpoint that the load times are given for; they grow in proportion to the size.
const REFERENCE_GIB: f64 = 14.0;
/// Time that an engine takes to unload a target.
const UNLOAD_SECONDS: f64 = 0.2;
/// Time that an engine takes to list its targets.
const LISTING_SECONDS: f64 = 0.005;
/// Time of a write to the platform's store.
const STORE_WRITE_SECONDS: f64 = 0.008;
/// Time after the end of the trace in which queued requests may still start.
const TAIL_SECONDS: f64 = 600.0;
/// Delay before a request whose adapter a server refused to load is retried.
const RETRY_DELAY_SECONDS: f64 = 0.5;
/// Requests that a replica runs at once.
const BATCH: u32 = 16;

/// How long idle models stay loaded, and how servers are chosen for loads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeepPolicy {
    /// A fixed keep-alive; loads are scheduled as in the system.
    Fixed(Duration),
    /// The keep-warm plan by expected costs, with this price of a second of waiting.
    Planned(f64),
    /// A fixed keep-alive; any server, no weight load limiter, one store write for each load.
    Naive(Duration),
}

/// Measurements of a replay; `unserved` and `breaches` count the warm-up, the others don't.
#[derive(Debug, Clone, Default)]
pub struct ReplayResult {
    /// Waiting times of all requests, in seconds, sorted.
    pub waits: Vec<f64>,
    /// Waiting times of requests that arrived while no replica was ready, in seconds, sorted.
    pub cold: Vec<f64>,
    /// Accelerator hours taken by loaded models without requests.
    pub idle_hours: f64,
    /// Number of model loads.
    pub loads: usize,
    /// Requests still queued at the end of the replay.
    pub unserved: usize,
    /// Times that a load exceeded a server's memory.
    pub breaches: usize,
}

/// Nearest-rank quantile of sorted `values`; zero if there are none.
pub fn quantile(values: &[f64], quantile: f64) -> f64 {
    match values.len() {
        0 => 0.0,
        len => values[((len as f64 * quantile).ceil() as usize).clamp(1, len) - 1],
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ReplayEvent {
    Arrive(usize),
    RequestEnded { model: usize, server: usize, adapter: Option<usize> },
    ReadEnded(WeightLoadId),
    CallEnded { server: usize, call: EngineCallId },
    Listed { server: usize, number: ListingNumber },
    LimiterTick,
    Check { model: usize, version: u64 },
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    arrival: f64,
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
    /// Models with a checkpoint in memory, most recently used first.
    memory_cache: VecDeque<usize>,
    /// Models with a checkpoint on disk, most recently used first.
    disk_cache: VecDeque<usize>,
    /// Requests that wait for the load of their adapter.
    awaiting_adapter: HashMap<OrderId, QueuedRequest>,
}

struct Model {
    size: ByteSize,
    slots: Vec<usize>,
    scheduler: LoadScheduler,
    scaler: ReplicaScaler,
    keep_warm: KeepWarm,
    queue: VecDeque<QueuedRequest>,
    running: BTreeMap<usize, u32>,
    ready: BTreeSet<usize>,
    idle_from: BTreeMap<usize, f64>,
    last_busy: f64,
    /// Queued requests don't start before this time, in seconds.
    blocked_until: f64,
    /// Number of the latest scheduled check; checks with an earlier number are ignored.
    version: u64,
}

/// Load that is queued for the weight store or reads from it.
#[derive(Debug, Clone, Copy)]
struct StoreLoad {
    server: usize,
    call: EngineCallId,
    /// Time to read the weights, in seconds.
    read_time: f64,
    /// Time to load the weights after the read, in seconds.
    load_time: f64,
}

/// State of one replay; times in seconds of virtual time.
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
    limiter: WeightLoadLimiter,
    store_loads: HashMap<WeightLoadId, StoreLoad>,
    next_load: u64,
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
    /// Creates a fleet with nothing loaded and schedules the first arrival.
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
            limiter: WeightLoadLimiter::new(EventRate(size.store_rate), start),
            store_loads: HashMap::new(),
            next_load: 1,
            next_adapter_order: 1 << 60,
            prior: GapHistogram::default(),
            result: ReplayResult::default(),
        };
        for model in 0..size.models {
            let model = replay.new_model(model);
            replay.models.push(model);
        }
        for server in 0..size.servers {
            replay.step_ledger(server, LedgerEvent::Inherited(Vec::new()));
        }
        if !trace.requests.is_empty() {
            replay.schedule(trace.requests[0].arrival, ReplayEvent::Arrive(0));
        }
        replay
    }

    fn new_model(&self, model: usize) -> Model {
        let size = self.trace.models[model].size;
        let load_time = Duration::from_secs_f64(self.remote_load_time(size));
        let accelerators = SERVER_ACCELERATORS * size.0 as f64 / SERVER_MEMORY.0 as f64;
        let prices = match self.policy {
            KeepPolicy::Planned(wait) => WarmPrices { wait, ..WarmPrices::default() },
            _ => WarmPrices::default(),
        };
        let speed = ReplicaSpeed { batch: BATCH, service_time: Duration::from_secs(4), load_time };
        let servers = (0..self.size.slots).map(|n| (model * 7 + n * 5) % self.size.servers);
        let slots: BTreeSet<usize> = servers.collect();
        Model {
            size,
            slots: slots.into_iter().collect(),
            scheduler: LoadScheduler::new(OrderId((model as u64) << 32)),
            scaler: ReplicaScaler::new(speed),
            keep_warm: KeepWarm::new(prices, LoadCost { load_time, accelerators }, self.start),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            ready: BTreeSet::new(),
            idle_from: BTreeMap::new(),
            last_busy: f64::NEG_INFINITY,
            blocked_until: 0.0,
            version: 0,
        }
    }

    fn remote_load_time(&self, size: ByteSize) -> f64 {
        self.read_time() + DISK_LOAD_SECONDS * relative_size(size)
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

    /// Replays the whole trace and returns its measurements.
    pub fn run(mut self) -> ReplayResult {
        while let Some(Reverse((at, sequence))) = self.heap.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.size.trace_hours * 3600.0 + TAIL_SECONDS {
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
            ReplayEvent::Arrive(index) => self.handle_arrival(index),
            ReplayEvent::RequestEnded { model, server, adapter } => {
                self.end_request(model, server, adapter)
            }
            ReplayEvent::ReadEnded(load) => self.end_read(load),
            ReplayEvent::CallEnded { server, call } => self.end_call(server, call),
            ReplayEvent::Listed { server, number } => self.answer_listing(server, number),
            ReplayEvent::LimiterTick => self.step_limiter(LimiterEvent::Tick),
            ReplayEvent::Check { model, version } => {
                if self.models[model].version == version {
                    self.update_model(model);
                }
            }
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = self.trace.requests[index];
        if let Some(next) = self.trace.requests.get(index + 1) {
            self.schedule(next.arrival, ReplayEvent::Arrive(index + 1));
        }
        let was_cold = self.models[request.model].ready.is_empty();
        let queued = QueuedRequest { arrival: self.now, request, was_cold };
        self.models[request.model].queue.push_back(queued);
        self.update_model(request.model);
    }

    /// Starts queued requests and adjusts the number of replicas.
    fn update_model(&mut self, model: usize) {
        self.start_queued(model);
        if !self.models[model].queue.is_empty() || self.models[model].ready.is_empty() {
            self.update_candidates(model);
        }
        let now = self.instant();
        let demand = self.demand(model);
        let is_busy = demand != ModelDemand::default();
        let state = &mut self.models[model];
        if is_busy {
            state.last_busy = self.now;
        }
        state.keep_warm.observe(is_busy, &mut self.prior, now);
        let replicas = state.scheduler.loaded_count() + state.scheduler.loading_count();
        let target = state.scaler.target(demand, replicas, now);
        let is_kept = match self.policy {
            KeepPolicy::Planned(_) => state.keep_warm.warm_request(now) == WarmRequest::Loaded,
            KeepPolicy::Fixed(keep) | KeepPolicy::Naive(keep) => {
                self.now < state.last_busy + keep.as_secs_f64()
            }
        };
        let desired = desired_replicas(target, demand, is_kept);
        self.step_scheduler(model, SchedulerEvent::DesiredReplicas(desired));
        if demand.waiting == 0 {
            self.unload_surplus(model, desired);
        }
        self.schedule_check(model, desired);
    }

    fn demand(&self, model: usize) -> ModelDemand {
        let state = &self.models[model];
        let running = state.running.values().sum();
        ModelDemand { waiting: state.queue.len() as u32, running }
    }

    /// Schedules the next check of a model and makes earlier ones void.
    fn schedule_check(&mut self, model: usize, desired: u32) {
        let now = self.instant();
        let is_over = self.now > self.size.trace_hours * 3600.0;
        let state = &mut self.models[model];
        state.version += 1;
        let version = state.version;
        let is_loaded = state.scheduler.loaded_count() > 0;
        let policy_change = match self.policy {
            _ if is_over && !is_loaded => return,
            KeepPolicy::Planned(_) if state.last_busy >= self.now => None,
            KeepPolicy::Planned(_) => {
                let change = state.keep_warm.next_change(now);
                change.map(|at| at.duration_since(self.start).as_secs_f64())
            }
            KeepPolicy::Fixed(keep) | KeepPolicy::Naive(keep) => {
                is_loaded.then_some(state.last_busy + keep.as_secs_f64() + 0.001)
            }
        };
        let has_surplus = desired > 1 || state.scheduler.loaded_count() > desired;
        let is_waiting = self.demand(model).waiting > 0;
        let soon =
            (has_surplus || is_waiting).then_some(self.now + if is_waiting { 1.0 } else { 5.0 });
        let next = [policy_change.filter(|at| *at > self.now), soon]
            .into_iter()
            .flatten()
            .reduce(f64::min);
        if let Some(at) = next {
            self.schedule(at, ReplayEvent::Check { model, version });
        }
    }

    /// Gives the model's scheduler the current state of its slots.
    fn update_candidates(&mut self, model: usize) {
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
        self.step_scheduler(model, event);
    }

    fn step_scheduler(&mut self, model: usize, event: SchedulerEvent) {
        let now = self.instant();
        for action in self.models[model].scheduler.step(event, now) {
            match action {
                SchedulerAction::Order(order, slot) => self.order_load(model, order, &slot),
                SchedulerAction::Ready(vm) => self.make_ready(model, server_of(&vm)),
                SchedulerAction::NoSlotAvailable(_) => {}
            }
        }
    }

    fn order_load(&mut self, model: usize, order: OrderId, slot: &LoadCandidate) {
        let worth = match self.policy {
            KeepPolicy::Planned(_) => {
                self.models[model].keep_warm.worth(&self.prior, self.instant())
            }
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
        let requested = LoadOrder { worth: KeepWorth(u64::MAX), ..load };
        self.step_ledger(server, LedgerEvent::Load(requested));
    }

    /// Sends the current worth of a server's models to its ledger.
    fn refresh_worth(&mut self, server: usize) {
        if !matches!(self.policy, KeepPolicy::Planned(_)) {
            return;
        }
        let models: Vec<usize> = self.servers[server].present.keys().map(model_of).collect();
        for model in models {
            let worth = self.models[model].keep_warm.worth(&self.prior, self.instant());
            let worth = KeepWorth(worth.0.min(u64::MAX - 1));
            self.step_ledger(server, LedgerEvent::WorthChanged(model_target(model), worth));
        }
    }

    fn make_ready(&mut self, model: usize, server: usize) {
        self.models[model].ready.insert(server);
        self.models[model].idle_from.insert(server, self.now);
        self.start_queued(model);
    }

    fn start_queued(&mut self, model: usize) {
        while !self.models[model].queue.is_empty() && self.now >= self.models[model].blocked_until {
            let state = &self.models[model];
            let load = |server: &usize| state.running.get(server).copied().unwrap_or(0);
            let with_free_place = state.ready.iter().copied().filter(|server| load(server) < BATCH);
            let Some(server) = with_free_place.min_by_key(load) else { return };
            let queued = self.models[model].queue.pop_front().expect("the queue is not empty");
            self.start_request(model, server, queued);
        }
    }

    /// Starts a request at a replica, or has its adapter loaded there first.
    fn start_request(&mut self, model: usize, server: usize, queued: QueuedRequest) {
        self.end_idle(model, server);
        *self.models[model].running.entry(server).or_default() += 1;
        let Some(adapter) = queued.request.adapter else {
            self.step_ledger(server, LedgerEvent::RequestStarted(model_target(model)));
            return self.record_start(model, server, queued);
        };
        let target = adapter_target(model, adapter);
        if self.servers[server].ledger.can_serve(&target) {
            self.step_ledger(server, LedgerEvent::RequestStarted(target));
            return self.record_start(model, server, queued);
        }
        self.next_adapter_order += 1;
        let id = OrderId(self.next_adapter_order);
        self.servers[server].awaiting_adapter.insert(id, queued);
        let order = LoadOrder {
            id,
            target,
            size: ADAPTER_MEMORY,
            holder: ProcessIncarnation(server as u64 + 1),
            fence: FencingNumber(1),
            worth: KeepWorth::default(),
        };
        self.step_ledger(server, LedgerEvent::Load(order));
    }

    fn record_start(&mut self, model: usize, server: usize, queued: QueuedRequest) {
        let adapter = queued.request.adapter;
        if queued.arrival >= self.size.warm_up_hours * 3600.0 {
            let wait = self.now - queued.arrival;
            self.result.waits.push(wait);
            if queued.was_cold {
                self.result.cold.push(wait);
            }
        }
        let end = self.now + queued.request.service_time;
        self.schedule(end, ReplayEvent::RequestEnded { model, server, adapter });
    }

    fn end_request(&mut self, model: usize, server: usize, adapter: Option<usize>) {
        let target = match adapter {
            Some(adapter) => adapter_target(model, adapter),
            None => model_target(model),
        };
        self.step_ledger(server, LedgerEvent::RequestEnded(target));
        self.record_request_end(model, server);
        self.update_model(model);
    }

    fn record_request_end(&mut self, model: usize, server: usize) {
        let state = &mut self.models[model];
        let running = state.running.entry(server).or_default();
        *running = running.saturating_sub(1);
        if *running == 0 && state.ready.contains(&server) {
            state.idle_from.insert(server, self.now);
        }
    }

    /// Ends the idle time of a replica, if it is idle, and counts what lies in the measured part.
    fn end_idle(&mut self, model: usize, server: usize) {
        let Some(from) = self.models[model].idle_from.remove(&server) else { return };
        let (warm_up_end, end) = (self.size.warm_up_hours * 3600.0, self.size.trace_hours * 3600.0);
        let idle = (self.now.min(end) - from.max(warm_up_end)).max(0.0);
        let share = self.models[model].size.0 as f64 / SERVER_MEMORY.0 as f64;
        self.result.idle_hours += idle / 3600.0 * share * SERVER_ACCELERATORS;
    }

    /// Unloads one idle replica if more than `desired` are loaded.
    fn unload_surplus(&mut self, model: usize, desired: u32) {
        let state = &self.models[model];
        if state.scheduler.loaded_count() <= desired {
            return;
        }
        let is_idle = |server: &&usize| state.running.get(server).copied().unwrap_or(0) == 0;
        let Some(&server) = state.ready.iter().rfind(is_idle) else { return };
        self.remove_replica(model, server);
        let order = UnloadOrder {
            id: OrderId(0),
            target: model_target(model),
            holder: ProcessIncarnation(server as u64 + 1),
            fence: FencingNumber(1),
            purpose: UnloadPurpose::Idle,
        };
        self.step_ledger(server, LedgerEvent::Unload(order));
    }

    fn remove_replica(&mut self, model: usize, server: usize) {
        self.end_idle(model, server);
        self.models[model].ready.remove(&server);
        self.step_scheduler(model, SchedulerEvent::NotLoaded(vm(server)));
    }

    fn step_ledger(&mut self, server: usize, event: LedgerEvent) {
        let now = self.instant();
        for action in self.servers[server].ledger.step(event, now) {
            self.apply_action(server, action);
        }
    }

    fn apply_action(&mut self, server: usize, action: LedgerAction) {
        match action {
            LedgerAction::ListEngine(number) => {
                self.schedule(self.now + LISTING_SECONDS, ReplayEvent::Listed { server, number });
            }
            LedgerAction::LoadAtEngine { call, target, .. } => {
                self.begin_load(server, call, target);
            }
            LedgerAction::UnloadAtEngine { call, target, .. } => {
                self.begin_unload(server, call, target);
            }
            LedgerAction::Confirm(order, OrderOutcome::Loaded) => {
                self.handle_confirmation(server, order)
            }
            LedgerAction::Confirm(..) => {}
            LedgerAction::Deny(order, reason) => self.handle_denial(server, order, reason),
        }
    }

    fn handle_confirmation(&mut self, server: usize, order: OrderId) {
        let Some(queued) = self.servers[server].awaiting_adapter.remove(&order) else {
            let model = (order.0 >> 32) as usize;
            self.step_scheduler(model, SchedulerEvent::Confirmed(order));
            return self.update_model(model);
        };
        let request = queued.request;
        let target = adapter_target(request.model, request.adapter.expect("an adapter was loaded"));
        self.step_ledger(server, LedgerEvent::RequestStarted(target));
        self.record_start(request.model, server, queued);
    }

    fn handle_denial(&mut self, server: usize, order: OrderId, reason: DenyReason) {
        if let Some(queued) = self.servers[server].awaiting_adapter.remove(&order) {
            let model = queued.request.model;
            return self.requeue(model, server, queued);
        }
        let model = (order.0 >> 32) as usize;
        if order.0 != 0 && model < self.models.len() {
            self.step_scheduler(model, SchedulerEvent::Denied(order, reason));
            self.schedule_check(model, 1);
        }
    }

    /// Queues a request again whose adapter was not loaded, and removes the replica if its model is
    /// being unloaded.
    fn requeue(&mut self, model: usize, server: usize, queued: QueuedRequest) {
        self.record_request_end(model, server);
        if !self.servers[server].ledger.can_serve(&model_target(model)) {
            self.remove_replica(model, server);
        }
        let state = &mut self.models[model];
        state.queue.push_back(queued);
        state.blocked_until = self.now + RETRY_DELAY_SECONDS;
        state.version += 1;
        let version = state.version;
        self.schedule(self.now + RETRY_DELAY_SECONDS, ReplayEvent::Check { model, version });
    }

    fn begin_load(&mut self, server: usize, call: EngineCallId, target: LoadTarget) {
        let model = model_of(&target);
        let is_adapter = target.is_adapter();
        let size = if is_adapter { ADAPTER_MEMORY } else { self.models[model].size };
        let holder = &mut self.servers[server];
        holder.present.insert(target.clone(), size);
        let total = holder.present.values().copied().fold(ByteSize::default(), ByteSize::plus);
        self.result.breaches += usize::from(total > SERVER_MEMORY);
        holder.calls.insert(call, EngineCall { target, is_load: true });
        if is_adapter {
            let (low, high) = self.size.adapter_load;
            let time = low + (high - low) * (call.0 % 10) as f64 / 9.0;
            return self.schedule(self.now + time, ReplayEvent::CallEnded { server, call });
        }
        self.result.loads += usize::from(self.now >= self.size.warm_up_hours * 3600.0);
        let tier = self.servers[server].tier(model);
        let load_time = relative_size(size)
            * if tier == CacheTier::Memory { MEMORY_LOAD_SECONDS } else { DISK_LOAD_SECONDS };
        match tier {
            CacheTier::Remote => self.read_store(server, call, load_time),
            _ => self.schedule(self.now + load_time, ReplayEvent::CallEnded { server, call }),
        }
    }

    fn read_store(&mut self, server: usize, call: EngineCallId, load_time: f64) {
        let load = WeightLoadId(self.next_load);
        self.next_load += 1;
        let read_time = self.read_time();
        self.store_loads.insert(load, StoreLoad { server, call, read_time, load_time });
        if let KeepPolicy::Naive(_) = self.policy {
            let overload =
                self.store_loads.len() as f64 / weight_limiter::MAX_CONCURRENT_LOADS as f64;
            let read_time = STORE_WRITE_SECONDS + read_time * overload.max(1.0);
            return self.schedule(self.now + read_time, ReplayEvent::ReadEnded(load));
        }
        let model = model_of(&self.servers[server].calls[&call].target);
        let waiters = self.models[model].queue.len() as u32;
        let class = if waiters > 0 { LoadClass::Interactive } else { LoadClass::Preload };
        let first_arrival =
            self.models[model].queue.front().map_or(self.now, |queued| queued.arrival);
        let deadline = self.start + Duration::from_secs_f64(first_arrival + 3600.0);
        self.step_limiter(LimiterEvent::Requested(WeightLoadRequest {
            id: load,
            class,
            deadline,
            waiters,
        }));
    }

    fn step_limiter(&mut self, event: LimiterEvent) {
        let now = self.instant();
        for action in self.limiter.step(event, now) {
            if let LimiterAction::Permit(load) = action {
                let read_time = self.store_loads[&load].read_time;
                self.schedule(self.now + read_time, ReplayEvent::ReadEnded(load));
            }
        }
        if let Some(at) = self.limiter.next_tick() {
            let at = at.duration_since(self.start).as_secs_f64();
            self.schedule(at, ReplayEvent::LimiterTick);
        }
    }

    fn end_read(&mut self, id: WeightLoadId) {
        let load = self.store_loads.remove(&id).expect("each read ends once");
        let StoreLoad { server, call, load_time, .. } = load;
        self.schedule(self.now + load_time, ReplayEvent::CallEnded { server, call });
        if !matches!(self.policy, KeepPolicy::Naive(_)) {
            self.step_limiter(LimiterEvent::Ended(id));
        }
    }

    fn begin_unload(&mut self, server: usize, call: EngineCallId, target: LoadTarget) {
        if !target.is_adapter() {
            let model = model_of(&target);
            if self.models[model].ready.contains(&server) {
                self.remove_replica(model, server);
            }
        }
        self.servers[server].calls.insert(call, EngineCall { target, is_load: false });
        self.schedule(self.now + UNLOAD_SECONDS, ReplayEvent::CallEnded { server, call });
    }

    fn end_call(&mut self, server: usize, id: EngineCallId) {
        let holder = &mut self.servers[server];
        let call = holder.calls.remove(&id).expect("each call ends once");
        if !call.is_load {
            holder.present.remove(&call.target);
        } else if !call.target.is_adapter() {
            holder.cache(model_of(&call.target));
        }
        self.step_ledger(server, LedgerEvent::Answered(id, EngineAnswer::Done));
    }

    fn answer_listing(&mut self, server: usize, number: ListingNumber) {
        let listed = |(target, size): (&LoadTarget, &ByteSize)| ListedTarget {
            target: target.clone(),
            size: *size,
        };
        let targets = self.servers[server].present.iter().map(listed).collect();
        let listing = EngineListing { number, incarnation: EngineIncarnation(1), targets };
        self.step_ledger(server, LedgerEvent::Listed(listing));
    }
}

/// Ratio of a size to the size that the load times are given for.
fn relative_size(size: ByteSize) -> f64 {
    size.0 as f64 / ByteSize::gib(1).0 as f64 / REFERENCE_GIB
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
        memory_cache: VecDeque::new(),
        disk_cache: VecDeque::new(),
        awaiting_adapter: HashMap::new(),
    }
}

impl Server {
    fn tier(&self, model: usize) -> CacheTier {
        if self.memory_cache.contains(&model) {
            CacheTier::Memory
        } else if self.disk_cache.contains(&model) {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// Puts the checkpoint first in the memory cache; a full memory cache moves its least recently
    /// used checkpoint to disk, and a full disk cache drops its own.
    fn cache(&mut self, model: usize) {
        self.memory_cache.retain(|cached| *cached != model);
        self.disk_cache.retain(|cached| *cached != model);
        self.memory_cache.push_front(model);
        if self.memory_cache.len() > MEMORY_CACHE {
            self.disk_cache.extend(self.memory_cache.pop_back());
            self.disk_cache.rotate_right(1);
        }
        self.disk_cache.truncate(DISK_CACHE);
    }
}
