//! Protobuf messages between distribution nodes.

use prost::{Message, Oneof};

use crate::{
    image::{ListDelta, SectionChange},
    section::{Result, SectionName},
};

/// The envelope of one message.
#[derive(Clone, PartialEq, Message)]
pub struct SpreadFrame {
    /// Contents; `None` in messages of an unknown kind.
    #[prost(oneof = "SpreadBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<SpreadBody>,
}

/// Contents of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum SpreadBody {
    /// Child to parent: heartbeat and acknowledgement.
    #[prost(message, tag = "1")]
    Heartbeat(HeartbeatMessage),
    /// Parent to child: the version that the parent has.
    #[prost(message, tag = "2")]
    Offer(OfferMessage),
    /// Child to parent: request for newer lists.
    #[prost(message, tag = "3")]
    Pull(PullMessage),
    /// Parent to child: edits that follow the child's version.
    #[prost(message, tag = "4")]
    Edits(EditsMessage),
    /// Parent to child: one piece of a full copy.
    #[prost(message, tag = "5")]
    Copy(CopyMessage),
    /// Parent to child: the entries of the zone.
    #[prost(message, tag = "6")]
    Roster(RosterMessage),
}

/// Heartbeat of a node, with the acknowledgements of its subtree.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// Incarnation of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Version that the sender has.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Lowest version among the sender and the nodes below it.
    #[prost(uint64, tag = "3")]
    pub acked: u64,
    /// Checksum of the sender's roster.
    #[prost(fixed64, tag = "4")]
    pub roster_digest: u64,
    /// Checksum over the name hashes of the sender and the nodes below it.
    #[prost(fixed64, tag = "5")]
    pub members_digest: u64,
    /// Those hashes; empty if the receiver already has them.
    #[prost(fixed64, repeated, tag = "6")]
    pub members: Vec<u64>,
    /// Some of the nodes below the sender with older versions than the sender.
    #[prost(message, repeated, tag = "7")]
    pub lagging: Vec<LaggingMemberMessage>,
    /// Number of all such nodes.
    #[prost(uint32, tag = "8")]
    pub lagging_count: u32,
    /// Whether this only requests an offer and does not make the sender a child of the receiver.
    #[prost(bool, tag = "9")]
    pub is_query: bool,
}

/// A node with an older version than the sender of the heartbeat.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LaggingMemberMessage {
    /// Hash of the node's name.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Version that the node has.
    #[prost(uint64, tag = "2")]
    pub has: u64,
}

/// Answer to a heartbeat, and announcement of a new version.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OfferMessage {
    /// Version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time since a relay was last known to the sender to be alive, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_millis: u32,
    /// Checksum of the sender's roster.
    #[prost(fixed64, tag = "3")]
    pub roster_digest: u64,
    /// Checksum of the members that the receiver reported last.
    #[prost(fixed64, tag = "4")]
    pub members_digest: u64,
}

/// Request for newer lists.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullMessage {
    /// Version that the sender has; zero requests a full copy.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of the sender's image.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Consecutive edits, sent to a node whose copy of the lists is older.
#[derive(Clone, PartialEq, Message)]
pub struct EditsMessage {
    /// The edits, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<StepMessage>,
}

/// One edit, as the sections that differ from the version before it.
#[derive(Clone, PartialEq, Message)]
pub struct StepMessage {
    /// Version after the edit.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of the image after the edit.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Sections that the edit changes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeMessage>,
}

/// One piece of a full copy.
#[derive(Clone, PartialEq, Message)]
pub struct CopyMessage {
    /// Version of the copy.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of the complete image.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Index of this piece, from zero.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of pieces of the copy.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Sections of this piece.
    #[prost(message, repeated, tag = "5")]
    pub changes: Vec<ChangeMessage>,
}

/// One changed section.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeMessage {
    /// Kind and name of the section.
    #[prost(string, tag = "1")]
    pub name: String,
    /// New text; `None` if the section was removed.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
}

/// The live entries of a zone.
#[derive(Clone, PartialEq, Message)]
pub struct RosterMessage {
    /// The entries, by rank.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<RosterEntryMessage>,
}

/// One entry of a zone.
#[derive(Clone, PartialEq, Message)]
pub struct RosterEntryMessage {
    /// VM of the entry.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Address at which peers reach the entry, as `IP:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

impl From<&SectionChange> for ChangeMessage {
    fn from(change: &SectionChange) -> Self {
        Self { name: change.name.to_string(), text: change.text.clone() }
    }
}

/// Encodes the changes of `delta`.
pub fn encode_changes(delta: &ListDelta) -> Vec<ChangeMessage> {
    delta.changes.iter().map(ChangeMessage::from).collect()
}

/// Decodes the changes of a message.
///
/// # Errors
///
/// Fails on the first malformed section name.
pub fn decode_changes(changes: Vec<ChangeMessage>) -> Result<ListDelta> {
    let mut decoded = Vec::with_capacity(changes.len());
    for change in changes {
        let name: SectionName = change.name.parse()?;
        decoded.push(SectionChange { name, text: change.text });
    }
    Ok(ListDelta { changes: decoded })
}
