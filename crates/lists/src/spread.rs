//! Distribution of accepted lists from the store to every process.
//!
//! Two entries of each availability zone, its relays, watch the store. All other processes form a
//! tree below them, and each pulls missing versions from its parent. Heartbeats and offers carry
//! the version of their sender; acknowledgements travel up the tree on the same connections.

pub mod children;
pub mod copy;
pub mod driver;
pub mod event;
pub mod links;
pub mod message;
pub mod node;
pub mod parent;
pub mod roster;
pub mod start;
pub mod status;

use base::prelude::*;

pub use self::{
    copy::{CopyChecks, ListCopy},
    driver::{SpreadDriver, SpreadHandle, SpreadInput, SpreadLinks},
    event::{NodeIdentity, SpreadAction, SpreadEvent, StoreUpdate},
    links::{SharedLinks, WireLinks},
    message::{SpreadBody, SpreadFrame},
    node::SpreadNode,
    roster::{EntryRoster, NodeHash, RosterEntry},
    start::{SeedEntry, SpreadConfig, SpreadProcess},
    status::StatusReport,
};

/// Intervals, timeouts and limits of the distribution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Maximum number of entries that are children of one entry; the second relay and side
    /// processes are not counted.
    pub fan_out: usize,
    /// Time between two heartbeats to the parent.
    pub heartbeat_interval: Duration,
    /// Time without an answer or a heartbeat after which a parent or child counts as failed.
    pub heartbeat_timeout: Duration,
    /// Longest time since a relay was last known to be alive; after it, a node tries its next
    /// parent candidate.
    pub max_staleness: Duration,
    /// Time between two probes of the preferred parent while a substitute is in use.
    pub probe_interval: Duration,
    /// Shortest time between two reads of the VM list by a relay.
    pub vm_list_interval: Duration,
    /// Shortest time between two reads of the store by a node that no relay reaches.
    pub fallback_interval: Duration,
    /// Shortest time between two writes of the zone's status.
    pub status_interval: Duration,
    /// Time for which a starting node queries several nodes before it uses the newest copy among
    /// them; otherwise it could start with an older version than it had before its restart.
    pub startup_query_time: Duration,
    /// Nodes that a starting node queries.
    pub startup_queries: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            fan_out: 8,
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_timeout: Duration::from_millis(3_500),
            max_staleness: Duration::from_secs(5),
            probe_interval: Duration::from_secs(30),
            vm_list_interval: Duration::from_secs(5),
            fallback_interval: Duration::from_secs(10),
            status_interval: Duration::from_secs(2),
            startup_query_time: Duration::from_millis(1_500),
            startup_queries: 3,
        }
    }
}

/// Maximum number of children of one node; heartbeats of further ones get no offer, so that they
/// select another parent.
pub const MAX_CHILDREN: usize = 96;
/// Maximum average rate at which a relay reads the VM list, in bytes per second.
pub const VM_LIST_RATE: u64 = 6 << 10;
/// Estimated size of one VM in the VM list, in bytes.
pub const VM_ENTRY_BYTES: u64 = 150;
