//! The other processes of the system: heartbeats with entries and side processes, demand reports,
//! and the planning of loads if this entry is the planner.

mod crashes;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use catalog::{Catalog, TokenCount};
use dispatch::{EngineUpdate, LoadEstimate, LoadInProgress};
use events::{DecisionEvent, EventLog};
use peers::{
    ChangeRequest, Datagram, DatagramBody, DemandReport, EngineLoad, EngineState, EntryHeartbeat,
    LoadEstimates, ModelDemand, ModelEstimate, PastRates, PeerAddress, PeerSocket, PeerTable,
    PeerUpdate, RunningRequests, SideHeartbeat,
};
use residency::{
    CurrentLoad, DemandRates, DemandRow, DemandTracker, EngineSnapshot, OrderCount, PlannedChange,
    Planner,
};
use roster::{IncarnationStart, InstanceId, ResidentModel};
use suspects::BlockDigest;
use tokio::{
    sync::{Notify, mpsc, watch},
    time,
};

use crate::{
    backends::{Backends, SuspectReport},
    block_archive::BlockArchive,
    demand::DemandReporter,
    metrics::GatewayMetrics,
    store_reads::StoreReads,
};

/// Time between two heartbeats to other entries.
const ENTRY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two heartbeats to a process from which none was received yet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay between an update about other processes and the heartbeats to those that are unknown, so
/// that processes that are listed at the same time are contacted at the same time.
const CONTACT_DELAY: Duration = Duration::from_millis(5);
/// Time between two heartbeats to side processes.
const SIDE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a datagram of a side process after which it is sent additional heartbeats.
const SIDE_PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a datagram of a side process after which it counts as unreachable.
const SIDE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time between two demand reports; without demand they are skipped.
const DEMAND_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between a request that starts to wait and the demand report, so that a burst of requests
/// is reported together.
const DEMAND_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two planning passes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two planning passes, so that a burst of updates is handled in one pass.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(30);

struct SideStatus {
    last_received: Instant,
    /// Number of the last engine state received; zero requests the state with the next heartbeat.
    state_number: u64,
    is_unreachable: bool,
}

struct FleetState {
    peers: PeerTable,
    /// Side processes by the addresses of their engines.
    sides: HashMap<SocketAddr, SideStatus>,
    demand: DemandTracker,
    planners: HashMap<ServiceName, Planner>,
    demand_reporter: DemandReporter,
    last_side_heartbeat: Option<Instant>,
    last_block_query: Option<Instant>,
}

/// The state of the other processes, as known to this entry; clones share it.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<FleetState>>,
    socket: Arc<PeerSocket>,
    reads: StoreReads,
    backends: Backends,
    archive: BlockArchive,
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    log: EventLog,
    metrics: GatewayMetrics,
    vm: VmId,
    core_share: u32,
    side_port: u16,
    demand_changed: Arc<Notify>,
    unknown_peers: Arc<Notify>,
    plan_inputs_changed: Arc<Notify>,
}

/// Identity of this entry towards the other processes.
pub struct FleetIdentity {
    /// VM of this entry.
    pub vm: VmId,
    /// Share of a CPU core that the VM has, in thousandths.
    pub core_share: u32,
    /// UDP port of all side processes.
    pub side_port: u16,
}

impl Fleet {
    /// A fleet without known processes.
    pub fn new(
        identity: FleetIdentity,
        socket: Arc<PeerSocket>,
        reads: StoreReads,
        backends: Backends,
        archive: BlockArchive,
        catalog: watch::Receiver<Option<Arc<Catalog>>>,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> Self {
        let FleetIdentity { vm, core_share, side_port } = identity;
        let state = FleetState {
            peers: PeerTable::new(vm.clone(), core_share),
            sides: HashMap::new(),
            demand: DemandTracker::default(),
            planners: HashMap::new(),
            demand_reporter: DemandReporter::new(vm.clone()),
            last_side_heartbeat: None,
            last_block_query: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            socket,
            reads,
            backends,
            archive,
            catalog,
            log,
            metrics,
            vm,
            core_share,
            side_port,
            demand_changed: Arc::default(),
            unknown_peers: Arc::default(),
            plan_inputs_changed: Arc::default(),
        }
    }

    /// Starts the tasks that receive datagrams, send heartbeats, send demand and `reports`, and
    /// plan.
    pub fn start(&self, reports: mpsc::Receiver<SuspectReport>) {
        tokio::spawn(self.clone().send_suspect_reports(reports));
        tokio::spawn(self.clone().receive());
        tokio::spawn(self.clone().send_heartbeats());
        tokio::spawn(self.clone().report_demand());
        tokio::spawn(self.clone().run_planner());
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Adds an entry that the store lists, and contacts it.
    pub fn add_entry(&self, vm: VmId, address: SocketAddr) {
        self.lock().peers.add_peer(vm, address, Instant::now());
        self.unknown_peers.notify_one();
    }

    /// Contacts the processes that are not known yet, such as side processes of new backend
    /// servers.
    pub fn contact_unknown_peers(&self) {
        self.unknown_peers.notify_one();
    }

    /// Marks this entry as draining, so that it plans no more, and notifies the other entries at
    /// once.
    pub fn drain(&self) {
        self.lock().peers.drain();
        self.send_entry_heartbeats();
    }

    /// Causes an early demand report because a request waits.
    pub fn request_demand_report(&self) {
        self.demand_changed.notify_one();
    }

    /// Excludes a backend server that is draining, removed or unreachable from planning.
    pub fn remove_engine(&self, instance: &InstanceId) {
        for planner in self.lock().planners.values_mut() {
            planner.remove(instance);
        }
    }

    async fn send_heartbeats(self) {
        let mut catalog = self.catalog.clone();
        loop {
            self.update_live_entries();
            self.send_entry_heartbeats();
            self.send_side_heartbeats();
            let next_heartbeat = Instant::now() + ENTRY_HEARTBEAT_INTERVAL;
            // The inner loop ends only when `next_heartbeat` is reached.
            while time::timeout_at(next_heartbeat, self.wait_for_unknown_peers(&mut catalog))
                .await
                .is_ok()
            {
                self.send_first_heartbeats();
            }
        }
    }

    /// Waits until there may be unknown processes to contact.
    async fn wait_for_unknown_peers(&self, catalog: &mut watch::Receiver<Option<Arc<Catalog>>>) {
        tokio::select! {
            () = self.unknown_peers.notified() => {}
            // Does not fail, because the catalog sender lives as long as the process.
            Ok(()) = catalog.changed() => {}
            () = time::sleep(CONTACT_INTERVAL) => {}
        }
        time::sleep(CONTACT_DELAY).await;
    }

    /// Sends heartbeats to the processes from which no datagram was received. Until the side
    /// processes reply, an entry that has just started knows only what the store lists about
    /// engines, and plans nothing.
    fn send_first_heartbeats(&self) {
        let entry_addresses = self.lock().peers.without_heartbeat();
        if !entry_addresses.is_empty() {
            self.send_entry_heartbeats_to(&entry_addresses);
        }
        let engines = self.engine_addresses();
        let state = self.lock();
        for engine in engines {
            if state.sides.get(&engine).is_none_or(|side| side.state_number == 0) {
                self.send_side_heartbeat(engine, 0);
            }
        }
    }

    fn update_live_entries(&self) {
        let now = Instant::now();
        let (updates, live_entries, is_planner) = {
            let mut state = self.lock();
            let updates = state.peers.update_live(now);
            (updates, state.peers.live_count(), state.peers.planner().is_none())
        };
        self.reads.set_observer(is_planner);
        for update in &updates {
            let (peer, is_live) = match update {
                PeerUpdate::Found(vm) => (vm, true),
                PeerUpdate::Lost(vm) => (vm, false),
            };
            self.log.record(&DecisionEvent::PeerChanged { peer, is_live, live_entries });
        }
        if !updates.is_empty() {
            self.backends.set_entries(live_entries);
            self.metrics.live_entries.set(i64::try_from(live_entries).unwrap_or(i64::MAX));
        }
        self.update_sides(now);
    }

    fn update_sides(&self, now: Instant) {
        let mut unreachable = Vec::new();
        {
            let mut state = self.lock();
            for (address, side) in &mut state.sides {
                let is_unreachable =
                    now.saturating_duration_since(side.last_received) > SIDE_TIMEOUT;
                if is_unreachable && !side.is_unreachable {
                    side.is_unreachable = true;
                    side.state_number = 0;
                    unreachable.push(*address);
                }
            }
            state.sides.retain(|_, side| {
                now.saturating_duration_since(side.last_received) < SIDE_TIMEOUT * 4
            });
        }
        for address in unreachable {
            let instance = self.backends.with_dispatcher(|dispatcher, _| {
                let instance = dispatcher.server_at(address, None).map(|view| view.id.clone())?;
                dispatcher.mark_side_unreachable(&instance);
                Some(instance)
            });
            if let Some(instance) = instance {
                self.remove_engine(&instance);
                self.record_server_status(&instance, "side-silent");
            }
        }
    }

    fn record_server_status(&self, server: &InstanceId, status: &'static str) {
        let source = "side";
        self.log.record(&DecisionEvent::ServerChanged {
            server,
            standing: status,
            source,
            revision: 0,
        });
    }

    fn send_entry_heartbeats(&self) {
        let addresses = self.lock().peers.addresses();
        self.send_entry_heartbeats_to(&addresses);
    }

    fn send_entry_heartbeats_to(&self, addresses: &[SocketAddr]) {
        let (known, is_draining) = {
            let mut state = self.lock();
            let known = state.peers.next_announced().into_iter().map(|(vm, address)| PeerAddress {
                vm: vm.to_string(),
                address: address.to_string(),
            });
            (known.collect(), state.peers.is_draining())
        };
        let store = self.reads.sighting();
        let (BlockDigest(block_digest), blocks) =
            self.backends.with_dispatcher(|dispatcher, now| {
                let suspects = dispatcher.suspects();
                (suspects.digest(now), suspects.active_blocks(now).len())
            });
        self.metrics.request_blocks.set(i64::try_from(blocks).unwrap_or(i64::MAX));
        let core_share = self.core_share;
        let heartbeat = EntryHeartbeat { core_share, is_draining, known, store, block_digest };
        self.socket.send_all(addresses, DatagramBody::EntryHeartbeat(heartbeat));
    }

    fn send_side_heartbeat(&self, engine: SocketAddr, known_state: u64) {
        let side = SocketAddr::new(engine.ip(), self.side_port);
        self.socket.send(side, DatagramBody::SideHeartbeat(SideHeartbeat { known_state }));
    }

    fn send_side_heartbeats(&self) {
        let now = Instant::now();
        let engines = self.engine_addresses();
        let mut state = self.lock();
        let is_due = state
            .last_side_heartbeat
            .is_none_or(|sent| now.saturating_duration_since(sent) >= SIDE_HEARTBEAT_INTERVAL);
        for engine in engines {
            let side = state.sides.get(&engine);
            let known_state = side.map_or(0, |side| side.state_number);
            let needs_probe = side.is_none_or(|side| {
                now.saturating_duration_since(side.last_received) > SIDE_PROBE_TIMEOUT
            });
            if is_due || known_state == 0 || needs_probe {
                self.send_side_heartbeat(engine, known_state);
            }
        }
        if is_due {
            state.last_side_heartbeat = Some(now);
        }
    }

    fn engine_addresses(&self) -> Vec<SocketAddr> {
        let Some(catalog) = self.catalog.borrow().clone() else { return Vec::new() };
        let has_engine = |service: &ServiceName| {
            catalog.service(service).is_some_and(|service| service.engine.is_some())
        };
        self.backends.with_dispatcher(|dispatcher, _| {
            let engines = dispatcher.servers().filter(|view| has_engine(&view.service));
            engines.map(|view| view.address).collect()
        })
    }

    async fn receive(self) {
        loop {
            let (source, datagram) = self.socket.receive().await;
            self.handle_datagram(source, datagram);
        }
    }

    fn handle_datagram(&self, source: SocketAddr, datagram: Datagram) {
        let Ok(vm) = datagram.vm.parse::<VmId>() else {
            log::warn!("fleet: ignoring a datagram from {source} without a valid VM name");
            return;
        };
        match datagram.body {
            Some(DatagramBody::EntryHeartbeat(heartbeat)) => {
                self.apply_entry_heartbeat(vm, source, datagram.incarnation, &heartbeat);
            }
            Some(DatagramBody::EngineState(state)) => self.apply_engine_state(&state),
            Some(DatagramBody::EngineLoad(load)) => self.apply_engine_load(source, load),
            Some(DatagramBody::DemandReport(demand)) => {
                let rows = demand.models.iter().filter_map(decode_row).collect();
                self.lock().demand.apply_report(vm, rows, Instant::now());
                self.plan_inputs_changed.notify_one();
            }
            Some(DatagramBody::LoadEstimates(estimates)) => self.apply_load_estimates(estimates),
            Some(DatagramBody::PermitReply(reply)) => self.backends.apply_permit_reply(reply),
            Some(DatagramBody::CrashReport(report)) => self.apply_crash_report(&report),
            Some(DatagramBody::BlockQuery(_)) => self.send_blocks(&[source]),
            Some(DatagramBody::BlockReport(report)) => self.apply_block_report(source, &report),
            _ => {}
        }
    }

    fn apply_entry_heartbeat(
        &self,
        vm: VmId,
        source: SocketAddr,
        incarnation: u64,
        heartbeat: &EntryHeartbeat,
    ) {
        if let Some(store) = heartbeat.store {
            self.reads.apply_sighting(store);
        }
        let now = Instant::now();
        let is_new = {
            let mut state = self.lock();
            let incarnation = ProcessIncarnation(incarnation);
            let is_new = state.peers.record_heartbeat(
                vm,
                source,
                incarnation,
                heartbeat.core_share,
                heartbeat.is_draining,
                now,
            );
            for known in &heartbeat.known {
                if let (Ok(vm), Ok(address)) = (known.vm.parse(), known.address.parse()) {
                    state.peers.add_peer(vm, address, now);
                }
            }
            is_new
        };
        self.compare_blocks(source, BlockDigest(heartbeat.block_digest));
        if is_new {
            self.send_entry_heartbeats_to(&[source]);
            self.update_live_entries();
        }
    }

    fn apply_engine_state(&self, state: &EngineState) {
        let Ok(address) = state.engine.parse::<SocketAddr>() else { return };
        let now = Instant::now();
        let started = (state.started != 0).then_some(IncarnationStart(state.started));
        let state_number = state.load.map_or(0, |load| load.state_number);
        let update = engine_update(state, now);
        let listed = self.backends.with_dispatcher(|dispatcher, now| {
            let view = dispatcher.server_at(address, started)?;
            let (instance, service, is_draining) =
                (view.id.clone(), view.service.clone(), view.is_draining());
            dispatcher.apply_engine_update(&instance, &update, now);
            dispatcher.review_waiting(now);
            Some((instance, service, is_draining))
        });
        // If the engine is not listed yet, number 0 makes the next heartbeat request the state
        // again.
        let state_number = if listed.is_some() { state_number } else { 0 };
        let mut fleet = self.lock();
        fleet.sides.insert(
            address,
            SideStatus { last_received: now, state_number, is_unreachable: false },
        );
        let Some((instance, service, is_draining)) = listed else { return };
        let planner = fleet.planners.entry(service).or_default();
        if is_draining || !state.is_reachable {
            planner.remove(&instance);
        } else {
            planner.update_engine(engine_snapshot(instance, started, state, &update, now), now);
        }
        drop(fleet);
        self.plan_inputs_changed.notify_one();
    }

    fn apply_engine_load(&self, source: SocketAddr, load: EngineLoad) {
        let now = Instant::now();
        let mut state = self.lock();
        let found = state.sides.iter_mut().find(|(engine, _)| engine.ip() == source.ip());
        let Some((engine, side)) = found else { return };
        let engine = *engine;
        side.last_received = now;
        side.is_unreachable = false;
        if side.state_number != load.state_number {
            side.state_number = 0;
            let heartbeat = SideHeartbeat { known_state: 0 };
            self.socket.send(source, DatagramBody::SideHeartbeat(heartbeat));
        }
        drop(state);
        self.backends.with_dispatcher(|dispatcher, now| {
            if let Some(instance) = dispatcher.server_at(engine, None).map(|view| view.id.clone()) {
                let queued_prefill = TokenCount(load.queued_prefill);
                dispatcher.record_side_load(
                    &instance,
                    load.running + load.waiting,
                    queued_prefill,
                    now,
                );
            }
        });
    }

    fn apply_load_estimates(&self, estimates: LoadEstimates) {
        let now = Instant::now();
        let estimates = estimates.models.into_iter().filter_map(|estimate| {
            let ready_at = estimate.ready_in_ms.map(|ms| now + Duration::from_millis(ms.into()));
            Some((estimate.model.parse().ok()?, LoadEstimate { ready_at, estimated_at: now }))
        });
        let estimates: Vec<(ModelId, LoadEstimate)> = estimates.collect();
        self.set_load_estimates(estimates);
    }

    fn set_load_estimates(&self, estimates: Vec<(ModelId, LoadEstimate)>) {
        if estimates.is_empty() {
            return;
        }
        self.backends.with_dispatcher(|dispatcher, now| {
            for (model, estimate) in estimates {
                dispatcher.set_load_estimate(model, estimate);
            }
            dispatcher.review_waiting(now);
        });
    }

    async fn report_demand(self) {
        loop {
            tokio::select! {
                () = time::sleep(DEMAND_INTERVAL) => {}
                () = self.demand_changed.notified() => time::sleep(DEMAND_DELAY).await,
            }
            self.send_demand_report();
        }
    }

    fn send_demand_report(&self) {
        let usage = self.backends.with_dispatcher(|dispatcher, now| dispatcher.model_usage(now));
        let mut state = self.lock();
        let (planner, now) = (state.peers.planner(), Instant::now());
        let Some(rows) = state.demand_reporter.rows(usage, planner, now) else { return };
        match planner {
            Some(planner) => {
                let models = rows.into_iter().map(encode_row).collect();
                let demand = DemandReport { models };
                self.socket.send(planner.address, DatagramBody::DemandReport(demand));
            }
            None => {
                let vm = self.vm.clone();
                state.demand.apply_report(vm, rows, now);
                drop(state);
                self.plan_inputs_changed.notify_one();
            }
        }
    }

    async fn run_planner(self) {
        loop {
            tokio::select! {
                () = time::sleep(MAX_PLAN_INTERVAL) => {}
                () = self.plan_inputs_changed.notified() => {}
            }
            self.run_planning_pass();
            time::sleep(MIN_PLAN_INTERVAL).await;
        }
    }

    /// Runs a planning pass if this entry is the planner.
    fn run_planning_pass(&self) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let now = Instant::now();
        let engine_counts = self.listed_engines();
        let mut estimates = Vec::new();
        let mut changes = Vec::new();
        let live_addresses: Vec<SocketAddr> = {
            let mut state = self.lock();
            if state.peers.planner().is_some() {
                return;
            }
            let FleetState { planners, demand, .. } = &mut *state;
            for (service, planner) in planners.iter_mut() {
                let spec = catalog.service(service).and_then(|found| found.engine.clone());
                let Some(spec) = spec else { continue };
                planner.set_spec(spec);
                planner.set_listed(engine_counts.get(service).copied().unwrap_or(0));
                let outcome = planner.plan(demand, now);
                estimates.extend(outcome.load_estimates);
                changes.extend(outcome.changes);
            }
            state.peers.live().map(|(_, address)| address).collect()
        };
        for planned in &changes {
            self.request_change(planned);
        }
        self.send_load_estimates(&live_addresses, estimates, now);
    }

    /// Number of backend servers that are not draining, by service.
    fn listed_engines(&self) -> HashMap<ServiceName, usize> {
        self.backends.with_dispatcher(|dispatcher, _| {
            let mut counts = HashMap::new();
            for view in dispatcher.servers().filter(|view| !view.is_draining()) {
                *counts.entry(view.service.clone()).or_insert(0) += 1;
            }
            counts
        })
    }

    fn request_change(&self, planned: &PlannedChange) {
        let change = &planned.change;
        let address = self.backends.with_dispatcher(|dispatcher, _| {
            dispatcher.server(&change.instance).map(|view| view.address)
        });
        let Some(address) = address else { return };
        let load = change.load.as_ref().map(ToString::to_string).unwrap_or_default();
        let unload: Vec<String> = change.unload.iter().map(ToString::to_string).collect();
        self.log.record(&DecisionEvent::ChangePlanned {
            server: &change.instance,
            load: &load,
            unload: &unload.join(" "),
            reason: planned.reason.text(),
            weights: planned.source.text(),
            waiting: planned.waiting,
            orders: change.orders,
        });
        let request = ChangeRequest {
            instance: change.instance.to_string(),
            started: change.started.map_or(0, |started| started.0),
            orders: change.orders.0,
            unload,
            load,
            load_ms: saturating_millis(change.load_time),
            is_from_store: change.is_from_store,
        };
        let side = SocketAddr::new(address.ip(), self.side_port);
        self.socket.send(side, DatagramBody::ChangeRequest(request));
    }

    fn send_load_estimates(
        &self,
        addresses: &[SocketAddr],
        estimates: Vec<(ModelId, Option<Instant>)>,
        now: Instant,
    ) {
        if estimates.is_empty() {
            return;
        }
        let models = estimates
            .iter()
            .map(|(model, ready_at)| ModelEstimate {
                model: model.to_string(),
                ready_in_ms: ready_at
                    .map(|at| saturating_millis(at.saturating_duration_since(now))),
            })
            .collect();
        self.socket.send_all(addresses, DatagramBody::LoadEstimates(LoadEstimates { models }));
        let own_estimates = estimates
            .into_iter()
            .map(|(model, ready_at)| (model, LoadEstimate { ready_at, estimated_at: now }))
            .collect();
        self.set_load_estimates(own_estimates);
    }
}

fn saturating_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn parse_models(names: &[String]) -> impl Iterator<Item = ModelId> {
    names.iter().filter_map(|name| name.parse().ok())
}

fn engine_update(state: &EngineState, now: Instant) -> EngineUpdate {
    let residents = state.residents.iter().filter_map(|resident| {
        Some(ResidentModel {
            model: resident.model.parse().ok()?,
            weights_version: resident.weights_version,
            adapters: resident.adapters.iter().filter_map(|name| name.parse().ok()).collect(),
        })
    });
    let loading = state.loading.as_ref().and_then(|load| {
        let ready_at = now + Duration::from_millis(load.ready_in_ms.into());
        Some(LoadInProgress { model: load.model.parse().ok()?, ready_at })
    });
    let load = state.load.unwrap_or_default();
    EngineUpdate {
        residents: residents.collect(),
        unloading: state.unloading.parse().ok(),
        loading,
        running: load.running,
        waiting: load.waiting,
        queued_prefill: TokenCount(load.queued_prefill),
        is_reachable: state.is_reachable,
    }
}

fn engine_snapshot(
    instance: InstanceId,
    started: Option<IncarnationStart>,
    state: &EngineState,
    update: &EngineUpdate,
    now: Instant,
) -> EngineSnapshot {
    let loading = state.loading.as_ref().and_then(|load| {
        Some(CurrentLoad {
            model: load.model.parse().ok()?,
            ready_at: now + Duration::from_millis(load.ready_in_ms.into()),
            is_from_store: load.is_from_store,
        })
    });
    let residents = update
        .residents
        .iter()
        .map(|resident| (resident.model.clone(), resident.adapters.len()))
        .collect();
    EngineSnapshot {
        instance,
        started,
        orders: OrderCount(state.orders),
        residents,
        loading,
        unloading: update.unloading.clone(),
        copies_in_memory: parse_models(&state.copies_in_memory).collect(),
        copies_on_disk: parse_models(&state.copies_on_disk).collect(),
        takes_changes: state.takes_changes,
    }
}

fn encode_row(row: DemandRow) -> ModelDemand {
    let running = row.running.into_iter();
    ModelDemand {
        model: row.model.map(String::from).unwrap_or_default(),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack_ms: saturating_millis(row.slack),
        running: running
            .map(|(engine, requests)| RunningRequests {
                instance: engine.to_string(),
                count: requests,
            })
            .collect(),
        priority: row.priority,
        past_rates: row
            .past_rates
            .map(|past| PastRates { recent: past.recent.0, long_term: past.long_term.0 }),
    }
}

fn decode_row(row: &ModelDemand) -> Option<DemandRow> {
    let running =
        row.running.iter().filter_map(|engine| Some((engine.instance.parse().ok()?, engine.count)));
    Some(DemandRow {
        model: Some(row.model.parse().ok()?),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack: Duration::from_millis(row.slack_ms.into()),
        priority: row.priority,
        running: running.collect(),
        past_rates: row.past_rates.map(|past| DemandRates {
            recent: EventRate(past.recent),
            long_term: EventRate(past.long_term),
        }),
    })
}
