//! The object `placement/<model>` as kept by the platform.

use std::fmt;

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectKey;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Prefix of the names of all placement objects.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// Slots that one object may hold, so that it stays within the platform's megabyte.
pub const MAX_SLOTS: u32 = 4096;

/// A placement object could not be read or written.
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The body is not a placement object.
    #[snafu(display("the placement object cannot be read: {source}"))]
    BadBody {
        /// What the decoder said.
        source: serde_json::Error,
    },
}

/// Result of reading a placement object.
pub type Result<T, E = ObjectError> = std::result::Result<T, E>;

/// A side process on a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotHolder {
    /// The VM of the backend server.
    pub vm: VmId,
    /// The life of the side process.
    pub process: ProcessIncarnation,
}

impl fmt::Display for SlotHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.process)
    }
}

/// Whether a slot may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// The holder may load and unload the model at will.
    Held,
    /// The holder has to unload; the fencing number is the one of the release.
    Releasing(FencingNumber),
}

/// A standing permission to load the model at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementSlot {
    /// Who holds it.
    pub holder: SlotHolder,
    /// Fencing number of the latest change.
    pub fence: FencingNumber,
    /// Whether it may be used.
    pub state: SlotState,
    /// Memory that the model takes.
    pub memory: ByteSize,
    /// Earlier side processes on the VM whose load orders may still be in flight.
    pub unsettled: u32,
}

impl PlacementSlot {
    /// Earlier processes whose orders may still be in flight when `process` starts on the VM.
    pub fn unsettled_for(&self, process: ProcessIncarnation) -> u32 {
        self.unsettled + u32::from(self.holder.process != process)
    }

    /// Whether the holder may load the model.
    pub fn is_held(&self) -> bool {
        self.state == SlotState::Held
    }
}

/// Who wrote an object, and which of the writer's edits it was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditTag {
    /// The writing process.
    pub writer: ProcessIncarnation,
    /// Number of the edit among the writer's.
    pub number: u64,
}

/// Decided count and slots of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementObject {
    /// The model.
    pub model: ModelId,
    /// Replicas asked for.
    pub wanted: u32,
    /// Version of the lists that the wanted count comes from.
    pub list: ListVersion,
    /// Replicas allowed; follows a lower wanted count as slots are freed.
    pub decided: u32,
    /// Highest fencing number given out.
    pub last_fence: FencingNumber,
    /// Standing permissions; never more than `decided`.
    pub slots: Vec<PlacementSlot>,
    /// The latest edit.
    pub edit: EditTag,
}

impl PlacementObject {
    /// An object without replicas.
    pub fn new(model: ModelId) -> Self {
        Self {
            model,
            wanted: 0,
            list: ListVersion::default(),
            decided: 0,
            last_fence: FencingNumber::default(),
            slots: Vec::new(),
            edit: EditTag::default(),
        }
    }

    /// Name of the object of `model`.
    pub fn key(model: &ModelId) -> ObjectKey {
        ObjectKey::new(format!("{PLACEMENT_PREFIX}{model}"))
    }

    /// Reads an object from its stored form.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).context(BadBodySnafu)
    }

    /// The stored form.
    pub fn encode(&self) -> Bytes {
        let body = serde_json::to_vec(self).expect("the object has only text keys");
        Bytes::from(body)
    }

    /// The slot on `vm`, if there is one.
    pub fn slot(&self, vm: &VmId) -> Option<&PlacementSlot> {
        self.slots.iter().find(|slot| slot.holder.vm == *vm)
    }

    /// Number of slots.
    pub fn slot_count(&self) -> u32 {
        self.slots.len() as u32
    }
}
