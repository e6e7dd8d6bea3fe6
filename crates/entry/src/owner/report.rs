//! What operators see of a model or service.

use std::fmt;

use base::prelude::*;
use routing::rendezvous::OwnerKey;
use serde::{Deserialize, Serialize};

use super::{
    capacity::ModelCapacity,
    target::{Replica, TargetState},
};

/// What the owner knows of one model or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Model or service.
    pub target: String,
    /// Decided number of replicas.
    pub decided: u32,
    /// Slots that are held.
    pub held: u32,
    /// Replicas that are loaded.
    pub loaded: u32,
    /// Replicas that are being loaded.
    pub loading: u32,
    /// Replicas that are wanted now.
    pub wanted: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Why it is so.
    pub why: String,
    /// Replicas with their stages.
    pub replicas: Vec<ReplicaReport>,
}

/// What the owner knows of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// VM of the backend server.
    pub vm: VmId,
    /// Stage of the model there.
    pub stage: String,
    /// Where the checkpoint is cached.
    pub tier: String,
    /// Credits granted and not returned.
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
    /// What operators see.
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
