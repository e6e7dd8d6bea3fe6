//! Messages between the nodes of the spread.

use prost::{Message, Oneof};

use crate::{
    image::{ListDelta, SectionChange},
    section::{Result, SectionName},
};

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct SpreadFrame {
    /// Its contents; absent in messages of an unknown kind.
    #[prost(oneof = "SpreadBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<SpreadBody>,
}

/// Contents of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum SpreadBody {
    /// Lower to upper: heartbeat and acknowledgement.
    #[prost(message, tag = "1")]
    Heartbeat(HeartbeatMessage),
    /// Upper to lower: what the upper node has.
    #[prost(message, tag = "2")]
    Offer(OfferMessage),
    /// Lower to upper: send what I lack.
    #[prost(message, tag = "3")]
    Pull(PullMessage),
    /// Upper to lower: edits that follow the lower node's version.
    #[prost(message, tag = "4")]
    Edits(EditsMessage),
    /// Upper to lower: one piece of a full copy.
    #[prost(message, tag = "5")]
    Copy(CopyMessage),
    /// Upper to lower: the entries of the zone.
    #[prost(message, tag = "6")]
    Roster(RosterMessage),
}

/// Heartbeat and acknowledgement of a node and of those below it.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// Life of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Version that the sender has.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Lowest version that the sender or a node below it has.
    #[prost(uint64, tag = "3")]
    pub acked: u64,
    /// Checksum of the sender's roster.
    #[prost(fixed64, tag = "4")]
    pub roster_digest: u64,
    /// Checksum of the set of the sender and the nodes below it.
    #[prost(fixed64, tag = "5")]
    pub members_digest: u64,
    /// That set, sent only if the upper node does not have it yet.
    #[prost(fixed64, repeated, tag = "6")]
    pub members: Vec<u64>,
    /// Some of the nodes below that lack the sender's version.
    #[prost(message, repeated, tag = "7")]
    pub lagging: Vec<LaggingMemberMessage>,
    /// Number of all such nodes.
    #[prost(uint32, tag = "8")]
    pub lagging_count: u32,
    /// Whether the sender only asks, and is not to be counted below the receiver.
    #[prost(bool, tag = "9")]
    pub is_query: bool,
}

/// A node that lacks a version.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LaggingMemberMessage {
    /// Hash of its name.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Version that it has.
    #[prost(uint64, tag = "2")]
    pub has: u64,
}

/// What an upper node has.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OfferMessage {
    /// Version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time since a relay was alive, as known to the sender, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_millis: u32,
    /// Checksum of the sender's roster.
    #[prost(fixed64, tag = "3")]
    pub roster_digest: u64,
    /// Checksum of the members that the receiver reported last.
    #[prost(fixed64, tag = "4")]
    pub members_digest: u64,
}

/// A request for what the sender lacks.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullMessage {
    /// Version that the sender has; zero asks for a full copy.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of its image.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Edits that follow each other without gaps.
#[derive(Clone, PartialEq, Message)]
pub struct EditsMessage {
    /// The edits, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<StepMessage>,
}

/// One edit.
#[derive(Clone, PartialEq, Message)]
pub struct StepMessage {
    /// Version to which the edit leads.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of that version's image.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Sections it changes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeMessage>,
}

/// One piece of a full copy.
#[derive(Clone, PartialEq, Message)]
pub struct CopyMessage {
    /// Version of the copy.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Checksum of its image.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Number of this piece, counted from zero.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of pieces.
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
    /// Its new text; absent if it was removed.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
}

/// The entries of a zone.
#[derive(Clone, PartialEq, Message)]
pub struct RosterMessage {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<RosterEntryMessage>,
}

/// One entry of a zone.
#[derive(Clone, PartialEq, Message)]
pub struct RosterEntryMessage {
    /// Name of its VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Address for its peers.
    #[prost(string, tag = "2")]
    pub address: String,
}

impl From<&SectionChange> for ChangeMessage {
    fn from(change: &SectionChange) -> Self {
        Self { name: change.name.to_string(), text: change.text.clone() }
    }
}

/// Encodes the changes of a delta.
pub fn encode_changes(delta: &ListDelta) -> Vec<ChangeMessage> {
    delta.changes.iter().map(ChangeMessage::from).collect()
}

/// Decodes changes.
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
