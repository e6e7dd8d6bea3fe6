//! State of one model or service at its owner.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    net::SocketAddr,
};

use base::{ids::AttemptId, prelude::*};
use loading::{CacheTier, ModelDemand, OrderId};
use placement::PlacementSlot;
use wire::ask::{Ask, AskRefusal, Grant};

use super::{
    AskReplyPath,
    capacity::ModelCapacity,
    credits::{CreditBook, CreditTerm},
    slots::{UNKNOWN_MEMORY, UNKNOWN_TIER},
};

/// Concurrency assumed before the first report.
const FIRST_CONCURRENCY: usize = 4;
/// Time for which a credit outlives the time of its request.
const CREDIT_MARGIN: Duration = Duration::from_secs(1);
/// Suggested pause before a refused request is sent again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits for a grant.
#[derive(Debug)]
pub struct WaitingAsk {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// The ask.
    pub ask: Ask,
    reply: AskReplyPath,
    deadline: Instant,
    was_cold: bool,
}

impl WaitingAsk {
    /// An ask that arrived at `now`.
    pub fn new(id: AttemptId, ask: Ask, reply: AskReplyPath, now: Instant) -> Self {
        let deadline = now + Duration::from_millis(ask.budget_ms);
        Self { id, ask, reply, deadline, was_cold: false }
    }

    /// Refuses the request.
    pub fn refuse(self, code: ResultCode) {
        let refusal = AskRefusal {
            request: self.id.request_bytes(),
            attempt: self.id.attempt,
            code: code.number(),
            retry_after_ms: RETRY_AFTER.as_millis() as u64,
        };
        self.reply.refuse(refusal);
    }
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
    /// Load that was ordered there.
    pub pending: Option<PendingLoad>,
    /// Where the server has the checkpoint.
    pub tier: CacheTier,
    /// Memory that nothing is reserved in.
    pub free_memory: ByteSize,
    /// Requests that it runs at once.
    pub concurrency: usize,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Credits granted and not returned.
    pub outstanding: CreditBook,
}

impl Replica {
    /// A replica whose side process is not connected.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            incarnation: ProcessIncarnation::default(),
            stage: ReplicaStage::Unreached,
            slot: None,
            pending: None,
            tier: UNKNOWN_TIER,
            free_memory: UNKNOWN_MEMORY,
            concurrency: FIRST_CONCURRENCY,
            is_draining: false,
            outstanding: CreditBook::default(),
        }
    }

    fn has_credit(&self) -> bool {
        let is_ready = self.stage == ReplicaStage::Ready && !self.is_draining;
        is_ready && self.outstanding.count() < self.concurrency
    }
}

/// One model or service.
#[derive(Debug, Default)]
pub struct TargetState {
    /// Decided number of replicas.
    pub decided: u32,
    /// Requests that wait.
    pub queue: VecDeque<WaitingAsk>,
    /// Backend servers that may serve.
    pub replicas: BTreeMap<VmId, Replica>,
    /// Decisions about replicas; none for services.
    pub capacity: Option<ModelCapacity>,
}

impl TargetState {
    /// Grants credits to waiting requests as long as there are any.
    pub fn grant_waiting(&mut self) {
        while let Some(waiting) = self.queue.front_mut() {
            let tried = &waiting.ask.tried;
            let replica =
                self.replicas.iter_mut().filter(|(_, replica)| replica.has_credit()).min_by_key(
                    |(vm, replica)| {
                        (tried.iter().any(|t| t == vm.as_str()), replica.outstanding.count())
                    },
                );
            let Some((vm, replica)) = replica else {
                let is_cold =
                    !self.replicas.values().any(|replica| replica.stage == ReplicaStage::Ready);
                self.queue.iter_mut().for_each(|waiting| waiting.was_cold |= is_cold);
                return;
            };
            let term = CreditTerm {
                until: waiting.deadline + CREDIT_MARGIN,
                asker: waiting.reply.asker(),
            };
            replica.outstanding.grant(waiting.id, term);
            let grant = Grant {
                request: waiting.id.request_bytes(),
                attempt: waiting.id.attempt,
                vm: vm.to_string(),
                address: replica.address.to_string(),
                incarnation: replica.incarnation.0,
                is_cold: waiting.was_cold,
            };
            if let Some(waiting) = self.queue.pop_front() {
                waiting.reply.grant(grant);
            }
        }
    }

    /// Requests that wait and run.
    pub fn demand(&self) -> ModelDemand {
        let running: usize =
            self.replicas.values().map(|replica| replica.outstanding.count()).sum();
        ModelDemand { waiting: self.queue.len() as u32, running: running as u32 }
    }

    /// Requests whose time has run out.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WaitingAsk> {
        let (expired, waiting) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|waiting| waiting.deadline <= now);
        self.queue = waiting;
        Vec::from(expired as VecDeque<WaitingAsk>)
    }

    /// Ends pauses after failures.
    pub fn revive(&mut self, now: Instant) {
        for replica in self.replicas.values_mut() {
            if matches!(replica.stage, ReplicaStage::Failed { until } if until <= now) {
                replica.stage = ReplicaStage::Unreached;
            }
        }
    }
}
