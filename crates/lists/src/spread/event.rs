//! What happens at a node of the spread, and what it is to do.

use base::prelude::*;
use object_api::vms::VmEntry;

use crate::{
    image::ListImage,
    set::ListSet,
    spread::{copy::EditStep, message::SpreadBody, status::StatusReport},
};

/// Who a node is.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Its VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
}

/// Lists read from the store.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// Edits that follow the version asked for; empty if there are none.
    Edits(Vec<EditStep>),
    /// The whole lists.
    Whole {
        /// Their version.
        version: ListVersion,
        /// Their sections.
        image: ListImage,
    },
}

/// What happened at a node.
#[derive(Debug, Clone)]
pub enum SpreadEvent {
    /// Time passed.
    Tick,
    /// A message arrived.
    Received {
        /// Its sender.
        from: VmId,
        /// Its contents.
        body: SpreadBody,
    },
    /// No connection to a peer could be made, or it ended.
    Disconnected {
        /// The peer.
        peer: VmId,
    },
    /// The VM list was read.
    VmsRead(Vec<VmEntry>),
    /// The head in the store names this version.
    HeadRead(ListVersion),
    /// The lists were read.
    ListsRead(StoreUpdate),
    /// The status of the zone could not be written.
    StatusWriteFailed,
}

/// What a node is to do.
#[derive(Debug, Clone)]
pub enum SpreadAction {
    /// Send a message.
    Send {
        /// Its receiver.
        to: VmId,
        /// Its contents.
        body: SpreadBody,
    },
    /// Start or stop watching the head in the store.
    WatchHead(bool),
    /// Read the head once and tell its version.
    ReadHead,
    /// Read the edits after a version, or the whole lists if it is zero.
    ReadLists {
        /// Version held.
        after: ListVersion,
    },
    /// Read the VM list.
    ReadVms,
    /// Use these lists from now on.
    Install(ListSet),
    /// Write the status of the zone.
    WriteStatus(StatusReport),
}
