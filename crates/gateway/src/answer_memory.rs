//! Memory for answers that are buffered, shared by all requests of the process. A backend server
//! may send a body without end; as many of them as the fleet has must not use up the VM's memory.

use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Size limit of one answer.
const MAX_ANSWER: ByteSize = ByteSize::mib(8);
/// Size up to which an answer needs nothing of the shared memory, so that ordinary answers are
/// received even while it is used up.
const UNSHARED_ANSWER: ByteSize = ByteSize(64 * 1024);
/// Shared memory: a fifth of what the smallest VM has.
const SHARED_MEMORY: ByteSize = ByteSize::mib(32);
/// Unit in which shared memory is taken.
const UNIT: ByteSize = ByteSize(1024);

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
    /// Other answers use the shared memory.
    #[snafu(display("all answers together are longer than {limit}, the limit of the process"))]
    NoMemory {
        /// Size limit of all answers.
        limit: ByteSize,
    },
}

/// Result of buffering an answer.
pub type Result<T, E = BufferError> = std::result::Result<T, E>;

/// The shared memory; clones share it.
#[derive(Debug, Clone)]
pub struct AnswerMemory {
    units: Arc<Semaphore>,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { units: Arc::new(Semaphore::new(units_of(SHARED_MEMORY.0))) }
    }
}

fn units_of(bytes: u64) -> usize {
    usize::try_from(bytes.div_ceil(UNIT.0)).unwrap_or(usize::MAX)
}

/// A body with the shared memory that it takes, which is returned when the last copy is dropped.
struct SharedBody {
    bytes: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerMemory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does, or if the body needs more memory than
    /// there is.
    pub async fn buffer(&self, body: &mut Incoming) -> Result<Bytes> {
        let mut buffered = BytesMut::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.context(BrokenSnafu)?.into_data() else { continue };
            let size = (buffered.len() + data.len()) as u64;
            ensure_size(size)?;
            self.extend(&mut memory, size.saturating_sub(UNSHARED_ANSWER.0))?;
            buffered.extend_from_slice(&data);
        }
        let bytes = buffered.freeze();
        Ok(match memory {
            Some(memory) => Bytes::from_owner(SharedBody { bytes, _memory: memory }),
            None => bytes,
        })
    }

    /// Takes shared memory until `memory` covers `bytes`.
    fn extend(&self, memory: &mut Option<OwnedSemaphorePermit>, bytes: u64) -> Result<()> {
        let held = memory.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = units_of(bytes).saturating_sub(held);
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let taken = Arc::clone(&self.units).try_acquire_many_owned(missing);
        // The semaphore is never closed, so that only missing units fail.
        let taken = taken.map_err(|_| BufferError::NoMemory { limit: SHARED_MEMORY })?;
        match memory {
            Some(memory) => memory.merge(taken),
            None => *memory = Some(taken),
        }
        Ok(())
    }
}

fn ensure_size(size: u64) -> Result<()> {
    match size <= MAX_ANSWER.0 {
        true => Ok(()),
        false => Err(BufferError::TooLong { limit: MAX_ANSWER }),
    }
}
