//! Deliveries of one request to side processes, as tracked by the entry process.
//!
//! A request may be refused as not run only if the side process of every delivery acknowledged
//! that it did not run; a delivery without an acknowledgement may have run.

use std::collections::BTreeMap;

use base::prelude::*;

/// State of one delivery of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeliveryState {
    /// Sent; no reply was received.
    Sent,
    /// The side process acknowledged that the request did not run and will not run.
    NotRun,
    /// The request ran, or it is unknown whether it ran.
    MayHaveRun,
}

/// All deliveries of one request, by attempt number.
#[derive(Debug, Clone, Default)]
pub struct AttemptRecord {
    is_retryable: bool,
    deliveries: BTreeMap<u32, DeliveryState>,
}

impl AttemptRecord {
    /// Creates the record of a request without deliveries.
    ///
    /// A retryable request may be delivered again even if it may have run.
    pub fn new(is_retryable: bool) -> Self {
        Self { is_retryable, deliveries: BTreeMap::new() }
    }

    /// Whether the request may be delivered, for the first time or again.
    pub fn may_deliver(&self) -> bool {
        self.is_retryable || self.run_state() == RunState::NotRun
    }

    /// Records a delivery just before it is sent.
    ///
    /// Returns false if it must not be sent: the attempt is on record already, or the request is
    /// not retryable and may have run.
    pub fn record_delivery(&mut self, attempt: u32) -> bool {
        if self.deliveries.contains_key(&attempt) || !self.may_deliver() {
            return false;
        }
        self.deliveries.insert(attempt, DeliveryState::Sent);
        true
    }

    /// Records what a side process reported about a delivery; later reports are ignored.
    pub fn record_result(&mut self, attempt: u32, state: RunState) {
        let delivery = self.deliveries.get_mut(&attempt);
        if let Some(delivery) = delivery.filter(|delivery| **delivery == DeliveryState::Sent) {
            *delivery = match state {
                RunState::NotRun => DeliveryState::NotRun,
                RunState::MayHaveRun => DeliveryState::MayHaveRun,
            };
        }
    }

    /// Number of deliveries that were not acknowledged as not run.
    pub fn possible_runs(&self) -> usize {
        self.deliveries.values().filter(|delivery| **delivery != DeliveryState::NotRun).count()
    }

    /// State of the request over all deliveries.
    pub fn run_state(&self) -> RunState {
        match self.possible_runs() {
            0 => RunState::NotRun,
            _ => RunState::MayHaveRun,
        }
    }
}
