//! State of one target in the ledger.

use std::fmt;

use base::prelude::*;

use crate::{
    backoff::RetryBackoff,
    orders::{EngineCallId, KeepWorth, ListingNumber, LoadTarget, OrderId},
};

/// Phase of a target at the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPhase {
    /// Waits for free memory; none is reserved yet.
    Waiting,
    /// Memory is reserved, and the load call is still to be sent; adapters stay in this phase while
    /// the limit on adapter loads is reached.
    Queued,
    /// The load call is in flight.
    Loading(EngineCallId),
    /// The target is loaded.
    Loaded,
    /// The target is being unloaded. `Some` while the unload call is in flight; `None` while a
    /// listing or another unload call is due.
    Unloading(Option<EngineCallId>),
    /// The target may occupy memory; only a listing shows whether it does.
    Uncertain,
}

impl fmt::Display for TargetPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TargetPhase::Waiting => "waiting for room",
            TargetPhase::Queued => "queued",
            TargetPhase::Loading(_) => "loading",
            TargetPhase::Loaded => "loaded",
            TargetPhase::Unloading(_) => "unloading",
            TargetPhase::Uncertain => "unsure",
        })
    }
}

/// Status of a target, as reported to operators and owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// The model or adapter.
    pub target: LoadTarget,
    /// Memory that the target occupies or needs; not yet reserved while it waits.
    pub size: ByteSize,
    /// Phase of its load or unload.
    pub phase: TargetPhase,
    /// Number of requests that use it.
    pub requests: u32,
    /// Number of load calls whose outcome is unknown.
    pub uncertain_loads: u32,
    /// Highest fencing number of any order for it.
    pub fence: FencingNumber,
    /// Whether it is to be unloaded as soon as no request uses it.
    pub is_unload_pending: bool,
}

impl fmt::Display for TargetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}, {} requests", self.target, self.phase, self.size, self.requests)?;
        if self.uncertain_loads > 0 {
            write!(f, ", {} loads of unknown fate", self.uncertain_loads)?;
        }
        if self.is_unload_pending {
            f.write_str(", leaving")?;
        }
        Ok(())
    }
}

#[derive(Debug)]
pub(super) struct LedgerEntry {
    pub size: ByteSize,
    pub phase: TargetPhase,
    /// Highest fencing number of any order.
    pub fence: FencingNumber,
    /// Fencing number of the latest call to the engine.
    pub sent_fence: FencingNumber,
    pub worth: KeepWorth,
    pub requests: u32,
    /// Number of load calls whose outcome is unknown.
    pub uncertain_loads: u32,
    /// Highest fencing number of the load calls whose outcome is unknown.
    pub uncertain_fence: FencingNumber,
    /// First listing that was requested after the latest change; earlier ones are stale.
    pub first_valid_listing: ListingNumber,
    pub loads: Vec<OrderId>,
    pub unloads: Vec<OrderId>,
    pub is_unload_pending: bool,
    /// Pause before the next unload call, after calls that did not free the memory.
    pub unload_backoff: RetryBackoff,
    pub last_used: Instant,
}

impl LedgerEntry {
    pub fn new(size: ByteSize, phase: TargetPhase, now: Instant) -> Self {
        Self {
            size,
            phase,
            fence: FencingNumber::default(),
            sent_fence: FencingNumber::default(),
            worth: KeepWorth::default(),
            requests: 0,
            uncertain_loads: 0,
            uncertain_fence: FencingNumber::default(),
            first_valid_listing: ListingNumber::default(),
            loads: Vec::new(),
            unloads: Vec::new(),
            is_unload_pending: false,
            unload_backoff: RetryBackoff::default(),
            last_used: now,
        }
    }

    pub fn call(&self) -> Option<EngineCallId> {
        match self.phase {
            TargetPhase::Loading(call) => Some(call),
            TargetPhase::Unloading(call) => call,
            _ => None,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.phase == TargetPhase::Loaded && !self.is_unload_pending
    }

    /// Whether the target's next step depends on a listing.
    pub fn awaits_listing(&self) -> bool {
        match self.phase {
            TargetPhase::Uncertain => self.uncertain_loads == 0,
            TargetPhase::Unloading(call) => call.is_none(),
            _ => false,
        }
    }

    /// Clears the uncertain loads after a call was performed, if the engine enforces fencing and
    /// the call had a higher fencing number: the engine then refuses the uncertain ones.
    pub fn resolve_uncertain_loads(&mut self, is_enforced: bool) {
        if is_enforced && self.sent_fence > self.uncertain_fence {
            self.uncertain_loads = 0;
        }
    }

    /// Resets the state after the engine ended: none of its calls can be performed any more.
    pub fn reset_after_engine_exit(&mut self, first_valid_listing: ListingNumber) {
        self.requests = 0;
        self.uncertain_loads = 0;
        self.first_valid_listing = first_valid_listing;
        self.phase = match self.phase {
            TargetPhase::Waiting => TargetPhase::Waiting,
            TargetPhase::Unloading(_) => TargetPhase::Unloading(None),
            _ => TargetPhase::Uncertain,
        };
    }

    pub fn status(&self, target: &LoadTarget) -> TargetStatus {
        TargetStatus {
            target: target.clone(),
            size: self.size,
            phase: self.phase,
            requests: self.requests,
            uncertain_loads: self.uncertain_loads,
            fence: self.fence,
            is_unload_pending: self.is_unload_pending,
        }
    }
}
