//! The two lists in the Object API.
//!
//! `lists/head` names the version in force, the parts that hold both texts, and the record of the
//! edit that led to it. Parts and records are written before the head and never replaced, so that
//! the conditional update of the head accepts a whole edit or nothing.

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

/// The lists could not be read or written.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// A call to the store failed.
    #[snafu(display("{key}: {source}"))]
    StoreCall {
        /// Object of the call.
        key: ObjectKey,
        /// Why it failed.
        source: StoreError,
    },
    /// An object could not be decoded.
    #[snafu(display("{key} cannot be read: {reason}"))]
    BadObject {
        /// The object.
        key: ObjectKey,
        /// What was wrong.
        reason: String,
    },
    /// Parts kept vanishing while they were read, because edits followed each other closely.
    #[snafu(display("the lists changed too often while they were read"))]
    ConcurrentEdits,
    /// The lists in the store, or an edit of them, have faults.
    #[snafu(display("{source}"))]
    FaultyLists {
        /// The faults.
        source: FileFaults,
    },
}

impl ListError {
    /// Whether the store did not answer, as opposed to answering something unexpected.
    pub fn is_outage(&self) -> bool {
        matches!(self, ListError::StoreCall { source, .. } if *source != StoreError::ConditionFailed)
    }
}

/// Result of reading or writing the lists.
pub type Result<T, E = ListError> = std::result::Result<T, E>;
