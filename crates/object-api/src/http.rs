//! The Object API and the VM list over HTTP: paths, JSON messages, reading of answers, and the
//! client.

mod answers;
mod client;
mod fault_log;
pub mod messages;
mod paths;

pub use self::{
    answers::{
        NOT_WRITTEN_HEADER, ReadAnswer, read_changes, read_failure, read_objects, read_version,
        read_vms,
    },
    client::{ClientSettings, PlatformClient},
    paths::{WatchQuery, key_of_path, list_path, object_path, watch_path},
};
