//! The memory ledger of a side process: decides which load and unload calls reach the engine.
//!
//! The ledger accounts for engine memory from its own calls and the engine's listings. It reserves
//! memory before it sends a load call, and frees memory only when a listing that was requested
//! after the latest change no longer contains the target. A load call whose answer was lost may
//! still be performed at any later time, so its memory stays reserved until its outcome is known.

mod call_results;
mod entry;
mod listing;
mod orders;
mod predecessor;
mod reservations;

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
};

use base::prelude::*;

use self::{entry::LedgerEntry, predecessor::PredecessorReservation};
use crate::{
    backoff::RetryBackoff,
    orders::{
        DenyReason, EngineCallId, EngineIncarnation, FenceCheck, KeepWorth, LedgerAction,
        LedgerEvent, ListingNumber, LoadTarget, OrderId, OrderOutcome,
    },
    safety_checks::SafetyChecks,
    slot_table::SlotTable,
};

pub use self::entry::{TargetPhase, TargetStatus};

/// Largest number of adapter loads in flight: as many as an engine performs at full speed at once.
pub const MAX_ADAPTERS_IN_FLIGHT: usize = 32;

/// Largest number of targets that may wait for memory; further load orders are denied.
const MAX_WAITING: usize = 1024;

/// Ticks between two listings when no target awaits one.
const RELIST_TICKS: u32 = 10;

/// Settings of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Engine memory for models and adapters.
    pub capacity: ByteSize,
    /// Memory of the largest allowed adapter; larger ones are denied.
    pub largest_adapter: ByteSize,
    /// Whether the engine checks fencing numbers.
    pub fence_check: FenceCheck,
    /// Incarnation of this side process; orders for another one are denied.
    pub holder: ProcessIncarnation,
}

/// The memory ledger; see the module documentation.
#[derive(Debug)]
pub struct MemoryLedger {
    settings: LedgerSettings,
    checks: SafetyChecks,
    slots: SlotTable,
    entries: BTreeMap<LoadTarget, LedgerEntry>,
    backoffs: BTreeMap<LoadTarget, RetryBackoff>,
    waiting: VecDeque<LoadTarget>,
    predecessor: PredecessorReservation,
    next_call: EngineCallId,
    next_listing: ListingNumber,
    open_listing: Option<ListingNumber>,
    last_listing: Option<ListingNumber>,
    incarnation: Option<EngineIncarnation>,
    has_inherited_slots: bool,
    has_listing: bool,
    is_draining: bool,
    idle_ticks: u32,
    actions: Vec<LedgerAction>,
}

impl MemoryLedger {
    /// Creates an empty ledger; it denies orders until the earlier slots are known and the first
    /// listing has arrived.
    pub fn new(settings: LedgerSettings) -> Self {
        Self::with_checks(settings, SafetyChecks::default())
    }

    /// Creates a ledger with some checks off, for tests that show the faults they prevent.
    pub fn with_checks(settings: LedgerSettings, checks: SafetyChecks) -> Self {
        Self {
            settings,
            checks,
            slots: SlotTable::new(settings.holder),
            entries: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            waiting: VecDeque::new(),
            predecessor: PredecessorReservation::default(),
            next_call: EngineCallId(1),
            next_listing: ListingNumber(1),
            open_listing: None,
            last_listing: None,
            incarnation: None,
            has_inherited_slots: false,
            has_listing: false,
            is_draining: false,
            idle_ticks: 0,
            actions: Vec::new(),
        }
    }

    /// Applies one event and returns the resulting actions, in order.
    pub fn step(&mut self, event: LedgerEvent, now: Instant) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::Inherited(slots) => self.add_inherited_slots(slots, now),
            LedgerEvent::Load(order) => self.handle_load_order(order, now),
            LedgerEvent::Unload(order) => self.handle_unload_order(&order),
            LedgerEvent::Listed(listing) => self.apply_listing(&listing, now),
            LedgerEvent::ListingFailed => self.open_listing = None,
            LedgerEvent::Answered(call, answer) => self.apply_answer(call, answer, now),
            LedgerEvent::EngineDied => self.handle_engine_exit(),
            LedgerEvent::RequestStarted(target) => self.start_request(&target, now),
            LedgerEvent::RequestEnded(target) => self.end_request(&target, now),
            LedgerEvent::WorthChanged(target, worth) => self.change_worth(&target, worth),
            LedgerEvent::Drain => self.is_draining = true,
            LedgerEvent::Tick => self.tick(),
        }
        self.reserve_and_send(now);
        mem::take(&mut self.actions)
    }

    /// Whether a new request may use `target` now: it and its base model are loaded, neither is to
    /// be unloaded, and the server does not drain.
    pub fn can_serve(&self, target: &LoadTarget) -> bool {
        let is_ready = |target| self.entries.get(target).is_some_and(LedgerEntry::is_serving);
        !self.is_draining && is_ready(target) && is_ready(&target.base())
    }

    /// Memory that is occupied or reserved.
    pub fn reserved(&self) -> ByteSize {
        self.entries
            .values()
            .filter(|entry| self.is_counted(entry))
            .map(|entry| entry.size)
            .fold(self.predecessor.size(), ByteSize::plus)
    }

    /// Fencing number of the slot held for `model`; `None` if no order under a slot was accepted or
    /// the slot was released.
    pub fn held_fence(&self, model: &ModelId) -> Option<FencingNumber> {
        self.slots.held_fence(model)
    }

    /// Memory that one target occupies or needs, also while it waits for a reservation; 0 for an
    /// unknown target.
    pub fn size_of(&self, target: &LoadTarget) -> ByteSize {
        self.entries.get(target).map(|entry| entry.size).unwrap_or_default()
    }

    /// Engine memory for models and adapters.
    pub fn capacity(&self) -> ByteSize {
        self.settings.capacity
    }

    /// Whether orders are accepted: the earlier slots are known and a listing has arrived.
    pub fn is_ready(&self) -> bool {
        self.has_inherited_slots && self.has_listing
    }

    /// Status of each target, ordered by target.
    pub fn status(&self) -> Vec<TargetStatus> {
        self.entries.iter().map(|(target, entry)| entry.status(target)).collect()
    }

    fn is_counted(&self, entry: &LedgerEntry) -> bool {
        match entry.phase {
            TargetPhase::Waiting => false,
            TargetPhase::Queued | TargetPhase::Loading(_) => self.checks.reserve_before_load,
            TargetPhase::Loaded | TargetPhase::Unloading(_) | TargetPhase::Uncertain => true,
        }
    }

    fn handle_engine_exit(&mut self) {
        self.has_listing = false;
        self.open_listing = None;
        self.predecessor.clear();
        let first_valid_listing = self.next_listing;
        let targets: Vec<LoadTarget> = self.entries.keys().cloned().collect();
        for target in targets {
            self.deny_loads(&target, DenyReason::EngineDied);
            if let Some(entry) = self.entries.get_mut(&target) {
                entry.reset_after_engine_exit(first_valid_listing);
            }
        }
        self.drop_waiting();
        self.request_listing();
    }

    fn drop_waiting(&mut self) {
        self.waiting.clear();
        self.entries.retain(|_, entry| entry.phase != TargetPhase::Waiting);
    }

    fn start_request(&mut self, target: &LoadTarget, now: Instant) {
        for used in used_targets(target) {
            if let Some(entry) = self.entries.get_mut(&used) {
                entry.requests += 1;
                entry.last_used = now;
            }
        }
    }

    fn end_request(&mut self, target: &LoadTarget, now: Instant) {
        for used in used_targets(target) {
            if let Some(entry) = self.entries.get_mut(&used) {
                entry.requests = entry.requests.saturating_sub(1);
                entry.last_used = now;
            }
            self.continue_unload(&used);
        }
    }

    fn change_worth(&mut self, target: &LoadTarget, worth: KeepWorth) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.worth = worth;
        }
    }

    fn tick(&mut self) {
        self.idle_ticks += 1;
        if self.needs_listing() || self.idle_ticks >= RELIST_TICKS {
            self.request_listing();
        }
    }

    fn confirm_loads(&mut self, target: &LoadTarget) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        for order in entry.loads.drain(..) {
            self.actions.push(LedgerAction::Confirm(order, OrderOutcome::Loaded));
        }
    }

    fn deny_loads(&mut self, target: &LoadTarget, reason: DenyReason) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        for order in entry.loads.drain(..) {
            self.actions.push(LedgerAction::Deny(order, reason));
        }
    }

    fn deny(&mut self, order: OrderId, reason: DenyReason) {
        self.actions.push(LedgerAction::Deny(order, reason));
    }

    fn next_call_id(&mut self) -> EngineCallId {
        let call = self.next_call;
        self.next_call.0 += 1;
        call
    }
}

/// Targets that a request on `target` uses: the target itself and its base model.
fn used_targets(target: &LoadTarget) -> Vec<LoadTarget> {
    match target {
        LoadTarget::Model(_) => vec![target.clone()],
        LoadTarget::Adapter(..) => vec![target.clone(), target.base()],
    }
}
