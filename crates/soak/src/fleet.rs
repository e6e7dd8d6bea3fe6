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
use tokio::{net::TcpListener, sync::watch};

use crate::plan::{SoakPlan, Target};

/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Name of the service of the engines.
pub const ENGINE_SERVICE: &str = "reports";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "orders";
/// Number of events of each stream.
pub const EVENTS_PER_STREAM: u64 = 20;
/// Time from a request to the first event of its stream, at an engine that is not busy.
pub const FIRST_EVENT: Duration = Duration::from_millis(20);
/// Time from SIGTERM until a process is killed.
pub const STOP_GRACE: Duration = Duration::from_secs(5);
/// Number of lines of standard error in a report.
const ERROR_LINES: usize = 6;
/// Number of lines of the log in a report.
const LOG_LINES: usize = 3;
/// UDP port for datagrams between processes.
const PEER_PORT: u16 = 7380;
/// Port of a backend server itself; clients connect to its relay.
const ENGINE_PORT: u16 = 8000;
/// Port of the relay in front of a backend server.
const RELAY_PORT: u16 = 8001;
/// Port on which gateways accept connections of callers.
const CALLER_PORT: u16 = 8080;
/// Port on which gateways answer readiness checks.
const READY_PORT: u16 = 8081;
/// Port on which processes serve their metrics.
const METRICS_PORT: u16 = 9464;

/// A process of the system, which faults may stop and restart.
pub struct FleetProcess {
    /// Command line, for restarts.
    pub spec: ProcessSpec,
    /// The running process; `None` while a fault has stopped it.
    pub running: Option<ManagedProcess>,
    /// Whether a fault starts or stops it at present.
    pub is_claimed: bool,
    /// Relay for its connections to the store.
    pub store_link: TcpRelay,
}

impl FleetProcess {
    /// Last lines of its standard error and of its log.
    pub fn last_lines(&self) -> String {
        let tail = |suffix: &str, count: usize| {
            let path = self.spec.directory.join(format!("{}.{suffix}", self.spec.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(count).collect();
            lines.into_iter().rev().collect::<Vec<_>>().join("\n        ")
        };
        let (errors, log) = (tail("log", ERROR_LINES), tail("out", LOG_LINES));
        format!("standard error:\n        {errors}\n      last lines:\n        {log}")
    }
}

/// Power of the VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PowerState {
    /// Number of losses so far.
    pub losses: u64,
    /// Whether power is lost at present.
    pub is_lost: bool,
    /// Whether the engines are down, too.
    pub has_engines_down: bool,
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
    /// Power of the VMs; planned stops end when it is lost.
    pub power: watch::Sender<PowerState>,
    /// Names of the models.
    pub models: Vec<String>,
    /// Time in which an engine loads a model from the weight store.
    pub store_load: Duration,
    subnet: u8,
}

/// Result of starting the fleet.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

fn io_error(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::other(error)
}

/// Names of `count` models that requests are sent to.
pub fn model_names(count: usize) -> Vec<String> {
    (1..=count).map(|number| format!("m{number}")).collect()
}

/// Builds the configuration with the initial routes and one for each prefix in `added_routes`.
pub fn catalog(models: &[String], added_routes: &[String]) -> CatalogBuilder {
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    let mut builder = CatalogBuilder::new(HOST)
        .engine_service(ENGINE_SERVICE, &models)
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
        let models = model_names(plan.models);
        let mut fleet = Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            agents: Vec::new(),
            version: 1,
            added_routes: Vec::new(),
            power: watch::Sender::default(),
            models,
            store_load: plan.store_load,
            subnet,
        };
        fleet.publish_catalog();
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

    /// Address and path that answer with status 200 when `target` is ready.
    pub fn ready_probe(&self, target: Target) -> (SocketAddr, &'static str) {
        match target {
            Target::Gateway(index) => {
                (SocketAddr::new(self.gateway_ip(index), READY_PORT), "/api/readyz")
            }
            Target::Agent(index) => {
                (SocketAddr::new(self.engine_ip(index), METRICS_PORT), "/metrics")
            }
        }
    }

    async fn add_engine(&mut self, index: usize, versions: usize) -> Result<()> {
        let ip = self.engine_ip(index);
        let listener = TcpListener::bind((ip, ENGINE_PORT)).await?;
        let models = &self.models;
        let residents = (0..2).map(|offset| models[(index + offset) % models.len()].clone());
        let on_disk = models.iter().skip(index % 2).step_by(2).cloned();
        let options = EngineOptions {
            residents: residents.collect(),
            on_disk: on_disk.collect(),
            events: EVENTS_PER_STREAM,
            first_event: FIRST_EVENT,
            store_load: self.store_load,
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
        let mut text = catalog(&self.models, &self.added_routes).build(self.version);
        for model in text["services"][0]["engine"]["models"].as_array_mut().into_iter().flatten() {
            model["load-s"] = self.store_load.as_secs_f64().into();
        }
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
             service = {ENGINE_SERVICE}\n[listen]\npeers = {ip}:{PEER_PORT}\nmetrics = {ip}:{METRICS_PORT}\n"
        )
    }

    fn gateway_settings(&self, index: usize) -> String {
        let ip = self.gateway_ip(index);
        let grace = STOP_GRACE.as_secs();
        format!(
            "[process]\nvm = entry-{index}\nzone = zone-a\ncore-share = 0.5\n[listen]\n\
             callers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\nmetrics = {ip}:{METRICS_PORT}\n\
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
        Ok(FleetProcess { spec, running: Some(running), is_claimed: false, store_link })
    }

    /// The process `target`; panics if the index is out of range.
    pub fn process_mut(&mut self, target: Target) -> &mut FleetProcess {
        match target {
            Target::Gateway(index) => &mut self.gateways[index],
            Target::Agent(index) => &mut self.agents[index],
        }
    }

    /// All processes of the system.
    pub fn targets(&self) -> Vec<Target> {
        let gateways = (0..self.gateways.len()).map(Target::Gateway);
        gateways.chain((0..self.agents.len()).map(Target::Agent)).collect()
    }

    /// Describes the exit of `target` if it has ended without a fault; it does not count as running
    /// any more.
    pub fn take_exit(&mut self, target: Target) -> Option<String> {
        let process = self.process_mut(target);
        let status = process.running.as_mut()?.exit_status()?;
        process.running = None;
        Some(format!("{target} ended by itself with {status}; {}", process.last_lines()))
    }

    /// The process `target`; panics if the index is out of range.
    pub fn process(&self, target: Target) -> &FleetProcess {
        match target {
            Target::Gateway(index) => &self.gateways[index],
            Target::Agent(index) => &self.agents[index],
        }
    }

    /// Restarts the process `target`, unless it runs, another fault restarts it, or power is lost.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start.
    pub async fn restart_process(&mut self, target: Target) -> Result<()> {
        let has_power = !self.power.borrow().is_lost;
        let process = self.process_mut(target);
        if process.running.is_none() && !process.is_claimed && has_power {
            process.running = Some(process.spec.start().await.map_err(io_error)?);
        }
        Ok(())
    }
}
