//! Reading the body of a caller's request.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use dispatch::Refusal;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{
    backends::WaitEnd,
    caller_connection::ConnectionState,
    memory::{ChargedBuffer, ProcessMemory},
    memory_budget::{GrowthDecision, MemoryPurpose},
    watched_connection::ConnectionWatch,
};

/// `Retry-After` of a request that is refused because the bodies of others use the memory. Bodies
/// that have stalled make room within this time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Length of a body, in bytes, above which the kernel receives more of it at a time.
const LARGE_BODY: usize = 64 * 1024;
/// What the kernel can hold of such a body and of what follows it.
const WIDE_WINDOW: ByteSize = ByteSize(128 * 1024);

/// The body of a caller's request that has not been read.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    connection: Arc<ConnectionState>,
    watch: Arc<ConnectionWatch>,
}

impl CallerBody {
    /// A body that arrives on the connection with this state. Until it is complete, the connection
    /// may be closed for another.
    pub fn new(
        incoming: Incoming,
        connection: Arc<ConnectionState>,
        watch: Arc<ConnectionWatch>,
    ) -> Self {
        let is_complete = incoming.is_end_stream();
        connection.set_body_read(is_complete);
        if is_complete {
            watch.begin_request();
        } else {
            watch.await_request();
        }
        Self { incoming, connection, watch }
    }

    /// Reads the body, until `end`. Its memory, and `head` for what its request holds beside it, are
    /// charged to `memory` until the last copy of the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a body that is too large, is cut, does not arrive in time, or for
    /// which there is no memory. A body that announces a length above `limit` is not read.
    pub async fn read(
        mut self,
        limit: ByteSize,
        head: ByteSize,
        memory: &ProcessMemory,
        end: impl Future<Output = WaitEnd>,
    ) -> Result<Bytes, Refusal> {
        let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
        let announced = self.incoming.size_hint().exact();
        let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|length| length > limit) {
            return Err(too_large());
        }
        let charge = memory.open(MemoryPurpose::RequestBody);
        if charge.charge_head(head) == GrowthDecision::Refused {
            return Err(out_of_memory());
        }
        if self.incoming.is_end_stream() {
            return Ok(charge.into_bytes(Vec::new()));
        }
        let mut buffer = ChargedBuffer::new(charge, announced.unwrap_or(limit));
        let mut is_narrow = true;
        tokio::pin!(end);
        loop {
            if is_narrow && buffer.len().max(announced.unwrap_or(0)) > LARGE_BODY {
                is_narrow = false;
                // Without the memory for it, the body arrives slowly.
                if buffer.charge_head(head.plus(WIDE_WINDOW)) == GrowthDecision::Granted {
                    self.watch.set_large_body(true);
                }
            }
            let frame = tokio::select! {
                biased;
                frame = self.incoming.frame() => frame,
                () = buffer.wait_for_eviction() => {
                    let reason = "the body stalled while memory was short";
                    return Err(Refusal::new(ResultCode::BodyTimeout, reason));
                }
                end = &mut end => return Err(match end {
                    WaitEnd::DeadlinePassed => {
                        Refusal::new(ResultCode::BodyTimeout, "the body did not arrive in time")
                    }
                    WaitEnd::ProcessEnds => Refusal::stopping(Duration::ZERO),
                }),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| {
                log::debug!("request body: a body is cut: {error}");
                Refusal::new(ResultCode::MalformedRequest, "the body is cut")
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if data.len() > limit - buffer.len() {
                return Err(too_large());
            }
            if buffer.push(&data) == GrowthDecision::Refused {
                return Err(out_of_memory());
            }
        }
        self.connection.set_body_read(true);
        self.watch.set_large_body(false);
        self.watch.begin_request();
        Ok(buffer.into_bytes())
    }
}

fn out_of_memory() -> Refusal {
    let reason = "other requests use the memory";
    Refusal::with_retry_after(ResultCode::OutOfMemory, MEMORY_RETRY_AFTER, reason)
}

fn too_large() -> Refusal {
    Refusal::new(ResultCode::BodyTooLarge, "the body is too large")
}
