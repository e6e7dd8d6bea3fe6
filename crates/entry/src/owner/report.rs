//! Status report of models and services for operators.

use std::fmt;

use base::prelude::*;
use routing::rendezvous::OwnerKey;
use serde::{Deserialize, Serialize};

use super::{
    capacity::ModelCapacity,
    target::{Replica, TargetState},
};

/// State of one model or service at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the model or service.
    pub target: String,
    /// Number of replicas allowed; for a model it falls to a lower number in the lists only as
    /// slots are freed.
    pub decided: u32,
    /// Slots that are held; zero for services.
    pub held: u32,
    /// Replicas on which the model is loaded; zero for services.
    pub loaded: u32,
    /// Replicas on which the model is being loaded; zero for services.
    pub loading: u32,
    /// Desired number of replicas for the current demand; zero for services.
    pub wanted: u32,
    /// Requests that wait for a grant.
    pub waiting: usize,
    /// Reason for the current number of replicas; empty for services.
    pub why: String,
    /// Replicas in the order of their VM ids.
    pub replicas: Vec<ReplicaReport>,
}

/// State of one replica at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// VM of the backend server.
    pub vm: VmId,
    /// Stage of the replica, the text of `ReplicaStage`.
    pub stage: String,
    /// Fastest tier in which the checkpoint is cached there.
    pub tier: String,
    /// Credits that were granted on it and not returned.
    pub outstanding: usize,
}

impl fmt::Display for TargetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: decided {}, held {}, loaded {}, loading {}, wanted {}, waiting {}: {}",
            self.target,
            self.decided,
            self.held,
            self.loaded,
            self.loading,
            self.wanted,
            self.waiting,
            self.why
        )?;
        for replica in &self.replicas {
            let ReplicaReport { vm, stage, tier, outstanding } = replica;
            writeln!(f, "  {vm}: {stage}, checkpoint in {tier}, {outstanding} requests")?;
        }
        Ok(())
    }
}

impl TargetState {
    /// Creates the report for operators.
    pub fn describe(&self, key: &OwnerKey) -> TargetReport {
        let capacity = self.capacity.as_ref();
        let scheduler = capacity.map(|capacity| &capacity.scheduler);
        TargetReport {
            target: key.to_string(),
            decided: self.decided,
            held: capacity.map_or(0, |capacity| capacity.placement.held_slots().count() as u32),
            loaded: scheduler.map_or(0, |scheduler| scheduler.loaded_count()),
            loading: scheduler.map_or(0, |scheduler| scheduler.loading_count()),
            wanted: capacity.map_or(0, ModelCapacity::desired),
            waiting: self.waiting_count(),
            why: capacity.map_or_else(String::new, |capacity| self.explain(capacity)),
            replicas: self
                .replicas
                .iter()
                .map(|(vm, replica)| self.describe_replica(vm, replica))
                .collect(),
        }
    }

    fn explain(&self, capacity: &ModelCapacity) -> String {
        let store = match capacity.placement.is_store_failing() {
            true => "; the store does not answer, standing slots go on",
            false => "",
        };
        format!("{}{store}", self.explain_replicas(capacity))
    }

    fn explain_replicas(&self, capacity: &ModelCapacity) -> String {
        let demand = self.demand();
        let scheduler = &capacity.scheduler;
        if self.decided == 0 {
            return "no replica is decided".to_owned();
        }
        if let Some(reason) = scheduler.last_denial().filter(|_| scheduler.loaded_count() == 0) {
            return format!("the latest load was denied: {reason}");
        }
        if demand.waiting + demand.running > 0 {
            return format!("{} requests wait, {} run", demand.waiting, demand.running);
        }
        match capacity.is_kept_warm() {
            true => "idle, a request is expected soon".to_owned(),
            false => "idle, no request is expected soon".to_owned(),
        }
    }

    fn describe_replica(&self, vm: &VmId, replica: &Replica) -> ReplicaReport {
        ReplicaReport {
            vm: vm.clone(),
            stage: replica.stage.to_string(),
            tier: replica.tier.to_string(),
            outstanding: self.outstanding(vm),
        }
    }
}
