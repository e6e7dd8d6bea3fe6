//! A small fleet in the test process: stand-ins of the platform, agents and gateways, each on its
//! own loopback address.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod agent_process;
pub mod gateway_process;
pub mod invalid_answers;
pub mod store_path;
pub mod streams;
pub mod version_fleet;
pub mod workspaces;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

use agent::{Agent, AgentSettings};
use agent_process::AgentProcess;
use base::prelude::*;
use bytes::Bytes;
use connections::{ConnectSettings, Connection, SendError};
use events::{EventLog, LogLimits};
use gateway::{GatewayHandle, GatewaySettings};
use gateway_process::GatewayProcess;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform_standin::{
    CatalogBuilder, EngineOptions, EngineStandin, RouteSpec, ServiceStandin, StoreStandin, caller,
};
use tokio::{net::TcpListener, time};

/// Timeout that callers state in their requests.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
pub const HOST: &str = "desk.example";
pub const ENGINE_SERVICE: &str = "reports";
pub const PLAIN_SERVICE: &str = "orders";

/// Number of the last fleet. Each test has its own UDP port and loopback addresses, because tests
/// run concurrently in one process.
static LAST_FLEET: AtomicU16 = AtomicU16::new(0);

pub fn catalog() -> CatalogBuilder {
    CatalogBuilder::new(HOST)
        .engine_service(ENGINE_SERVICE, &["m1", "m2", "m3", "m4", "m5"])
        .plain_service(PLAIN_SERVICE)
        .route(RouteSpec::streaming("/chat/", ENGINE_SERVICE, false))
        .route(RouteSpec::streaming("/report/", ENGINE_SERVICE, true))
        .route(RouteSpec::non_idempotent("/order/", PLAIN_SERVICE))
        .route(RouteSpec::idempotent("/read/", PLAIN_SERVICE))
}

/// A fleet to which tests add engines, agents, services and gateways.
pub struct TestFleet {
    pub store: StoreStandin,
    pub engines: Vec<EngineStandin>,
    pub services: Vec<ServiceStandin>,
    pub gateways: Vec<(GatewayHandle, SocketAddr)>,
    pub ready_addresses: Vec<SocketAddr>,
    /// Time within which gateways that are started later must know a change in the store.
    pub known_within: Duration,
    /// Share of extra work that gateways that are started later may spend on second attempts.
    pub hedge_share: f64,
    /// Bytes of bodies that a backend server may hold for a gateway that is started later.
    pub server_bytes: &'static str,
    /// Address at which gateways that are started later reach the store; its own by default.
    pub store_address: SocketAddr,
    agents: Vec<Agent>,
    number: u16,
}

async fn listen(address: IpAddr) -> TcpListener {
    TcpListener::bind((address, 0)).await.expect("loopback addresses are free")
}

fn discarding_log(vm: &str) -> EventLog {
    let vm = vm.parse().expect("a valid name");
    EventLog::start(&vm, LogLimits::default(), std::io::sink()).0
}

impl TestFleet {
    /// Starts a store that holds the configuration of [`catalog`].
    pub async fn start() -> Self {
        let number = LAST_FLEET.fetch_add(1, Ordering::Relaxed) + 1;
        let store = StoreStandin::start(listen(Ipv4Addr::LOCALHOST.into()).await)
            .expect("the listener has an address");
        store.write("config", "main", &catalog().build(1));
        let store_address = store.address();
        Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            ready_addresses: Vec::new(),
            known_within: Duration::from_millis(400),
            hedge_share: 0.0,
            server_bytes: "16MiB",
            store_address,
            agents: Vec::new(),
            number,
        }
    }

    /// Replaces the store for what is started from now on.
    pub fn use_store(&mut self, store: &StoreStandin) {
        self.store = store.clone();
        self.store_address = store.address();
    }

    fn side_port(&self) -> u16 {
        20_000 + self.number
    }

    fn loopback(&self, host: u8) -> IpAddr {
        let [_, fleet] = self.number.to_be_bytes();
        // Test processes that run side by side, as in two work trees, differ in the second byte.
        let process = 100 + (std::process::id() % 100) as u8;
        IpAddr::V4(Ipv4Addr::new(127, process, fleet, host))
    }

    /// Starts an engine without an agent and registers it in the store.
    pub async fn add_engine(&mut self, options: EngineOptions) -> usize {
        let index = self.engines.len();
        let address = self.loopback(10 + index as u8);
        let instance = options.instance.clone();
        let engine = EngineStandin::start(listen(address).await, options).expect("it listens");
        let entry = engine.store_entry(ENGINE_SERVICE, "zone-a", engine.address());
        self.store.write("servers", &instance, &entry);
        self.engines.push(engine);
        index
    }

    /// Registers all engines in the store again, as they are now.
    pub fn publish_engines(&self) {
        for engine in &self.engines {
            let entry = engine.store_entry(ENGINE_SERVICE, "zone-a", engine.address());
            self.store.write("servers", &engine.instance(), &entry);
        }
    }

    fn agent_settings(&self, engine: usize) -> AgentSettings {
        let address = self.engines[engine].address();
        let ip = address.ip();
        let text = format!(
            "[process]\nvm = side-{engine}\n[engine]\naddress = {address}\n\
             service = {ENGINE_SERVICE}\n[listen]\npeers = {ip}:{}\nmetrics = {ip}:0\n\
             [store]\naddress = {}\n",
            self.side_port(),
            self.store.address()
        );
        AgentSettings::parse("agent.ini", &text).expect("valid settings")
    }

    /// Starts the agent of the engine with the index `engine`.
    pub async fn add_agent(&mut self, engine: usize) {
        let settings = self.agent_settings(engine);
        let agent = Agent::start(settings, discarding_log("side")).await;
        self.agents.push(agent);
    }

    /// Starts the agent of the engine with the index `engine`; it ends like a process, and may be
    /// started again.
    pub async fn add_agent_process(&self, engine: usize) -> AgentProcess {
        AgentProcess::start(self.agent_settings(engine)).await
    }

    /// Registers a backend server of the service [`PLAIN_SERVICE`] in the store.
    pub fn register_service(&self, instance: &str, address: SocketAddr) {
        self.register_incarnation(instance, address, 1);
    }

    /// Registers an incarnation of a backend server that was started at `born`, in Unix
    /// milliseconds.
    pub fn register_incarnation(&self, instance: &str, address: SocketAddr, born: u64) {
        let entry = serde_json::json!({ "service": PLAIN_SERVICE, "zone": "zone-a", "version": "v1",
            "address": address.to_string(), "slots": 6, "state": "ready",
            "cold-left-ms": 0, "sequence": 1, "born": born });
        self.store.write("servers", instance, &entry);
    }

    /// Starts a backend server of the service [`PLAIN_SERVICE`] and registers it in the store.
    pub async fn add_service(&mut self, instance: &str) -> usize {
        let index = self.services.len();
        let address = self.loopback(100 + index as u8);
        let service =
            ServiceStandin::start(listen(address).await, instance, Duration::from_millis(3))
                .expect("it listens");
        self.register_service(instance, service.address());
        self.services.push(service);
        index
    }

    /// Starts a gateway and waits until it has read the configuration and the backend servers.
    pub async fn add_gateway(&mut self) -> usize {
        let index = self.start_gateway().await;
        time::sleep(Duration::from_millis(400)).await;
        index
    }

    /// Settings of the gateway with the index `index`, and its addresses for callers and for
    /// questions whether it is ready.
    async fn gateway_settings(&self, index: usize) -> (GatewaySettings, [SocketAddr; 2]) {
        let ip = self.loopback(1 + index as u8);
        let [callers, ready] = free_addresses(ip).await;
        let text = format!(
            "[process]\nvm = entry-{index}\nzone = zone-a\ncore-share = 0.5\n[listen]\n\
             callers = {callers}\nready = {ready}\nmetrics = {ip}:0\npeers = {ip}:{}\n[store]\n\
             address = {}\nknown-within = {}ms\n[limits]\nrepeat-ratio = 0.2\n\
             repeat-allowance = 50\nrepeat-window = 10s\ngrace = 5s\n\
             server-bytes = {}\n[hedging]\nshare = {}\n",
            self.side_port(),
            self.store_address,
            self.known_within.as_millis(),
            self.server_bytes,
            self.hedge_share
        );
        let settings = GatewaySettings::parse("gateway.ini", &text).expect("valid settings");
        (settings, [callers, ready])
    }

    /// Starts a gateway without waiting for its first configuration.
    pub async fn start_gateway(&mut self) -> usize {
        let index = self.gateways.len();
        let (settings, [callers, ready]) = self.gateway_settings(index).await;
        let handle = GatewayHandle::start(settings, discarding_log("entry")).await;
        self.gateways.push((handle, callers));
        self.ready_addresses.push(ready);
        index
    }

    /// Starts a gateway that ends like a process, and waits until it has read the configuration and
    /// the backend servers. No other running gateway of the fleet has the same index.
    pub async fn add_gateway_process(&self, index: usize) -> GatewayProcess {
        let (settings, [callers, _]) = self.gateway_settings(index).await;
        let gateway = GatewayProcess::start(settings, callers);
        time::sleep(Duration::from_millis(400)).await;
        gateway
    }

    /// Address for callers of the gateway with the index `gateway`.
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].1
    }

    /// Address for datagrams of the gateway with the index `gateway`.
    pub fn peer_address(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.callers(gateway).ip(), self.side_port())
    }

    /// Sends a request to the first gateway and reads its answer.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> CallOutcome {
        call(self.callers(0), request).await
    }
}

/// Two addresses that nothing listens at. Both are bound while they are chosen, because the kernel
/// may give a port again that was just closed.
async fn free_addresses(ip: IpAddr) -> [SocketAddr; 2] {
    let listeners = [listen(ip).await, listen(ip).await];
    listeners.each_ref().map(|listener| listener.local_addr().expect("it is bound"))
}

/// The answer as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer.
    Complete { status: u16, headers: http::HeaderMap, body: String },
    /// The answer was truncated after these bytes.
    Truncated(String),
    /// The connection failed without an answer, for this reason.
    NoAnswer(String),
}

impl CallOutcome {
    pub fn status(&self) -> u16 {
        match self {
            CallOutcome::Complete { status, .. } => *status,
            CallOutcome::Truncated(_) | CallOutcome::NoAnswer(_) => 0,
        }
    }

    pub fn body(&self) -> &str {
        match self {
            CallOutcome::Complete { body, .. } | CallOutcome::Truncated(body) => body,
            CallOutcome::NoAnswer(_) => "",
        }
    }

    pub fn headers(&self) -> Option<&http::HeaderMap> {
        match self {
            CallOutcome::Complete { headers, .. } => Some(headers),
            CallOutcome::Truncated(_) | CallOutcome::NoAnswer(_) => None,
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers()?.get(name)?.to_str().ok()
    }
}

pub fn connect_settings() -> ConnectSettings {
    ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(5),
        read_buffer: ByteSize(64 * 1024),
    }
}

/// Sends a request on a new connection and reads the answer.
pub async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> CallOutcome {
    match send(address, request).await {
        Ok((_connection, response)) => read(response).await,
        Err(error) => CallOutcome::NoAnswer(error.to_string()),
    }
}

/// Opens a connection without sending a request.
pub async fn connect(address: SocketAddr) -> Result<Connection, SendError> {
    Connection::open(address, &connect_settings()).await
}

/// Sends a request on a new connection; returns the connection and the answer, whose body is
/// not read yet.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let mut connection = connect(address).await?;
    let response = connection.send(request).await?;
    Ok((connection, response))
}

/// Reads an answer to its end, or to where it is truncated.
pub async fn read(response: Response<Incoming>) -> CallOutcome {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return CallOutcome::Truncated(String::from_utf8_lossy(&bytes).into_owned()),
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    CallOutcome::Complete { status: parts.status.as_u16(), headers: parts.headers, body }
}

pub fn request(method: &str, path: &str, call: &str) -> http::request::Builder {
    caller::request(method, HOST, path, call, CALLER_TIMEOUT)
}

pub fn plain(method: &str, path: &str, call: &str) -> Request<Full<Bytes>> {
    request(method, path, call).body(Full::from("a dam check")).expect("a valid request")
}

/// A request of the plain service whose caller states `timeout`.
pub fn plain_with_timeout(
    method: &str,
    path: &str,
    call: &str,
    timeout: Duration,
) -> Request<Full<Bytes>> {
    let request = caller::request(method, HOST, path, call, timeout);
    request.body(Full::from("a dam check")).expect("a valid request")
}

pub fn stream(path: &str, model: &str, call: &str) -> Request<Full<Bytes>> {
    stream_with_timeout(path, model, call, CALLER_TIMEOUT)
}

/// A request for a stream whose caller states `timeout`.
pub fn stream_with_timeout(
    path: &str,
    model: &str,
    call: &str,
    timeout: Duration,
) -> Request<Full<Bytes>> {
    let request = caller::request("POST", HOST, path, call, timeout);
    caller::with_model(request, model, 600, 60)
        .body(Full::from("a prompt"))
        .expect("a valid request")
}

/// A request for a stream whose prompt has these parts, as `ID:TOKENS`.
pub fn stream_with_parts(
    path: &str,
    model: &str,
    call: &str,
    parts: &[&str],
) -> Request<Full<Bytes>> {
    let request = caller::with_model(request("POST", path, call), model, 600, 60);
    caller::with_parts(request, parts).body(Full::from(call.to_owned())).expect("a valid request")
}

/// Text of a complete stream with `events` events.
pub fn complete_stream(call: &str, events: u64) -> String {
    (1..=events).map(|number| platform_standin::engine::event_text(call, number)).collect()
}

/// Waits until `holds` returns true; panics after five seconds.
pub async fn eventually(expectation: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < deadline, "not within five seconds: {expectation}");
        time::sleep(Duration::from_millis(10)).await;
    }
}
