//! The platform's Object API and VM list: the traits, an HTTP client and an in-memory store.

pub mod http;
pub mod memory;
pub mod object;
pub mod rate_limit;
pub mod vms;

pub use crate::{
    http::{ClientSettings, PlatformClient},
    memory::{MemoryStore, StoreFault},
    object::{
        ObjectChange, ObjectKey, ObjectList, ObjectStore, ObjectVersion, StoreError, StoredObject,
        WriteCondition,
    },
    vms::{VmEntry, VmList, VmListing, VmState},
};
