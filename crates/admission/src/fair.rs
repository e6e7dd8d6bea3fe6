//! Deficit round robin between the customers of one priority and class.

use std::collections::{BTreeMap, VecDeque};

use base::{ids::AttemptId, prelude::*};

use crate::request::{AdmissionRequest, RequestSize};

/// Largest cost charged for one request, in units of the quantum.
const MAX_COST_QUANTA: i64 = 16;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) request: AdmissionRequest,
    pub(crate) offered: Instant,
    /// A request that starts later than this is not expected to end by its deadline. It is the
    /// deadline itself if a slot was free when the request was offered.
    pub(crate) latest_start: Instant,
}

#[derive(Debug)]
struct CustomerQueue {
    share: ShareWeight,
    /// Size that the customer may be granted before the next round; negative after a grant out of
    /// turn.
    deficit: i64,
    requests: VecDeque<WaitingRequest>,
}

/// Waiting requests of one priority and class.
#[derive(Debug)]
pub(crate) struct FairRing {
    quantum: i64,
    customers: BTreeMap<CustomerId, CustomerQueue>,
    /// Customers with waiting requests, in the order of their turns.
    ring: VecDeque<CustomerId>,
    /// Number of customers with each share.
    shares: BTreeMap<ShareWeight, usize>,
    share_total: u64,
    len: usize,
}

impl FairRing {
    pub(crate) fn new(quantum: RequestSize) -> Self {
        Self {
            quantum: i64::from(quantum.0.max(1)),
            customers: BTreeMap::new(),
            ring: VecDeque::new(),
            shares: BTreeMap::new(),
            share_total: 0,
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn customer_len(&self, customer: &CustomerId) -> usize {
        self.customers.get(customer).map_or(0, |queue| queue.requests.len())
    }

    /// Appends a request to its customer's queue.
    pub(crate) fn push(&mut self, waiting: WaitingRequest) {
        let customer = waiting.request.customer.clone();
        let share = waiting.request.share;
        if !self.customers.contains_key(&customer) {
            self.add_customer(&customer, share);
        }
        let queue = self.customers.get_mut(&customer).expect("the customer was added");
        queue.requests.push_back(waiting);
        self.len += 1;
    }

    /// Removes the next request by deficit round robin.
    pub(crate) fn pop(&mut self) -> Option<WaitingRequest> {
        loop {
            let customer = self.ring.front()?.clone();
            let quantum = self.quantum;
            let least = self.shares.keys().next().map_or(1, |share| i64::from(share.0.max(1)));
            let queue = self.customers.get_mut(&customer).expect("the customer has a queue");
            let cost = cost_of(queue.requests.front()?, quantum);
            if queue.deficit >= cost {
                queue.deficit -= cost;
                let waiting = queue.requests.pop_front();
                self.len -= 1;
                self.remove_customer_if_empty(&customer);
                return waiting;
            }
            queue.deficit += quantum * i64::from(queue.share.0) / least;
            self.ring.rotate_left(1);
        }
    }

    /// Removes the request that was offered first, regardless of shares.
    pub(crate) fn pop_oldest(&mut self) -> Option<WaitingRequest> {
        let oldest = self.customers.values().filter_map(|queue| queue.requests.front());
        let first = oldest.min_by_key(|waiting| waiting.offered)?;
        let (customer, id) = (first.request.customer.clone(), first.request.id);
        self.remove(&customer, id)
    }

    /// Removes one request out of turn and charges its customer for it.
    pub(crate) fn take(&mut self, customer: &CustomerId, id: AttemptId) -> Option<WaitingRequest> {
        let quantum = self.quantum;
        if let Some(queue) = self.customers.get_mut(customer) {
            let found = queue.requests.iter().find(|waiting| waiting.request.id == id);
            let cost = found.map_or(0, |waiting| cost_of(waiting, quantum));
            queue.deficit -= cost;
        }
        self.remove(customer, id)
    }

    /// Removes one request without charging its customer.
    pub(crate) fn remove(
        &mut self,
        customer: &CustomerId,
        id: AttemptId,
    ) -> Option<WaitingRequest> {
        let queue = self.customers.get_mut(customer)?;
        let index = queue.requests.iter().position(|waiting| waiting.request.id == id)?;
        let waiting = queue.requests.remove(index);
        self.len -= 1;
        self.remove_customer_if_empty(customer);
        waiting
    }

    /// Number of requests expected to be granted before a new one of `customer`.
    pub(crate) fn ahead_of(&self, customer: &CustomerId, share: ShareWeight) -> u64 {
        let own = self.customer_len(customer) as u64;
        let is_known = self.customers.contains_key(customer);
        let total = self.share_total + if is_known { 0 } else { u64::from(share.0) };
        let by_share = (own + 1) * total / u64::from(share.0.max(1));
        by_share.saturating_sub(1).min(self.len as u64).max(own)
    }

    /// The longest queue relative to its customer's share.
    pub(crate) fn longest(&self) -> Option<LongestQueue> {
        let weigh = |queue: &CustomerQueue| queue.requests.len() as f64 / f64::from(queue.share.0);
        let longest = self.customers.values().max_by(|a, b| weigh(a).total_cmp(&weigh(b)))?;
        let newest = longest.requests.back()?.request.clone();
        Some(LongestQueue { newest, weighted_len: weigh(longest) })
    }

    fn add_customer(&mut self, customer: &CustomerId, share: ShareWeight) {
        let queue = CustomerQueue { share, deficit: 0, requests: VecDeque::new() };
        self.customers.insert(customer.clone(), queue);
        self.ring.push_back(customer.clone());
        *self.shares.entry(share).or_default() += 1;
        self.share_total += u64::from(share.0);
    }

    fn remove_customer_if_empty(&mut self, customer: &CustomerId) {
        let Some(queue) = self.customers.get(customer) else { return };
        if !queue.requests.is_empty() {
            return;
        }
        let share = queue.share;
        self.customers.remove(customer);
        self.ring.retain(|member| member != customer);
        self.share_total -= u64::from(share.0);
        let count = self.shares.entry(share).or_default();
        *count -= 1;
        if *count == 0 {
            self.shares.remove(&share);
        }
    }
}

/// The longest queue of a ring relative to its customer's share.
#[derive(Debug)]
pub(crate) struct LongestQueue {
    /// The request of that queue that was offered last.
    pub(crate) newest: AdmissionRequest,
    /// Number of waiting requests divided by the share.
    pub(crate) weighted_len: f64,
}

fn cost_of(waiting: &WaitingRequest, quantum: i64) -> i64 {
    i64::from(waiting.request.size.0).clamp(1, MAX_COST_QUANTA * quantum)
}
