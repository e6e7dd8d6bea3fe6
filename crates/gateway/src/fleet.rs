//! The other processes of the system: entries, side processes, and the duty of the planner.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use catalog::{Catalog, TokenCount};
use dispatch::{EngineNews, LoadInProgress, LoadOutlook};
use events::{DecisionEvent, EventLog};
use peers::{
    ChangeRequest, Datagram, DatagramBody, DemandReport, EngineLoad, EngineState, EntryHeartbeat,
    LoadEstimates, ModelDemand, ModelEstimate, PastRates, PeerAddress, PeerSocket, PeerTable,
    PeerUpdate, RunningRequests, SideHeartbeat,
};
use residency::{
    CurrentLoad, DemandBook, DemandPast, DemandRow, EngineFacts, OrderCount, PlannedChange, Planner,
};
use roster::{IncarnationStart, InstanceId, ResidentModel};
use tokio::{
    sync::{Notify, watch},
    time,
};

use crate::{
    backends::Backends, metrics::GatewayMetrics, permits::Permits, telling::DemandTelling,
};

/// Time between two beats to other entries.
const ENTRY_BEAT: Duration = Duration::from_millis(500);
/// Time between two looks for processes that have not answered yet; each is sent one datagram.
const GREETING_PACE: Duration = Duration::from_millis(150);
/// Time between news of other processes and the look for those that are not known, so that
/// listings that come together are greeted together.
const GREETING_GATHER: Duration = Duration::from_millis(5);
/// Time between two beats to side processes.
const SIDE_BEAT: Duration = Duration::from_secs(1);
/// A side process that was not heard for this time is sent further beats.
const SIDE_DOUBT: Duration = Duration::from_millis(1_200);
/// A side process that answers no beat for this time counts as silent.
const SIDE_SILENCE: Duration = Duration::from_millis(2_200);
/// Time between two tellings of the demand while there is any.
const DEMAND_PACE: Duration = Duration::from_millis(200);
/// Time between a request that begins to wait and the telling of it, so that bursts are gathered.
const DEMAND_GATHER: Duration = Duration::from_millis(10);
/// Longest time between two looks of the planner.
const PLAN_IDLE: Duration = Duration::from_millis(400);
/// Least time between two looks of the planner, so that a burst of news is planned for together.
const PLAN_PACE: Duration = Duration::from_millis(30);

struct SideView {
    heard: Instant,
    number: u64,
    is_silent: bool,
}

struct FleetState {
    book: PeerTable,
    sides: HashMap<SocketAddr, SideView>,
    demand: DemandBook,
    planners: HashMap<ServiceName, Planner>,
    telling: DemandTelling,
    side_beat: Option<Instant>,
}

/// What the process knows of the rest of the system; clones share it.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<FleetState>>,
    socket: Arc<PeerSocket>,
    backends: Backends,
    permits: Permits,
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    log: EventLog,
    metrics: GatewayMetrics,
    vm: VmId,
    core_share: u32,
    side_port: u16,
    demand_changed: Arc<Notify>,
    strangers: Arc<Notify>,
    news: Arc<Notify>,
}

/// Who the process is among the others.
pub struct FleetIdentity {
    /// VM.
    pub vm: VmId,
    /// Part of a core, in thousandths.
    pub core_share: u32,
    /// Port of side processes.
    pub side_port: u16,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    pub fn new(
        identity: FleetIdentity,
        socket: Arc<PeerSocket>,
        backends: Backends,
        permits: Permits,
        catalog: watch::Receiver<Option<Arc<Catalog>>>,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> Self {
        let FleetIdentity { vm, core_share, side_port } = identity;
        let state = FleetState {
            book: PeerTable::new(vm.clone(), core_share),
            sides: HashMap::new(),
            demand: DemandBook::default(),
            planners: HashMap::new(),
            telling: DemandTelling::new(vm.clone()),
            side_beat: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            socket,
            backends,
            permits,
            catalog,
            log,
            metrics,
            vm,
            core_share,
            side_port,
            demand_changed: Arc::default(),
            strangers: Arc::default(),
            news: Arc::default(),
        }
    }

    /// Starts all tasks.
    pub fn start(&self) {
        tokio::spawn(self.clone().receive());
        tokio::spawn(self.clone().beat());
        tokio::spawn(self.clone().tell_demand());
        tokio::spawn(self.clone().plan());
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().expect("no holder panics")
    }

    /// Another process told of an entry.
    pub fn meet(&self, vm: VmId, address: SocketAddr) {
        self.lock().book.add_peer(vm, address, Instant::now());
        self.strangers.notify_one();
    }

    /// Backend servers were listed that may have a side process that is not known yet.
    pub fn note_listed(&self) {
        self.strangers.notify_one();
    }

    /// A planned stop begins: this entry plans no more.
    pub fn drain(&self) {
        self.lock().book.drain();
        self.send_entry_beats();
    }

    /// A request waits for a model that no engine holds.
    pub fn note_missing(&self) {
        self.demand_changed.notify_one();
    }

    /// A backend server leaves or is gone: nothing is loaded there any more.
    pub fn forget_engine(&self, instance: &InstanceId) {
        for planner in self.lock().planners.values_mut() {
            planner.remove(instance);
        }
    }

    async fn beat(self) {
        let mut catalog = self.catalog.clone();
        loop {
            self.review();
            self.send_entry_beats();
            self.send_side_beats();
            let next = Instant::now() + ENTRY_BEAT;
            // The sender of configurations lives as long as the process.
            while time::timeout_at(next, self.meet_strangers(&mut catalog)).await.is_ok() {
                self.greet();
            }
        }
    }

    /// Waits until somebody should be greeted.
    async fn meet_strangers(&self, catalog: &mut watch::Receiver<Option<Arc<Catalog>>>) {
        tokio::select! {
            () = self.strangers.notified() => {}
            Ok(()) = catalog.changed() => {}
            () = time::sleep(GREETING_PACE) => {}
        }
        time::sleep(GREETING_GATHER).await;
    }

    /// Sends beats to the processes that have not answered any. Until the side processes have, a
    /// process that has just started knows of engines what the store said before, and plans nothing.
    fn greet(&self) {
        let entries = self.lock().book.without_heartbeat();
        if !entries.is_empty() {
            self.send_entry_beats_to(&entries);
        }
        let engines = self.engine_addresses();
        let state = self.lock();
        for engine in engines {
            if state.sides.get(&engine).is_none_or(|side| side.number == 0) {
                self.send_side_beat(engine, 0);
            }
        }
    }

    fn review(&self) {
        let now = Instant::now();
        let (news, entries) = {
            let mut state = self.lock();
            let news = state.book.update_live(now);
            (news, state.book.live_count())
        };
        for item in &news {
            let (peer, is_live) = match item {
                PeerUpdate::Found(vm) => (vm, true),
                PeerUpdate::Lost(vm) => (vm, false),
            };
            self.log.record(&DecisionEvent::PeerChanged { peer, is_live, live_entries: entries });
        }
        if !news.is_empty() {
            self.backends.set_entries(entries);
            self.metrics.live_entries.set(i64::try_from(entries).unwrap_or(i64::MAX));
        }
        self.review_sides(now);
    }

    fn review_sides(&self, now: Instant) {
        let mut silent = Vec::new();
        {
            let mut state = self.lock();
            for (address, side) in &mut state.sides {
                let is_silent = now.saturating_duration_since(side.heard) > SIDE_SILENCE;
                if is_silent && !side.is_silent {
                    side.is_silent = true;
                    side.number = 0;
                    silent.push(*address);
                }
            }
            state
                .sides
                .retain(|_, side| now.saturating_duration_since(side.heard) < SIDE_SILENCE * 4);
        }
        for address in silent {
            let instance = self.backends.step(|desk, _| {
                let instance = desk.server_at(address, None).map(|view| view.id.clone())?;
                desk.lose_side(&instance);
                Some(instance)
            });
            if let Some(instance) = instance {
                self.forget_engine(&instance);
                self.note_server(&instance, "side-silent");
            }
        }
    }

    fn note_server(&self, server: &InstanceId, standing: &'static str) {
        let source = "side";
        self.log.record(&DecisionEvent::ServerChanged { server, standing, source, revision: 0 });
    }

    fn send_entry_beats(&self) {
        let addresses = self.lock().book.addresses();
        self.send_entry_beats_to(&addresses);
    }

    fn send_entry_beats_to(&self, addresses: &[SocketAddr]) {
        let (known, is_draining) = {
            let mut state = self.lock();
            let known = state.book.next_announced().into_iter().map(|(vm, address)| PeerAddress {
                vm: vm.to_string(),
                address: address.to_string(),
            });
            (known.collect(), state.book.is_draining())
        };
        let beat = EntryHeartbeat { core_share: self.core_share, is_draining, known };
        self.socket.send_all(addresses, DatagramBody::EntryHeartbeat(beat));
    }

    fn send_side_beat(&self, engine: SocketAddr, known_state: u64) {
        let side = SocketAddr::new(engine.ip(), self.side_port);
        self.socket.send(side, DatagramBody::SideHeartbeat(SideHeartbeat { known_state }));
    }

    fn send_side_beats(&self) {
        let now = Instant::now();
        let engines = self.engine_addresses();
        let mut state = self.lock();
        let is_due =
            state.side_beat.is_none_or(|sent| now.saturating_duration_since(sent) >= SIDE_BEAT);
        for engine in engines {
            let side = state.sides.get(&engine);
            let known = side.map_or(0, |side| side.number);
            let is_doubtful =
                side.is_none_or(|side| now.saturating_duration_since(side.heard) > SIDE_DOUBT);
            if is_due || known == 0 || is_doubtful {
                self.send_side_beat(engine, known);
            }
        }
        if is_due {
            state.side_beat = Some(now);
        }
    }

    fn engine_addresses(&self) -> Vec<SocketAddr> {
        let Some(catalog) = self.catalog.borrow().clone() else { return Vec::new() };
        let has_engine = |service: &ServiceName| {
            catalog.service(service).is_some_and(|service| service.engine.is_some())
        };
        self.backends.step(|desk, _| {
            let engines = desk.servers().filter(|view| has_engine(&view.service));
            engines.map(|view| view.address).collect()
        })
    }

    async fn receive(self) {
        loop {
            let (source, datagram) = self.socket.receive().await;
            self.take(source, datagram);
        }
    }

    fn take(&self, source: SocketAddr, datagram: Datagram) {
        let Ok(vm) = datagram.vm.parse::<VmId>() else {
            log::warn!("fleet: a datagram of {source} names no VM");
            return;
        };
        match datagram.body {
            Some(DatagramBody::EntryHeartbeat(beat)) => {
                self.take_entry_beat(vm, source, datagram.incarnation, &beat);
            }
            Some(DatagramBody::EngineState(state)) => self.take_state(&state),
            Some(DatagramBody::EngineLoad(load)) => self.take_load(source, load),
            Some(DatagramBody::DemandReport(demand)) => {
                let rows = demand.models.iter().filter_map(read_row).collect();
                self.lock().demand.tell(vm, rows, Instant::now());
                self.news.notify_one();
            }
            Some(DatagramBody::LoadEstimates(outlooks)) => self.take_outlooks(outlooks),
            Some(DatagramBody::PermitReply(answer)) => self.permits.answer(answer),
            _ => {}
        }
    }

    fn take_entry_beat(
        &self,
        vm: VmId,
        source: SocketAddr,
        incarnation: u64,
        beat: &EntryHeartbeat,
    ) {
        let now = Instant::now();
        let is_new = {
            let mut state = self.lock();
            let incarnation = ProcessIncarnation(incarnation);
            let is_new = state.book.record_heartbeat(
                vm,
                source,
                incarnation,
                beat.core_share,
                beat.is_draining,
                now,
            );
            for known in &beat.known {
                if let (Ok(vm), Ok(address)) = (known.vm.parse(), known.address.parse()) {
                    state.book.add_peer(vm, address, now);
                }
            }
            is_new
        };
        if is_new {
            self.send_entry_beats_to(&[source]);
            self.review();
        }
    }

    fn take_state(&self, state: &EngineState) {
        let Ok(address) = state.engine.parse::<SocketAddr>() else { return };
        let now = Instant::now();
        let started = (state.started != 0).then_some(IncarnationStart(state.started));
        let number = state.load.map_or(0, |load| load.state_number);
        let news = engine_news(state, now);
        let found = self.backends.step(|desk, now| {
            let view = desk.server_at(address, started)?;
            let (instance, service, is_leaving) =
                (view.id.clone(), view.service.clone(), view.is_leaving);
            desk.hear(&instance, &news, now);
            desk.review(now);
            Some((instance, service, is_leaving))
        });
        // A state of an engine that is not listed yet is asked for again.
        let number = if found.is_some() { number } else { 0 };
        let mut fleet = self.lock();
        fleet.sides.insert(address, SideView { heard: now, number, is_silent: false });
        let Some((instance, service, is_leaving)) = found else { return };
        let planner = fleet.planners.entry(service).or_default();
        if is_leaving || !state.is_reachable {
            planner.remove(&instance);
        } else {
            planner.hear(engine_facts(instance, started, state, &news, now), now);
        }
        drop(fleet);
        self.news.notify_one();
    }

    fn take_load(&self, source: SocketAddr, load: EngineLoad) {
        let now = Instant::now();
        let mut state = self.lock();
        let found = state.sides.iter_mut().find(|(engine, _)| engine.ip() == source.ip());
        let Some((engine, side)) = found else { return };
        let engine = *engine;
        side.heard = now;
        side.is_silent = false;
        if side.number != load.state_number {
            side.number = 0;
            let beat = SideHeartbeat { known_state: 0 };
            self.socket.send(source, DatagramBody::SideHeartbeat(beat));
        }
        drop(state);
        self.backends.step(|desk, now| {
            if let Some(instance) = desk.server_at(engine, None).map(|view| view.id.clone()) {
                let unread = TokenCount(load.queued_prefill);
                desk.hear_side_load(&instance, load.running + load.waiting, unread, now);
            }
        });
    }

    fn take_outlooks(&self, outlooks: LoadEstimates) {
        let now = Instant::now();
        let read = outlooks.models.into_iter().filter_map(|outlook| {
            let ready_at = outlook.ready_in_ms.map(|ms| now + Duration::from_millis(ms.into()));
            Some((outlook.model.parse().ok()?, LoadOutlook { ready_at, told: now }))
        });
        let read: Vec<(ModelId, LoadOutlook)> = read.collect();
        self.apply_outlooks(read);
    }

    fn apply_outlooks(&self, outlooks: Vec<(ModelId, LoadOutlook)>) {
        if outlooks.is_empty() {
            return;
        }
        self.backends.step(|desk, now| {
            for (model, outlook) in outlooks {
                desk.expect(model, outlook);
            }
            desk.review(now);
        });
    }

    async fn tell_demand(self) {
        loop {
            tokio::select! {
                () = time::sleep(DEMAND_PACE) => {}
                () = self.demand_changed.notified() => time::sleep(DEMAND_GATHER).await,
            }
            self.tell_demand_now();
        }
    }

    fn tell_demand_now(&self) {
        let uses = self.backends.step(|desk, now| desk.demand(now));
        let mut state = self.lock();
        let (planner, now) = (state.book.planner(), Instant::now());
        let Some(rows) = state.telling.rows(uses, planner, now) else { return };
        match planner {
            Some(planner) => {
                let models = rows.into_iter().map(write_row).collect();
                let demand = DemandReport { models };
                self.socket.send(planner.address, DatagramBody::DemandReport(demand));
            }
            None => {
                let vm = self.vm.clone();
                state.demand.tell(vm, rows, now);
                drop(state);
                self.news.notify_one();
            }
        }
    }

    async fn plan(self) {
        loop {
            tokio::select! {
                () = time::sleep(PLAN_IDLE) => {}
                () = self.news.notified() => {}
            }
            self.plan_now();
            time::sleep(PLAN_PACE).await;
        }
    }

    /// Plans if that is this entry's duty.
    fn plan_now(&self) {
        let Some(catalog) = self.catalog.borrow().clone() else { return };
        let now = Instant::now();
        let listed = self.listed_engines();
        let mut outlooks = Vec::new();
        let mut changes = Vec::new();
        let listeners: Vec<SocketAddr> = {
            let mut state = self.lock();
            if state.book.planner().is_some() {
                return;
            }
            let FleetState { planners, demand, .. } = &mut *state;
            for (service, planner) in planners.iter_mut() {
                let spec = catalog.service(service).and_then(|found| found.engine.clone());
                let Some(spec) = spec else { continue };
                planner.learn(spec);
                planner.set_listed(listed.get(service).copied().unwrap_or(0));
                let outcome = planner.plan(demand, now);
                outlooks.extend(outcome.outlooks);
                changes.extend(outcome.changes);
            }
            state.book.live().map(|(_, address)| address).collect()
        };
        for planned in &changes {
            self.ask_for(planned);
        }
        self.tell_outlooks(&listeners, outlooks, now);
    }

    /// Backend servers that take work, by service.
    fn listed_engines(&self) -> HashMap<ServiceName, usize> {
        self.backends.step(|desk, _| {
            let mut listed = HashMap::new();
            for view in desk.servers().filter(|view| !view.is_leaving) {
                *listed.entry(view.service.clone()).or_insert(0) += 1;
            }
            listed
        })
    }

    fn ask_for(&self, planned: &PlannedChange) {
        let change = &planned.change;
        let address =
            self.backends.step(|desk, _| desk.server(&change.instance).map(|view| view.address));
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
        let wanted = ChangeRequest {
            instance: change.instance.to_string(),
            started: change.started.map_or(0, |started| started.0),
            orders: change.orders.0,
            unload,
            load,
            load_ms: whole_millis(change.load_time),
            is_from_store: change.is_from_store,
        };
        let side = SocketAddr::new(address.ip(), self.side_port);
        self.socket.send(side, DatagramBody::ChangeRequest(wanted));
    }

    fn tell_outlooks(
        &self,
        listeners: &[SocketAddr],
        outlooks: Vec<(ModelId, Option<Instant>)>,
        now: Instant,
    ) {
        if outlooks.is_empty() {
            return;
        }
        let models = outlooks
            .iter()
            .map(|(model, ready_at)| ModelEstimate {
                model: model.to_string(),
                ready_in_ms: ready_at.map(|at| whole_millis(at.saturating_duration_since(now))),
            })
            .collect();
        self.socket.send_all(listeners, DatagramBody::LoadEstimates(LoadEstimates { models }));
        let own = outlooks
            .into_iter()
            .map(|(model, ready_at)| (model, LoadOutlook { ready_at, told: now }))
            .collect();
        self.apply_outlooks(own);
    }
}

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn models(names: &[String]) -> impl Iterator<Item = ModelId> {
    names.iter().filter_map(|name| name.parse().ok())
}

fn engine_news(state: &EngineState, now: Instant) -> EngineNews {
    let residents = state.residents.iter().filter_map(|held| {
        Some(ResidentModel {
            model: held.model.parse().ok()?,
            weights_version: held.weights_version,
            adapters: held.adapters.iter().filter_map(|name| name.parse().ok()).collect(),
        })
    });
    let loading = state.loading.as_ref().and_then(|load| {
        let ready_at = now + Duration::from_millis(load.ready_in_ms.into());
        Some(LoadInProgress { model: load.model.parse().ok()?, ready_at })
    });
    let load = state.load.unwrap_or_default();
    EngineNews {
        residents: residents.collect(),
        unloading: state.unloading.parse().ok(),
        loading,
        running: load.running,
        waiting: load.waiting,
        unread: TokenCount(load.queued_prefill),
        is_reachable: state.is_reachable,
    }
}

fn engine_facts(
    instance: InstanceId,
    started: Option<IncarnationStart>,
    state: &EngineState,
    news: &EngineNews,
    now: Instant,
) -> EngineFacts {
    let loading = state.loading.as_ref().and_then(|load| {
        Some(CurrentLoad {
            model: load.model.parse().ok()?,
            ready_at: now + Duration::from_millis(load.ready_in_ms.into()),
            is_from_store: load.is_from_store,
        })
    });
    let residents =
        news.residents.iter().map(|held| (held.model.clone(), held.adapters.len())).collect();
    EngineFacts {
        instance,
        started,
        orders: OrderCount(state.orders),
        residents,
        loading,
        unloading: news.unloading.clone(),
        copies_in_memory: models(&state.copies_in_memory).collect(),
        copies_on_disk: models(&state.copies_on_disk).collect(),
        takes_changes: state.takes_changes,
    }
}

fn write_row(row: DemandRow) -> ModelDemand {
    let runs = row.runs.into_iter();
    ModelDemand {
        model: row.model.map(String::from).unwrap_or_default(),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack_ms: whole_millis(row.slack),
        running: runs
            .map(|(engine, runs)| RunningRequests { instance: engine.to_string(), count: runs })
            .collect(),
        priority: row.priority,
        past_rates: row
            .past
            .map(|past| PastRates { recent: past.recent.0, sustained: past.long.0 }),
    }
}

fn read_row(row: &ModelDemand) -> Option<DemandRow> {
    let runs =
        row.running.iter().filter_map(|runs| Some((runs.instance.parse().ok()?, runs.count)));
    Some(DemandRow {
        model: Some(row.model.parse().ok()?),
        arrivals: row.arrivals,
        waiting: row.waiting,
        slack: Duration::from_millis(row.slack_ms.into()),
        priority: row.priority,
        runs: runs.collect(),
        past: row.past_rates.map(|past| DemandPast {
            recent: EventRate(past.recent),
            long: EventRate(past.sustained),
        }),
    })
}
