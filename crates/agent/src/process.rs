//! The tasks of the agent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use catalog::TokenCount;
use events::{DecisionEvent, Dependency, EventLog, millis};
use peers::{
    ChangeRequest, Datagram, DatagramBody, PeerSocket, PermitDecision, PermitRelease, PermitReply,
    PermitRequest,
};
use platform::PlatformStore;
use residency::{
    EngineOrder, OrderCount,
    keeper::{Keeper, KeeperAction, KeeperIdentity, WantedChange},
    prompts::{PromptAnswer, PromptAsk, PromptGate, PromptId},
};
use roster::{IncarnationStart, InstanceId};
use snafu::Snafu;
use tokio::{sync::Notify, time};
use viz::{Request, RequestExt, Response, ResponseExt, Router, types::State};
use wire::{ListenError, listen::listen};

use crate::{
    engine::EngineClient, metrics::AgentMetrics, settings::AgentSettings, telling::Telling,
};

/// Time between reports while nothing is under way.
const CALM_POLL: Duration = Duration::from_millis(200);
/// Time between reports while an order is being carried out.
const ACTIVE_POLL: Duration = Duration::from_millis(40);
/// Time between tries to read the sizes of models.
const SIZES_RETRY: Duration = Duration::from_millis(500);
/// Fencing number of all orders; see [`KeeperIdentity::fence`].
const FENCE: FencingNumber = FencingNumber(1);

/// Bits by which an incarnation is shifted to give the number of its first state.
const STATE_BITS: u32 = 20;

/// The agent cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address is taken.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// The socket for datagrams cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// Cause.
        source: peers::socket::SocketError,
    },
}

/// Result of starting.
pub type Result<T, E = StartError> = std::result::Result<T, E>;

struct AgentState {
    keeper: Keeper,
    gate: PromptGate,
    telling: Telling,
    lost: Option<Instant>,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<AgentState>>,
    socket: Arc<PeerSocket>,
    engine: EngineClient,
    address: SocketAddr,
    log: EventLog,
    metrics: AgentMetrics,
    poll_now: Arc<Notify>,
}

impl Agent {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken.
    pub async fn start(settings: AgentSettings, log: EventLog) -> Result<Self> {
        let incarnation = ProcessIncarnation::random();
        log.record(&DecisionEvent::Started {
            program: "agent",
            version: env!("CARGO_PKG_VERSION"),
            incarnation,
        });
        let listener = listen(settings.metrics).await?;
        let socket = PeerSocket::bind(settings.peers, settings.vm.clone(), incarnation).await?;
        let identity = KeeperIdentity { holder: settings.vm.clone(), fence: FENCE };
        let state = AgentState {
            keeper: Keeper::new(identity),
            gate: PromptGate::default(),
            telling: Telling::new(incarnation.0 >> STATE_BITS),
            lost: None,
        };
        let agent = Self {
            state: Arc::new(Mutex::new(state)),
            socket: Arc::new(socket),
            engine: EngineClient::new(settings.engine),
            address: settings.engine,
            log,
            metrics: AgentMetrics::new(),
            poll_now: Arc::default(),
        };
        let store = PlatformStore::new(settings.store, settings.call_timeout);
        tokio::spawn(agent.clone().read_sizes(store, settings.service));
        tokio::spawn(agent.clone().poll());
        tokio::spawn(agent.clone().receive());
        let metrics = Router::new().get("/metrics", render).with(State::new(agent.clone()));
        tokio::spawn(async move {
            if let Err(error) = viz::serve(listener, metrics).await {
                log::error!("agent: the metrics listener failed: {error}");
            }
        });
        Ok(agent)
    }

    /// Writes that the process ends. Nothing has to be waited for: orders are the engine's to
    /// carry out, and a later incarnation reads from its report what became of them.
    pub fn stop(&self) {
        self.log.record(&DecisionEvent::Stopping { in_flight: 0 });
        self.log.record(&DecisionEvent::Stopped { in_flight: 0 });
    }

    fn lock(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().expect("no holder panics")
    }

    fn step(&self, step: impl FnOnce(&mut Keeper, Instant)) {
        let mut state = self.lock();
        step(&mut state.keeper, Instant::now());
        let actions = state.keeper.take_actions();
        let is_changed = actions.contains(&KeeperAction::Changed);
        if is_changed {
            let AgentState { keeper, gate, telling, .. } = &mut *state;
            telling.tell_change(&self.socket, self.address, keeper, gate);
            self.note_change(keeper);
        }
        self.let_in(&mut state);
        for action in actions {
            match action {
                KeeperAction::Order(order) => {
                    tokio::spawn(self.clone().order(order));
                }
                KeeperAction::Decline(model, reason) => {
                    self.metrics.declined.inc();
                    let load = model.map(String::from).unwrap_or_default();
                    let orders =
                        state.keeper.report().map_or(OrderCount(0), |report| report.orders);
                    let reason = reason.text();
                    self.log.record(&DecisionEvent::ChangeDeclined { load: &load, reason, orders });
                }
                KeeperAction::Changed => {}
            }
        }
    }

    /// Lets in the requests whose turn it is.
    fn let_in(&self, state: &mut AgentState) {
        let AgentState { keeper, gate, .. } = state;
        let readiness =
            |model: &ModelId, adapter: Option<&AdapterId>| keeper.readiness(model, adapter);
        for answer in gate.step(readiness, Instant::now()) {
            match answer {
                PromptAnswer::LetIn(id) => self.answer(&id, PermitDecision::Admitted),
                PromptAnswer::Missing(id) => self.answer(&id, PermitDecision::ModelMissing),
            }
        }
    }

    fn answer(&self, id: &PromptId, decision: PermitDecision) {
        let answer = PermitReply { key: id.key, decision: decision.into() };
        self.socket.send(id.entry, DatagramBody::PermitReply(answer));
    }

    fn note_change(&self, keeper: &Keeper) {
        let Some(report) = keeper.report() else { return };
        self.metrics.residents.set(i64::try_from(report.residents.len()).unwrap_or(i64::MAX));
        let names: Vec<String> = report
            .residents
            .iter()
            .map(|held| {
                let adapters: Vec<&str> = held.adapters.iter().map(AdapterId::as_str).collect();
                format!("{}({})", held.model, adapters.join(","))
            })
            .collect();
        self.log.record(&DecisionEvent::EngineChanged {
            holds: &names.join(" "),
            is_busy: report.is_busy,
            orders: report.orders,
            copies: report.copies_on_disk.len(),
        });
    }

    async fn order(self, order: EngineOrder) {
        let began = Instant::now();
        let answer = self.engine.order(&order).await;
        self.metrics.count_order(answer);
        self.log.record(&DecisionEvent::OrderGiven {
            server: &order.instance,
            action: &order.action,
            orders: order.expected,
            answer,
            after_ms: millis(began.elapsed()),
        });
        self.step(|keeper, now| keeper.answer(answer, now));
        self.poll_now.notify_one();
    }

    async fn poll(self) {
        loop {
            match self.engine.report().await {
                Ok(report) => {
                    self.regain();
                    if let Some(started) = report.started {
                        self.lock().gate.hear_engine(started);
                    }
                    self.step(|keeper, now| keeper.hear(report, now));
                }
                Err(reason) => {
                    self.metrics.lost_reports.inc();
                    self.lose(&reason);
                }
            }
            let is_active = {
                let mut state = self.lock();
                self.let_in(&mut state);
                let AgentState { keeper, gate, telling, .. } = &mut *state;
                telling.tell_load(&self.socket, keeper, gate);
                keeper.is_active() || gate.has_waiting()
            };
            let pause = if is_active { ACTIVE_POLL } else { CALM_POLL };
            tokio::select! {
                () = time::sleep(pause) => {}
                () = self.poll_now.notified() => {}
            }
        }
    }

    fn lose(&self, reason: &str) {
        let is_first = {
            let mut state = self.lock();
            let is_first = state.lost.is_none();
            state.lost.get_or_insert_with(Instant::now);
            is_first
        };
        if is_first {
            let dependency = Dependency::Engine;
            self.log.record(&DecisionEvent::DependencyLost { dependency, reason });
            self.step(|keeper, _| keeper.lose_engine());
        }
    }

    fn regain(&self) {
        if let Some(lost) = self.lock().lost.take() {
            let outage_ms = millis(lost.elapsed());
            let dependency = Dependency::Engine;
            self.log.record(&DecisionEvent::DependencyRegained { dependency, outage_ms });
        }
    }

    async fn read_sizes(self, store: PlatformStore, service: ServiceName) {
        loop {
            match store.read_catalog().await {
                Ok((Some(catalog), _)) => {
                    let engine = catalog.service(&service).and_then(|found| found.engine.clone());
                    if let Some(engine) = engine {
                        self.step(|keeper, now| keeper.learn(engine, now));
                        return;
                    }
                }
                Ok((None, _)) => {}
                Err(error) => log::warn!("agent: the configuration cannot be read: {error}"),
            }
            time::sleep(SIZES_RETRY).await;
        }
    }

    async fn receive(self) {
        loop {
            let (source, datagram) = self.socket.receive().await;
            self.take(source, datagram);
        }
    }

    fn take(&self, source: SocketAddr, datagram: Datagram) {
        match datagram.body {
            Some(DatagramBody::SideHeartbeat(beat)) => {
                let mut state = self.lock();
                state.telling.subscribe(source, Instant::now());
                let AgentState { keeper, gate, telling, .. } = &*state;
                let answer = telling.answer(beat.known_state, self.address, keeper, gate);
                self.socket.send(source, answer);
            }
            Some(DatagramBody::PermitRequest(ask)) => {
                self.take_ask(source, datagram.incarnation, &ask)
            }
            Some(DatagramBody::PermitRelease(end)) => {
                self.take_end(source, datagram.incarnation, end)
            }
            Some(DatagramBody::ChangeRequest(wanted)) => self.want_change(&wanted),
            _ => {}
        }
    }

    fn take_ask(&self, source: SocketAddr, incarnation: u64, ask: &PermitRequest) {
        let now = Instant::now();
        let id =
            PromptId { entry: source, incarnation: ProcessIncarnation(incarnation), key: ask.key };
        let Some((instance, prompt)) = read_ask(id, ask, now) else {
            log::warn!("agent: a request of {source} has a bad name");
            return;
        };
        if let Some(adapter) = &prompt.adapter {
            let (model, adapter) = (prompt.model.clone(), adapter.clone());
            self.step(|keeper, now| keeper.want_adapter(instance, model, adapter, now));
        }
        let mut state = self.lock();
        let is_reading = state.gate.is_reading(&id);
        state.gate.ask(prompt, now);
        self.let_in(&mut state);
        // An entry that hears nothing takes this process for silent.
        if is_reading {
            self.answer(&id, PermitDecision::Admitted);
        } else if state.gate.is_waiting(&id) {
            self.answer(&id, PermitDecision::Queued);
        }
        let AgentState { keeper, gate, telling, .. } = &mut *state;
        telling.tell_load(&self.socket, keeper, gate);
    }

    fn take_end(&self, source: SocketAddr, incarnation: u64, end: PermitRelease) {
        let incarnation = ProcessIncarnation(incarnation);
        let mut state = self.lock();
        state.gate.end(&PromptId { entry: source, incarnation, key: end.key });
        self.let_in(&mut state);
        let AgentState { keeper, gate, telling, .. } = &mut *state;
        telling.tell_load(&self.socket, keeper, gate);
    }

    fn want_change(&self, wanted: &ChangeRequest) {
        match read_change(wanted) {
            Some(change) => self.step(|keeper, now| keeper.want_change(change, now)),
            None => log::warn!("agent: a wanted change has a bad name"),
        }
    }
}

fn read_ask(id: PromptId, ask: &PermitRequest, now: Instant) -> Option<(InstanceId, PromptAsk)> {
    let adapter = match ask.adapter.as_str() {
        "" => None,
        adapter => Some(adapter.parse().ok()?),
    };
    let prompt = PromptAsk {
        id,
        model: ask.model.parse().ok()?,
        adapter,
        tokens: TokenCount(ask.tokens),
        due: now + Duration::from_millis(ask.due_in_ms.into()),
    };
    Some((ask.instance.parse().ok()?, prompt))
}

fn read_change(wanted: &ChangeRequest) -> Option<WantedChange> {
    let unload = wanted.unload.iter().map(|model| model.parse().ok()).collect::<Option<_>>()?;
    let load = match wanted.load.as_str() {
        "" => None,
        model => Some(model.parse().ok()?),
    };
    Some(WantedChange {
        instance: wanted.instance.parse().ok()?,
        started: (wanted.started != 0).then_some(IncarnationStart(wanted.started)),
        orders: OrderCount(wanted.orders),
        unload,
        load,
        load_time: Duration::from_millis(wanted.load_ms.into()),
        is_from_store: wanted.is_from_store,
    })
}

async fn render(mut request: Request) -> viz::Result<Response> {
    let State(agent) = request.extract::<State<Agent>>().await?;
    let dropped = i64::try_from(agent.log.dropped_lines()).unwrap_or(i64::MAX);
    agent.metrics.dropped_lines.set(dropped);
    Ok(Response::text(agent.metrics.render()))
}
