//! The entry process's account of the deliveries of one request.
//!
//! A request may be refused as not run only if every delivery of it was acknowledged as not run
//! by the side process it went to; whatever stays unacknowledged may have run.

use std::collections::BTreeMap;

use base::prelude::*;

/// What is known of one delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeliveryState {
    /// Sent; no word has come back.
    Sent,
    /// The side process acknowledged that it did not run and will not.
    NotRun,
    /// It ran, or nobody can tell.
    MayHaveRun,
}

/// All deliveries of one request, by the number of the attempt.
#[derive(Debug, Clone, Default)]
pub struct AttemptRecord {
    is_repeatable: bool,
    deliveries: BTreeMap<u32, DeliveryState>,
}

impl AttemptRecord {
    /// The record of a request that was not delivered yet.
    pub fn new(is_repeatable: bool) -> Self {
        Self { is_repeatable, deliveries: BTreeMap::new() }
    }

    /// Whether the request may be delivered (again).
    pub fn may_deliver(&self) -> bool {
        self.is_repeatable || self.run_state() == RunState::NotRun
    }

    /// Notes a delivery just before it is sent; false if it must not be sent.
    pub fn record_delivery(&mut self, attempt: u32) -> bool {
        if self.deliveries.contains_key(&attempt) || !self.may_deliver() {
            return false;
        }
        self.deliveries.insert(attempt, DeliveryState::Sent);
        true
    }

    /// Notes the word of a side process about a delivery; the first word stands.
    pub fn record_result(&mut self, attempt: u32, state: RunState) {
        let delivery = self.deliveries.get_mut(&attempt);
        if let Some(delivery) = delivery.filter(|delivery| **delivery == DeliveryState::Sent) {
            *delivery = match state {
                RunState::NotRun => DeliveryState::NotRun,
                RunState::MayHaveRun => DeliveryState::MayHaveRun,
            };
        }
    }

    /// Deliveries that were not acknowledged as not run.
    pub fn possible_runs(&self) -> usize {
        self.deliveries.values().filter(|delivery| **delivery != DeliveryState::NotRun).count()
    }

    /// What may truthfully be said of the request as a whole.
    pub fn run_state(&self) -> RunState {
        match self.possible_runs() {
            0 => RunState::NotRun,
            _ => RunState::MayHaveRun,
        }
    }
}
