//! Replica counts and slots: who may hold a model, and how slots move.
//!
//! The object `placement/<model>` holds the decided number of replicas and the slots. A slot
//! is a standing permission of one side process to load the model. Slots change only by
//! conditional updates, and a slot is freed only when its holder confirmed that the engine
//! has unloaded, or when the VM list no longer has the VM.

pub mod driver;
pub mod edit;
pub mod guards;
pub mod naive;
pub mod object;
pub mod owner;

pub use crate::{
    edit::{EditOutcome, EditRefusal, PlacementEdit},
    guards::PlacementGuards,
    naive::NaivePlacement,
    object::{EditTag, PlacementObject, PlacementSlot, SlotHolder, SlotState},
    owner::{OwnerAction, OwnerEvent, OwnerReport, PlacementOwner},
};
