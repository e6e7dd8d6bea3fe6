//! The entries of a zone, their ranks and the positions of nodes in the distribution tree.

use std::{collections::HashMap, fmt, net::SocketAddr};

use base::prelude::*;
use object_api::vms::{VmEntry, VmRole, VmState};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::spread::message::{RosterEntryMessage, RosterMessage};

/// Entries of each zone that watch the store.
pub const RELAYS_PER_ZONE: usize = 2;

/// Hash of a node's name; keeps the sets of nodes in heartbeats small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeHash(pub u64);

impl NodeHash {
    /// Hashes the name of `vm`.
    pub fn of(vm: &VmId) -> Self {
        Self(xxh3_64(vm.as_str().as_bytes()))
    }
}

impl fmt::Display for NodeHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An entry that can be a parent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// VM of the entry.
    pub vm: VmId,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

/// The live entries of one zone by rank; the first [`RELAYS_PER_ZONE`] are its relays.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryRoster {
    ranked: Vec<RosterEntry>,
    ranks: HashMap<VmId, usize>,
    digest: u64,
}

impl EntryRoster {
    /// Ranks `entries` of `zone` by rendezvous hashing.
    pub fn new(zone: &ZoneName, mut entries: Vec<RosterEntry>) -> Self {
        let seed = xxh3_64(zone.as_str().as_bytes());
        entries.sort_by_cached_key(|entry| {
            (xxh3_64_with_seed(entry.vm.as_str().as_bytes(), seed), entry.vm.clone())
        });
        entries.dedup_by(|a, b| a.vm == b.vm);
        let ranks = entries.iter().enumerate().map(|(rank, e)| (e.vm.clone(), rank)).collect();
        let digest = entries.iter().map(entry_digest).fold(0, u64::wrapping_add);
        Self { ranked: entries, ranks, digest }
    }

    /// Creates the roster of `zone` from the live entries in the VM list.
    pub fn from_vms(zone: &ZoneName, vms: &[VmEntry]) -> Self {
        let in_zone = vms.iter().filter(|vm| vm.zone == *zone);
        let live = in_zone.filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live);
        let entries = live.map(|vm| RosterEntry { vm: vm.id.clone(), address: vm.address });
        Self::new(zone, entries.collect())
    }

    /// Checksum of the names and addresses of the entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// The entries that watch the store.
    pub fn relays(&self) -> &[RosterEntry] {
        &self.ranked[..self.ranked.len().min(RELAYS_PER_ZONE)]
    }

    /// Rank of `vm`, if it is an entry of the zone.
    pub fn rank(&self, vm: &VmId) -> Option<usize> {
        self.ranks.get(vm).copied()
    }

    /// Address of `vm`, if it is an entry of the zone.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.rank(vm).map(|rank| self.ranked[rank].address)
    }

    /// Candidates for the parent of `vm`, in the order in which they are tried: its preferred
    /// parent, the parent's ancestors and the relays. The first relay has none.
    pub fn parent_candidates(&self, vm: &VmId, fan_out: usize) -> Vec<VmId> {
        let mut parents = Vec::new();
        let mut next = match self.rank(vm) {
            Some(rank) => parent_rank(rank, fan_out),
            None => self.rendezvous_rank(vm),
        };
        while let Some(rank) = next {
            parents.push(self.ranked[rank].vm.clone());
            next = parent_rank(rank, fan_out);
        }
        let is_root = self.rank(vm) == Some(0);
        for relay in self.relays().iter().filter(|_| !is_root) {
            if relay.vm != *vm && !parents.contains(&relay.vm) {
                parents.push(relay.vm.clone());
            }
        }
        parents
    }

    /// The roster as a message.
    pub fn to_message(&self) -> RosterMessage {
        let entries = self.ranked.iter().map(|entry| RosterEntryMessage {
            vm: entry.vm.to_string(),
            address: entry.address.to_string(),
        });
        RosterMessage { entries: entries.collect() }
    }

    /// Decodes a message, skipping malformed entries.
    pub fn from_message(zone: &ZoneName, message: &RosterMessage) -> Self {
        let entries = message.entries.iter().filter_map(|entry| {
            let vm = VmId::new(entry.vm.as_str()).ok()?;
            Some(RosterEntry { vm, address: entry.address.parse().ok()? })
        });
        Self::new(zone, entries.collect())
    }

    /// Rank of the preferred parent of a node that is not an entry; `None` without entries.
    fn rendezvous_rank(&self, vm: &VmId) -> Option<usize> {
        let seed = NodeHash::of(vm).0;
        let score = |entry: &RosterEntry| xxh3_64_with_seed(entry.vm.as_str().as_bytes(), seed);
        (0..self.ranked.len()).max_by_key(|rank| score(&self.ranked[*rank]))
    }
}

/// Rank of the parent of an entry: the second relay is a child of the first, the other entries form
/// a tree below both relays with `fan_out` children per entry.
fn parent_rank(rank: usize, fan_out: usize) -> Option<usize> {
    match rank {
        0 => None,
        1 => Some(0),
        _ => Some((rank - RELAYS_PER_ZONE) / fan_out.max(1)),
    }
}

fn entry_digest(entry: &RosterEntry) -> u64 {
    xxh3_64(format!("{} {}", entry.vm, entry.address).as_bytes())
}
