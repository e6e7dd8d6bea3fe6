//! Waiting requests of one class, by priority.

use std::collections::BTreeMap;

use base::prelude::*;
use lists::RequestPriority;

use crate::{
    fair::{FairRing, LongestQueue, WaitingRequest},
    request::{AdmissionRequest, RequestSize},
};

/// One ring for each priority that has waiting requests.
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

    /// Priority of the request that goes next.
    pub(crate) fn best_rank(&self) -> Option<RequestPriority> {
        self.levels.keys().next().copied()
    }

    pub(crate) fn push(&mut self, waiting: WaitingRequest) {
        let rank = waiting.request.priority;
        let quantum = self.quantum;
        self.levels.entry(rank).or_insert_with(|| FairRing::new(quantum)).push(waiting);
    }

    /// Takes the next request, by shares or, if `fair` is off, by arrival.
    pub(crate) fn pop(&mut self, fair: bool) -> Option<WaitingRequest> {
        let rank = self.best_rank()?;
        let ring = self.levels.get_mut(&rank)?;
        let waiting = if fair { ring.pop() } else { ring.pop_oldest() };
        self.drop_if_empty(rank);
        waiting
    }

    /// Takes one request out of turn.
    pub(crate) fn take(&mut self, request: &AdmissionRequest) -> Option<WaitingRequest> {
        let ring = self.levels.get_mut(&request.priority)?;
        let waiting = ring.take(&request.customer, request.id);
        self.drop_if_empty(request.priority);
        waiting
    }

    /// Removes one request without a grant.
    pub(crate) fn remove(&mut self, request: &AdmissionRequest) -> Option<WaitingRequest> {
        let ring = self.levels.get_mut(&request.priority)?;
        let waiting = ring.remove(&request.customer, request.id);
        self.drop_if_empty(request.priority);
        waiting
    }

    /// Number of requests that are expected to be granted before `request`.
    pub(crate) fn ahead_of(&self, request: &AdmissionRequest) -> u64 {
        let higher = self.levels.range(..request.priority).map(|(_, ring)| ring.len() as u64);
        let level = self.levels.get(&request.priority);
        let same = level.map_or(0, |ring| ring.ahead_of(&request.customer, request.share));
        higher.sum::<u64>() + same
    }

    /// The longest queue of the lowest priority.
    pub(crate) fn longest(&self) -> Option<LongestQueue> {
        self.levels.values().next_back()?.longest()
    }

    fn drop_if_empty(&mut self, rank: RequestPriority) {
        if self.levels.get(&rank).is_some_and(|ring| ring.len() == 0) {
            self.levels.remove(&rank);
        }
    }
}
