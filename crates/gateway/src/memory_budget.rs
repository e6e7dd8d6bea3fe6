//! Account of the memory that requests and answers take: heads and bodies of requests that are read or
//! kept for a retry, and answers that are buffered.

use std::collections::BTreeMap;

use base::prelude::*;

/// Share of the VM's memory that bodies and heads may take. The rest is for the process itself, the
/// connections, the allocator and what the kernel holds for sockets.
const BODY_SHARE: f64 = 0.34;
/// Part of the memory for bodies that only small bodies take, so that ordinary requests are served
/// while large ones use up the rest.
const RESERVED_SHARE: f64 = 0.2;
/// Size up to which a request body is small. Most requests have less than 9 KB.
pub const SMALL_BODY: ByteSize = ByteSize(16 * 1024);
/// Memory up to which a head is small. Those of most requests take some 30 KiB.
pub const SMALL_HEAD: ByteSize = ByteSize(48 * 1024);
/// Size up to which an answer is always buffered: its request has run, and the number of such
/// answers is bounded by the number of connections.
pub const SMALL_ANSWER: ByteSize = ByteSize(64 * 1024);
/// A body without progress for this long may be given up for another. Shorter pauses occur on
/// links with losses.
pub const MIN_STALL: Duration = Duration::from_millis(300);

/// What memory is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryPurpose {
    /// A request body, while it is read and until its request is answered.
    RequestBody,
    /// An answer that is buffered.
    Answer,
}

impl MemoryPurpose {
    /// Size up to which such a body uses the reserve.
    fn small_size(self) -> ByteSize {
        match self {
            MemoryPurpose::RequestBody => SMALL_BODY,
            MemoryPurpose::Answer => SMALL_ANSWER,
        }
    }
}

/// One body in the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Whether a body may grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrowthDecision {
    /// It may; the bytes are charged.
    Granted,
    /// The other bodies use the memory, and none of them has stalled.
    Refused,
}

/// Limits of the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Most bytes of all bodies.
    pub total: ByteSize,
    /// Part of `total` that only small bodies take.
    pub reserved: ByteSize,
}

impl BudgetLimits {
    /// Limits for a VM with this much memory.
    pub fn for_vm(memory: ByteSize) -> Self {
        let total = ByteSize((memory.0 as f64 * BODY_SHARE) as u64);
        Self { total, reserved: ByteSize((total.0 as f64 * RESERVED_SHARE) as u64) }
    }
}

#[derive(Debug)]
struct BodyAccount {
    purpose: MemoryPurpose,
    /// What is held beside the body.
    head: ByteSize,
    charged: ByteSize,
    progressed: Instant,
    is_arriving: bool,
}

/// The account of all bodies.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    bodies: BTreeMap<BodyId, BodyAccount>,
    charged: [ByteSize; 2],
    last_id: u64,
}

impl MemoryBudget {
    /// An account without bodies.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, bodies: BTreeMap::new(), charged: [ByteSize(0); 2], last_id: 0 }
    }

    /// Adds a body of which nothing has arrived.
    pub fn open(&mut self, purpose: MemoryPurpose, now: Instant) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let account = BodyAccount {
            purpose,
            head: ByteSize(0),
            charged: ByteSize(0),
            progressed: now,
            is_arriving: true,
        };
        self.bodies.insert(id, account);
        id
    }

    /// Charges a body for what its request holds beside it from now on, until it is closed. Evicts as [`grow`](Self::grow) does.
    pub fn charge_head(
        &mut self,
        id: BodyId,
        head: ByteSize,
        now: Instant,
        evicted: &mut Vec<BodyId>,
    ) -> GrowthDecision {
        let Some(body) = self.bodies.get_mut(&id) else { return GrowthDecision::Refused };
        let before = std::mem::replace(&mut body.head, head);
        let allocated = body.charged.minus(before);
        let decision = self.grow(id, allocated, now, evicted);
        if decision == GrowthDecision::Refused
            && let Some(body) = self.bodies.get_mut(&id)
        {
            body.head = before;
        }
        decision
    }

    /// Charges a body for the `allocated` bytes that it needs now. Request bodies that have stalled
    /// are added to `evicted`, the one without progress for the longest time first, until there is
    /// room; they count as free from then on, and their readers have to drop them.
    pub fn grow(
        &mut self,
        id: BodyId,
        allocated: ByteSize,
        now: Instant,
        evicted: &mut Vec<BodyId>,
    ) -> GrowthDecision {
        let Some(body) = self.bodies.get(&id) else { return GrowthDecision::Refused };
        let (purpose, held) = (body.purpose, body.charged);
        let is_small = allocated <= purpose.small_size() && body.head <= SMALL_HEAD;
        let needed = body.head.plus(allocated);
        let is_always_granted = is_small && purpose == MemoryPurpose::Answer;
        let limit = match is_small {
            true => self.limits.total,
            false => self.limits.total.minus(self.limits.reserved),
        };
        while self.total().minus(held).plus(needed) > limit {
            match self.longest_stalled(id, now) {
                Some(stalled) => {
                    self.close(stalled);
                    evicted.push(stalled);
                }
                None if is_always_granted => break,
                None => return GrowthDecision::Refused,
            }
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.charged = needed;
            body.progressed = now;
        }
        let charged = &mut self.charged[purpose as usize];
        *charged = charged.minus(held).plus(needed);
        GrowthDecision::Granted
    }

    /// Records that bytes of a body arrived.
    pub fn record_progress(&mut self, id: BodyId, now: Instant) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progressed = now;
        }
    }

    /// Records that a body is complete; it is not evicted any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_arriving = false;
        }
    }

    /// Removes a body, which does nothing if it was evicted.
    pub fn close(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            let charged = &mut self.charged[body.purpose as usize];
            *charged = charged.minus(body.charged);
        }
    }

    /// Bytes that are charged for `purpose`.
    pub fn charged(&self, purpose: MemoryPurpose) -> ByteSize {
        self.charged[purpose as usize]
    }

    /// Whether so much is charged that callers who do not read their answers lose them sooner.
    pub fn is_short(&self) -> bool {
        self.total().0 > self.limits.total.0 / 2
    }

    fn total(&self) -> ByteSize {
        self.charged[0].plus(self.charged[1])
    }

    fn longest_stalled(&self, besides: BodyId, now: Instant) -> Option<BodyId> {
        let stalled = self.bodies.iter().filter(|(id, body)| {
            let is_stalled = now.saturating_duration_since(body.progressed) >= MIN_STALL;
            **id != besides
                && body.is_arriving
                && is_stalled
                && body.charged > ByteSize(0)
                && body.purpose == MemoryPurpose::RequestBody
        });
        stalled.min_by_key(|(_, body)| body.progressed).map(|(id, _)| *id)
    }
}
