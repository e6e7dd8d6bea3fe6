//! A whole fleet inside one process on loopback, with stand-ins for everything around it.

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

/// Memory of the largest adapter.
const LARGEST_ADAPTER: ByteSize = ByteSize::mib(256);
/// Secret shared by the processes of a local fleet.
const LOCAL_SECRET: &str = "local-fleet-secret";
/// Time for all entries to have the lists and the VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between looks at whether an entry is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// How a local fleet is built.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Texts of the two lists.
    pub texts: ListTexts,
    /// Region of all zones.
    pub region: RegionName,
    /// Availability zones; entries and backend servers are spread over them.
    pub zones: Vec<ZoneName>,
    /// Rate of the weight store.
    pub weight_rate: EventRate,
}

/// A running fleet.
pub struct LocalFleet {
    /// Entry processes.
    pub entries: Vec<EntryHandle>,
    /// Model engines.
    pub engines: Vec<ServerHandle<EngineServer>>,
    /// Plain services.
    pub services: Vec<ServerHandle<ServiceServer>>,
    /// The weight store.
    pub weights: ServerHandle<WeightServer>,
    /// The lists in force.
    pub lists: ListSet,
    sides: Vec<SideHandle>,
    platform: ServerHandle<MemoryStore>,
    vms: Vec<VmEntry>,
    plan: FleetPlan,
}

impl LocalFleet {
    /// Starts one entry in each zone and the backend servers that the lists name.
    ///
    /// # Errors
    ///
    /// Fails if the lists have faults or something cannot start.
    pub async fn start(plan: FleetPlan) -> CliResult<Self> {
        let options = PlatformOptions::default();
        let platform = standin::platform::serve(loopback().await?, options)?;
        let lists = accept_lists(&platform.state, &plan.texts).await?;
        let options = WeightOptions { rate: plan.weight_rate, ..WeightOptions::default() };
        let weights = weights::serve(loopback().await?, options)?;
        let mut fleet = Self {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            weights,
            lists,
            sides: Vec::new(),
            platform,
            vms: Vec::new(),
            plan,
        };
        fleet.start_backends().await?;
        fleet.start_entries().await?;
        fleet.platform.state.set_vms(fleet.vms.clone());
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Addresses for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHandle::http_address).collect()
    }

    /// Stops entries first, then side processes, cutting off no request.
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
                let zone = self.zone(number);
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
        let engine = engine::serve(loopback().await?, options)?;
        let address = engine.address;
        self.engines.push(engine);
        Ok(address)
    }

    async fn start_service(&mut self, id: &str) -> CliResult<SocketAddr> {
        let options = ServiceOptions { replica: id.to_owned(), ..ServiceOptions::default() };
        let service = service::serve(loopback().await?, options)?;
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
            process: self.process(id, &zone)?,
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
        let side = SideHandle::start(settings).await?;
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
        for (number, zone) in self.plan.zones.clone().into_iter().enumerate() {
            let id = format!("entry-{number}");
            let unlimited = EventRate(1000.0);
            let settings = EntrySettings {
                log: LogSettings::default(),
                process: self.process(&id, &zone)?,
                platform: PlatformSettings {
                    address: self.platform.address,
                    limits: CallLimits { reads: unlimited, writes: unlimited },
                    vm_poll: TimeSpan(Duration::from_millis(100)),
                },
                limits: RequestLimits {
                    max_body: ByteSize::mib(4),
                    max_answer: ByteSize::mib(16),
                    drain_timeout: TimeSpan(Duration::from_secs(60)),
                },
                spread: SpreadConfig::default(),
                claims: ShardLimits::default(),
            };
            let entry = EntryHandle::start(settings).await?;
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
                    return Err(CliError::failed("an entry did not become ready"));
                }
                time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    fn process(&self, id: &str, zone: &ZoneName) -> CliResult<ProcessSettings> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(ProcessSettings {
            vm: id.parse()?,
            zone: zone.clone(),
            region: self.plan.region.clone(),
            peer_address: any,
            http_address: any,
            secret: LOCAL_SECRET.parse().map_err(|_| CliError::usage("the secret is short"))?,
        })
    }

    fn zone(&self, number: usize) -> ZoneName {
        self.plan.zones[number % self.plan.zones.len()].clone()
    }
}

async fn accept_lists(store: &MemoryStore, texts: &ListTexts) -> CliResult<ListSet> {
    let order = EditOrder {
        texts: texts.clone(),
        read_at: ListVersion(0),
        operator: "try".parse()?,
        note: "first lists".to_owned(),
    };
    let outcome = apply_edit(store, &order).await?;
    if !matches!(outcome, EditOutcome::Accepted(_)) {
        return Err(CliError::failed("the lists were not accepted"));
    }
    let lists = lists::load_lists(store).await?;
    lists.ok_or_else(|| CliError::failed("the lists are gone"))
}

async fn loopback() -> CliResult<TcpListener> {
    Ok(TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?)
}
