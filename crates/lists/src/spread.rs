//! Spreading of accepted lists from the store to every process.
//!
//! Two entries of each availability zone, its relays, watch the store. All other processes hang
//! below them in a tree and pull from their upper node whatever they lack. Every message carries
//! the version that its sender has. Acknowledgements travel up the same connections.

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

/// Intervals and limits of the spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Entries that pull from one entry.
    pub fan_out: usize,
    /// Time between two heartbeats to the upper node.
    pub heartbeat_interval: Duration,
    /// Silence after which an upper or lower node counts as lost.
    pub heartbeat_timeout: Duration,
    /// Age of the news from a relay after which another upper node is tried.
    pub max_staleness: Duration,
    /// Time after which a node returns from a substitute to its proper upper node.
    pub failback_delay: Duration,
    /// Shortest time between two reads of the VM list by a relay.
    pub vm_list_interval: Duration,
    /// Shortest time between two reads of the store by a node that hears from no relay.
    pub fallback_interval: Duration,
    /// Shortest time between two writes of a zone's status.
    pub status_interval: Duration,
    /// Time for which a starting node asks several nodes before it trusts the newest copy.
    pub startup_query_time: Duration,
    /// Nodes that a starting node asks.
    pub startup_queries: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            fan_out: 8,
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_timeout: Duration::from_millis(3_500),
            max_staleness: Duration::from_secs(5),
            failback_delay: Duration::from_secs(30),
            vm_list_interval: Duration::from_secs(5),
            fallback_interval: Duration::from_secs(10),
            status_interval: Duration::from_secs(2),
            startup_query_time: Duration::from_millis(1_500),
            startup_queries: 3,
        }
    }
}

/// Lower nodes that one node serves; more are sent elsewhere.
pub const MAX_CHILDREN: usize = 96;
/// Bytes of the VM list that a relay reads each second on average.
pub const VM_LIST_RATE: u64 = 6 << 10;
/// Bytes that one VM takes in the VM list.
pub const VM_ENTRY_BYTES: u64 = 150;
