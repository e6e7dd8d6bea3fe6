//! Buffers answers within the memory budget of the process. A backend server may send a body without
//! end; as many of them as the fleet has must not use up the VM's memory.

use base::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::{ResultExt, Snafu};

use crate::{
    memory::{ChargedBuffer, ProcessMemory},
    memory_budget::{GrowthDecision, MemoryPurpose},
};

/// Size limit of one answer.
const MAX_ANSWER: ByteSize = ByteSize::mib(8);

/// An answer cannot be buffered.
#[derive(Debug, Snafu)]
pub enum BufferError {
    /// The connection ended before the answer was complete.
    #[snafu(display("{source}"))]
    Broken {
        /// Why the connection ended.
        source: hyper::Error,
    },
    /// The answer is longer than one may be.
    #[snafu(display("the answer is longer than {limit}, the limit of one answer"))]
    TooLong {
        /// Size limit of one answer.
        limit: ByteSize,
    },
    /// Other bodies use the memory.
    #[snafu(display("other bodies use the memory of the process"))]
    NoMemory,
}

/// Result of buffering an answer.
pub type Result<T, E = BufferError> = std::result::Result<T, E>;

/// Reads an answer to its end. Its memory is charged to `memory` until the last copy is dropped.
///
/// # Errors
///
/// Fails if the connection ends before the answer does, or if the answer needs more memory than
/// there is.
pub async fn buffer(memory: &ProcessMemory, body: &mut Incoming) -> Result<Bytes> {
    let limit = usize::try_from(MAX_ANSWER.0).unwrap_or(usize::MAX);
    let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let charge = memory.open(MemoryPurpose::Answer);
    let mut buffer = ChargedBuffer::new(charge, announced.unwrap_or(limit).min(limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else { continue };
        if data.len() > limit - buffer.len() {
            return Err(BufferError::TooLong { limit: MAX_ANSWER });
        }
        if buffer.push(&data) == GrowthDecision::Refused {
            return Err(BufferError::NoMemory);
        }
    }
    Ok(buffer.into_bytes())
}
