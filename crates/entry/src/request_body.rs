//! Reads the bodies of requests within a memory budget that all of them share.

use base::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use memory_budget::{BudgetLimits, Holding, SharedBudget};
use tokio::time;
use viz::Body;

/// Time without a byte after which a body ends if others need its memory.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time without a byte after which a body ends in any case, so that its connection becomes free.
const MAX_STALL: Duration = Duration::from_secs(30);
/// Time in which the rest of a body that is too large is read and dropped.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Memory that a body takes at first; it doubles as often as needed.
const FIRST_CAPACITY: usize = 16 * 1_024;

/// Result of reading a body.
pub type Result<T, E = ResultCode> = std::result::Result<T, E>;

/// Memory for bodies that are being read or belong to requests in flight.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    budget: SharedBudget,
    max_body: usize,
}

/// A complete body, whose memory is given back when the last reference to it is dropped.
struct HeldBody {
    bytes: Vec<u8>,
    _holding: Holding,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Memory of `total` bytes for bodies of at most `max_body` bytes each. It holds at least one
    /// body of that size.
    pub fn new(total: ByteSize, max_body: ByteSize) -> Self {
        let total = total.0.max(max_body.0);
        let limits = BudgetLimits { total, min_stall: MIN_STALL };
        let max_body = usize::try_from(max_body.0).unwrap_or(usize::MAX);
        Self { budget: SharedBudget::new(limits), max_body }
    }

    /// The budget, which answers use too.
    pub fn budget(&self) -> &SharedBudget {
        &self.budget
    }

    /// Memory that bodies and answers take.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.budget.used())
    }

    /// Reads a body to its end into one buffer, however small its pieces are.
    ///
    /// # Errors
    ///
    /// Fails with `BodyTooLarge`, before any byte is read if the headers announce it; with
    /// `BodyTimeout` if the body stalls, at once if others need its memory; with `OutOfMemory` if
    /// there is no room for it; and with `MalformedRequest` if it is cut.
    pub async fn read(&self, headers: &HeaderMap, mut body: Body) -> Result<Bytes> {
        let read = self.read_within_limit(headers, &mut body).await;
        if matches!(read, Err(ResultCode::BodyTooLarge)) {
            self.discard(body).await;
        }
        read
    }

    /// Reads and drops the rest of a body that is too large, within bounds. A connection that closes
    /// with unread bytes is reset, and its caller loses the refusal.
    async fn discard(&self, mut body: Body) {
        let mut left = self.max_body.saturating_mul(2);
        let discarding = async {
            while let Some(Ok(frame)) = body.frame().await {
                let size = frame.data_ref().map_or(0, Bytes::len);
                if size > left {
                    break;
                }
                left -= size;
            }
        };
        if time::timeout(DISCARD_TIME, discarding).await.is_err() {
            log::debug!("requests: the rest of a body that is too large did not end in time");
        }
    }

    async fn read_within_limit(&self, headers: &HeaderMap, body: &mut Body) -> Result<Bytes> {
        let announced = announced_length(headers);
        if announced.is_some_and(|length| length > self.max_body as u64) {
            return Err(ResultCode::BodyTooLarge);
        }
        let largest = announced
            .and_then(|length| usize::try_from(length).ok())
            .unwrap_or(self.max_body)
            .min(self.max_body);
        let holding = self.budget.hold();
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::select! {
                biased;
                () = holding.ended().cancelled() => return Err(ResultCode::BodyTimeout),
                frame = time::timeout(MAX_STALL, body.frame()) => frame,
            };
            let frame = frame.map_err(|_| ResultCode::BodyTimeout)?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| ResultCode::MalformedRequest)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > self.max_body {
                return Err(ResultCode::BodyTooLarge);
            }
            holding.record_progress();
            make_room(&mut bytes, length, largest, &holding)?;
            bytes.extend_from_slice(&data);
        }
        holding.protect();
        Ok(Bytes::from_owner(HeldBody { bytes, _holding: holding }))
    }
}

fn announced_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Allocates room for `length` bytes in total, after charging it.
fn make_room(bytes: &mut Vec<u8>, length: usize, largest: usize, holding: &Holding) -> Result<()> {
    if length <= bytes.capacity() {
        return Ok(());
    }
    let doubled = bytes.capacity().saturating_mul(2).max(FIRST_CAPACITY);
    let capacity = doubled.min(largest).max(length);
    let missing = (capacity - bytes.capacity()) as u64;
    let ended = holding.grow(missing).map_err(|_| match holding.ended().is_cancelled() {
        true => ResultCode::BodyTimeout,
        false => ResultCode::OutOfMemory,
    })?;
    if ended > 0 {
        log::warn!("requests: ended {ended} stalled bodies, whose memory another body needs");
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
