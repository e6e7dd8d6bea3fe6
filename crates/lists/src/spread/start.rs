//! Settings of the distribution and start of its node in a process.

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc};

use base::{ini::SectionReader, prelude::*};
use object_api::{ObjectStore, VmList};
use snafu::{OptionExt, Snafu};
use tokio::sync::{mpsc, watch};
use wire::{FleetSecret, LinkOptions, PeerIdentity};

use crate::{
    set::ListSet,
    spread::{
        NodeIdentity, RosterEntry, SharedLinks, SpreadDriver, SpreadNode, SpreadSettings, WireLinks,
    },
};

/// Maximum number of received frames that wait for the node.
const FRAME_QUEUE: usize = 1_024;

/// A seed entry could not be parsed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{text:?} is not an entry such as entry-0=10.0.0.1:7000"))]
pub struct SeedError {
    text: String,
}

/// An entry from the settings that a starting process may contact, such as
/// `entry-0=10.0.0.1:7000`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedEntry {
    /// VM of the entry.
    pub vm: VmId,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

impl fmt::Display for SeedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.vm, self.address)
    }
}

impl FromStr for SeedEntry {
    type Err = SeedError;

    fn from_str(text: &str) -> Result<Self, SeedError> {
        let (vm, address) = text.split_once('=').context(SeedSnafu { text })?;
        let vm = VmId::new(vm).ok().context(SeedSnafu { text })?;
        let address = address.parse().ok().context(SeedSnafu { text })?;
        Ok(Self { vm, address })
    }
}

/// The `[spread]` section of the settings, which entries and side processes share.
#[derive(Debug, Clone, Default)]
pub struct SpreadConfig {
    /// Intervals, timeouts and limits; the section sets only fan-out and heartbeat interval.
    pub settings: SpreadSettings,
    /// Entries of the process's own zone to contact until the node gets the zone's entries from the
    /// VM list or a peer.
    pub seeds: Vec<SeedEntry>,
}

impl SpreadConfig {
    /// Reads the section; every key is optional.
    pub fn read(section: &mut SectionReader<'_>) -> Self {
        let span = "a time such as 250ms, 13s or 10min";
        let default = SpreadSettings::default();
        let fan_out = section.optional("fan-out", "a count", default.fan_out).max(1);
        let interval = section.optional("beat", span, TimeSpan(default.heartbeat_interval));
        let seeds = section.values("seeds", "entries such as entry-0=10.0.0.1:7000");
        let settings = SpreadSettings { fan_out, heartbeat_interval: interval.0, ..default };
        Self { settings, seeds }
    }
}

/// A distribution node that runs in this process.
#[derive(Debug, Clone)]
pub struct SpreadProcess {
    /// Takes frames from peers that dialled this process.
    pub links: Arc<WireLinks>,
    /// Lists in use by this process; `None` until the node is ready.
    pub lists: watch::Receiver<Option<ListSet>>,
}

impl SpreadProcess {
    /// Starts the node of the process `identity` on the current Tokio runtime.
    pub fn start(
        identity: PeerIdentity,
        secret: FleetSecret,
        config: &SpreadConfig,
        store: Arc<dyn ObjectStore>,
        vms: Arc<dyn VmList>,
    ) -> Self {
        let node = NodeIdentity {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            incarnation: identity.incarnation,
        };
        let seeds = config.seeds.iter();
        let seeds = seeds.map(|seed| RosterEntry { vm: seed.vm.clone(), address: seed.address });
        let node = SpreadNode::new(node, config.settings, seeds.collect(), Instant::now());
        let (sender, frames) = mpsc::channel(FRAME_QUEUE);
        let links = WireLinks::new(secret, identity, LinkOptions::default(), sender);
        let shared = Arc::new(SharedLinks(Arc::clone(&links)));
        let (driver, lists) = SpreadDriver::new(node, shared, store, vms, frames);
        tokio::spawn(driver.run());
        Self { links, lists }
    }
}
