//! Where a checkpoint can be loaded from, and which server is best to load it.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Where a backend server finds a checkpoint; nearer tiers come first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CacheTier {
    /// In the server's main memory.
    Memory,
    /// On the server's disk.
    Disk,
    /// In the weight store only.
    #[default]
    Remote,
}

impl fmt::Display for CacheTier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CacheTier::Memory => "memory",
            CacheTier::Disk => "disk",
            CacheTier::Remote => "remote",
        })
    }
}

/// A slot under which a model could be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadCandidate {
    /// The VM of the backend server.
    pub vm: VmId,
    /// The side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Where the server has the checkpoint.
    pub tier: CacheTier,
    /// Whether the memory is free without an eviction.
    pub has_free_memory: bool,
    /// Loads that the server is performing.
    pub loading: u32,
}

/// Order of preference: nearest cache, then free memory, then fewest loads, then the name.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank<'a> {
    tier: CacheTier,
    needs_eviction: bool,
    loading: u32,
    vm: &'a VmId,
}

impl LoadCandidate {
    fn rank(&self) -> CandidateRank<'_> {
        CandidateRank {
            tier: self.tier,
            needs_eviction: !self.has_free_memory,
            loading: self.loading,
            vm: &self.vm,
        }
    }
}

/// The best of `candidates`, if there is any.
pub fn pick_candidate<'a>(
    candidates: impl IntoIterator<Item = &'a LoadCandidate>,
) -> Option<&'a LoadCandidate> {
    candidates.into_iter().min_by(|a, b| a.rank().cmp(&b.rank()))
}
