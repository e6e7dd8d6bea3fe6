//! A whole fleet as the platform starts it: settings from the templates of `deploy/`, one loopback
//! address for each VM, and no relays or helpers between the processes unless these are asked for.

pub mod day;
pub mod day_plan;
pub(crate) mod lag;
pub mod plan;
mod quota;
pub mod run;
mod supervision;
mod troubles;

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use platform_standin::{
    EngineOptions, EngineStandin, ServiceStandin, StoreStandin, VmRole, VmSpec, template,
    vm::{CALLER_PORT, ENGINE_PORT, READY_PORT},
};
use proof::{binaries::ProgramPaths, relay::TcpRelay};
use rand::{RngExt, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{net::TcpListener, time};

use self::{quota::ProcessorQuotas, supervision::VmSupervision};
use crate::fleet::{
    ENGINE_SERVICE, EVENTS_PER_STREAM, FIRST_EVENT, PLAIN_SERVICE, catalog, model_names,
};

/// Port of the store.
const STORE_PORT: u16 = 8_142;
/// Port of an engine behind its relay.
const HIDDEN_ENGINE_PORT: u16 = 8_146;
/// Time within which the platform starts all processes.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "FESCUEWALK_SETTINGS";

/// Size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Entry VMs, one in each availability zone.
    pub entries: usize,
    /// Engines, each with an agent on its VM.
    pub engines: usize,
    /// Plain backend servers.
    pub services: usize,
    /// Models that callers ask for.
    pub models: usize,
}

/// The size of cvtl-lending.
pub const LENDING_SIZE: DeploymentSize =
    DeploymentSize { entries: 4, engines: 9, services: 4, models: 51 };

/// What stands between the processes and what they connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkKind {
    /// Nothing.
    Direct,
    /// A relay for each VM to the store, and one for each engine.
    Relayed,
}

/// What the machines of a deployment do with a process and its settings.
#[derive(Debug, Clone, Default)]
pub struct MachineRules {
    /// Shell commands before the program, such as `ulimit -n 256`.
    pub limits: String,
    /// Fields that replace those of the deployment, by their path such as `/limits/max-fds`.
    pub fields: BTreeMap<String, Value>,
}

/// A VM and its process.
pub struct DeployedVm {
    /// The VM.
    pub spec: VmSpec,
    template: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_stopping: bool,
    /// Quota of its processor, as its settings state it; `None` without one.
    quotas: Option<ProcessorQuotas>,
    /// Most memory that one of its processes was seen to have, in KiB.
    noted_memory: u64,
    supervision: VmSupervision,
}

impl DeployedVm {
    /// Writes the settings, as the platform does at each start and whenever they change.
    fn write_settings(&self, rules: &MachineRules) -> io::Result<()> {
        let mut fields = self.spec.fields();
        for (path, value) in &rules.fields {
            if let Some(field) = fields.pointer_mut(path) {
                *field = value.clone();
            }
        }
        fs::write(&self.settings, template::render(&self.template, &fields))
    }

    fn start(&mut self, rules: &MachineRules) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let script = format!("{} exec \"$@\"", rules.limits);
        let mut command = match rules.limits.is_empty() {
            // A signal that comes early would end the shell, not the program.
            true => Command::new(&self.command[0]),
            false => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &script, "sh", &self.command[0]]);
                shell
            }
        };
        let child = command
            .args(&self.command[1..])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("LANG", "C")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let (Some(quotas), Some(id)) = (&self.quotas, process_id(&child)) {
            quotas.add(id, self.spec.core_share());
        }
        self.child = Some(child);
        self.is_stopping = false;
        Ok(())
    }

    fn id(&self) -> Option<Pid> {
        self.child.as_ref().and_then(process_id)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            // It may have ended meanwhile, which the check for exits reports.
            let _ = kill(id, signal);
        }
    }

    /// Takes the next exit of the process as one that was asked for.
    pub fn expect_exit(&mut self) {
        self.is_stopping = true;
    }

    /// Exit status of the process if it has ended; it counts as stopped from then on.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = match (&self.quotas, process_id(child)) {
            (Some(quotas), Some(id)) => quotas.reap(id, || child.try_wait().ok().flatten()),
            _ => child.try_wait().ok().flatten(),
        }?;
        self.child = None;
        Some(status)
    }

    /// Whether the process has been started and not stopped since.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Most memory that the process has had at a time, in KiB.
    pub fn peak_memory(&self) -> Option<u64> {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Notes the memory of the process, and describes it once if it is beyond that of the VM.
    pub fn take_memory_excess(&mut self) -> Option<String> {
        let limit = self.spec.memory().0 / 1024;
        let peak = self.peak_memory()?;
        let before = self.noted_memory;
        self.noted_memory = before.max(peak);
        (before <= limit && peak > limit)
            .then(|| format!("{} has {} KiB of {limit}", self.spec.name, peak))
    }

    /// The last lines that the process wrote.
    pub fn last_lines(&self, count: usize) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(count).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n    ")
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended.
            let _ = child.kill();
            let _ = match (&self.quotas, process_id(&child)) {
                (Some(quotas), Some(id)) => quotas.reap(id, || child.wait().ok()),
                _ => child.wait().ok(),
            };
        }
    }
}

fn process_id(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().map(Pid::from_raw)
}

impl Drop for DeployedVm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All VMs of a deployment with their processes, and the platform around them.
pub struct DeployedFleet {
    /// Stand-in of the platform's store.
    pub store: StoreStandin,
    /// Engines.
    pub engines: Vec<EngineStandin>,
    /// Plain backend servers.
    pub services: Vec<ServiceStandin>,
    /// VMs, those with gateways first.
    pub vms: Vec<DeployedVm>,
    /// What the machines do with the processes.
    pub rules: MachineRules,
    /// Exits that nothing forced, with the last lines of the process.
    pub exits: Vec<String>,
    /// Relays of all VMs to the store, by VM; none if they connect to it directly.
    pub store_links: Vec<TcpRelay>,
    /// Relays to the engines, by engine; none if processes connect to them directly.
    pub engine_links: Vec<TcpRelay>,
    /// Path prefixes of the routes that were added.
    added_routes: Vec<String>,
    /// Version of the configuration in the store.
    version: u64,
    links: LinkKind,
    losses: u64,
    has_settings: bool,
}

impl DeployedFleet {
    /// Sets up the platform and the VMs on addresses in 127.`subnet`.0.0/16. No process is started.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or a template is missing.
    pub async fn new(
        size: DeploymentSize,
        programs: &ProgramPaths,
        directory: &Path,
        subnet: u8,
    ) -> io::Result<Self> {
        Self::with_links(size, programs, directory, subnet, LinkKind::Direct).await
    }

    /// The same with `links` to the store and the engines.
    ///
    /// # Errors
    ///
    /// As [`Self::new`].
    pub async fn with_links(
        size: DeploymentSize,
        programs: &ProgramPaths,
        directory: &Path,
        subnet: u8,
        links: LinkKind,
    ) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let ip =
            |group: u8, host: usize| IpAddr::V4(Ipv4Addr::new(127, subnet, group, host as u8 + 1));
        let store = StoreStandin::start(TcpListener::bind((ip(0, 0), STORE_PORT)).await?)?;
        let models = model_names(size.models);
        store.write("config", "main", &catalog(&models, &[]).build(1));
        let mut fleet = Self {
            store,
            engines: Vec::new(),
            services: Vec::new(),
            vms: Vec::new(),
            rules: MachineRules::default(),
            exits: Vec::new(),
            store_links: Vec::new(),
            engine_links: Vec::new(),
            added_routes: Vec::new(),
            version: 1,
            links,
            losses: 0,
            has_settings: true,
        };
        for index in 0..size.entries {
            let name = format!("edge-{index}");
            fleet.add_vm(name, ip(1, index), VmRole::Entry, programs, directory).await?;
        }
        for index in 0..size.engines {
            let address = SocketAddr::new(ip(2, index), ENGINE_PORT);
            let hidden = SocketAddr::new(ip(2, index), HIDDEN_ENGINE_PORT);
            let listener = match links {
                LinkKind::Direct => TcpListener::bind(address).await?,
                LinkKind::Relayed => {
                    fleet.engine_links.push(TcpRelay::start_at(address, hidden).await?);
                    TcpListener::bind(hidden).await?
                }
            };
            let residents =
                (0..2).map(|offset| models[(index * 2 + offset) % models.len()].clone());
            let options = EngineOptions {
                residents: residents.collect(),
                on_disk: models.clone(),
                max_models: 2,
                adapter_slots: 8,
                disk_load: Duration::from_millis(780),
                store_load: Duration::from_secs(6),
                events: EVENTS_PER_STREAM,
                first_event: FIRST_EVENT,
                ..EngineOptions::new(&format!("i-{index}"))
            };
            fleet.engines.push(EngineStandin::start(listener, options)?);
            let role = VmRole::Side(ENGINE_SERVICE.to_owned());
            let name = format!("side-{index}");
            fleet.add_vm(name, ip(2, index), role, programs, directory).await?;
        }
        for index in 0..size.services {
            let listener = TcpListener::bind((ip(3, index), ENGINE_PORT)).await?;
            let name = format!("s-{index}");
            fleet.services.push(ServiceStandin::start(listener, &name, Duration::from_millis(15))?);
            let address = fleet.services[index].address().to_string();
            let entry = json!({ "service": PLAIN_SERVICE, "zone": "westside-a", "version": "v1",
                "address": address, "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": 1,
                "born": 1 });
            fleet.store.write("servers", &name, &entry);
        }
        fleet.publish_engines();
        Ok(fleet)
    }

    async fn add_vm(
        &mut self,
        name: String,
        ip: IpAddr,
        role: VmRole,
        programs: &ProgramPaths,
        directory: &Path,
    ) -> io::Result<()> {
        let (template, program, subcommand) = match role {
            VmRole::Entry => ("gateway.ini", &programs.fescuewalk, "gateway"),
            VmRole::Side(_) => ("agent.ini", &programs.side, "agent"),
        };
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(template);
        let settings = directory.join(format!("{name}.conf"));
        let log = directory.join(format!("{name}.log"));
        let mut store = self.store.address();
        if self.links == LinkKind::Relayed {
            let link = TcpRelay::start_at(SocketAddr::new(ip, STORE_PORT), store).await?;
            store = link.address;
            self.store_links.push(link);
        }
        let spec = VmSpec { name, ip, zone: "westside-a".to_owned(), role, store };
        self.vms.push(DeployedVm {
            spec,
            template: fs::read_to_string(path)?,
            command: vec![program.display().to_string(), subcommand.to_owned()],
            settings,
            log,
            child: None,
            is_stopping: false,
            quotas: None,
            noted_memory: 0,
            supervision: VmSupervision::default(),
        });
        Ok(())
    }

    /// Gives each process that starts from now on the share of a core that its settings state as a quota.
    pub fn set_quotas(&mut self) {
        let quotas = ProcessorQuotas::default();
        self.vms.iter_mut().for_each(|vm| vm.quotas = Some(quotas.clone()));
    }

    /// Writes the entries of all engines to the store.
    pub fn publish_engines(&self) {
        (0..self.engines.len()).for_each(|index| self.publish_engine(index, "ready"));
    }

    /// Writes the entry of an engine to the store, with `state` such as `draining`.
    pub fn publish_engine(&self, index: usize, state: &str) {
        let engine = &self.engines[index];
        let address = self.engine_links.get(index).map_or(engine.address(), |link| link.address);
        let mut entry = engine.store_entry(ENGINE_SERVICE, "westside-a", address);
        entry["state"] = json!(state);
        self.store.write("servers", &engine.instance(), &entry);
    }

    /// Addresses of all gateways for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.vms.iter().filter(|vm| vm.spec.role == VmRole::Entry);
        entries.map(|vm| vm.spec.address(CALLER_PORT)).collect()
    }

    /// Addresses of all gateways for readiness checks.
    pub fn ready_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.vms.iter().filter(|vm| vm.spec.role == VmRole::Entry);
        entries.map(|vm| vm.spec.address(READY_PORT)).collect()
    }

    /// Starts all processes that do not run, in any order within 0.3 s.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or a process cannot be started.
    pub async fn start_all(&mut self, random: &mut ChaCha8Rng) -> io::Result<()> {
        let mut order: Vec<usize> = (0..self.vms.len()).collect();
        order.shuffle(random);
        let pause = START_SPREAD / u32::try_from(order.len()).unwrap_or(1);
        for index in order {
            if !self.vms[index].is_started() {
                self.start(index)?;
                time::sleep(pause.mul_f64(random.random_range(0.0..1.0))).await;
            }
        }
        Ok(())
    }

    fn start(&mut self, index: usize) -> io::Result<()> {
        if self.has_settings {
            self.vms[index].write_settings(&self.rules)?;
        }
        self.vms[index].start(&self.rules)
    }

    /// Sets whether processes start before their VMs have the settings, until these are revealed.
    pub fn hide_settings(&mut self, is_hidden: bool) {
        self.has_settings = !is_hidden;
        if is_hidden {
            // A missing file is as good as a removed one.
            self.vms.iter().for_each(|vm| _ = fs::remove_file(&vm.settings));
        }
    }

    /// Writes all settings that are missing.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn reveal_settings(&mut self) -> io::Result<()> {
        self.has_settings = true;
        self.vms.iter().try_for_each(|vm| vm.write_settings(&self.rules))
    }

    /// Starts the processes again that have ended as they were asked to.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn restart_stopped(&mut self) -> io::Result<()> {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if vm.is_stopping && vm.take_exit().is_some() {
                self.start(index)?;
            }
        }
        Ok(())
    }

    /// Takes the power from all VMs at the same moment, and from the engines too.
    pub fn lose_power(&mut self) {
        self.note_exits();
        self.losses += 1;
        for vm in &self.vms {
            vm.signal(Signal::SIGKILL);
        }
        for engine in &self.engines {
            engine.crash(1 + self.losses);
        }
        self.vms.iter_mut().for_each(DeployedVm::kill);
    }

    /// Records the processes that have ended although nothing forced them to.
    pub fn note_exits(&mut self) {
        for vm in &mut self.vms {
            if let Some(status) = vm.take_exit()
                && !vm.is_stopping
            {
                let lines = vm.last_lines(6);
                self.exits.push(format!("{} ended with {status}:\n    {lines}", vm.spec.name));
            }
        }
    }
}
