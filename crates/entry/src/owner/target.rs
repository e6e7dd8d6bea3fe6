//! Replicas and waiting requests of one model or service at its owner.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
};

use admission::AdmissionPolicy;
use base::{ids::AttemptId, prelude::*};
use loading::{CacheTier, ModelDemand, OrderId};
use object_api::VmState;
use placement::PlacementSlot;
use routing::{
    EntryIncarnation, GrantAction, GrantAllocator, GrantEvent, GrantRequest, ReplicaInfo,
};
use wire::credit::{CreditRefusal, Grant};

use super::{
    ReplyPath,
    capacity::ModelCapacity,
    slots::{ASSUMED_FREE_MEMORY, ASSUMED_TIER},
};
use crate::fleet::FleetView;

/// Concurrent requests assumed for a replica before its first report.
const ASSUMED_CONCURRENCY: usize = 4;
/// Retry delay suggested in refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits for a grant.
#[derive(Debug)]
struct WaitingRequest {
    entry: EntryIncarnation,
    reply: ReplyPath,
    was_cold: bool,
}

/// Sends the refusal of a grant request.
pub fn refuse(id: AttemptId, reply: ReplyPath, code: ResultCode) {
    reply.refuse(CreditRefusal {
        request: id.request_bytes(),
        attempt: id.attempt,
        code: code.number(),
        retry_after_ms: RETRY_AFTER.as_millis() as u64,
    });
}

/// Stage of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStage {
    /// Its side process is not connected.
    Disconnected,
    /// A connection to its side process is being opened.
    Connecting,
    /// The model is not loaded.
    Cold,
    /// The model is being loaded.
    Loading,
    /// The model is loaded, or the service is connected; credits can be granted.
    Ready,
    /// The model is being unloaded.
    Unloading,
    /// The connection failed or was lost; it is not retried before this time.
    Failed {
        /// End of the retry delay.
        until: Instant,
    },
}

impl fmt::Display for ReplicaStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplicaStage::Disconnected => "not connected",
            ReplicaStage::Connecting => "connecting",
            ReplicaStage::Cold => "not loaded",
            ReplicaStage::Loading => "loading",
            ReplicaStage::Ready => "ready",
            ReplicaStage::Unloading => "unloading",
            ReplicaStage::Failed { .. } => "not reached",
        })
    }
}

/// A load order without an outcome yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    /// Id of the order.
    pub order: OrderId,
    /// Time at which it was sent.
    pub since: Instant,
}

/// A backend server that may serve the target.
#[derive(Debug)]
pub struct Replica {
    /// Address of its side process.
    pub address: SocketAddr,
    /// Incarnation of its side process, as of the last connection.
    pub incarnation: ProcessIncarnation,
    /// Stage of the replica.
    pub stage: ReplicaStage,
    /// Slot under which the model may be loaded there; `None` for services.
    pub slot: Option<PlacementSlot>,
    /// Fencing number under which an unload was last ordered to invalidate load orders of earlier
    /// side processes; `None` if none was.
    pub cleared_fence: Option<FencingNumber>,
    /// Load order there without an outcome yet.
    pub pending: Option<PendingLoad>,
    /// Fastest tier in which the server has the checkpoint.
    pub tier: CacheTier,
    /// Memory of the server that is not reserved.
    pub free_memory: ByteSize,
    /// Requests that it can run concurrently.
    pub concurrency: usize,
    /// Whether its side process reports that it accepts no new requests.
    pub is_draining: bool,
    /// Whether the VM list marks its VM as leaving.
    pub is_vm_leaving: bool,
    zone: ZoneName,
    last_status: ReplicaStatus,
}

/// Status of a replica as reported to the allocator.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReplicaStatus {
    Removed,
    Ready(ReplicaInfo),
    Draining(ProcessIncarnation),
}

impl Replica {
    /// Creates a replica whose side process is not connected.
    pub fn new(address: SocketAddr, zone: ZoneName) -> Self {
        Self {
            address,
            incarnation: ProcessIncarnation::default(),
            stage: ReplicaStage::Disconnected,
            slot: None,
            cleared_fence: None,
            pending: None,
            tier: ASSUMED_TIER,
            free_memory: ASSUMED_FREE_MEMORY,
            concurrency: ASSUMED_CONCURRENCY,
            is_draining: false,
            is_vm_leaving: false,
            zone,
            last_status: ReplicaStatus::Removed,
        }
    }

    fn status(&self, vm: &VmId) -> ReplicaStatus {
        if self.stage != ReplicaStage::Ready {
            return ReplicaStatus::Removed;
        }
        if self.is_draining || self.is_vm_leaving {
            return ReplicaStatus::Draining(self.incarnation);
        }
        ReplicaStatus::Ready(ReplicaInfo {
            vm: vm.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            slots: self.concurrency as u32,
        })
    }
}

/// State of one model or service.
#[derive(Debug)]
pub struct TargetState {
    /// Number of replicas allowed; for a model it falls to a lower number in the lists only as
    /// slots are freed.
    pub decided: u32,
    /// Backend servers that may serve the target.
    pub replicas: BTreeMap<VmId, Replica>,
    /// Capacity planning; `None` for services.
    pub capacity: Option<ModelCapacity>,
    allocator: GrantAllocator,
    waiting: HashMap<AttemptId, WaitingRequest>,
    long_percent: Option<u32>,
}

impl TargetState {
    /// Creates a target without replicas.
    pub fn new() -> Self {
        Self {
            decided: 0,
            replicas: BTreeMap::new(),
            capacity: None,
            allocator: GrantAllocator::new(AdmissionPolicy::default(), rand::random()),
            waiting: HashMap::new(),
            long_percent: None,
        }
    }

    /// Whether any request waits for a grant.
    pub fn has_waiting(&self) -> bool {
        self.waiting_count() > 0
    }

    /// Queues a grant request; the reply is sent now or later.
    pub fn request_grant(&mut self, request: GrantRequest, reply: ReplyPath, now: Instant) {
        let waiting = WaitingRequest { entry: request.entry.clone(), reply, was_cold: false };
        self.waiting.insert(request.id, waiting);
        self.apply_event(GrantEvent::Request(request), now);
        self.mark_waiting_cold();
    }

    /// Limits the share of a replica's request slots that long requests may take, in percent.
    pub fn limit_long(&mut self, percent: u32, now: Instant) {
        if self.long_percent != Some(percent) {
            self.long_percent = Some(percent);
            self.apply_event(GrantEvent::LimitLong(percent), now);
        }
    }

    /// Passes one event to the allocator and sends the resulting replies.
    pub fn apply_event(&mut self, event: GrantEvent, now: Instant) {
        match &event {
            GrantEvent::CreditReturned { id, .. } | GrantEvent::Withdraw(id) => {
                self.waiting.remove(id);
            }
            GrantEvent::EntryLost(lost) => self.waiting.retain(|_, waiter| waiter.entry != *lost),
            _ => {}
        }
        let actions = self.allocator.handle(event, now);
        for action in actions {
            self.send_reply(action);
        }
    }

    /// Reports changed replica statuses to the allocator.
    pub fn update_allocator(&mut self, now: Instant) {
        for event in self.status_changes() {
            self.apply_event(event, now);
        }
    }

    /// Removes the replicas for which `keep` is false.
    pub fn retain_replicas(&mut self, keep: impl Fn(&VmId) -> bool, now: Instant) {
        let removed = self.replicas.extract_if(.., |vm, _| !keep(vm));
        let events: Vec<GrantEvent> =
            removed.map(|(vm, _)| GrantEvent::ReplicaRemoved(vm)).collect();
        for event in events {
            self.apply_event(event, now);
        }
    }

    /// Updates from the VM list which VMs are leaving.
    pub fn update_leaving(&mut self, fleet: &FleetView) {
        for (vm, replica) in &mut self.replicas {
            let entry = fleet.vm(vm);
            replica.is_vm_leaving = entry.is_some_and(|entry| entry.state == VmState::Leaving);
        }
    }

    /// Ends elapsed retry delays and sends the replies that are due.
    pub fn tick(&mut self, now: Instant) {
        for replica in self.replicas.values_mut() {
            if matches!(replica.stage, ReplicaStage::Failed { until } if until <= now) {
                replica.stage = ReplicaStage::Disconnected;
            }
        }
        self.apply_event(GrantEvent::Tick, now);
    }

    fn status_changes(&mut self) -> Vec<GrantEvent> {
        let mut events = Vec::new();
        for (vm, replica) in &mut self.replicas {
            let status = replica.status(vm);
            if status == replica.last_status {
                continue;
            }
            events.push(match (&replica.last_status, &status) {
                (_, ReplicaStatus::Ready(info)) => GrantEvent::ReplicaReady(info.clone()),
                (ReplicaStatus::Ready(info), ReplicaStatus::Draining(incarnation))
                    if info.incarnation == *incarnation =>
                {
                    GrantEvent::ReplicaDraining(vm.clone())
                }
                _ => GrantEvent::ReplicaRemoved(vm.clone()),
            });
            replica.last_status = status;
        }
        events
    }

    fn send_reply(&mut self, action: GrantAction) {
        match action {
            GrantAction::Refuse { id, code } => {
                if let Some(waiting) = self.waiting.remove(&id) {
                    refuse(id, waiting.reply, code);
                }
            }
            GrantAction::Grant { id, choice, hedge_after } => {
                let Some(waiting) = self.waiting.remove(&id) else { return };
                let Some(replica) = self.replicas.get(&choice.vm) else { return };
                let grant = Grant {
                    request: id.request_bytes(),
                    attempt: id.attempt,
                    vm: choice.vm.to_string(),
                    address: replica.address.to_string(),
                    incarnation: choice.incarnation.0,
                    is_cold: waiting.was_cold,
                    hedge_after_us: hedge_after.map_or(0, |after| after.as_micros() as u64),
                };
                waiting.reply.grant(grant);
            }
        }
    }

    /// Marks all waiting requests as cold starts if no replica is ready.
    fn mark_waiting_cold(&mut self) {
        if self.replicas.values().any(|replica| replica.stage == ReplicaStage::Ready) {
            return;
        }
        self.waiting.values_mut().for_each(|request| request.was_cold = true);
    }

    /// The ready replica without outstanding credits that has the highest VM id.
    pub fn idle_replica(&self) -> Option<VmId> {
        let is_idle = |(vm, replica): &(&VmId, &Replica)| {
            replica.stage == ReplicaStage::Ready && self.outstanding(vm) == 0
        };
        self.replicas.iter().rfind(is_idle).map(|(vm, _)| vm.clone())
    }

    /// Number of credits on a replica that were granted and not returned.
    pub fn outstanding(&self, vm: &VmId) -> usize {
        self.allocator.replicas().outstanding(vm)
    }

    /// Number of requests that wait for a grant.
    pub fn waiting_count(&self) -> usize {
        let counts = self.allocator.counts();
        counts.short_waiting + counts.long_waiting
    }

    /// Numbers of requests that wait and run.
    pub fn demand(&self) -> ModelDemand {
        let counts = self.allocator.counts();
        let running = counts.short_running + counts.long_running;
        ModelDemand { waiting: self.waiting_count() as u32, running }
    }
}
