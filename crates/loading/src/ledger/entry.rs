//! What the ledger knows of one target.

use std::fmt;

use base::prelude::*;

use crate::orders::{EngineCallId, KeepWorth, ListingNumber, LoadTarget, OrderId};

/// Where a target stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPhase {
    /// Waits for room; no memory is reserved.
    Waiting,
    /// Memory is reserved; the adapters' limit holds the load back.
    Queued,
    /// The engine was ordered to load.
    Loading(EngineCallId),
    /// The engine holds it.
    Loaded,
    /// It is to go; the call is in flight, or a listing or another call is due.
    Unloading(Option<EngineCallId>),
    /// Memory may be taken; a listing has to tell.
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

/// A target as shown to operators and owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// The target.
    pub target: LoadTarget,
    /// Memory taken or reserved.
    pub size: ByteSize,
    /// Where it stands.
    pub phase: TargetPhase,
    /// Requests that use it.
    pub requests: u32,
    /// Load calls whose fate is unknown.
    pub uncertain_loads: u32,
    /// Fencing number of the latest order.
    pub fence: FencingNumber,
    /// Whether it is to be unloaded once idle.
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
    /// Load calls whose fate is unknown.
    pub uncertain_loads: u32,
    /// Highest fencing number among those calls.
    pub uncertain_fence: FencingNumber,
    /// Listings from this number on were requested after the latest change.
    pub first_valid_listing: ListingNumber,
    pub loads: Vec<OrderId>,
    pub unloads: Vec<OrderId>,
    pub is_unload_pending: bool,
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
            last_used: now,
        }
    }

    pub fn attempt(&self) -> Option<EngineCallId> {
        match self.phase {
            TargetPhase::Loading(attempt) => Some(attempt),
            TargetPhase::Unloading(attempt) => attempt,
            _ => None,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.phase == TargetPhase::Loaded && !self.is_unload_pending
    }

    /// Whether only a listing can tell what becomes of the target.
    pub fn awaits_listing(&self) -> bool {
        match self.phase {
            TargetPhase::Uncertain => self.uncertain_loads == 0,
            TargetPhase::Unloading(attempt) => attempt.is_none(),
            _ => false,
        }
    }

    /// An engine that enforces fencing performed a call: older calls can no longer happen.
    pub fn resolve_uncertain_loads(&mut self, is_enforced: bool) {
        if is_enforced && self.sent_fence > self.uncertain_fence {
            self.uncertain_loads = 0;
        }
    }

    /// The engine ended, and with it every call made to it.
    pub fn reset_after_engine_exit(&mut self, fresh_from: ListingNumber) {
        self.requests = 0;
        self.uncertain_loads = 0;
        self.first_valid_listing = fresh_from;
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
