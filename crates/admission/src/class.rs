//! Queue of the waiting requests of one class, ordered by priority.

use std::collections::BTreeMap;

use base::prelude::*;
use lists::RequestPriority;

use crate::{
    fair::{FairRing, LongestQueue, WaitingRequest},
    request::{AdmissionRequest, RequestSize},
};

/// Waiting requests of one class; a fair ring for each priority that has any.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    quantum: RequestSize,
    levels: BTreeMap<RequestPriority, FairRing>,
}

impl ClassQueue {
    pub(crate) fn new(quantum: RequestSize) -> Self {
        Self { quantum, levels: BTreeMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.levels.values().map(FairRing::len).sum()
    }

    pub(crate) fn customer_len(&self, customer: &CustomerId) -> usize {
        self.levels.values().map(|ring| ring.customer_len(customer)).sum()
    }

    /// Most urgent priority among the waiting requests.
    pub(crate) fn best_priority(&self) -> Option<RequestPriority> {
        self.levels.keys().next().copied()
    }

    pub(crate) fn push(&mut self, waiting: WaitingRequest) {
        let priority = waiting.request.priority;
        let quantum = self.quantum;
        self.levels.entry(priority).or_insert_with(|| FairRing::new(quantum)).push(waiting);
    }

    /// Removes the next request of the most urgent priority, chosen by shares if `fair` is set,
    /// else by arrival.
    pub(crate) fn pop(&mut self, fair: bool) -> Option<WaitingRequest> {
        let priority = self.best_priority()?;
        let ring = self.levels.get_mut(&priority)?;
        let waiting = if fair { ring.pop() } else { ring.pop_oldest() };
        self.remove_level_if_empty(priority);
        waiting
    }

    /// Removes one request out of turn and charges its customer for it.
    pub(crate) fn take(&mut self, request: &AdmissionRequest) -> Option<WaitingRequest> {
        let ring = self.levels.get_mut(&request.priority)?;
        let waiting = ring.take(&request.customer, request.id);
        self.remove_level_if_empty(request.priority);
        waiting
    }

    /// Removes one request without charging its customer.
    pub(crate) fn remove(&mut self, request: &AdmissionRequest) -> Option<WaitingRequest> {
        let ring = self.levels.get_mut(&request.priority)?;
        let waiting = ring.remove(&request.customer, request.id);
        self.remove_level_if_empty(request.priority);
        waiting
    }

    /// Number of requests that are expected to be granted before `request`.
    pub(crate) fn ahead_of(&self, request: &AdmissionRequest) -> u64 {
        let higher = self.levels.range(..request.priority).map(|(_, ring)| ring.len() as u64);
        let level = self.levels.get(&request.priority);
        let same = level.map_or(0, |ring| ring.ahead_of(&request.customer, request.share));
        higher.sum::<u64>() + same
    }

    /// The longest customer queue, relative to its share, of the least urgent priority.
    pub(crate) fn longest(&self) -> Option<LongestQueue> {
        self.levels.values().next_back()?.longest()
    }

    fn remove_level_if_empty(&mut self, priority: RequestPriority) {
        if self.levels.get(&priority).is_some_and(|ring| ring.len() == 0) {
            self.levels.remove(&priority);
        }
    }
}
