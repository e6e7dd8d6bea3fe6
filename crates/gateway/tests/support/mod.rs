//! A small fleet in one process: the platform's stand-ins, agents and gateways, each on a loopback
//! address of its own.

#![allow(dead_code, reason = "each test uses some of it")]

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

use agent::{Agent, AgentSettings};
use base::prelude::*;
use bytes::Bytes;
use connections::{ConnectSettings, Connection, SendError};
use events::{EventLog, LogLimits};
use gateway::{GatewayHandle, GatewaySettings};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform_standin::{
    CatalogBuilder, EngineOptions, EngineStandin, RouteSpec, ServiceStandin, StoreStandin, caller,
};
use tokio::{net::TcpListener, time};

/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(3);
pub const HOST: &str = "desk.example";
pub const ENGINES: &str = "reports";
pub const PLAIN: &str = "orders";

/// Ports for datagrams differ between tests, which run in one process at the same time.
static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

pub fn catalog() -> CatalogBuilder {
    CatalogBuilder::new(HOST)
        .engine_service(ENGINES, &["m1", "m2", "m3", "m4", "m5"])
        .plain_service(PLAIN)
        .route(RouteSpec::streaming("/chat/", ENGINES, false))
        .route(RouteSpec::streaming("/report/", ENGINES, true))
        .route(RouteSpec::non_idempotent("/order/", PLAIN))
        .route(RouteSpec::idempotent("/read/", PLAIN))
}

/// A fleet that grows step by step.
pub struct TestFleet {
    pub store: StoreStandin,
    pub engines: Vec<EngineStandin>,
    pub services: Vec<ServiceStandin>,
    pub gateways: Vec<(GatewayHandle, SocketAddr)>,
    pub addresses: Vec<SocketAddr>,
    agents: Vec<Agent>,
    number: u16,
}

async fn listen(address: IpAddr) -> TcpListener {
    TcpListener::bind((address, 0)).await.expect("loopback addresses are free")
}

fn silent_log(vm: &str) -> EventLog {
    let vm = vm.parse().expect("a valid name");
    EventLog::start(&vm, LogLimits::default(), std::io::sink()).0
}

impl TestFleet {
    /// A store that holds the usual configuration.
    pub async fn start() -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed) + 1;
        let store = StoreStandin::start(listen(Ipv4Addr::LOCALHOST.into()).await)
            .expect("the listener has an address");
        store.write("config", "main", &catalog().build(1));
        Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            addresses: Vec::new(),
            agents: Vec::new(),
            number,
        }
    }

    fn side_port(&self) -> u16 {
        20_000 + self.number
    }

    fn loopback(&self, host: u8) -> IpAddr {
        let [_, fleet] = self.number.to_be_bytes();
        IpAddr::V4(Ipv4Addr::new(127, 7, fleet, host))
    }

    /// Adds an engine that is registered in the store, without an agent.
    pub async fn add_engine(&mut self, options: EngineOptions) -> usize {
        let index = self.engines.len();
        let address = self.loopback(10 + index as u8);
        let instance = options.instance.clone();
        let engine = EngineStandin::start(listen(address).await, options).expect("it listens");
        let entry = engine.store_entry(ENGINES, "zone-a", engine.address());
        self.store.write("servers", &instance, &entry);
        self.engines.push(engine);
        index
    }

    /// Starts the agent of an engine.
    pub async fn add_agent(&mut self, engine: usize) {
        let address = self.engines[engine].address();
        let ip = address.ip();
        let text = format!(
            "[process]\nvm = side-{engine}\n[engine]\naddress = {address}\nservice = {ENGINES}\n\
             [listen]\npeers = {ip}:{}\nmetrics = {ip}:0\n[store]\naddress = {}\n",
            self.side_port(),
            self.store.address()
        );
        let settings = AgentSettings::parse("agent.ini", &text).expect("valid settings");
        let agent = Agent::start(settings, silent_log("side")).await.expect("free addresses");
        self.agents.push(agent);
    }

    /// Adds a backend server of the plain service.
    pub async fn add_service(&mut self, instance: &str) -> usize {
        let index = self.services.len();
        let address = self.loopback(100 + index as u8);
        let service =
            ServiceStandin::start(listen(address).await, instance, Duration::from_millis(3))
                .expect("it listens");
        let entry = serde_json::json!({ "service": PLAIN, "zone": "zone-a", "version": "v1",
            "address": service.address().to_string(), "slots": 6, "state": "ready",
            "cold-left-ms": 0, "sequence": 1, "born": 1 });
        self.store.write("servers", instance, &entry);
        self.services.push(service);
        index
    }

    /// Starts a gateway and waits until it knows the configuration and the backend servers.
    pub async fn add_gateway(&mut self) -> usize {
        let index = self.start_gateway().await;
        time::sleep(Duration::from_millis(400)).await;
        index
    }

    /// Starts a gateway.
    pub async fn start_gateway(&mut self) -> usize {
        let index = self.gateways.len();
        let ip = self.loopback(1 + index as u8);
        let callers = free_address(ip).await;
        let ready = free_address(ip).await;
        let text = format!(
            "[process]\nvm = entry-{index}\nzone = zone-a\ncore-share = 0.5\n[listen]\n\
             callers = {callers}\nready = {ready}\nmetrics = {ip}:0\npeers = {ip}:{}\n[store]\n\
             address = {}\nknown-within = 400ms\n[limits]\nrepeat-ratio = 0.2\n\
             repeat-allowance = 50\nrepeat-window = 10s\ngrace = 5s\n",
            self.side_port(),
            self.store.address()
        );
        let settings = GatewaySettings::parse("gateway.ini", &text).expect("valid settings");
        let handle =
            GatewayHandle::start(settings, silent_log("entry")).await.expect("free addresses");
        self.gateways.push((handle, callers));
        self.addresses.push(ready);
        index
    }

    /// Where callers reach a gateway.
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].1
    }

    /// Sends a request to the first gateway and reads its answer.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> CallOutcome {
        call(self.callers(0), request).await
    }
}

async fn free_address(ip: IpAddr) -> SocketAddr {
    listen(ip).await.local_addr().expect("it is bound")
}

/// What a caller sees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer.
    Whole { status: u16, headers: http::HeaderMap, body: String },
    /// The answer broke off after these bytes.
    Cut(String),
    /// The connection ended without an answer.
    None(String),
}

impl CallOutcome {
    pub fn status(&self) -> u16 {
        match self {
            CallOutcome::Whole { status, .. } => *status,
            CallOutcome::Cut(_) | CallOutcome::None(_) => 0,
        }
    }

    pub fn body(&self) -> &str {
        match self {
            CallOutcome::Whole { body, .. } | CallOutcome::Cut(body) => body,
            CallOutcome::None(_) => "",
        }
    }

    pub fn headers(&self) -> Option<&http::HeaderMap> {
        match self {
            CallOutcome::Whole { headers, .. } => Some(headers),
            CallOutcome::Cut(_) | CallOutcome::None(_) => None,
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

/// Sends a request on a connection of its own.
pub async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> CallOutcome {
    match send(address, request).await {
        Ok((_connection, response)) => read(response).await,
        Err(error) => CallOutcome::None(error.to_string()),
    }
}

/// Opens a connection that carries no request yet.
pub async fn connect(address: SocketAddr) -> Result<Connection, SendError> {
    Connection::open(address, &connect_settings()).await
}

/// Sends a request and returns the head of its answer with the connection.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let mut connection = connect(address).await?;
    let response = connection.send(request).await?;
    Ok((connection, response))
}

/// Reads an answer to its end, or to where it breaks off.
pub async fn read(response: Response<Incoming>) -> CallOutcome {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return CallOutcome::Cut(String::from_utf8_lossy(&bytes).into_owned()),
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    CallOutcome::Whole { status: parts.status.as_u16(), headers: parts.headers, body }
}

pub fn request(method: &str, path: &str, call: &str) -> http::request::Builder {
    caller::request(method, HOST, path, call, PATIENCE)
}

pub fn plain(method: &str, path: &str, call: &str) -> Request<Full<Bytes>> {
    request(method, path, call).body(Full::from("a dam check")).expect("a valid request")
}

pub fn stream(path: &str, model: &str, call: &str) -> Request<Full<Bytes>> {
    patient_stream(path, model, call, PATIENCE)
}

/// A stream whose caller waits for its end for `patience`.
pub fn patient_stream(
    path: &str,
    model: &str,
    call: &str,
    patience: Duration,
) -> Request<Full<Bytes>> {
    let request = caller::request("POST", HOST, path, call, patience);
    caller::with_model(request, model, 600, 60)
        .body(Full::from("a prompt"))
        .expect("a valid request")
}

/// All events of a stream.
pub fn whole_stream(call: &str, events: u64) -> String {
    (1..=events).map(|number| platform_standin::engine::event_text(call, number)).collect()
}

/// Waits until `holds`, for five seconds at most.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < deadline, "not in five seconds: {what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}
