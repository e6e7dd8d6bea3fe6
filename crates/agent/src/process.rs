//! Starts the agent and runs its tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use catalog::TokenCount;
use events::{DecisionEvent, Dependency, EngineEvent, EventLog, millis, spawn_lasting};
use origins::{OriginLedger, StreamKey};
use peers::{
    ChangeRequest, Datagram, DatagramBody, OriginReply, OriginReport, OriginState, PeerSocket,
    PermitDecision, PermitRelease, PermitReply, PermitRequest,
};
use platform::PlatformStore;
use residency::{
    EngineOrder, OrderCount, ServedArrivals,
    change::{ControllerAction, ControllerIdentity, EngineChange},
    controller::EngineController,
    prefill::{PrefillLimiter, PromptDecision, PromptId, PromptRequest},
};
use roster::{IncarnationStart, InstanceId, ReadMode};
use tokio::{sync::Notify, time};
use viz::{Request, RequestExt, Response, ResponseExt, Router, types::State};
use wire::listen::{listen, listen_for_metrics};

use crate::{
    engine::EngineClient, metrics::AgentMetrics, publisher::StatePublisher, settings::AgentSettings,
};

/// Time between two polls of the engine while nothing is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two polls of the engine while a change is in progress or requests wait
/// for a permit.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between attempts to read the engine's specification, which has the sizes of models.
const SPEC_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Fencing number of all orders. It need not rise: only this process sends orders to the engine,
/// and an engine refuses only lower numbers.
const FENCE: FencingNumber = FencingNumber(1);

/// Number of bits by which the incarnation is shifted right to give the number of its first state,
/// so that state numbers differ between incarnations.
const STATE_NUMBER_SHIFT: u32 = 20;

struct AgentState {
    controller: EngineController,
    limiter: PrefillLimiter,
    publisher: StatePublisher,
    /// Requests of all entries for the engine.
    arrivals: ServedArrivals,
    /// Origins of streams, for the entries that rank this process first for them.
    origins: OriginLedger,
    engine_lost_at: Option<Instant>,
}

/// A running agent; clones share its state.
#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<AgentState>>,
    socket: Arc<PeerSocket>,
    engine: EngineClient,
    engine_address: SocketAddr,
    log: EventLog,
    metrics: AgentMetrics,
    poll_now: Arc<Notify>,
}

impl Agent {
    /// Opens the sockets, that for datagrams as soon as its address is free, and starts all tasks on the
    /// current Tokio runtime.
    pub async fn start(settings: AgentSettings, log: EventLog) -> Self {
        let incarnation = ProcessIncarnation::random();
        log.record(&DecisionEvent::Started {
            program: "agent",
            version: env!("CARGO_PKG_VERSION"),
            incarnation,
        });
        let socket = PeerSocket::bind(settings.peers, settings.vm.clone(), incarnation).await;
        // Bound last: the process works without.
        let listener = listen(settings.metrics).await;
        let identity = ControllerIdentity { holder: settings.vm.clone(), fence: FENCE };
        let state = AgentState {
            controller: EngineController::new(identity),
            limiter: PrefillLimiter::default(),
            publisher: StatePublisher::new(incarnation.0 >> STATE_NUMBER_SHIFT),
            arrivals: ServedArrivals::default(),
            origins: OriginLedger::default(),
            engine_lost_at: None,
        };
        let agent = Self {
            state: Arc::new(Mutex::new(state)),
            socket: Arc::new(socket),
            engine: EngineClient::new(settings.engine),
            engine_address: settings.engine,
            log,
            metrics: AgentMetrics::new(),
            poll_now: Arc::default(),
        };
        let store = PlatformStore::new(settings.store, settings.call_timeout);
        let (reader, service) = (agent.clone(), settings.service);
        spawn_lasting("specification", move || {
            reader.clone().read_engine_spec(store.clone(), service.clone())
        });
        let (polling, receiving) = (agent.clone(), agent.clone());
        spawn_lasting("engine", move || polling.clone().poll());
        spawn_lasting("datagrams", move || receiving.clone().receive());
        let metrics = Router::new().get("/metrics", render_metrics).with(State::new(agent.clone()));
        tokio::spawn(async move {
            let listener = listen_for_metrics(listener, settings.metrics).await;
            monitoring::serve(listener, metrics).await;
        });
        agent
    }

    /// Records the end of the process in the decision log. There is nothing to wait for: the engine
    /// carries out accepted orders on its own, and the next incarnation reads the outcome from the
    /// engine's report.
    pub fn stop(&self) {
        self.log.record(&DecisionEvent::Stopping { in_flight: 0 });
        self.log.record(&DecisionEvent::Stopped { in_flight: 0 });
    }

    fn lock(&self) -> MutexGuard<'_, AgentState> {
        locks::lock(&self.state)
    }

    /// Applies `update` to the engine controller, then carries out the actions that follow from it.
    fn update_controller(&self, update: impl FnOnce(&mut EngineController, Instant)) {
        let mut state = self.lock();
        update(&mut state.controller, Instant::now());
        let actions = state.controller.take_actions();
        let is_changed = actions.contains(&ControllerAction::StateChanged);
        if is_changed {
            let AgentState { controller, limiter, publisher, arrivals, .. } = &mut *state;
            publisher.publish_state(
                &self.socket,
                self.engine_address,
                controller,
                limiter,
                arrivals,
            );
            self.record_engine_change(controller);
        }
        self.admit_requests(&mut state);
        for action in actions {
            match action {
                ControllerAction::Order(order) => {
                    tokio::spawn(self.clone().send_order(order));
                }
                ControllerAction::Decline(model, reason) => {
                    self.metrics.declined.inc();
                    let load = model.map(String::from).unwrap_or_default();
                    let orders =
                        state.controller.report().map_or(OrderCount(0), |report| report.orders);
                    let reason = reason.text();
                    self.log.record(
                        &EngineEvent::ChangeDeclined { load: &load, reason, orders }.into(),
                    );
                }
                ControllerAction::StateChanged => {}
            }
        }
    }

    /// Replies to the waiting requests that are decided now.
    fn admit_requests(&self, state: &mut AgentState) {
        let AgentState { controller, limiter, .. } = state;
        let readiness =
            |model: &ModelId, adapter: Option<&AdapterId>| controller.readiness(model, adapter);
        for decision in limiter.admit(readiness, Instant::now()) {
            match decision {
                PromptDecision::Admitted(id) => self.send_reply(&id, PermitDecision::Admitted),
                PromptDecision::ModelMissing(id) => {
                    self.send_reply(&id, PermitDecision::ModelMissing)
                }
            }
        }
    }

    fn send_reply(&self, id: &PromptId, decision: PermitDecision) {
        let reply = PermitReply { key: id.key, decision: decision.into() };
        self.socket.send(id.entry, DatagramBody::PermitReply(reply));
    }

    fn record_engine_change(&self, controller: &EngineController) {
        let Some(report) = controller.report() else { return };
        self.metrics.residents.set(i64::try_from(report.residents.len()).unwrap_or(i64::MAX));
        let resident_names: Vec<String> = report
            .residents
            .iter()
            .map(|resident| {
                let adapters: Vec<&str> = resident.adapters.iter().map(AdapterId::as_str).collect();
                format!("{}({})", resident.model, adapters.join(","))
            })
            .collect();
        self.log.record(
            &EngineEvent::EngineChanged {
                holds: &resident_names.join(" "),
                is_busy: report.is_busy,
                orders: report.orders,
                copies: report.copies_on_disk.len(),
            }
            .into(),
        );
    }

    async fn send_order(self, order: EngineOrder) {
        let sent_at = Instant::now();
        let answer = self.engine.send_order(&order).await;
        self.metrics.count_order(answer);
        self.log.record(
            &EngineEvent::OrderGiven {
                server: &order.instance,
                action: &order.action,
                orders: order.expected,
                answer,
                after_ms: millis(sent_at.elapsed()),
            }
            .into(),
        );
        self.update_controller(|controller, now| controller.apply_answer(answer, now));
        self.poll_now.notify_one();
    }

    async fn poll(self) {
        loop {
            match self.engine.fetch_report().await {
                Ok(report) => {
                    self.record_engine_recovery();
                    if let Some(started) = report.started {
                        self.lock().limiter.update_incarnation(started);
                    }
                    self.update_controller(|controller, now| controller.apply_report(report, now));
                }
                Err(reason) => {
                    self.metrics.lost_reports.inc();
                    self.record_engine_loss(&reason);
                }
            }
            let is_active = {
                let mut state = self.lock();
                self.admit_requests(&mut state);
                let AgentState { controller, limiter, publisher, .. } = &mut *state;
                publisher.publish_load(&self.socket, controller, limiter);
                controller.is_active() || limiter.has_waiting()
            };
            let pause = if is_active { ACTIVE_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
            tokio::select! {
                () = time::sleep(pause) => {}
                () = self.poll_now.notified() => {}
            }
        }
    }

    fn record_engine_loss(&self, reason: &str) {
        let is_first = {
            let mut state = self.lock();
            let is_first = state.engine_lost_at.is_none();
            state.engine_lost_at.get_or_insert_with(Instant::now);
            is_first
        };
        if is_first {
            let dependency = Dependency::Engine;
            self.log.record(&DecisionEvent::DependencyLost { dependency, reason });
            self.update_controller(|controller, _| controller.mark_unreachable());
        }
    }

    fn record_engine_recovery(&self) {
        if let Some(lost_at) = self.lock().engine_lost_at.take() {
            let outage_ms = millis(lost_at.elapsed());
            let dependency = Dependency::Engine;
            self.log.record(&DecisionEvent::DependencyRegained { dependency, outage_ms });
        }
    }

    async fn read_engine_spec(self, store: PlatformStore, service: ServiceName) {
        loop {
            // Versions of the configuration change routes, not what a service states of its engines.
            match store.read_catalog(ReadMode::MayLag).await {
                Ok((Some(stored), _)) => {
                    let engine =
                        stored.catalog.service(&service).and_then(|found| found.engine.clone());
                    if let Some(engine) = engine {
                        self.update_controller(|controller, now| controller.set_spec(engine, now));
                        return;
                    }
                }
                Ok((None, _)) => {}
                Err(error) => log::warn!("agent: cannot read the configuration, retrying: {error}"),
            }
            time::sleep(SPEC_RETRY_DELAY).await;
        }
    }

    async fn receive(self) {
        loop {
            let (source, datagram) = self.socket.receive().await;
            self.handle_datagram(source, datagram);
        }
    }

    fn handle_datagram(&self, source: SocketAddr, datagram: Datagram) {
        match datagram.body {
            Some(DatagramBody::SideHeartbeat(heartbeat)) => {
                let mut state = self.lock();
                state.publisher.subscribe(source, Instant::now());
                let AgentState { controller, limiter, publisher, arrivals, .. } = &*state;
                let reply = publisher.heartbeat_reply(
                    heartbeat.known_state,
                    self.engine_address,
                    controller,
                    limiter,
                    arrivals,
                );
                self.socket.send(source, reply);
            }
            Some(DatagramBody::PermitRequest(request)) => {
                self.handle_permit_request(source, datagram.incarnation, &request);
            }
            Some(DatagramBody::PermitRelease(release)) => {
                self.handle_permit_release(source, datagram.incarnation, release);
            }
            Some(DatagramBody::ChangeRequest(request)) => self.handle_change_request(&request),
            Some(DatagramBody::OriginReport(report)) => self.handle_origin_report(source, report),
            Some(DatagramBody::OriginQuery(query)) => {
                let state = self.lock();
                let origin = state.origins.get(StreamKey(query.stream), Instant::now());
                let reply =
                    OriginReply { stream: query.stream, origin: origin.map(OriginState::from) };
                self.socket.send(source, DatagramBody::OriginReply(reply));
            }
            _ => {}
        }
    }

    fn handle_permit_request(&self, source: SocketAddr, incarnation: u64, request: &PermitRequest) {
        let now = Instant::now();
        let id = PromptId {
            entry: source,
            incarnation: ProcessIncarnation(incarnation),
            key: request.key,
        };
        let Some((instance, prompt)) = parse_permit_request(id, request, now) else {
            log::warn!("agent: ignoring a permit request from {source}: a name in it is invalid");
            return;
        };
        if let Some(adapter) = &prompt.adapter {
            let (model, adapter) = (prompt.model.clone(), adapter.clone());
            self.update_controller(|controller, now| {
                controller.request_adapter(instance, model, adapter, now)
            });
        }
        let mut state = self.lock();
        let is_prefilling = state.limiter.is_prefilling(&id);
        if !is_prefilling && !state.limiter.is_waiting(&id) {
            state.arrivals.record(&prompt.model, now);
        }
        state.limiter.enqueue(prompt, now);
        self.admit_requests(&mut state);
        // Without a reply the entry would treat this process as unreachable.
        if is_prefilling {
            self.send_reply(&id, PermitDecision::Admitted);
        } else if state.limiter.is_waiting(&id) {
            self.send_reply(&id, PermitDecision::Queued);
        }
        let AgentState { controller, limiter, publisher, .. } = &mut *state;
        publisher.publish_load(&self.socket, controller, limiter);
    }

    fn handle_permit_release(&self, source: SocketAddr, incarnation: u64, release: PermitRelease) {
        let incarnation = ProcessIncarnation(incarnation);
        let mut state = self.lock();
        state.limiter.finish(&PromptId { entry: source, incarnation, key: release.key });
        self.admit_requests(&mut state);
        let AgentState { controller, limiter, publisher, .. } = &mut *state;
        publisher.publish_load(&self.socket, controller, limiter);
    }

    fn handle_origin_report(&self, source: SocketAddr, report: OriginReport) {
        match report.origin.and_then(OriginState::decode) {
            Some(origin) => {
                let key = StreamKey(report.stream);
                let other = self.lock().origins.record(key, origin, Instant::now());
                if let Some(other) = other {
                    log::warn!(
                        "agent: {source} reports another origin of stream {key}, keeping version {} of {}",
                        other.software,
                        other.service
                    );
                }
            }
            None => log::warn!("agent: ignoring the origin of a stream from {source}: no service"),
        }
    }

    fn handle_change_request(&self, request: &ChangeRequest) {
        match parse_change_request(request) {
            Some(change) => {
                self.update_controller(|controller, now| controller.request_change(change, now))
            }
            None => log::warn!("agent: ignoring a change request: a name in it is invalid"),
        }
    }
}

fn parse_permit_request(
    id: PromptId,
    request: &PermitRequest,
    now: Instant,
) -> Option<(InstanceId, PromptRequest)> {
    let adapter = match request.adapter.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    let prompt = PromptRequest {
        id,
        model: request.model.parse().ok()?,
        adapter,
        tokens: TokenCount(request.tokens),
        due: now + Duration::from_millis(request.due_in_ms.into()),
    };
    Some((request.instance.parse().ok()?, prompt))
}

fn parse_change_request(request: &ChangeRequest) -> Option<EngineChange> {
    let unload = request.unload.iter().map(|model| model.parse().ok()).collect::<Option<_>>()?;
    let load = match request.load.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    Some(EngineChange {
        instance: request.instance.parse().ok()?,
        started: (request.started != 0).then_some(IncarnationStart(request.started)),
        orders: OrderCount(request.orders),
        unload,
        load,
        load_time: Duration::from_millis(request.load_ms.into()),
        is_from_store: request.is_from_store,
    })
}

async fn render_metrics(mut request: Request) -> viz::Result<Response> {
    let State(agent) = request.extract::<State<Agent>>().await?;
    let dropped_lines = i64::try_from(agent.log.dropped_lines()).unwrap_or(i64::MAX);
    agent.metrics.dropped_lines.set(dropped_lines);
    Ok(Response::text(agent.metrics.render()))
}
