//! The entries that are live, and which of them plans.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;

/// An entry that is silent for this time counts as lost; it sends a beat each half second, and one
/// may be lost on the way.
pub const SILENCE: Duration = Duration::from_millis(1_700);
/// Entries that one beat tells of; those of the next beats follow. The store tells of all, so that
/// this only has to bridge its outages.
const TOLD_AT_ONCE: usize = 8;
/// A lost entry is still sent beats for this time, in case only the way was cut.
const REMEMBER: Duration = Duration::from_secs(30);

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPeer {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Incarnation of its process; zero before it was heard.
    pub incarnation: ProcessIncarnation,
    /// Share of a core that it has, in thousandths.
    pub core_share: u32,
    /// Whether a planned stop has begun there.
    pub is_draining: bool,
    heard: Option<Instant>,
    met: Instant,
}

impl EntryPeer {
    fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now.saturating_duration_since(heard) < SILENCE)
    }
}

/// The process that plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerIdentity {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Incarnation; a later one knows nothing of what an earlier one was told.
    pub incarnation: ProcessIncarnation,
}

/// A belief that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerNews {
    /// An entry is live.
    Found(VmId),
    /// An entry is silent or has stopped.
    Lost(VmId),
}

/// What an entry knows of the others.
#[derive(Debug)]
pub struct PeerBook {
    own: VmId,
    own_share: u32,
    is_draining: bool,
    entries: BTreeMap<VmId, EntryPeer>,
    live: Vec<VmId>,
    told: usize,
}

impl PeerBook {
    /// A book of the entry on `own` with this share of a core, in thousandths.
    pub fn new(own: VmId, own_share: u32) -> Self {
        Self {
            own,
            own_share,
            is_draining: false,
            entries: BTreeMap::new(),
            live: Vec::new(),
            told: 0,
        }
    }

    /// This entry stops; it does not plan any more.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether this entry stops.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Notes that an entry exists, as another process tells.
    pub fn meet(&mut self, vm: VmId, address: SocketAddr, now: Instant) {
        if vm == self.own {
            return;
        }
        let peer = EntryPeer {
            address,
            incarnation: ProcessIncarnation(0),
            core_share: 0,
            is_draining: false,
            heard: None,
            met: now,
        };
        self.entries.entry(vm).or_insert(peer);
    }

    /// Takes in a beat, and returns whether it is the first of its process.
    pub fn hear(
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
        let heard = Some(now);
        let peer = EntryPeer { address, incarnation, core_share, is_draining, heard, met: now };
        let before = self.entries.insert(vm, peer);
        before.is_none_or(|before| before.incarnation != incarnation)
    }

    /// Entries that were told of and have not been heard.
    pub fn unheard(&self) -> Vec<SocketAddr> {
        let unheard = self.entries.values().filter(|peer| peer.heard.is_none());
        unheard.map(|peer| peer.address).collect()
    }

    /// Compares who is live with what was told before, and forgets those lost for long.
    pub fn review(&mut self, now: Instant) -> Vec<PeerNews> {
        let live: Vec<VmId> = self
            .entries
            .iter()
            .filter(|(_, peer)| peer.is_live(now) && !peer.is_draining)
            .map(|(vm, _)| vm.clone())
            .collect();
        let found = live.iter().filter(|vm| !self.live.contains(vm)).cloned().map(PeerNews::Found);
        let lost = self.live.iter().filter(|vm| !live.contains(vm)).cloned().map(PeerNews::Lost);
        let news = found.chain(lost).collect();
        self.live = live;
        self.entries.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.met);
            now.saturating_duration_since(last) < REMEMBER
        });
        news
    }

    /// Entries that count as live, with this one.
    pub fn live_entries(&self) -> usize {
        self.live.len() + 1
    }

    /// Where beats go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|peer| peer.address).collect()
    }

    /// The entries that are live, with their addresses.
    pub fn live(&self) -> impl Iterator<Item = (&VmId, SocketAddr)> {
        self.live.iter().filter_map(|vm| Some((vm, self.entries.get(vm)?.address)))
    }

    /// The live entries that the next beat tells of.
    pub fn next_told(&mut self) -> Vec<(VmId, SocketAddr)> {
        let count = self.live.len();
        let indexes = (0..count.min(TOLD_AT_ONCE)).map(|offset| (self.told + offset) % count);
        let told = indexes.filter_map(|index| {
            let vm = &self.live[index];
            Some((vm.clone(), self.entries.get(vm)?.address))
        });
        let told = told.collect();
        self.told = (self.told + TOLD_AT_ONCE) % count.max(1);
        told
    }

    /// The live entry that plans, if it is not this one: the one with the most processor time.
    ///
    /// Two entries that both plan for a while waste loads and break nothing, because each side
    /// process decides for its engine.
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
