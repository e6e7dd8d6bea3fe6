//! Entry and side processes with their settings and relays.

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
    /// A file or port could not be had.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A process could not be started.
    #[snafu(display("{source}"))]
    Process {
        /// Cause.
        source: ProcessError,
    },
}

/// Result of starting a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;

/// Where the fleet keeps settings and logs, and its programs.
#[derive(Debug, Clone)]
pub struct FleetPaths {
    /// Programs.
    pub programs: ProgramPaths,
    /// Directory of settings and logs.
    pub directory: PathBuf,
}

impl FleetPaths {
    fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.directory.join(format!("{name}.ini"));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it tells no address.
    pub async fn start_standin(&self, name: &str, arguments: &[&str]) -> Result<ManagedProcess> {
        let arguments = [&["standin"], arguments].concat();
        let program = &self.programs.fescuewalk;
        let plan = ProcessSpec::new(name, program, &self.directory, &arguments);
        plan.start().await.context(ProcessSnafu)
    }
}

/// A process of the system with a relay before its peer port.
#[derive(Debug)]
pub struct SystemNode {
    /// VM on which it stands.
    pub vm: VmId,
    /// Role in the VM list.
    pub role: VmRole,
    /// Service of the backend server beside it.
    pub service: Option<ServiceName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// The process.
    pub process: ManagedProcess,
    /// Relay before its peer port.
    pub peer_relay: TcpRelay,
    /// State in the VM list; `None` if it is not listed.
    pub listed_state: Option<VmState>,
    /// Whether its VM is gone for good.
    pub is_removed: bool,
    /// When the VM list lost it, in milliseconds since the Unix epoch.
    pub delisted_ms: Option<u64>,
    plan: ProcessSpec,
}

fn process_section(vm: &str, zone: &str) -> String {
    format!(
        "[process]\nvm = {vm}\nzone = {zone}\nregion = {REGION}\npeer-address = 127.0.0.1:0\n\
         http-address = 127.0.0.1:0\nsecret = {SECRET}\n\n[log]\nlevel = debug\n\n"
    )
}

impl SystemNode {
    async fn start(plan: ProcessSpec, vm: &str, zone: &str, role: VmRole) -> Result<Self> {
        let process = plan.start().await.context(ProcessSnafu)?;
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
            plan,
        })
    }

    /// Starts an entry process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_entry(
        home: &FleetPaths,
        index: usize,
        platform: SocketAddr,
    ) -> Result<Self> {
        let (vm, zone) = (format!("entry-{index}"), format!("zone-{index}"));
        let text = format!("{}[platform]\naddress = {platform}\n", process_section(&vm, &zone));
        let path = home.write(&vm, &text)?;
        let arguments = ["entry", &path.to_string_lossy()];
        let program = &home.programs.fescuewalk;
        let plan = ProcessSpec::new(&vm, program, &home.directory, &arguments);
        Self::start(plan, &vm, &zone, VmRole::Entry).await
    }

    /// Starts a side process beside the backend server at `backend`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_side(home: &FleetPaths, beside: &SideOptions<'_>) -> Result<Self> {
        let SideOptions { service, kind, index, backend, platform } = *beside;
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
        let path = home.write(&vm, &text)?;
        let program = &home.programs.side;
        let plan = ProcessSpec::new(&vm, program, &home.directory, &[&path.to_string_lossy()]);
        let mut node = Self::start(plan, &vm, &zone, VmRole::Backend).await?;
        node.service = service.parse().ok();
        Ok(node)
    }

    /// Starts the process again after its end, at the same address for its peers.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.process = self.plan.start().await.context(ProcessSnafu)?;
        self.peer_relay.set_upstream(self.process.address("peers").context(ProcessSnafu)?);
        Ok(())
    }

    /// Takes the VM from the list, which must still be published.
    pub fn delist(&mut self) {
        self.listed_state = None;
        self.delisted_ms = Some(since_epoch().as_millis() as u64);
    }

    /// Address for callers, metrics and health checks.
    pub fn http_address(&self) -> SocketAddr {
        self.process.address("http").expect("a started process has told its addresses")
    }

    /// The node as the VM list shows it.
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

/// What a side process stands beside.
#[derive(Debug, Clone, Copy)]
pub struct SideOptions<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// `engine` or `plain`.
    pub kind: &'a str,
    /// Number of the backend server in its service.
    pub index: usize,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
}

/// Removes the settings and logs of a fleet.
pub fn remove_directory(directory: &Path) {
    let _removed = fs::remove_dir_all(directory);
}
