//! Where streams began: the service and the software version of the server that sent the first event.
//!
//! A caller may take a stream up again at any entry, and names only its first try. The stream may go
//! on only at the version that began it. Each origin is therefore kept by several processes, which
//! rank first for the stream, and an entry that does not know an origin asks those. If nobody knows
//! it, the versions that have served lately decide. Nothing here does I/O.

pub mod holders;
pub mod ledger;
pub mod versions;

pub use crate::{
    holders::rank_holders,
    ledger::{OriginLedger, StreamKey, StreamOrigin},
    versions::{UnknownOrigin, VersionHistory},
};

use base::prelude::Duration;

/// Time after which no caller takes a stream up any more. The longest time limit of callers in the
/// users' workload sheets is 30 s, and a stream may be taken up until that has passed.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(60);
