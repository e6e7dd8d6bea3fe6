//! The table of entries: which are live, and which one runs the planner.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry counts as lost when no heartbeat has arrived for this time. Heartbeats are sent every
/// 500 ms, and one may be lost on the way.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Largest number of other entries named in one heartbeat; the following heartbeats name the rest
/// in turn. The store lists all entries, so this only has to bridge its outages.
const MAX_ANNOUNCED: usize = 8;
/// Time for which a lost entry is still sent heartbeats, in case only the network path failed.
const LOST_ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// What this entry knows about another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPeer {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Incarnation of its process; zero before its first heartbeat.
    pub incarnation: ProcessIncarnation,
    /// Its share of a core, in thousandths; zero before its first heartbeat.
    pub core_share: u32,
    /// Whether the entry is draining after a planned stop began.
    pub is_draining: bool,
    last_heartbeat: Option<Instant>,
    added: Instant,
}

impl EntryPeer {
    fn is_live(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|received| now.saturating_duration_since(received) < HEARTBEAT_TIMEOUT)
    }
}

/// The entry process that runs the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerIdentity {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Incarnation of the process. A new incarnation has none of the reports that were sent to
    /// the one before.
    pub incarnation: ProcessIncarnation,
}

/// A change in the set of live entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The entry has become live.
    Found(VmId),
    /// No heartbeat arrives from the entry any more, or it drains.
    Lost(VmId),
}

/// What an entry knows of the other entries.
#[derive(Debug)]
pub struct PeerTable {
    own: VmId,
    own_share: u32,
    is_draining: bool,
    entries: BTreeMap<VmId, EntryPeer>,
    live: Vec<VmId>,
    next_announced: usize,
}

impl PeerTable {
    /// Creates an empty table for the entry on `own` with `own_share` thousandths of a core; zero while
    /// it cannot plan.
    pub fn new(own: VmId, own_share: u32) -> Self {
        Self {
            own,
            own_share,
            is_draining: false,
            entries: BTreeMap::new(),
            live: Vec::new(),
            next_announced: 0,
        }
    }

    /// Sets the thousandths of a core of this entry; zero while it cannot plan.
    pub fn set_own_share(&mut self, share: u32) {
        self.own_share = share;
    }

    /// The thousandths of a core of this entry; zero while it cannot plan.
    pub fn own_share(&self) -> u32 {
        self.own_share
    }

    /// Marks this entry as draining; it no longer counts as the planner.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether this entry is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Adds an entry that another process or the store named. An entry already in the table
    /// stays as it is.
    pub fn add_peer(&mut self, vm: VmId, address: SocketAddr, now: Instant) {
        if vm == self.own {
            return;
        }
        let peer = EntryPeer {
            address,
            incarnation: ProcessIncarnation(0),
            core_share: 0,
            is_draining: false,
            last_heartbeat: None,
            added: now,
        };
        self.entries.entry(vm).or_insert(peer);
    }

    /// Records a heartbeat, and returns whether it is the first of its incarnation.
    pub fn record_heartbeat(
        &mut self,
        vm: VmId,
        address: SocketAddr,
        incarnation: ProcessIncarnation,
        core_share: u32,
        is_draining: bool,
        now: Instant,
    ) -> bool {
        if vm == self.own {
            return false;
        }
        let last_heartbeat = Some(now);
        let peer =
            EntryPeer { address, incarnation, core_share, is_draining, last_heartbeat, added: now };
        let before = self.entries.insert(vm, peer);
        before.is_none_or(|before| before.incarnation != incarnation)
    }

    /// Addresses of the entries that are known but have not sent a heartbeat yet.
    pub fn without_heartbeat(&self) -> Vec<SocketAddr> {
        let pending = self.entries.values().filter(|peer| peer.last_heartbeat.is_none());
        pending.map(|peer| peer.address).collect()
    }

    /// Updates the set of live entries and returns what changed since the last call. Removes
    /// entries without a heartbeat for `LOST_ENTRY_RETENTION`, counted from their addition if none
    /// ever arrived.
    pub fn update_live(&mut self, now: Instant) -> Vec<PeerUpdate> {
        let live: Vec<VmId> = self
            .entries
            .iter()
            .filter(|(_, peer)| peer.is_live(now) && !peer.is_draining)
            .map(|(vm, _)| vm.clone())
            .collect();
        let found =
            live.iter().filter(|vm| !self.live.contains(vm)).cloned().map(PeerUpdate::Found);
        let lost = self.live.iter().filter(|vm| !live.contains(vm)).cloned().map(PeerUpdate::Lost);
        let updates = found.chain(lost).collect();
        self.live = live;
        self.entries.retain(|_, peer| {
            let last = peer.last_heartbeat.unwrap_or(peer.added);
            now.saturating_duration_since(last) < LOST_ENTRY_RETENTION
        });
        updates
    }

    /// Number of live entries, this one included.
    pub fn live_count(&self) -> usize {
        self.live.len() + 1
    }

    /// Number of entries that sent a heartbeat within `span`, and of those that are known and do not
    /// drain, this one included in both.
    pub fn heard_within(&self, span: Duration, now: Instant) -> (usize, usize) {
        let known = self.entries.values().filter(|peer| !peer.is_draining);
        known.fold((1, 1), |(heard, known), peer| {
            let is_heard = peer
                .last_heartbeat
                .is_some_and(|received| now.saturating_duration_since(received) < span);
            (heard + usize::from(is_heard), known + 1)
        })
    }

    /// Whether an earlier incarnation of the entry on `vm` has sent a heartbeat.
    pub fn has_sent_heartbeat(&self, vm: &VmId) -> bool {
        self.entries.get(vm).is_some_and(|peer| peer.last_heartbeat.is_some())
    }

    /// Whether the entry on `vm` has sent a heartbeat and is not among the live ones.
    pub fn is_lost(&self, vm: &VmId) -> bool {
        self.has_sent_heartbeat(vm) && !self.live.contains(vm)
    }

    /// Whether the entry on `vm` is known to drain.
    pub fn is_peer_draining(&self, vm: &VmId) -> bool {
        self.entries.get(vm).is_some_and(|peer| peer.is_draining)
    }

    /// Addresses that heartbeats are sent to: those of all entries in the table, live or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|peer| peer.address).collect()
    }

    /// The other live entries with their addresses.
    pub fn live(&self) -> impl Iterator<Item = (&VmId, SocketAddr)> {
        self.live.iter().filter_map(|vm| Some((vm, self.entries.get(vm)?.address)))
    }

    /// The `count` entries that rank first for `key` by rendezvous hashing, among the live ones and
    /// this one; none stands for this one. Entries with the same live entries rank alike.
    pub fn ranked_for(&self, key: u64, count: usize) -> Vec<Option<SocketAddr>> {
        let others = self.live().map(|(vm, address)| (vm, Some(address)));
        self.rank(others.chain([(&self.own, None)]), key, count)
    }

    /// The same without this entry once it drains, unless it is the only live one.
    pub fn ranked_to_stay(&self, key: u64, count: usize) -> Vec<Option<SocketAddr>> {
        let others = self.live().map(|(vm, address)| (vm, Some(address)));
        let has_left = self.is_draining && !self.live.is_empty();
        self.rank(others.chain((!has_left).then_some((&self.own, None))), key, count)
    }

    fn rank<'a>(
        &self,
        entries: impl Iterator<Item = (&'a VmId, Option<SocketAddr>)>,
        key: u64,
        count: usize,
    ) -> Vec<Option<SocketAddr>> {
        let mut ranking: Vec<(u64, &VmId, Option<SocketAddr>)> = entries
            .map(|(vm, address)| (xxh3_64_with_seed(vm.as_str().as_bytes(), key), vm, address))
            .collect();
        ranking.sort_unstable();
        ranking.into_iter().rev().take(count).map(|(_, _, address)| address).collect()
    }

    /// The live entries to name in the next heartbeat, at most eight; calls go through all of
    /// them in turn.
    pub fn next_announced(&mut self) -> Vec<(VmId, SocketAddr)> {
        let count = self.live.len();
        let indexes =
            (0..count.min(MAX_ANNOUNCED)).map(|offset| (self.next_announced + offset) % count);
        let announced = indexes.filter_map(|index| {
            let vm = &self.live[index];
            Some((vm.clone(), self.entries.get(vm)?.address))
        });
        let announced = announced.collect();
        self.next_announced = (self.next_announced + MAX_ANNOUNCED) % count.max(1);
        announced
    }

    /// The entry that runs the planner: the live one with the largest share of a core, and among
    /// equals the one whose VM name sorts last. None if it is this entry, or if this entry drains
    /// and no other one is live.
    ///
    /// Two entries may both plan for a while. That can waste loads but does no other harm, because
    /// each side process decides for its engine.
    pub fn planner(&self) -> Option<PlannerIdentity> {
        let own = (self.own_share, &self.own);
        let others = self.live.iter().filter_map(|vm| {
            let peer = self.entries.get(vm)?;
            Some(((peer.core_share, vm), peer))
        });
        let (best, peer) = others.max_by(|(a, _), (b, _)| a.cmp(b))?;
        let identity = PlannerIdentity { address: peer.address, incarnation: peer.incarnation };
        (self.is_draining || best > own).then_some(identity)
    }
}
