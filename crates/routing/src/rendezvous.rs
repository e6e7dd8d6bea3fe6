//! Owners of models and services by rendezvous hashing (highest random weight).
//!
//! Every process that knows the same entries computes the same owners without talking to others.
//! Processes with differing views may disagree for a while; the side process of each replica
//! decides on what it sees, so a disagreement costs time and breaks nothing.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What an owner decides for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnerKey {
    /// A model with its adapters.
    Model(ModelId),
    /// A plain service.
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

/// Number of owners that a model or service is split over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerCount(pub usize);

impl OwnerCount {
    /// The number of owners that keeps each at or below `per_owner` requests a second.
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

/// The live entries of a region in the order in which they own one model or service.
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

    /// Entries in the order in which `request` asks them: its owner first, then the other owners,
    /// then those that become owners when these are lost.
    pub fn order_for(&self, request: RequestId) -> impl Iterator<Item = &VmId> {
        let owners = self.owners();
        let hash = xxh3_64_with_seed(&request.0.to_le_bytes(), self.seed);
        let start = (hash % owners.len().max(1) as u64) as usize;
        let (before, from) = owners.split_at(start.min(owners.len()));
        from.iter().chain(before).chain(&self.ranked[owners.len()..])
    }

    /// Deals replicas out to the owners: each gets an equal part, by rendezvous as far as the
    /// equal parts allow.
    ///
    /// The result depends on the set of replicas and not on their order.
    pub fn deal(&self, replicas: &[VmId]) -> Vec<ReplicaDeal> {
        let owners = self.owners();
        if owners.is_empty() {
            return Vec::new();
        }
        let limit = replicas.len().div_ceil(owners.len());
        let mut counts: HashMap<&VmId, usize> = HashMap::new();
        let mut sorted: Vec<&VmId> = replicas.iter().collect();
        sorted.sort_unstable_by_key(|replica| (weight(self.seed, replica), *replica));
        sorted.dedup();
        let mut deals = Vec::with_capacity(sorted.len());
        for replica in sorted {
            let open = owners.iter().filter(|owner| counts.get(owner).copied() < Some(limit));
            let seed = xxh3_64(replica.as_str().as_bytes());
            let owner = open.max_by_key(|owner| weight(seed, owner)).unwrap_or(&owners[0]);
            *counts.entry(owner).or_default() += 1;
            deals.push(ReplicaDeal { replica: replica.clone(), owner: owner.clone() });
        }
        deals
    }
}

/// Which owner grants the credits of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaDeal {
    /// VM of the replica.
    pub replica: VmId,
    /// VM of the owner.
    pub owner: VmId,
}

fn weight(seed: u64, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
