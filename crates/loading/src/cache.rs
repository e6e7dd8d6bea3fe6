//! Where a checkpoint is cached, and the choice of the backend server that loads it.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Storage tier from which a backend server loads a checkpoint; faster tiers order first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CacheTier {
    /// Cached in the server's main memory.
    Memory,
    /// Cached on the server's disk.
    Disk,
    /// Not cached: read from the weight store.
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
    /// Side process that holds the slot.
    pub holder: ProcessIncarnation,
    /// Fencing number of the slot.
    pub fence: FencingNumber,
    /// Fastest tier in which the server has the checkpoint.
    pub tier: CacheTier,
    /// Whether the model fits into free memory, without an eviction.
    pub has_free_memory: bool,
    /// Number of loads that the server is performing.
    pub loads_in_progress: u32,
}

/// Sort key of a candidate: fastest tier, then free memory, then fewest loads, then VM id.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank<'a> {
    tier: CacheTier,
    needs_eviction: bool,
    loads_in_progress: u32,
    vm: &'a VmId,
}

impl LoadCandidate {
    fn rank(&self) -> CandidateRank<'_> {
        CandidateRank {
            tier: self.tier,
            needs_eviction: !self.has_free_memory,
            loads_in_progress: self.loads_in_progress,
            vm: &self.vm,
        }
    }
}

/// The preferred candidate: fastest tier, then free memory, then fewest loads in progress, then
/// lowest VM id. `None` if there are no candidates.
pub fn pick_candidate<'a>(
    candidates: impl IntoIterator<Item = &'a LoadCandidate>,
) -> Option<&'a LoadCandidate> {
    candidates.into_iter().min_by(|a, b| a.rank().cmp(&b.rank()))
}
