//! Placement of models: the number of replicas of each model and the slots that permit loads.
//!
//! The object `placement/<model>` holds the decided number of replicas and the slots. A slot
//! permits one side process to load the model, until it is released. Slots change only by
//! conditional updates. A slot is freed only when its holder has confirmed that the engine has
//! unloaded the model, or when the VM list no longer has the VM.

pub mod checks;
pub mod driver;
pub mod edit;
pub mod naive;
pub mod object;
pub mod owner;

pub use crate::{
    checks::PlacementChecks,
    edit::{EditOutcome, EditRefusal, PlacementEdit},
    naive::NaivePlacement,
    object::{EditTag, PlacementObject, PlacementSlot, SlotHolder, SlotState},
    owner::{OwnerAction, OwnerEvent, OwnerReport, PlacementOwner},
};
