//! The fleet of one run: processes, stand-ins, and the relays between them.

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

/// Host that the routes belong to.
pub const HOST: &str = "soak.example";
/// Service of engines.
pub const ENGINES: &str = "reports";
/// Plain service.
pub const PLAIN: &str = "orders";
/// Models that are asked for.
pub const MODELS: [&str; 6] = ["m1", "m2", "m3", "m4", "m5", "m6"];
/// Events of a stream.
pub const EVENTS: u64 = 20;
/// Time from the request to stop until a process is killed.
pub const GRACE: Duration = Duration::from_secs(5);
/// Port for datagrams on every VM.
const PEER_PORT: u16 = 7380;
/// Port of an engine itself; everybody reaches it through a relay.
const ENGINE_PORT: u16 = 8000;
/// Port of that relay.
const RELAY_PORT: u16 = 8001;
/// Port on which gateways accept callers.
const CALLER_PORT: u16 = 8080;

/// A process with what is needed to start it again.
pub struct Member {
    /// How it is started.
    pub plan: ProcessSpec,
    /// The process, while it runs.
    pub process: Option<ManagedProcess>,
    /// Its connections to the store.
    pub store_link: TcpRelay,
}

/// One engine.
pub struct EngineSeat {
    /// Engine.
    pub engine: EngineStandin,
    /// Connections to it.
    pub link: TcpRelay,
}

/// One plain backend server.
pub struct ServiceSeat {
    /// Name.
    pub instance: String,
    /// Backend server.
    pub service: ServiceStandin,
    /// Connections to it.
    pub link: TcpRelay,
}

/// Everything that runs.
pub struct World {
    /// Store.
    pub store: StoreStandin,
    /// Engines.
    pub engines: Vec<EngineSeat>,
    /// Plain backend servers; those that left stay here.
    pub services: Vec<ServiceSeat>,
    /// Gateways.
    pub gateways: Vec<Member>,
    /// Agents, one for each engine.
    pub agents: Vec<Member>,
    /// Version of the configuration.
    pub version: u64,
    /// Prefixes of routes that were added.
    pub added: Vec<String>,
    net: u8,
}

/// Result of starting the fleet.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

fn other(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::other(error)
}

/// The configuration with these further routes.
pub fn catalog(added: &[String]) -> CatalogBuilder {
    let mut builder = CatalogBuilder::new(HOST)
        .engine_service(ENGINES, &MODELS)
        .plain_service(PLAIN)
        .route(RouteSpec::streaming("/chat/", ENGINES, false))
        .route(RouteSpec::streaming("/report/", ENGINES, true))
        .route(RouteSpec::non_idempotent("/order/", PLAIN))
        .route(RouteSpec::idempotent("/read/", PLAIN));
    for prefix in added {
        builder = builder.route(RouteSpec::idempotent(prefix, PLAIN));
    }
    builder
}

impl World {
    /// Starts the fleet of `plan` with addresses in the loopback network number `net`; logs and
    /// settings go to `directory`.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or a program does not start.
    pub async fn start(
        plan: &SoakPlan,
        programs: &ProgramPaths,
        directory: &Path,
        net: u8,
    ) -> Result<Self> {
        fs::create_dir_all(directory)?;
        let listener = TcpListener::bind((Ipv4Addr::new(127, 30, net, 250), 0)).await?;
        let store = StoreStandin::start(listener)?;
        store.write("config", "main", &catalog(&[]).build(1));
        let mut world = Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            agents: Vec::new(),
            version: 1,
            added: Vec::new(),
            net,
        };
        for index in 0..plan.engines {
            world.add_engine(index).await?;
        }
        for _ in 0..plan.services {
            world.add_service().await?;
        }
        for index in 0..plan.engines {
            let text = world.agent_settings(index);
            let member = world.member(programs, directory, Target::Agent(index), text).await?;
            world.agents.push(member);
        }
        for index in 0..plan.gateways {
            let text = world.gateway_settings(index);
            let member = world.member(programs, directory, Target::Gateway(index), text).await?;
            world.gateways.push(member);
        }
        Ok(world)
    }

    fn ip(&self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 30, self.net, host as u8))
    }

    fn gateway_ip(&self, index: usize) -> IpAddr {
        self.ip(1 + index)
    }

    fn engine_ip(&self, index: usize) -> IpAddr {
        self.ip(40 + index)
    }

    /// Where callers reach a gateway.
    pub fn callers(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(index), CALLER_PORT)
    }

    async fn add_engine(&mut self, index: usize) -> Result<()> {
        let ip = self.engine_ip(index);
        let listener = TcpListener::bind((ip, ENGINE_PORT)).await?;
        let residents = (0..2).map(|offset| MODELS[(index + offset) % MODELS.len()].to_owned());
        let on_disk = MODELS.iter().map(ToString::to_string).skip(index % 2).step_by(2);
        let options = EngineOptions {
            residents: residents.collect(),
            on_disk: on_disk.collect(),
            events: EVENTS,
            ..EngineOptions::new(&format!("i-{index}"))
        };
        let engine = EngineStandin::start(listener, options)?;
        let link = TcpRelay::start_at(SocketAddr::new(ip, RELAY_PORT), engine.address()).await?;
        self.engines.push(EngineSeat { engine, link });
        self.list_engine(index);
        Ok(())
    }

    /// Writes the entry of an engine, as it is now.
    pub fn list_engine(&self, index: usize) {
        let seat = &self.engines[index];
        let entry = seat.engine.store_entry(ENGINES, "zone-a", seat.link.address);
        self.store.write("servers", &format!("i-{index}"), &entry);
    }

    /// Adds a plain backend server.
    ///
    /// # Errors
    ///
    /// Fails if its address is taken.
    pub async fn add_service(&mut self) -> Result<()> {
        let index = self.services.len();
        let instance = format!("s-{index}");
        let ip = self.ip(150 + index);
        let listener = TcpListener::bind((ip, ENGINE_PORT)).await?;
        let service = ServiceStandin::start(listener, &instance, Duration::from_millis(4))?;
        let link = TcpRelay::start_at(SocketAddr::new(ip, RELAY_PORT), service.address()).await?;
        self.services.push(ServiceSeat { instance, service, link });
        self.list_service(index, "ready");
        Ok(())
    }

    /// Writes the entry of a plain backend server.
    pub fn list_service(&self, index: usize, state: &str) {
        let seat = &self.services[index];
        let entry = serde_json::json!({ "service": PLAIN, "zone": "zone-a", "version": "v1",
            "address": seat.link.address.to_string(), "slots": 6, "state": state,
            "cold-left-ms": 0, "sequence": 1, "born": 1 });
        self.store.write("servers", &seat.instance, &entry);
    }

    fn agent_settings(&self, index: usize) -> String {
        let ip = self.engine_ip(index);
        format!(
            "[process]\nvm = side-{index}\n[engine]\naddress = {ip}:{RELAY_PORT}\n\
             service = {ENGINES}\n[listen]\npeers = {ip}:{PEER_PORT}\nmetrics = {ip}:9464\n"
        )
    }

    fn gateway_settings(&self, index: usize) -> String {
        let ip = self.gateway_ip(index);
        let grace = GRACE.as_secs();
        format!(
            "[process]\nvm = entry-{index}\nzone = zone-a\ncore-share = 0.5\n[listen]\n\
             callers = {ip}:{CALLER_PORT}\nready = {ip}:8081\nmetrics = {ip}:9464\n\
             peers = {ip}:{PEER_PORT}\n[limits]\nrepeat-ratio = 0.2\nrepeat-allowance = 60\n\
             repeat-window = 10s\ngrace = {grace}s\n"
        )
    }

    async fn member(
        &self,
        programs: &ProgramPaths,
        directory: &Path,
        target: Target,
        settings: String,
    ) -> Result<Member> {
        let store_link = TcpRelay::start(self.store.address()).await?;
        let within = match target {
            Target::Gateway(_) => "known-within = 600ms\n",
            Target::Agent(_) => "",
        };
        let store = format!("[store]\naddress = {}\n{within}", store_link.address);
        let name = target.to_string();
        let path: PathBuf = directory.join(format!("{name}.ini"));
        fs::write(&path, settings + &store)?;
        let (program, command) = match target {
            Target::Gateway(_) => (&programs.fescuewalk, "gateway"),
            Target::Agent(_) => (&programs.side, "agent"),
        };
        let path = path.display().to_string();
        let plan = ProcessSpec::new(&name, program, directory, &[command, &path]);
        let process = plan.start().await.map_err(other)?;
        Ok(Member { plan, process: Some(process), store_link })
    }

    /// The process `target`.
    pub fn member_mut(&mut self, target: Target) -> &mut Member {
        match target {
            Target::Gateway(index) => &mut self.gateways[index],
            Target::Agent(index) => &mut self.agents[index],
        }
    }

    /// Starts the process `target` again, if it does not run.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start.
    pub async fn start_again(&mut self, target: Target) -> Result<()> {
        let member = self.member_mut(target);
        if member.process.is_none() {
            member.process = Some(member.plan.start().await.map_err(other)?);
        }
        Ok(())
    }
}
