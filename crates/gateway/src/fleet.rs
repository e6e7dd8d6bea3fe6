//! The other processes of the system: heartbeats with entries and side processes, demand reports,
//! and the planning of loads if this entry is the planner.

mod crashes;
mod engines;
mod limits;
pub mod origins;
mod peer_catalog;
mod planning;
mod quotas;
mod tasks;
mod versions;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use ::limits::{LimitLedger, quotas::QuotaTolerance};
use base::{locks, prelude::*};
use catalog::{Catalog, CatalogVersion};
use events::{DecisionEvent, EventLog};
use peers::{
    Datagram, DatagramBody, EntryHeartbeat, PeerAddress, PeerSocket, PeerTable, PeerUpdate,
};
use residency::{DemandTracker, Planner};
use roster::InstanceId;
use suspects::BlockDigest;
use tokio::{
    sync::{Notify, watch},
    time,
};

use self::{origins::OriginBook, peer_catalog::PeerCatalogs, versions::VersionBook};
use crate::{
    backends::Backends, block_archive::BlockArchive, demand::DemandReporter,
    metrics::GatewayMetrics, quota::SharedQuotas, store_reads::StoreReads,
    version_archive::VersionArchive,
};

/// Share of a core that an entry announces which may know a part of the backend servers only.
const PARTIAL_SHARE: u32 = 1;
/// Time between two heartbeats to other entries.
const ENTRY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two heartbeats to a process from which none was received yet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay between an update about other processes and the heartbeats to those that are unknown, so
/// that processes that are listed at the same time are contacted at the same time.
const CONTACT_DELAY: Duration = Duration::from_millis(5);
/// Time between two heartbeats to side processes.
const SIDE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a datagram of a side process after which it is sent additional heartbeats.
const SIDE_PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a datagram of a side process after which it counts as unreachable.
const SIDE_TIMEOUT: Duration = Duration::from_millis(2_200);

struct SideStatus {
    last_received: Instant,
    /// Number of the last engine state received; zero requests the state with the next heartbeat.
    state_number: u64,
    is_unreachable: bool,
}

struct FleetState {
    peers: PeerTable,
    /// Side processes by the addresses of their engines.
    sides: HashMap<SocketAddr, SideStatus>,
    demand: DemandTracker,
    planners: HashMap<ServiceName, Planner>,
    demand_reporter: DemandReporter,
    last_side_heartbeat: Option<Instant>,
    last_block_query: Option<Instant>,
    limits: LimitLedger,
    origins: OriginBook,
    versions: VersionBook,
}

/// The state of the other processes, as known to this entry; clones share it.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<FleetState>>,
    socket: Arc<PeerSocket>,
    reads: StoreReads,
    backends: Backends,
    archive: BlockArchive,
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    log: EventLog,
    metrics: GatewayMetrics,
    vm: VmId,
    core_share: u32,
    side_port: u16,
    demand_changed: Arc<Notify>,
    unknown_peers: Arc<Notify>,
    plan_inputs_changed: Arc<Notify>,
    versions_changed: Arc<Notify>,
    versions: VersionArchive,
    /// When the last successful read of the versions for a lookup was sent.
    version_reads: Arc<tokio::sync::Mutex<Option<Instant>>>,
    peer_catalogs: Arc<PeerCatalogs>,
    quotas: SharedQuotas,
}

/// Identity of this entry towards the other processes.
pub struct FleetIdentity {
    /// VM of this entry.
    pub vm: VmId,
    /// Share of a CPU core that the VM has, in thousandths.
    pub core_share: u32,
    /// UDP port of all side processes.
    pub side_port: u16,
}

/// What this entry uses to reach the other processes and the store.
pub struct FleetLinks {
    /// Socket for datagrams.
    pub socket: Arc<PeerSocket>,
    /// Plans the reads of the store.
    pub reads: StoreReads,
    /// Blocks of requests in the store.
    pub archive: BlockArchive,
    /// Software versions in the store.
    pub versions: VersionArchive,
    /// Tolerance of the quotas of workspaces.
    pub quota_tolerance: QuotaTolerance,
}

impl Fleet {
    /// A fleet without known processes.
    pub fn new(
        identity: FleetIdentity,
        links: FleetLinks,
        backends: Backends,
        catalog: watch::Receiver<Option<Arc<Catalog>>>,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> Self {
        let FleetIdentity { vm, core_share, side_port } = identity;
        let FleetLinks { socket, reads, archive, versions, quota_tolerance } = links;
        let state = FleetState {
            peers: PeerTable::new(vm.clone(), 0),
            sides: HashMap::new(),
            demand: DemandTracker::default(),
            planners: HashMap::new(),
            demand_reporter: DemandReporter::new(vm.clone()),
            last_side_heartbeat: None,
            last_block_query: None,
            limits: LimitLedger::default(),
            origins: OriginBook::default(),
            versions: VersionBook::new(Instant::now()),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            socket,
            reads,
            backends,
            archive,
            catalog,
            log,
            metrics,
            vm,
            core_share,
            side_port,
            demand_changed: Arc::default(),
            unknown_peers: Arc::default(),
            plan_inputs_changed: Arc::default(),
            versions_changed: Arc::default(),
            versions,
            version_reads: Arc::default(),
            peer_catalogs: Arc::default(),
            quotas: SharedQuotas::new(quota_tolerance),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        locks::lock(&self.state)
    }

    /// Adds an entry that the store lists, and contacts it.
    pub fn add_entry(&self, vm: VmId, address: SocketAddr) {
        self.lock().peers.add_peer(vm, address, Instant::now());
        self.unknown_peers.notify_one();
    }

    /// Contacts the processes that are not known yet, such as side processes of new backend
    /// servers.
    pub fn contact_unknown_peers(&self) {
        self.unknown_peers.notify_one();
        self.versions_changed.notify_one();
    }

    /// Marks this entry as draining, so that it plans no more, and notifies the other entries at
    /// once.
    pub fn drain(&self) {
        self.lock().peers.drain();
        self.send_entry_heartbeats();
        self.hand_over_quotas();
    }

    /// Records that backend servers are known: this entry can serve, and plan for the others. One that
    /// may know a part of them only plans only if none has listed all.
    pub fn record_roster(&self, is_complete: bool) {
        let share = if is_complete { self.core_share.max(PARTIAL_SHARE) } else { PARTIAL_SHARE };
        let peers = &mut self.lock().peers;
        if peers.own_share() < share {
            peers.set_own_share(share);
        }
    }

    /// Whether the backend servers are known.
    pub fn has_roster(&self) -> bool {
        self.lock().peers.own_share() > 0
    }

    /// Whether this entry is draining.
    pub fn is_draining(&self) -> bool {
        self.lock().peers.is_draining()
    }

    /// Causes an early demand report because a request waits.
    pub fn request_demand_report(&self) {
        self.demand_changed.notify_one();
    }

    /// Excludes a backend server that is draining, removed or unreachable from planning.
    pub fn remove_engine(&self, instance: &InstanceId) {
        for planner in self.lock().planners.values_mut() {
            planner.remove(instance);
        }
    }

    /// Asks for the complete state of an engine that joins: what was reported before is gone from
    /// planning, and the side process sends no state again that it takes for known.
    pub fn renew_engine(&self, engine: SocketAddr) {
        if let Some(side) = self.lock().sides.get_mut(&engine) {
            side.state_number = 0;
        }
    }

    async fn send_heartbeats(self) {
        let mut catalog = self.catalog.clone();
        loop {
            self.update_live_entries();
            self.send_entry_heartbeats();
            self.send_side_heartbeats();
            let next_heartbeat = Instant::now() + ENTRY_HEARTBEAT_INTERVAL;
            // The inner loop ends only when `next_heartbeat` is reached.
            while time::timeout_at(next_heartbeat, self.wait_for_unknown_peers(&mut catalog))
                .await
                .is_ok()
            {
                self.send_first_heartbeats();
            }
        }
    }

    /// Waits until there may be unknown processes to contact.
    async fn wait_for_unknown_peers(&self, catalog: &mut watch::Receiver<Option<Arc<Catalog>>>) {
        tokio::select! {
            () = self.unknown_peers.notified() => {}
            // Does not fail, because the catalog sender lives as long as the process.
            Ok(()) = catalog.changed() => {}
            () = time::sleep(CONTACT_INTERVAL) => {}
        }
        time::sleep(CONTACT_DELAY).await;
    }

    /// Sends heartbeats to the processes from which no datagram was received. Until the side
    /// processes reply, an entry that has just started knows only what the store lists about
    /// engines, and plans nothing.
    fn send_first_heartbeats(&self) {
        let entry_addresses = self.lock().peers.without_heartbeat();
        if !entry_addresses.is_empty() {
            self.send_entry_heartbeats_to(&entry_addresses);
        }
        let engines = self.engines_to_contact();
        let mut state = self.lock();
        for engine in engines {
            if state.sides.get(&engine.address).is_none_or(|side| side.state_number == 0) {
                self.send_side_heartbeat(&mut state, &engine, 0);
            }
        }
    }

    fn update_live_entries(&self) {
        let now = Instant::now();
        let (updates, live_entries, is_planner) = {
            let mut state = self.lock();
            let updates = state.peers.update_live(now);
            (updates, state.peers.live_count(), state.peers.planner().is_none())
        };
        self.reads.set_observer(is_planner);
        for update in &updates {
            let (peer, is_live) = match update {
                PeerUpdate::Found(vm) => (vm, true),
                PeerUpdate::Lost(vm) => (vm, false),
            };
            self.log.record(&DecisionEvent::PeerChanged { peer, is_live, live_entries });
        }
        if !updates.is_empty() {
            self.apply_member_changes(&updates);
            self.backends.set_entries(live_entries);
            self.metrics.live_entries.set(i64::try_from(live_entries).unwrap_or(i64::MAX));
        }
        self.update_sides(now);
    }

    fn update_sides(&self, now: Instant) {
        let mut unreachable = Vec::new();
        {
            let mut state = self.lock();
            for (address, side) in &mut state.sides {
                let is_unreachable =
                    now.saturating_duration_since(side.last_received) > SIDE_TIMEOUT;
                if is_unreachable && !side.is_unreachable {
                    side.is_unreachable = true;
                    side.state_number = 0;
                    unreachable.push(*address);
                }
            }
            state.sides.retain(|_, side| {
                now.saturating_duration_since(side.last_received) < SIDE_TIMEOUT * 4
            });
        }
        for address in unreachable {
            let instance = self.backends.with_dispatcher(|dispatcher, _| {
                let instance = dispatcher.server_at(address, None).map(|view| view.id.clone())?;
                dispatcher.mark_side_unreachable(&instance);
                Some(instance)
            });
            if let Some(instance) = instance {
                self.remove_engine(&instance);
                self.record_server_status(&instance, "side-silent");
            }
        }
    }

    fn record_server_status(&self, server: &InstanceId, status: &'static str) {
        let source = "side";
        self.log.record(&DecisionEvent::ServerChanged {
            server,
            standing: status,
            source,
            revision: 0,
        });
    }

    fn send_entry_heartbeats(&self) {
        let addresses = self.lock().peers.addresses();
        self.send_entry_heartbeats_to(&addresses);
    }

    fn send_entry_heartbeats_to(&self, addresses: &[SocketAddr]) {
        let (known, core_share, is_draining) = {
            let mut state = self.lock();
            let known = state.peers.next_announced().into_iter().map(|(vm, address)| PeerAddress {
                vm: vm.to_string(),
                address: address.to_string(),
            });
            (known.collect(), state.peers.own_share(), state.peers.is_draining())
        };
        let store = self.reads.sighting();
        let (BlockDigest(block_digest), blocks) =
            self.backends.with_dispatcher(|dispatcher, now| {
                let suspects = dispatcher.suspects();
                (suspects.digest(now), suspects.active_blocks(now).len())
            });
        self.metrics.request_blocks.set(i64::try_from(blocks).unwrap_or(i64::MAX));
        let catalog = self.catalog.borrow().clone();
        let catalog_version = catalog.map_or(0, |catalog| catalog.version().0);
        let heartbeat =
            EntryHeartbeat { core_share, is_draining, known, store, block_digest, catalog_version };
        self.socket.send_all(addresses, DatagramBody::EntryHeartbeat(heartbeat));
    }

    async fn receive(self) {
        loop {
            let (source, datagram) = self.socket.receive().await;
            self.handle_datagram(source, datagram);
        }
    }

    fn handle_datagram(&self, source: SocketAddr, datagram: Datagram) {
        let Ok(vm) = datagram.vm.parse::<VmId>() else {
            log::warn!("fleet: ignoring a datagram from {source} without a valid VM name");
            return;
        };
        match datagram.body {
            Some(DatagramBody::EntryHeartbeat(heartbeat)) => {
                self.apply_entry_heartbeat(vm, source, datagram.incarnation, &heartbeat);
            }
            Some(DatagramBody::EngineState(state)) => self.apply_engine_state(&state),
            Some(DatagramBody::EngineLoad(load)) => self.apply_engine_load(source, load),
            Some(DatagramBody::DemandReport(demand)) => {
                let rows = demand.models.iter().filter_map(planning::decode_row).collect();
                self.lock().demand.apply_report(vm, rows, Instant::now());
                self.plan_inputs_changed.notify_one();
            }
            Some(DatagramBody::LoadEstimates(estimates)) => self.apply_load_estimates(estimates),
            Some(DatagramBody::PermitReply(reply)) => self.backends.apply_permit_reply(reply),
            Some(DatagramBody::CrashReport(report)) => self.apply_crash_report(&report),
            Some(DatagramBody::BlockQuery(_)) => self.send_blocks(&[source]),
            Some(DatagramBody::BlockReport(report)) => self.apply_block_report(source, &report),
            Some(DatagramBody::LimitQuery(query)) => self.apply_limit_query(source, &query),
            Some(DatagramBody::LimitGrant(grant)) => self.apply_limit_grant(&grant),
            Some(DatagramBody::LimitReport(report)) => self.apply_limit_report(&report),
            Some(DatagramBody::OriginReport(report)) => self.apply_origin_report(source, report),
            Some(DatagramBody::OriginQuery(query)) => self.answer_origin_query(source, query),
            Some(DatagramBody::QuotaQuery(query)) => self.apply_quota_query(source, query),
            Some(DatagramBody::QuotaGrant(grant)) => self.apply_quota_grant(source, grant),
            Some(DatagramBody::QuotaHandover(handover)) => {
                self.apply_quota_handover(source, &handover);
            }
            Some(DatagramBody::OriginReply(reply)) => self.apply_origin_reply(source, reply),
            _ => {}
        }
    }

    fn apply_entry_heartbeat(
        &self,
        vm: VmId,
        source: SocketAddr,
        incarnation: u64,
        heartbeat: &EntryHeartbeat,
    ) {
        if let Some(store) = heartbeat.store {
            self.reads.apply_sighting(store);
        }
        self.record_peer_catalog(source, CatalogVersion(heartbeat.catalog_version));
        let now = Instant::now();
        let (is_new, was_known, has_returned) = {
            let mut state = self.lock();
            let has_returned = !heartbeat.is_draining && state.peers.is_lost(&vm);
            let was_known = state.peers.has_sent_heartbeat(&vm);
            let incarnation = ProcessIncarnation(incarnation);
            let is_new = state.peers.record_heartbeat(
                vm,
                source,
                incarnation,
                heartbeat.core_share,
                heartbeat.is_draining,
                now,
            );
            for known in &heartbeat.known {
                if let (Ok(vm), Ok(address)) = (known.vm.parse(), known.address.parse()) {
                    state.peers.add_peer(vm, address, now);
                }
            }
            (is_new, was_known, has_returned)
        };
        self.compare_blocks(source, BlockDigest(heartbeat.block_digest));
        if is_new {
            self.send_entry_heartbeats_to(&[source]);
            self.update_live_entries();
            self.hand_quotas_to(source, was_known);
        } else if has_returned && self.has_quotas() {
            self.update_live_entries();
        }
    }
}

fn saturating_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
