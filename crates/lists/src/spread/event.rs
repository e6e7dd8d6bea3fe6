//! Events and actions of a distribution node.

use base::prelude::*;
use object_api::vms::VmEntry;

use crate::{
    image::ListImage,
    set::ListSet,
    spread::{copy::EditStep, message::SpreadBody, status::StatusReport},
};

/// Identity of a node.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Incarnation of the process; a restart gets a new one.
    pub incarnation: ProcessIncarnation,
}

/// Newer lists read from the store.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// Edits after the requested version, oldest first; empty if there are none.
    Edits(Vec<EditStep>),
    /// The complete lists.
    Whole {
        /// Version of the lists.
        version: ListVersion,
        /// Sections of the lists.
        image: ListImage,
    },
}

/// An input of a node.
#[derive(Debug, Clone)]
pub enum SpreadEvent {
    /// Periodic check of the timers.
    Tick,
    /// A message was received.
    Received {
        /// Peer that sent the message.
        from: VmId,
        /// Contents of the message.
        body: SpreadBody,
    },
    /// Connecting to a peer failed, or its connection ended.
    Disconnected {
        /// Peer of the connection.
        peer: VmId,
    },
    /// The VM list was read; holds the VMs of all zones.
    VmsRead(Vec<VmEntry>),
    /// The head in the store was read; holds its version, zero without a head.
    HeadRead(ListVersion),
    /// Lists were read from the store.
    ListsRead(StoreUpdate),
    /// Writing the zone's status failed.
    StatusWriteFailed,
}

/// An action that the driver runs for a node.
#[derive(Debug, Clone)]
pub enum SpreadAction {
    /// Send a message to a peer.
    Send {
        /// Peer that receives the message.
        to: VmId,
        /// Contents of the message.
        body: SpreadBody,
    },
    /// Start (`true`) or stop (`false`) watching the head in the store.
    WatchHead(bool),
    /// Read the head once and report its version as [`SpreadEvent::HeadRead`].
    ReadHead,
    /// Read the edits after a version, or the complete lists if it is zero.
    ReadLists {
        /// Version that the node has.
        after: ListVersion,
    },
    /// Read the VM list and report it as [`SpreadEvent::VmsRead`].
    ReadVms,
    /// Publish these lists to the process.
    Install(ListSet),
    /// Write the status of the zone to the store.
    WriteStatus(StatusReport),
}
