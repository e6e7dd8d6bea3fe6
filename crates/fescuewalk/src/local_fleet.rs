//! A fleet of entries and side processes inside one process on loopback, with stand-ins for the
//! platform, the weight store, the engines and the plain services.

use std::net::SocketAddr;

use base::{logging::LogSettings, prelude::*};
use entry::{
    EntryHandle, EntrySettings,
    settings::{PlatformSettings, RequestLimits},
};
use lists::{
    ListSet, ServiceEntry, ServiceKind,
    spread::SpreadConfig,
    store::{EditOrder, EditOutcome, ListTexts, apply_edit},
};
use loading::FenceCheck;
use object_api::{MemoryStore, VmEntry, VmState, rate_limit::CallLimits, vms::VmRole};
use once::ShardLimits;
use side::{
    SideHandle, SideSettings,
    settings::{BackendKind, BackendSettings},
};
use standin::{
    engine::{self, EngineOptions, EngineServer},
    platform::PlatformOptions,
    server::ServerHandle,
    service::{self, ServiceOptions, ServiceServer},
    weights::{self, WeightOptions, WeightServer},
};
use tokio::{net::TcpListener, time};
use wire::ProcessSettings;

use crate::error::{CliError, CliResult};

/// Memory of the largest adapter that may be loaded.
const LARGEST_ADAPTER: ByteSize = ByteSize::mib(256);
/// Secret shared by the processes of a local fleet.
const LOCAL_SECRET: &str = "local-fleet-secret";
/// Time limit for all entries to receive the lists and to find their own VM in the VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of whether an entry is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// What [`LocalFleet::start`] builds.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Texts of the lists of plans and rights; they name the backend servers to start.
    pub texts: ListTexts,
    /// Region of all availability zones.
    pub region: RegionName,
    /// Availability zones; each gets one entry, and backend servers are assigned to them in turn.
    pub zones: Vec<ZoneName>,
    /// Transfers per second that the weight store completes when it is fully used.
    pub weight_rate: EventRate,
}

/// A running fleet, until [`LocalFleet::stop`].
pub struct LocalFleet {
    /// One entry per availability zone.
    pub entries: Vec<EntryHandle>,
    /// Stand-ins of engines, one per replica of each engine service.
    pub engines: Vec<ServerHandle<EngineServer>>,
    /// Stand-ins of plain services, one per replica.
    pub services: Vec<ServerHandle<ServiceServer>>,
    /// Stand-in of the weight store.
    pub weights: ServerHandle<WeightServer>,
    /// The lists that the platform accepted.
    pub lists: ListSet,
    sides: Vec<SideHandle>,
    platform: ServerHandle<MemoryStore>,
    vms: Vec<VmEntry>,
    spec: FleetSpec,
}

impl LocalFleet {
    /// Starts one entry per availability zone and the backend servers that the lists name, and
    /// waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the lists, a process or stand-in cannot start, or an entry is
    /// not ready within [`READY_TIMEOUT`].
    pub async fn start(spec: FleetSpec) -> CliResult<Self> {
        let options = PlatformOptions::default();
        let platform = standin::platform::serve(bind_loopback().await?, options)?;
        let lists = apply_lists(&platform.state, &spec.texts).await?;
        let options = WeightOptions { rate: spec.weight_rate, ..WeightOptions::default() };
        let weights = weights::serve(bind_loopback().await?, options)?;
        let mut fleet = Self {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            weights,
            lists,
            sides: Vec::new(),
            platform,
            vms: Vec::new(),
            spec,
        };
        fleet.start_backends().await?;
        fleet.start_entries().await?;
        fleet.platform.state.set_vms(fleet.vms.clone());
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// HTTP addresses of the entries, to which callers send requests.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHandle::http_address).collect()
    }

    /// Stops the entries, then the side processes. Each waits for its requests in flight, for at
    /// most its drain timeout of 60 s.
    pub async fn stop(&self) {
        for entry in &self.entries {
            entry.stop().await;
        }
        for side in &self.sides {
            side.stop().await;
        }
    }

    async fn start_backends(&mut self) -> CliResult<()> {
        let mut services: Vec<_> = self.lists.services().cloned().collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in services {
            for number in 0..service.replicas.0 as usize {
                let id = format!("{}-{number}", service.name);
                let address = match service.kind {
                    ServiceKind::Engine => self.start_engine(&service).await?,
                    ServiceKind::Plain => self.start_service(&id).await?,
                };
                let zone = self.replica_zone(number);
                self.start_side(&service, &id, zone, address).await?;
            }
        }
        Ok(())
    }

    async fn start_engine(&mut self, service: &ServiceEntry) -> CliResult<SocketAddr> {
        let options = EngineOptions {
            memory: service.memory,
            checks_fencing: service.checks_fencing,
            batch_size: service.slots.0 as usize,
            weights: Some(self.weights.address),
            ..EngineOptions::default()
        };
        let engine = engine::serve(bind_loopback().await?, options)?;
        let address = engine.address;
        self.engines.push(engine);
        Ok(address)
    }

    async fn start_service(&mut self, id: &str) -> CliResult<SocketAddr> {
        let options = ServiceOptions { replica: id.to_owned(), ..ServiceOptions::default() };
        let service = service::serve(bind_loopback().await?, options)?;
        let address = service.address;
        self.services.push(service);
        Ok(address)
    }

    async fn start_side(
        &mut self,
        service: &ServiceEntry,
        id: &str,
        zone: ZoneName,
        address: SocketAddr,
    ) -> CliResult<()> {
        let kind = match service.kind {
            ServiceKind::Engine => BackendKind::Engine,
            ServiceKind::Plain => BackendKind::Plain,
        };
        let fencing = match service.checks_fencing {
            true => FenceCheck::Enforced,
            false => FenceCheck::Ignored,
        };
        let settings = SideSettings {
            log: LogSettings::default(),
            process: self.process_settings(id, &zone)?,
            backend: BackendSettings {
                kind,
                service: service.name.clone(),
                address,
                memory: service.memory,
                concurrency: service.slots.0,
                largest_adapter: LARGEST_ADAPTER,
                fencing,
            },
            platform: Some(self.platform.address),
            drain_limit: TimeSpan(Duration::from_secs(60)),
            report_interval: TimeSpan(Duration::from_millis(250)),
            spread: SpreadConfig::default(),
        };
        let side = SideHandle::start(settings).await;
        self.vms.push(VmEntry {
            id: id.parse()?,
            role: VmRole::Backend,
            service: Some(service.name.clone()),
            zone,
            address: side.peer_address(),
            state: VmState::Live,
        });
        self.sides.push(side);
        Ok(())
    }

    async fn start_entries(&mut self) -> CliResult<()> {
        for (number, zone) in self.spec.zones.clone().into_iter().enumerate() {
            let id = format!("entry-{number}");
            // High enough to have no effect on a local fleet.
            let call_limit = EventRate(1000.0);
            let settings = EntrySettings {
                log: LogSettings::default(),
                process: self.process_settings(&id, &zone)?,
                platform: PlatformSettings {
                    address: self.platform.address,
                    limits: CallLimits { reads: call_limit, writes: call_limit },
                    vm_poll: TimeSpan(Duration::from_millis(100)),
                },
                limits: RequestLimits {
                    drain_timeout: TimeSpan(Duration::from_secs(60)),
                    ..RequestLimits::default()
                },
                spread: SpreadConfig::default(),
                claims: ShardLimits::default(),
            };
            let entry = EntryHandle::start(settings).await;
            self.vms.push(VmEntry {
                id: id.parse()?,
                role: VmRole::Entry,
                service: None,
                zone,
                address: entry.peer_address(),
                state: VmState::Live,
            });
            self.entries.push(entry);
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> CliResult<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while !entry.is_ready() {
                if Instant::now() > deadline {
                    return Err(CliError::failed("an entry process did not become ready in time"));
                }
                time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    fn process_settings(&self, id: &str, zone: &ZoneName) -> CliResult<ProcessSettings> {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(ProcessSettings {
            vm: id.parse()?,
            zone: zone.clone(),
            region: self.spec.region.clone(),
            peer_address: free_port,
            http_address: free_port,
            secret: LOCAL_SECRET
                .parse()
                .map_err(|_| CliError::usage("the secret of the local fleet is too short"))?,
        })
    }

    fn replica_zone(&self, number: usize) -> ZoneName {
        self.spec.zones[number % self.spec.zones.len()].clone()
    }
}

async fn apply_lists(store: &MemoryStore, texts: &ListTexts) -> CliResult<ListSet> {
    let order = EditOrder {
        texts: texts.clone(),
        read_at: ListVersion(0),
        operator: "try".parse()?,
        note: "first lists".to_owned(),
    };
    let outcome = apply_edit(store, &order).await?;
    if !matches!(outcome, EditOutcome::Accepted(_)) {
        return Err(CliError::failed("the platform did not accept the lists"));
    }
    let lists = lists::load_lists(store).await?;
    lists
        .ok_or_else(|| CliError::failed("the accepted lists are missing from the platform's store"))
}

async fn bind_loopback() -> CliResult<TcpListener> {
    Ok(TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?)
}
