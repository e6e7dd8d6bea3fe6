//! Entry and side processes with their settings and the relays in front of their peer ports.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use base::{clock::since_epoch, prelude::*};
use object_api::{VmEntry, VmState, vms::VmRole};
use snafu::{ResultExt, Snafu};

use crate::{
    binaries::ProgramPaths,
    plan::{ENGINE_GIB, REGION},
    process::{ManagedProcess, ProcessError, ProcessSpec},
    relay::TcpRelay,
};

const SECRET: &str = "a secret of the proof";

/// A node could not be started.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A settings file could not be written or a relay port not bound.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// I/O error of the file or the listener.
        source: std::io::Error,
    },
    /// A process could not be started.
    #[snafu(display("{source}"))]
    Process {
        /// Error of the process start.
        source: ProcessError,
    },
}

/// Result of starting a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;

/// Programs of a fleet and the directory of its settings and logs.
#[derive(Debug, Clone)]
pub struct FleetPaths {
    /// Paths of the programs under test.
    pub programs: ProgramPaths,
    /// Directory of the settings and log files.
    pub directory: PathBuf,
}

impl FleetPaths {
    fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.directory.join(format!("{name}.ini"));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a stand-in process; `name` names its log file.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start or prints no address.
    pub async fn start_standin(&self, name: &str, arguments: &[&str]) -> Result<ManagedProcess> {
        let arguments = [&["standin"], arguments].concat();
        let program = &self.programs.fescuewalk;
        let spec = ProcessSpec::new(name, program, &self.directory, &arguments);
        spec.start().await.context(ProcessSnafu)
    }
}

/// A process of the system with a relay in front of its peer port.
#[derive(Debug)]
pub struct SystemNode {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Role of the VM in the VM list.
    pub role: VmRole,
    /// Service of the backend server on the same VM; `None` for entry processes.
    pub service: Option<ServiceName>,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// The process, running or ended.
    pub process: ManagedProcess,
    /// Relay in front of the peer port; its address is the one in the VM list.
    pub peer_relay: TcpRelay,
    /// State in the VM list; `None` if the VM is not listed.
    pub listed_state: Option<VmState>,
    /// Whether the VM was removed by a fault; its process is not restarted.
    pub is_removed: bool,
    /// When the VM was removed from the VM list, in milliseconds since the Unix epoch.
    pub delisted_ms: Option<u64>,
    spec: ProcessSpec,
}

fn process_section(vm: &str, zone: &str) -> String {
    format!(
        "[process]\nvm = {vm}\nzone = {zone}\nregion = {REGION}\npeer-address = 127.0.0.1:0\n\
         http-address = 127.0.0.1:0\nsecret = {SECRET}\n\n[log]\nlevel = debug\n\n"
    )
}

impl SystemNode {
    async fn start(spec: ProcessSpec, vm: &str, zone: &str, role: VmRole) -> Result<Self> {
        let process = spec.start().await.context(ProcessSnafu)?;
        let peer_relay = TcpRelay::start(process.address("peers").context(ProcessSnafu)?).await?;
        Ok(Self {
            vm: vm.parse().expect("names are valid"),
            zone: zone.parse().expect("names are valid"),
            service: None,
            listed_state: Some(VmState::Live),
            is_removed: false,
            delisted_ms: None,
            role,
            process,
            peer_relay,
            spec,
        })
    }

    /// Starts entry process number `index`, which reaches the platform at `platform`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_entry(
        paths: &FleetPaths,
        index: usize,
        platform: SocketAddr,
    ) -> Result<Self> {
        let (vm, zone) = (format!("entry-{index}"), format!("zone-{index}"));
        let text = format!("{}[platform]\naddress = {platform}\n", process_section(&vm, &zone));
        let path = paths.write(&vm, &text)?;
        let arguments = ["entry", &path.to_string_lossy()];
        let program = &paths.programs.fescuewalk;
        let spec = ProcessSpec::new(&vm, program, &paths.directory, &arguments);
        Self::start(spec, &vm, &zone, VmRole::Entry).await
    }

    /// Starts a side process for the backend server at `options.backend`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_side(paths: &FleetPaths, options: &SideOptions<'_>) -> Result<Self> {
        let SideOptions { service, kind, index, backend, platform } = *options;
        let (vm, zone) = (format!("{service}-{index}"), format!("zone-{index}"));
        let memory = match kind {
            "engine" => format!("memory = {ENGINE_GIB}GiB\nchecks-fencing = yes\n"),
            _ => String::new(),
        };
        let text = format!(
            "{}[backend]\nkind = {kind}\nservice = {service}\naddress = {backend}\n{memory}\n\
             [platform]\naddress = {platform}\n",
            process_section(&vm, &zone)
        );
        let path = paths.write(&vm, &text)?;
        let program = &paths.programs.side;
        let spec = ProcessSpec::new(&vm, program, &paths.directory, &[&path.to_string_lossy()]);
        let mut node = Self::start(spec, &vm, &zone, VmRole::Backend).await?;
        node.service = service.parse().ok();
        Ok(node)
    }

    /// Starts the process again after its end; its peers keep the same address through the relay.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.process = self.spec.start().await.context(ProcessSnafu)?;
        self.peer_relay.set_upstream(self.process.address("peers").context(ProcessSnafu)?);
        Ok(())
    }

    /// Removes the VM from the list; [`Fleet::publish_vms`](crate::fleet::Fleet::publish_vms) makes
    /// the change visible.
    pub fn delist(&mut self) {
        self.listed_state = None;
        self.delisted_ms = Some(since_epoch().as_millis() as u64);
    }

    /// Address of the HTTP port for callers, metrics and health checks.
    pub fn http_address(&self) -> SocketAddr {
        self.process.address("http").expect("a started process has printed its addresses")
    }

    /// Entry of the node in the VM list; `None` if it is not listed.
    pub fn vm_entry(&self) -> Option<VmEntry> {
        Some(VmEntry {
            id: self.vm.clone(),
            role: self.role,
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.peer_relay.address,
            state: self.listed_state?,
        })
    }
}

/// Backend server and platform of a side process.
#[derive(Debug, Clone, Copy)]
pub struct SideOptions<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Kind of the backend server: `engine` or `plain`.
    pub kind: &'a str,
    /// Index of the backend server within its service.
    pub index: usize,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
}

/// Removes the settings and logs of a fleet; errors are ignored.
pub fn remove_directory(directory: &Path) {
    let _removed = fs::remove_dir_all(directory);
}
