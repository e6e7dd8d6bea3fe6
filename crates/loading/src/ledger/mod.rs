//! The memory ledger of a side process: the last gate before the engine.
//!
//! The ledger counts memory by its own orders and by the engine's listings. It reserves
//! memory before it orders a load, and frees memory only when a listing that was requested
//! after the latest change shows the target gone. A load call whose answer was lost may be
//! performed at any later time; its room is kept until its fate is known.

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

/// Adapter loads that an engine performs at full speed together.
pub const MAX_ADAPTERS_IN_FLIGHT: usize = 32;

/// Orders that may wait for room or for the adapters' limit.
const MAX_WAITING: usize = 1024;

/// Ticks between two listings when nothing needs evidence.
const RELIST_TICKS: u32 = 10;

/// Settings of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Memory of the engine for models and adapters.
    pub capacity: ByteSize,
    /// Memory of the largest adapter; larger ones are denied.
    pub largest_adapter: ByteSize,
    /// Whether the engine checks fencing numbers.
    pub fence_check: FenceCheck,
    /// This process.
    pub holder: ProcessIncarnation,
}

/// The memory ledger; see the module's documentation.
#[derive(Debug)]
pub struct MemoryLedger {
    settings: LedgerSettings,
    guards: SafetyChecks,
    book: SlotTable,
    entries: BTreeMap<LoadTarget, LedgerEntry>,
    backoffs: BTreeMap<LoadTarget, RetryBackoff>,
    waiting: VecDeque<LoadTarget>,
    predecessor: PredecessorReservation,
    next_attempt: EngineCallId,
    next_listing: ListingNumber,
    open_listing: Option<ListingNumber>,
    last_listing: Option<ListingNumber>,
    life: Option<EngineIncarnation>,
    is_inherited: bool,
    is_listed: bool,
    is_draining: bool,
    idle_ticks: u32,
    actions: Vec<LedgerAction>,
}

impl MemoryLedger {
    /// An empty ledger; it denies orders until it knows earlier slots and has a listing.
    pub fn new(settings: LedgerSettings) -> Self {
        Self::with_guards(settings, SafetyChecks::default())
    }

    /// A ledger with some checks off, for tests that show what the checks prevent.
    pub fn with_guards(settings: LedgerSettings, guards: SafetyChecks) -> Self {
        Self {
            settings,
            guards,
            book: SlotTable::new(settings.holder),
            entries: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            waiting: VecDeque::new(),
            predecessor: PredecessorReservation::default(),
            next_attempt: EngineCallId(1),
            next_listing: ListingNumber(1),
            open_listing: None,
            last_listing: None,
            life: None,
            is_inherited: false,
            is_listed: false,
            is_draining: false,
            idle_ticks: 0,
            actions: Vec::new(),
        }
    }

    /// Takes in one event and returns what must be done, in order.
    pub fn step(&mut self, event: LedgerEvent, now: Instant) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::Inherited(slots) => self.inherit(slots, now),
            LedgerEvent::Load(order) => self.order_load(order, now),
            LedgerEvent::Unload(order) => self.order_unload(&order),
            LedgerEvent::Listed(listing) => self.take_listing(&listing, now),
            LedgerEvent::ListingFailed => self.open_listing = None,
            LedgerEvent::Answered(attempt, answer) => self.take_answer(attempt, answer, now),
            LedgerEvent::EngineDied => self.forget_engine(),
            LedgerEvent::RequestStarted(target) => self.start_request(&target, now),
            LedgerEvent::RequestEnded(target) => self.end_request(&target, now),
            LedgerEvent::WorthChanged(target, worth) => self.change_worth(&target, worth),
            LedgerEvent::Drain => self.is_draining = true,
            LedgerEvent::Tick => self.tick(),
        }
        self.fill_room(now);
        mem::take(&mut self.actions)
    }

    /// Whether a new request may use `target` now.
    pub fn can_serve(&self, target: &LoadTarget) -> bool {
        let is_ready = |target| self.entries.get(target).is_some_and(LedgerEntry::is_serving);
        !self.is_draining && is_ready(target) && is_ready(&target.base())
    }

    /// Memory that is taken or reserved.
    pub fn reserved(&self) -> ByteSize {
        self.entries
            .values()
            .filter(|entry| self.is_counted(entry))
            .map(|entry| entry.size)
            .fold(self.predecessor.size(), ByteSize::plus)
    }

    /// The fencing number of the slot for `model`, if an order under it was accepted.
    pub fn held_fence(&self, model: &ModelId) -> Option<FencingNumber> {
        self.book.held_fence(model)
    }

    /// Memory taken by or reserved for one target.
    pub fn size_of(&self, target: &LoadTarget) -> ByteSize {
        self.entries.get(target).map(|entry| entry.size).unwrap_or_default()
    }

    /// Memory of the engine for models and adapters.
    pub fn capacity(&self) -> ByteSize {
        self.settings.capacity
    }

    /// Whether orders are accepted: earlier slots are known and the engine was listed.
    pub fn is_ready(&self) -> bool {
        self.is_inherited && self.is_listed
    }

    /// What is known of each target, in order.
    pub fn status(&self) -> Vec<TargetStatus> {
        self.entries.iter().map(|(target, entry)| entry.status(target)).collect()
    }

    fn is_counted(&self, entry: &LedgerEntry) -> bool {
        match entry.phase {
            TargetPhase::Waiting => false,
            TargetPhase::Queued | TargetPhase::Loading(_) => self.guards.reserve_before_load,
            TargetPhase::Loaded | TargetPhase::Unloading(_) | TargetPhase::Uncertain => true,
        }
    }

    fn forget_engine(&mut self) {
        self.is_listed = false;
        self.open_listing = None;
        self.predecessor.clear();
        let fresh_from = self.next_listing;
        let targets: Vec<LoadTarget> = self.entries.keys().cloned().collect();
        for target in targets {
            self.deny_loads(&target, DenyReason::EngineDied);
            if let Some(entry) = self.entries.get_mut(&target) {
                entry.reset_after_engine_exit(fresh_from);
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
        let attempt = self.next_attempt;
        self.next_attempt.0 += 1;
        attempt
    }
}

/// The targets that a request on `target` keeps loaded.
fn used_targets(target: &LoadTarget) -> Vec<LoadTarget> {
    match target {
        LoadTarget::Model(_) => vec![target.clone()],
        LoadTarget::Adapter(..) => vec![target.clone(), target.base()],
    }
}
