//! State of one model or service at its owner.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    net::SocketAddr,
};

use base::prelude::*;
use routing::rendezvous::OwnerKey;
use wire::ask::{Ask, AskRefusal, Grant};

use super::{AskReplyPath, ReplicaReport, TargetReport, placing::PlacedSlot};
use crate::asks::AttemptId;

/// Concurrency assumed before the first report.
const FIRST_CONCURRENCY: usize = 4;
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
    /// Something failed; nothing is tried until then.
    Failed {
        /// End of the pause.
        until: Instant,
    },
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
    pub slot: Option<PlacedSlot>,
    /// Requests that it runs at once.
    pub concurrency: usize,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Credits granted and not returned.
    pub outstanding: HashSet<AttemptId>,
}

impl Replica {
    /// A replica whose side process is not connected.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            incarnation: ProcessIncarnation::default(),
            stage: ReplicaStage::Unreached,
            slot: None,
            concurrency: FIRST_CONCURRENCY,
            is_draining: false,
            outstanding: HashSet::new(),
        }
    }

    /// Takes a report over: `Some(true)` if the model is loaded, `None` if it is not held.
    pub fn observe(&mut self, held: Option<bool>) {
        self.stage = match (self.stage, held) {
            (ReplicaStage::Cold | ReplicaStage::Loading, Some(true)) => ReplicaStage::Ready,
            (ReplicaStage::Ready, None) => ReplicaStage::Cold,
            (stage, _) => stage,
        };
    }

    fn has_credit(&self) -> bool {
        let is_ready = self.stage == ReplicaStage::Ready && !self.is_draining;
        is_ready && self.outstanding.len() < self.concurrency
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
    /// Whether the placement is being read or written.
    pub is_placing: bool,
    /// When the placement may be read again.
    pub place_again: Option<Instant>,
}

impl TargetState {
    /// Grants credits to waiting requests as long as there are any.
    pub fn grant_waiting(&mut self) {
        while let Some(waiting) = self.queue.front_mut() {
            let tried = &waiting.ask.tried;
            let replica =
                self.replicas.iter_mut().filter(|(_, replica)| replica.has_credit()).min_by_key(
                    |(vm, replica)| {
                        (tried.iter().any(|t| t == vm.as_str()), replica.outstanding.len())
                    },
                );
            let Some((vm, replica)) = replica else {
                let is_cold =
                    !self.replicas.values().any(|replica| replica.stage == ReplicaStage::Ready);
                self.queue.iter_mut().for_each(|waiting| waiting.was_cold |= is_cold);
                return;
            };
            replica.outstanding.insert(waiting.id);
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

    /// The replica to load next, unless one is loading already.
    pub fn next_load(&mut self) -> Option<(&VmId, &mut Replica)> {
        let is_loading =
            self.replicas.values().any(|replica| replica.stage == ReplicaStage::Loading);
        if is_loading {
            return None;
        }
        self.replicas
            .iter_mut()
            .find(|(_, replica)| replica.stage == ReplicaStage::Cold && !replica.is_draining)
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

    /// What operators see.
    pub fn describe(&self, key: &OwnerKey) -> TargetReport {
        let report = |(vm, replica): (&VmId, &Replica)| ReplicaReport {
            vm: vm.clone(),
            stage: format!("{:?}", replica.stage).to_lowercase(),
            outstanding: replica.outstanding.len(),
        };
        TargetReport {
            target: key.to_string(),
            decided: self.decided,
            replicas: self.replicas.iter().map(report).collect(),
            waiting: self.queue.len(),
        }
    }
}
