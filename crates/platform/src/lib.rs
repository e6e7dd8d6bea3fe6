//! The platform's Object API and VM list: the traits, an HTTP client and an in-memory store.

pub mod budget;
pub mod memory;
pub mod object;
pub mod vms;

pub use crate::{
    memory::{MemoryStore, StoreFault},
    object::{
        ObjectChange, ObjectKey, ObjectStore, ObjectVersion, StoreError, StoredObject,
        WriteCondition,
    },
    vms::{VmEntry, VmList, VmState},
};
