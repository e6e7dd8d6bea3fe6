//! The operators' two lists, of plans and of rights: parsing, validation, edits and distribution.

pub mod check;
pub mod effects;
pub mod entries;
pub mod image;
pub mod names;
pub mod plans;
pub mod rights;
pub mod section;
pub mod set;
pub mod spread;
pub mod store;

pub use crate::{
    check::check_lists,
    effects::{EditEffect, EffectKind, ValueChange, edit_effects},
    entries::{
        AvailabilityTarget, ClassObjective, HttpMethod, ObjectiveSet, ReplicaCount,
        RequestPriority, ServiceKind, SlotCount, WorkClass, YesNo,
    },
    image::{ImageDigest, ListDelta, ListImage},
    names::{NamePattern, NameSet},
    plans::CustomerEntry,
    rights::{AdapterEntry, ModelEntry, PlanEntry, ServiceEntry},
    section::{SectionKind, SectionName},
    set::{CallerRights, ListSet, RequestTarget},
    store::{LoadedLists, load_lists, read_lists},
};
