//! A complete fleet of processes on the loopback interface.

use std::{fs, path::Path};

use object_api::VmEntry;
use snafu::Snafu;
use standin::engine::{EngineListing, EngineRecords, ModelState};

use crate::{
    admin::{self, AdminError},
    binaries::ProgramPaths,
    edits::{EditResult, OperatorEdit},
    nodes::{FleetPaths, NodeError, SideOptions, SystemNode},
    plan::{ENGINE_GIB, ENGINE_SERVICE, ENGINES, ENTRIES, PLAIN_SERVICE, SERVICE_REPLICAS},
    process::{ManagedProcess, ProcessError},
    relay::TcpRelay,
};

/// An operation on the fleet failed.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A node could not be started.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// Error of the node.
        source: NodeError,
    },
    /// An admin call to a stand-in failed.
    #[snafu(display("{source}"), context(false))]
    Admin {
        /// Error of the admin call.
        source: AdminError,
    },
    /// A process could not be started or signalled, or printed no address.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// Error of the process.
        source: ProcessError,
    },
    /// The directory of settings and logs could not be created.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The first lists were not accepted.
    #[snafu(display("the lists were not accepted: {cause}"))]
    Refused {
        /// Cause given by the edit.
        cause: String,
    },
}

/// Result of an operation on the fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// A backend server with its side process.
#[derive(Debug)]
pub struct BackendPair {
    /// Stand-in of the backend server.
    pub server: ManagedProcess,
    /// Side process of the backend server.
    pub side: SystemNode,
}

/// A running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the platform: Object API and VM list.
    pub platform: ManagedProcess,
    /// Stand-in of the weight store.
    pub weights: ManagedProcess,
    /// Model engines with their side processes.
    pub engines: Vec<BackendPair>,
    /// Replicas of the plain service with their side processes.
    pub service_replicas: Vec<BackendPair>,
    /// Entry processes, by index.
    pub entries: Vec<SystemNode>,
    /// Relays between the entry processes and the platform, by index of the entry.
    pub platform_relays: Vec<TcpRelay>,
    paths: FleetPaths,
}

impl Fleet {
    /// Starts every process, publishes the VM list and applies the first lists.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or the first lists are not accepted.
    pub async fn start(programs: &ProgramPaths, directory: &Path) -> Result<Self> {
        fs::create_dir_all(directory)?;
        let paths = FleetPaths { programs: programs.clone(), directory: directory.to_owned() };
        let platform = paths.start_standin("platform", &["platform"]).await?;
        let weights = paths.start_standin("weights", &["weights", "--rate", "3/s"]).await?;
        let mut fleet = Self {
            platform,
            weights,
            engines: Vec::new(),
            service_replicas: Vec::new(),
            entries: Vec::new(),
            platform_relays: Vec::new(),
            paths,
        };
        fleet.start_backends().await?;
        fleet.start_entries().await?;
        fleet.publish_vms().await?;
        let applied = fleet.edit(0)?.run().await;
        match applied {
            EditResult::Accepted => Ok(fleet),
            EditResult::Refused(cause) => RefusedSnafu { cause }.fail(),
        }
    }

    async fn start_backends(&mut self) -> Result<()> {
        let weights = self.weights.address("http")?.to_string();
        let memory = format!("{ENGINE_GIB}GiB");
        for index in 0..ENGINES {
            let name = format!("engine-{index}");
            let arguments = ["engine", "--memory", &memory, "--weights", &weights];
            let arguments = [&arguments[..], &["--token-time", "5ms"]].concat();
            let server = self.paths.start_standin(&name, &arguments).await?;
            let pair = self.start_side(server, ENGINE_SERVICE, "engine", index).await?;
            self.engines.push(pair);
        }
        for index in 0..SERVICE_REPLICAS {
            let name = format!("desk-{index}");
            let server =
                self.paths.start_standin(&name, &["service", "--call-time", "30ms"]).await?;
            let pair = self.start_side(server, PLAIN_SERVICE, "plain", index).await?;
            self.service_replicas.push(pair);
        }
        Ok(())
    }

    async fn start_side(
        &self,
        server: ManagedProcess,
        service: &str,
        kind: &str,
        index: usize,
    ) -> Result<BackendPair> {
        let backend = server.address("http")?;
        let platform = self.platform.address("http")?;
        let options = SideOptions { service, kind, index, backend, platform };
        let side = SystemNode::start_side(&self.paths, &options).await?;
        Ok(BackendPair { server, side })
    }

    async fn start_entries(&mut self) -> Result<()> {
        for index in 0..ENTRIES {
            let relay = TcpRelay::start(self.platform.address("http")?).await?;
            self.entries.push(SystemNode::start_entry(&self.paths, index, relay.address).await?);
            self.platform_relays.push(relay);
        }
        Ok(())
    }

    /// Entry and side processes; the stand-ins are not included.
    pub fn nodes(&self) -> impl Iterator<Item = &SystemNode> {
        let sides = self.engines.iter().chain(&self.service_replicas).map(|pair| &pair.side);
        self.entries.iter().chain(sides)
    }

    /// Publishes the VM list with the current states of the nodes.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the list.
    pub async fn publish_vms(&self) -> Result<()> {
        let vms = self.nodes().filter_map(SystemNode::vm_entry).collect::<Vec<VmEntry>>();
        Ok(admin::replace(self.platform.address("http")?, "/admin/vms", &vms).await?)
    }

    /// Creates an edit that applies the lists of `edition`; it is not run yet.
    ///
    /// # Errors
    ///
    /// Fails if the platform's address is unknown.
    pub fn edit(&self, edition: u32) -> Result<OperatorEdit> {
        Ok(OperatorEdit { platform: self.platform.address("http")?, edition })
    }

    /// Index of the first engine that lists `model` as loaded, loading or unloading.
    pub async fn engine_holding(&self, model: &str) -> Option<usize> {
        self.find_engine(model, |_| true).await
    }

    /// Index of the first engine that lists `model` as loading.
    pub async fn engine_loading(&self, model: &str) -> Option<usize> {
        self.find_engine(model, |state| state == ModelState::Loading).await
    }

    async fn find_engine(&self, model: &str, fits: impl Fn(ModelState) -> bool) -> Option<usize> {
        for (index, pair) in self.engines.iter().enumerate() {
            let address = pair.server.address("http").ok()?;
            let Ok(listing) = admin::read::<EngineListing>(address, "/admin/list").await else {
                continue;
            };
            let mut models = listing.models.iter();
            if models.any(|status| status.key.model == model && fits(status.state)) {
                return Some(index);
            }
        }
        None
    }

    /// Reads the records of all engines, by index.
    ///
    /// # Errors
    ///
    /// Fails if an engine does not answer.
    pub async fn engine_records(&self) -> Result<Vec<EngineRecords>> {
        let mut records = Vec::new();
        for pair in &self.engines {
            records.push(admin::read(pair.server.address("http")?, "/admin/records").await?);
        }
        Ok(records)
    }

    /// Directory of the settings and log files.
    pub fn directory(&self) -> &Path {
        &self.paths.directory
    }
}
