//! Storage of both lists in the Object API.
//!
//! The head `lists/head` names the current version, the parts that hold both texts, and the record
//! of the edit that created the version. Parts and records are written before the head and are
//! never overwritten, so that the conditional update of the head makes an edit atomic.

pub mod apply;
pub mod history;
pub mod objects;
pub mod read;
pub mod status;

use base::ini::FileFaults;
use object_api::{ObjectKey, StoreError};
use snafu::Snafu;

pub use self::{
    apply::{EditOrder, EditOutcome, apply_edit},
    history::{edit_record, edits_between},
    objects::{EditRecord, HeadObject, LaggingNode, ListTexts, StatusObject},
    read::{LoadedLists, load_lists, read_head, read_lists},
    status::{ZoneActivations, activation_times, read_statuses, write_status},
};

/// Reading or writing the lists failed.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// A call to the store failed.
    #[snafu(display("{key}: {source}"))]
    StoreCall {
        /// Object or prefix of the call.
        key: ObjectKey,
        /// Error of the store.
        source: StoreError,
    },
    /// An object could not be decoded.
    #[snafu(display("{key} cannot be read: {reason}"))]
    BadObject {
        /// Key of the object.
        key: ObjectKey,
        /// What is wrong with its contents.
        reason: String,
    },
    /// Concurrent edits removed parts during every attempt to read them.
    #[snafu(display("concurrent edits removed parts of the lists in every read attempt"))]
    ConcurrentEdits,
    /// The lists in the store, or an edit of them, have faults.
    #[snafu(display("{source}"))]
    FaultyLists {
        /// Faults with their files and lines.
        source: FileFaults,
    },
}

impl ListError {
    /// Whether a call to the store failed for another reason than its write condition.
    pub fn is_outage(&self) -> bool {
        matches!(self, ListError::StoreCall { source, .. } if *source != StoreError::ConditionFailed)
    }
}

/// Result of reading or writing the lists.
pub type Result<T, E = ListError> = std::result::Result<T, E>;
