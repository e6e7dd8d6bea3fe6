//! The object `placement/<model>` and its stored form.

use std::{collections::BTreeSet, fmt};

use base::prelude::*;
use bytes::Bytes;
use object_api::ObjectKey;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Prefix of the keys of all placement objects.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// Largest number of slots in one object; keeps it below the platform's limit of one megabyte.
pub const MAX_SLOTS: u32 = 4096;

/// Errors of reading a placement object.
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The body is not a placement object.
    #[snafu(display("the placement object cannot be read: {source}"))]
    BadBody {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The object is for another model than its name says.
    #[snafu(display("the placement object is for the model {found}"))]
    OtherModel {
        /// Model in the body.
        found: ModelId,
    },
    /// No owner writes such an object.
    #[snafu(display("the placement object has {reason}"))]
    Impossible {
        /// What is wrong.
        reason: String,
    },
}

/// Result with an [`ObjectError`].
pub type Result<T, E = ObjectError> = std::result::Result<T, E>;

/// A side process on a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotHolder {
    /// VM of the backend server.
    pub vm: VmId,
    /// Incarnation of the side process.
    pub process: ProcessIncarnation,
}

impl fmt::Display for SlotHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.process)
    }
}

/// Whether loads are permitted under a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// The holder may load and unload the model.
    Held,
    /// The holder has to unload; with the fencing number of the release.
    Releasing(FencingNumber),
}

/// Permission to load the model at one backend server, valid until it is released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementSlot {
    /// Side process that may load the model.
    pub holder: SlotHolder,
    /// Fencing number of the latest grant, release or change of holder.
    pub fence: FencingNumber,
    /// Whether loads are permitted.
    pub state: SlotState,
    /// Memory that the model takes at the backend server.
    pub memory: ByteSize,
    /// Number of earlier side processes on the VM whose load orders may still be in flight.
    pub unsettled: u32,
}

impl PlacementSlot {
    /// Number of earlier processes whose orders may still be in flight if `process` runs on the VM.
    pub fn unsettled_for(&self, process: ProcessIncarnation) -> u32 {
        self.unsettled + u32::from(self.holder.process != process)
    }

    /// Whether the holder may load the model.
    pub fn is_held(&self) -> bool {
        self.state == SlotState::Held
    }
}

/// Identifies the write that produced a version of the object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditTag {
    /// Process of the owner that wrote.
    pub writer: ProcessIncarnation,
    /// Number of the write, counted per writer from one.
    pub number: u64,
}

/// Decided count and slots of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementObject {
    /// Model that the object is for.
    pub model: ModelId,
    /// Number of replicas that the lists request.
    pub wanted: u32,
    /// Version of the lists that `wanted` comes from.
    pub list: ListVersion,
    /// Number of replicas allowed; falls to a lower `wanted` only as slots are freed.
    pub decided: u32,
    /// Highest fencing number issued so far.
    pub last_fence: FencingNumber,
    /// Slots, the oldest first; never more than `decided`.
    pub slots: Vec<PlacementSlot>,
    /// The latest write.
    pub edit: EditTag,
}

impl PlacementObject {
    /// Creates an object without replicas.
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

    /// Key of the object of `model`.
    pub fn key(model: &ModelId) -> ObjectKey {
        ObjectKey::new(format!("{PLACEMENT_PREFIX}{model}"))
    }

    /// Model of the object named `key`; `None` if the name is none of a placement object.
    pub fn model_of(key: &ObjectKey) -> Option<ModelId> {
        key.as_str().strip_prefix(PLACEMENT_PREFIX)?.parse().ok()
    }

    /// Decodes the stored form, which is JSON, of the object of `model`.
    ///
    /// # Errors
    ///
    /// [`ObjectError::BadBody`] if `body` is not a placement object, and other errors if no owner of
    /// `model` can have written it.
    pub fn decode(model: &ModelId, body: &[u8]) -> Result<Self> {
        let object: Self = serde_json::from_slice(body).context(BadBodySnafu)?;
        ensure!(object.model == *model, OtherModelSnafu { found: object.model });
        object.check_slots()?;
        Ok(object)
    }

    /// Checks what later edits rely on: numbers that can still be raised, and one slot for each VM.
    fn check_slots(&self) -> Result<()> {
        let count = self.slots.len();
        ensure!(count <= MAX_SLOTS as usize, ImpossibleSnafu { reason: format!("{count} slots") });
        let fence = self.last_fence;
        let reason = format!("the last fencing number {fence}");
        ensure!(fence.0 < u64::MAX, ImpossibleSnafu { reason });
        let mut vms = BTreeSet::new();
        for slot in &self.slots {
            let PlacementSlot { holder, fence, unsettled, .. } = slot;
            let reason = format!("the slot of {holder} with fencing number {fence}");
            ensure!(slot.fence <= self.last_fence, ImpossibleSnafu { reason });
            let reason = format!("the slot of {holder} with {unsettled} unsettled processes");
            ensure!(slot.unsettled < u32::MAX, ImpossibleSnafu { reason });
            let reason = format!("two slots of {}", holder.vm);
            ensure!(vms.insert(&holder.vm), ImpossibleSnafu { reason });
        }
        Ok(())
    }

    /// Encodes the stored form, which is JSON.
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
