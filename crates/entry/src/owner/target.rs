//! State of one model or service at its owner.

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
    AskReplyPath,
    capacity::ModelCapacity,
    slots::{UNKNOWN_MEMORY, UNKNOWN_TIER},
};
use crate::fleet::FleetView;

/// Concurrency assumed before the first report.
const FIRST_CONCURRENCY: usize = 4;
/// Suggested pause before a refused request is sent again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits for a grant.
#[derive(Debug)]
struct WaitingAsk {
    entry: EntryIncarnation,
    reply: AskReplyPath,
    was_cold: bool,
}

/// Refuses an ask that the desk does not know.
pub fn refuse(id: AttemptId, reply: AskReplyPath, code: ResultCode) {
    reply.refuse(CreditRefusal {
        request: id.request_bytes(),
        attempt: id.attempt,
        code: code.number(),
        retry_after_ms: RETRY_AFTER.as_millis() as u64,
    });
}

/// Where a replica stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStage {
    /// Its side process is not connected.
    Unreached,
    /// Its side process is being connected.
    Reaching,
    /// The model is not loaded.
    Cold,
    /// The model is being loaded.
    Loading,
    /// Requests may be granted.
    Ready,
    /// The model is being unloaded.
    Unloading,
    /// Something failed; nothing is tried until then.
    Failed {
        /// End of the pause.
        until: Instant,
    },
}

impl fmt::Display for ReplicaStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplicaStage::Unreached => "not connected",
            ReplicaStage::Reaching => "connecting",
            ReplicaStage::Cold => "not loaded",
            ReplicaStage::Loading => "loading",
            ReplicaStage::Ready => "ready",
            ReplicaStage::Unloading => "unloading",
            ReplicaStage::Failed { .. } => "not reached",
        })
    }
}

/// A load that was ordered and has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    /// The order.
    pub order: OrderId,
    /// When it was given.
    pub since: Instant,
}

/// One backend server that may serve the target.
#[derive(Debug)]
pub struct Replica {
    /// Address of its side process.
    pub address: SocketAddr,
    /// Life of its side process.
    pub incarnation: ProcessIncarnation,
    /// Where it stands.
    pub stage: ReplicaStage,
    /// Slot that permits the model there; none for services.
    pub slot: Option<PlacementSlot>,
    /// Number of the slot under which earlier processes' orders were barred.
    pub settled: Option<FencingNumber>,
    /// Load that was ordered there.
    pub pending: Option<PendingLoad>,
    /// Where the server has the checkpoint.
    pub tier: CacheTier,
    /// Memory that nothing is reserved in.
    pub free_memory: ByteSize,
    /// Requests that it runs at once.
    pub concurrency: usize,
    /// Whether its side process takes no new work.
    pub is_draining: bool,
    /// Whether its VM is about to leave by the VM list.
    pub is_leaving: bool,
    zone: ZoneName,
    offered: ReplicaOffer,
}

/// What the desk was told of a replica last.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReplicaOffer {
    Gone,
    Ready(ReplicaInfo),
    Leaving(ProcessIncarnation),
}

impl Replica {
    /// A replica whose side process is not connected.
    pub fn new(address: SocketAddr, zone: ZoneName) -> Self {
        Self {
            address,
            incarnation: ProcessIncarnation::default(),
            stage: ReplicaStage::Unreached,
            slot: None,
            settled: None,
            pending: None,
            tier: UNKNOWN_TIER,
            free_memory: UNKNOWN_MEMORY,
            concurrency: FIRST_CONCURRENCY,
            is_draining: false,
            is_leaving: false,
            zone,
            offered: ReplicaOffer::Gone,
        }
    }

    fn offer(&self, vm: &VmId) -> ReplicaOffer {
        if self.stage != ReplicaStage::Ready {
            return ReplicaOffer::Gone;
        }
        if self.is_draining || self.is_leaving {
            return ReplicaOffer::Leaving(self.incarnation);
        }
        ReplicaOffer::Ready(ReplicaInfo {
            vm: vm.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            slots: self.concurrency as u32,
        })
    }
}

/// One model or service.
#[derive(Debug)]
pub struct TargetState {
    /// Decided number of replicas.
    pub decided: u32,
    /// Backend servers that may serve.
    pub replicas: BTreeMap<VmId, Replica>,
    /// Decisions about replicas; none for services.
    pub capacity: Option<ModelCapacity>,
    desk: GrantAllocator,
    waiting: HashMap<AttemptId, WaitingAsk>,
    long_percent: Option<u32>,
}

impl TargetState {
    /// A target without replicas.
    pub fn new() -> Self {
        Self {
            decided: 0,
            replicas: BTreeMap::new(),
            capacity: None,
            desk: GrantAllocator::new(AdmissionPolicy::default(), rand::random()),
            waiting: HashMap::new(),
            long_percent: None,
        }
    }

    /// Whether any request waits for a grant.
    pub fn has_waiting(&self) -> bool {
        self.waiting_count() > 0
    }

    /// Takes an ask; its reply is sent now or later.
    pub fn ask(&mut self, ask: GrantRequest, reply: AskReplyPath, now: Instant) {
        let waiting = WaitingAsk { entry: ask.entry.clone(), reply, was_cold: false };
        self.waiting.insert(ask.id, waiting);
        self.decide(GrantEvent::Request(ask), now);
        self.mark_cold();
    }

    /// Limits the slots that long work may hold.
    pub fn limit_long(&mut self, percent: u32, now: Instant) {
        if self.long_percent != Some(percent) {
            self.long_percent = Some(percent);
            self.decide(GrantEvent::LimitLong(percent), now);
        }
    }

    /// Passes one event to the desk and sends its decisions.
    pub fn decide(&mut self, event: GrantEvent, now: Instant) {
        match &event {
            GrantEvent::CreditReturned { id, .. } | GrantEvent::Withdraw(id) => {
                self.waiting.remove(id);
            }
            GrantEvent::EntryLost(entry) => self.waiting.retain(|_, ask| ask.entry != *entry),
            _ => {}
        }
        let actions = self.desk.handle(event, now);
        for action in actions {
            self.reply(action);
        }
    }

    /// Tells the desk which replicas can serve.
    pub fn offer_replicas(&mut self, now: Instant) {
        for event in self.offer_changes() {
            self.decide(event, now);
        }
    }

    /// Forgets replicas that `keep` is false for.
    pub fn retain_replicas(&mut self, keep: impl Fn(&VmId) -> bool, now: Instant) {
        let gone = self.replicas.extract_if(.., |vm, _| !keep(vm));
        let events: Vec<GrantEvent> = gone.map(|(vm, _)| GrantEvent::ReplicaRemoved(vm)).collect();
        for event in events {
            self.decide(event, now);
        }
    }

    /// Takes over from the VM list which VMs are about to leave.
    pub fn mark_leaving(&mut self, fleet: &FleetView) {
        for (vm, replica) in &mut self.replicas {
            let entry = fleet.vm(vm);
            replica.is_leaving = entry.is_some_and(|entry| entry.state == VmState::Leaving);
        }
    }

    /// Lets time pass; decisions that are due are sent.
    pub fn tick(&mut self, now: Instant) {
        for replica in self.replicas.values_mut() {
            if matches!(replica.stage, ReplicaStage::Failed { until } if until <= now) {
                replica.stage = ReplicaStage::Unreached;
            }
        }
        self.decide(GrantEvent::Tick, now);
    }

    fn offer_changes(&mut self) -> Vec<GrantEvent> {
        let mut events = Vec::new();
        for (vm, replica) in &mut self.replicas {
            let offer = replica.offer(vm);
            if offer == replica.offered {
                continue;
            }
            events.push(match (&replica.offered, &offer) {
                (_, ReplicaOffer::Ready(info)) => GrantEvent::ReplicaReady(info.clone()),
                (ReplicaOffer::Ready(info), ReplicaOffer::Leaving(life))
                    if info.incarnation == *life =>
                {
                    GrantEvent::ReplicaDraining(vm.clone())
                }
                _ => GrantEvent::ReplicaRemoved(vm.clone()),
            });
            replica.offered = offer;
        }
        events
    }

    fn reply(&mut self, action: GrantAction) {
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

    /// Remembers for all waiting requests that no replica is ready.
    fn mark_cold(&mut self) {
        if self.replicas.values().any(|replica| replica.stage == ReplicaStage::Ready) {
            return;
        }
        self.waiting.values_mut().for_each(|ask| ask.was_cold = true);
    }

    /// A replica that is ready and runs nothing.
    pub fn idle_replica(&self) -> Option<VmId> {
        let is_idle = |(vm, replica): &(&VmId, &Replica)| {
            replica.stage == ReplicaStage::Ready && self.outstanding(vm) == 0
        };
        self.replicas.iter().rfind(is_idle).map(|(vm, _)| vm.clone())
    }

    /// Credits on a replica that were granted and not returned.
    pub fn outstanding(&self, vm: &VmId) -> usize {
        self.desk.replicas().outstanding(vm)
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        let counts = self.desk.counts();
        counts.short_waiting + counts.long_waiting
    }

    /// Requests that wait and run.
    pub fn demand(&self) -> ModelDemand {
        let counts = self.desk.counts();
        let running = counts.short_running + counts.long_running;
        ModelDemand { waiting: self.waiting_count() as u32, running }
    }
}
