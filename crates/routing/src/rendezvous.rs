//! Owners of models and services by rendezvous hashing (highest random weight).
//!
//! Processes that know the same entries compute the same owners without exchanging messages. While
//! their views differ they may disagree. That costs time but is safe, because the side process of
//! each replica decides by itself what to accept.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Model or service that owners are computed for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnerKey {
    /// A model with its adapters.
    Model(ModelId),
    /// A service without a model.
    Service(ServiceName),
}

impl OwnerKey {
    fn seed(&self) -> u64 {
        match self {
            OwnerKey::Model(model) => xxh3_64_with_seed(model.as_str().as_bytes(), 0),
            OwnerKey::Service(service) => xxh3_64_with_seed(service.as_str().as_bytes(), 1),
        }
    }
}

impl fmt::Display for OwnerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OwnerKey::Model(model) => write!(f, "model/{model}"),
            OwnerKey::Service(service) => write!(f, "service/{service}"),
        }
    }
}

/// Number of owners that the requests of a model or service are split over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerCount(pub usize);

impl OwnerCount {
    /// Smallest number of owners at which each gets at most `per_owner` requests a second.
    pub fn for_rate(rate: EventRate, per_owner: EventRate) -> Self {
        let count = (rate.0 / per_owner.0.max(f64::MIN_POSITIVE)).ceil();
        Self((count as usize).max(1))
    }
}

impl fmt::Display for OwnerCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for OwnerCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Live entries of a region, ranked for one model or service; the first ones are its owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerRanking {
    seed: u64,
    ranked: Vec<VmId>,
    owners: usize,
}

impl OwnerRanking {
    /// Ranks `entries` for `key`, which is split over `count` owners.
    pub fn new(key: &OwnerKey, entries: &[VmId], count: OwnerCount) -> Self {
        let seed = key.seed();
        let mut weighted: Vec<(u64, &VmId)> =
            entries.iter().map(|vm| (weight(seed, vm), vm)).collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        let ranked: Vec<VmId> = weighted.into_iter().map(|(_, vm)| vm.clone()).collect();
        let owners = count.0.clamp(1, ranked.len().max(1));
        Self { seed, ranked, owners }
    }

    /// The owners; empty only if there are no entries.
    pub fn owners(&self) -> &[VmId] {
        &self.ranked[..self.owners.min(self.ranked.len())]
    }

    /// Entries in the order in which `request` tries them: its owner first, then the other owners,
    /// then the entries that become owners when those fail.
    pub fn order_for(&self, request: RequestId) -> impl Iterator<Item = &VmId> {
        let owners = self.owners();
        let hash = xxh3_64_with_seed(&request.0.to_le_bytes(), self.seed);
        let start = (hash % owners.len().max(1) as u64) as usize;
        let (before, from) = owners.split_at(start.min(owners.len()));
        from.iter().chain(before).chain(&self.ranked[owners.len()..])
    }

    /// Assigns each replica to one owner by rendezvous hashing; no owner gets more than an equal
    /// share, rounded up.
    ///
    /// The result depends on the set of replicas and not on their order. It is empty if there are
    /// no entries.
    pub fn assign_replicas(&self, replicas: &[VmId]) -> Vec<ReplicaAssignment> {
        let owners = self.owners();
        if owners.is_empty() {
            return Vec::new();
        }
        let limit = replicas.len().div_ceil(owners.len());
        let mut counts: HashMap<&VmId, usize> = HashMap::new();
        let mut sorted: Vec<&VmId> = replicas.iter().collect();
        sorted.sort_unstable_by_key(|replica| (weight(self.seed, replica), *replica));
        sorted.dedup();
        let mut assignments = Vec::with_capacity(sorted.len());
        for replica in sorted {
            let open = owners.iter().filter(|owner| counts.get(owner).copied() < Some(limit));
            let seed = xxh3_64(replica.as_str().as_bytes());
            let owner = open.max_by_key(|owner| weight(seed, owner)).unwrap_or(&owners[0]);
            *counts.entry(owner).or_default() += 1;
            assignments.push(ReplicaAssignment { replica: replica.clone(), owner: owner.clone() });
        }
        assignments
    }
}

/// Owner that grants the credits of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaAssignment {
    /// VM of the replica.
    pub replica: VmId,
    /// VM of the owner.
    pub owner: VmId,
}

fn weight(seed: u64, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
