//! Fleet of one run: processes, stand-ins, and the relays between them.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use platform_standin::{
    CatalogBuilder, EngineOptions, EngineStandin, RouteSpec, ServiceStandin, StoreStandin,
};
use proof::{
    binaries::ProgramPaths,
    process::{ManagedProcess, ProcessSpec},
    relay::TcpRelay,
};
use tokio::net::TcpListener;

use crate::plan::{SoakPlan, Target};

/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Name of the service of the engines.
pub const ENGINE_SERVICE: &str = "reports";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "orders";
/// Models that requests are sent to.
pub const MODELS: [&str; 6] = ["m1", "m2", "m3", "m4", "m5", "m6"];
/// Number of events of each stream.
pub const EVENTS_PER_STREAM: u64 = 20;
/// Time from a request to the first event of its stream, at an engine that is not busy.
pub const FIRST_EVENT: Duration = Duration::from_millis(20);
/// Time from SIGTERM until a process is killed.
pub const STOP_GRACE: Duration = Duration::from_secs(5);
/// UDP port for datagrams between processes.
const PEER_PORT: u16 = 7380;
/// Port of a backend server itself; clients connect to its relay.
const ENGINE_PORT: u16 = 8000;
/// Port of the relay in front of a backend server.
const RELAY_PORT: u16 = 8001;
/// Port on which gateways accept connections of callers.
const CALLER_PORT: u16 = 8080;

/// A process of the system, which faults may stop and restart.
pub struct FleetProcess {
    /// Command line, for restarts.
    pub spec: ProcessSpec,
    /// The running process; `None` while a fault has stopped it.
    pub running: Option<ManagedProcess>,
    /// Relay for its connections to the store.
    pub store_link: TcpRelay,
}

/// An engine and its relay.
pub struct EngineNode {
    /// Stand-in of the engine.
    pub engine: EngineStandin,
    /// Relay for the connections to it.
    pub link: TcpRelay,
}

/// A plain backend server and its relay.
pub struct ServiceNode {
    /// Instance name, `s-INDEX`, which is also its key in the store.
    pub instance: String,
    /// Stand-in of the backend server.
    pub service: ServiceStandin,
    /// Relay for the connections to it.
    pub link: TcpRelay,
}

/// All processes, stand-ins and relays of a run.
pub struct Fleet {
    /// Stand-in of the platform's store.
    pub store: StoreStandin,
    /// Engines, by index.
    pub engines: Vec<EngineNode>,
    /// Plain backend servers, by index; draining ones are kept.
    pub services: Vec<ServiceNode>,
    /// Gateways, by index.
    pub gateways: Vec<FleetProcess>,
    /// Agents, by the index of their engine.
    pub agents: Vec<FleetProcess>,
    /// Version of the configuration in the store.
    pub version: u64,
    /// Path prefixes of the routes added during the run.
    pub added_routes: Vec<String>,
    subnet: u8,
}

/// Result of starting the fleet.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

fn io_error(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::other(error)
}

/// Builds the configuration with the initial routes and one for each prefix in `added_routes`.
pub fn catalog(added_routes: &[String]) -> CatalogBuilder {
    let mut builder = CatalogBuilder::new(HOST)
        .engine_service(ENGINE_SERVICE, &MODELS)
        .plain_service(PLAIN_SERVICE)
        .route(RouteSpec::streaming("/chat/", ENGINE_SERVICE, false))
        .route(RouteSpec::streaming("/report/", ENGINE_SERVICE, true))
        .route(RouteSpec::non_idempotent("/order/", PLAIN_SERVICE))
        .route(RouteSpec::idempotent("/read/", PLAIN_SERVICE));
    for prefix in added_routes {
        builder = builder.route(RouteSpec::idempotent(prefix, PLAIN_SERVICE));
    }
    builder
}

impl Fleet {
    /// Starts the fleet of `plan` on addresses in 127.30.`subnet`.0/24, with settings and logs in
    /// `directory`.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or a program does not start.
    pub async fn start(
        plan: &SoakPlan,
        programs: &ProgramPaths,
        directory: &Path,
        subnet: u8,
    ) -> Result<Self> {
        fs::create_dir_all(directory)?;
        let listener = TcpListener::bind((Ipv4Addr::new(127, 30, subnet, 250), 0)).await?;
        let store = StoreStandin::start(listener)?;
        store.write("config", "main", &catalog(&[]).build(1));
        let mut fleet = Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            agents: Vec::new(),
            version: 1,
            added_routes: Vec::new(),
            subnet,
        };
        for index in 0..plan.engines {
            fleet.add_engine(index, plan.versions).await?;
        }
        for _ in 0..plan.services {
            fleet.add_service().await?;
        }
        for index in 0..plan.engines {
            let text = fleet.agent_settings(index);
            let process =
                fleet.start_process(programs, directory, Target::Agent(index), text).await?;
            fleet.agents.push(process);
        }
        for index in 0..plan.gateways {
            let text = fleet.gateway_settings(index);
            let process =
                fleet.start_process(programs, directory, Target::Gateway(index), text).await?;
            fleet.gateways.push(process);
        }
        Ok(fleet)
    }

    fn ip(&self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 30, self.subnet, host as u8))
    }

    fn gateway_ip(&self, index: usize) -> IpAddr {
        self.ip(1 + index)
    }

    fn engine_ip(&self, index: usize) -> IpAddr {
        self.ip(40 + index)
    }

    /// Address of gateway `index` for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(index), CALLER_PORT)
    }

    async fn add_engine(&mut self, index: usize, versions: usize) -> Result<()> {
        let ip = self.engine_ip(index);
        let listener = TcpListener::bind((ip, ENGINE_PORT)).await?;
        let residents = (0..2).map(|offset| MODELS[(index + offset) % MODELS.len()].to_owned());
        let on_disk = MODELS.iter().map(ToString::to_string).skip(index % 2).step_by(2);
        let options = EngineOptions {
            residents: residents.collect(),
            on_disk: on_disk.collect(),
            events: EVENTS_PER_STREAM,
            first_event: FIRST_EVENT,
            software: format!("v{}", 1 + index % versions),
            ..EngineOptions::new(&format!("i-{index}"))
        };
        let engine = EngineStandin::start(listener, options)?;
        let link = TcpRelay::start_at(SocketAddr::new(ip, RELAY_PORT), engine.address()).await?;
        self.engines.push(EngineNode { engine, link });
        self.publish_engine(index);
        Ok(())
    }

    /// Writes the current entry of an engine to the store.
    pub fn publish_engine(&self, index: usize) {
        let node = &self.engines[index];
        let entry = node.engine.store_entry(ENGINE_SERVICE, "zone-a", node.link.address);
        self.store.write("servers", &format!("i-{index}"), &entry);
    }

    /// Writes the current configuration to the store.
    pub fn publish_catalog(&self) {
        let text = catalog(&self.added_routes).build(self.version);
        self.store.write("config", "main", &text);
    }

    /// Starts a plain backend server and lists it as ready.
    ///
    /// # Errors
    ///
    /// Fails if its address or that of its relay is taken.
    pub async fn add_service(&mut self) -> Result<()> {
        let index = self.services.len();
        let instance = format!("s-{index}");
        let ip = self.ip(150 + index);
        let listener = TcpListener::bind((ip, ENGINE_PORT)).await?;
        let service = ServiceStandin::start(listener, &instance, Duration::from_millis(4))?;
        let link = TcpRelay::start_at(SocketAddr::new(ip, RELAY_PORT), service.address()).await?;
        self.services.push(ServiceNode { instance, service, link });
        self.publish_service(index, "ready");
        Ok(())
    }

    /// Writes the entry of a plain backend server to the store, with `state` such as `ready`.
    pub fn publish_service(&self, index: usize, state: &str) {
        let node = &self.services[index];
        let entry = serde_json::json!({ "service": PLAIN_SERVICE, "zone": "zone-a", "version": "v1",
            "address": node.link.address.to_string(), "slots": 6, "state": state,
            "cold-left-ms": 0, "sequence": 1, "born": 1 });
        self.store.write("servers", &node.instance, &entry);
    }

    fn agent_settings(&self, index: usize) -> String {
        let ip = self.engine_ip(index);
        format!(
            "[process]\nvm = side-{index}\n[engine]\naddress = {ip}:{RELAY_PORT}\n\
             service = {ENGINE_SERVICE}\n[listen]\npeers = {ip}:{PEER_PORT}\nmetrics = {ip}:9464\n"
        )
    }

    fn gateway_settings(&self, index: usize) -> String {
        let ip = self.gateway_ip(index);
        let grace = STOP_GRACE.as_secs();
        format!(
            "[process]\nvm = entry-{index}\nzone = zone-a\ncore-share = 0.5\n[listen]\n\
             callers = {ip}:{CALLER_PORT}\nready = {ip}:8081\nmetrics = {ip}:9464\n\
             peers = {ip}:{PEER_PORT}\n[limits]\nrepeat-ratio = 0.2\nrepeat-allowance = 60\n\
             repeat-window = 10s\ngrace = {grace}s\n"
        )
    }

    async fn start_process(
        &self,
        programs: &ProgramPaths,
        directory: &Path,
        target: Target,
        settings: String,
    ) -> Result<FleetProcess> {
        let store_link = TcpRelay::start(self.store.address()).await?;
        let staleness_setting = match target {
            Target::Gateway(_) => "known-within = 600ms\n",
            Target::Agent(_) => "",
        };
        let store = format!("[store]\naddress = {}\n{staleness_setting}", store_link.address);
        let name = target.to_string();
        let path: PathBuf = directory.join(format!("{name}.ini"));
        fs::write(&path, settings + &store)?;
        let (program, command) = match target {
            Target::Gateway(_) => (&programs.fescuewalk, "gateway"),
            Target::Agent(_) => (&programs.side, "agent"),
        };
        let path = path.display().to_string();
        let spec = ProcessSpec::new(&name, program, directory, &[command, &path]);
        let running = spec.start().await.map_err(io_error)?;
        Ok(FleetProcess { spec, running: Some(running), store_link })
    }

    /// The process `target`; panics if the index is out of range.
    pub fn process_mut(&mut self, target: Target) -> &mut FleetProcess {
        match target {
            Target::Gateway(index) => &mut self.gateways[index],
            Target::Agent(index) => &mut self.agents[index],
        }
    }

    /// Restarts the process `target`, unless it runs.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start.
    pub async fn restart_process(&mut self, target: Target) -> Result<()> {
        let process = self.process_mut(target);
        if process.running.is_none() {
            process.running = Some(process.spec.start().await.map_err(io_error)?);
        }
        Ok(())
    }
}
