//! Fair order of the requests that wait, between workspaces and their routes.
//!
//! Only requests with a workspace take part; where there are none, requests are served by priority and
//! deadline.

use std::collections::BTreeMap;

use base::prelude::*;

use super::{CallDispatcher, OpenCall};
use crate::{
    decision::{DispatchAction, DispatchDecision, DispatchRequest},
    fairness::{FairFlow, FairQueue, WaitingRequest},
};

/// Most requests that are decided again before a new one, so that it does not take what they wait for.
const MAX_DECIDED_BEFORE: usize = 16;

/// Queues by priority and service.
pub(super) type FairQueues = BTreeMap<(u32, ServiceName), FairQueue>;

impl CallDispatcher {
    /// Keys of the requests that wait, in the order in which they are decided again: by priority, then
    /// by fair order, or by deadline where there are no workspaces.
    pub(super) fn waiting_order(&mut self) -> Vec<u64> {
        let waiting = || self.calls.iter().filter(|(_, call)| call.waiting_since.is_some());
        if self.fair_queues.is_empty() {
            let mut keys: Vec<(u32, Instant, u64)> = waiting()
                .map(|(key, call)| (call.request.priority, call.request.deadline, *key))
                .collect();
            keys.sort_unstable();
            return keys.into_iter().map(|(_, _, key)| key).collect();
        }
        let mut queues: BTreeMap<(u32, ServiceName), Vec<WaitingRequest>> = BTreeMap::new();
        for (key, call) in waiting() {
            let queue = queues.entry(queue_key(&call.request)).or_default();
            queue.push(waiting_request(*key, call));
        }
        // Those without a request that waits are updated, too.
        for key in self.fair_queues.keys() {
            queues.entry(key.clone()).or_default();
        }
        let mut keys = Vec::new();
        for (key, requests) in queues {
            keys.extend(self.fair_queues.entry(key).or_default().order(requests));
        }
        keys
    }

    /// Decides on requests that are ahead of the new request `key` in the order, because capacity may
    /// have become free since the last review.
    pub(super) fn decide_before(&mut self, key: u64, now: Instant) {
        let request = &self.calls[&key].request;
        if request.workspace.is_none() {
            return;
        }
        let (priority, service) = queue_key(request);
        let competes = |call: &OpenCall| {
            call.waiting_since.is_some()
                && call.request.service == service
                && call.request.priority <= priority
        };
        self.fair_queues.entry((priority, service.clone())).or_default();
        if !self.calls.values().any(competes) {
            return;
        }
        // The new request takes its place in the order among them.
        if let Some(call) = self.calls.get_mut(&key) {
            call.waiting_since = Some(now);
        }
        let order = self.waiting_order();
        if let Some(call) = self.calls.get_mut(&key) {
            call.waiting_since = None;
        }
        let ahead: Vec<u64> = order
            .into_iter()
            .take_while(|other| *other != key)
            .filter(|other| self.calls[other].request.service == service)
            .take(MAX_DECIDED_BEFORE)
            .collect();
        for other in ahead {
            self.decide_waiting(other, now);
        }
    }

    /// Decides again on a request that waits.
    pub(super) fn decide_waiting(&mut self, key: u64, now: Instant) {
        let decision = self.decide(key, now);
        if !matches!(decision, DispatchDecision::Wait(..)) {
            self.actions.push(DispatchAction::Decide(key, decision));
        }
    }

    /// Charges the workspace and the route of a request for its first assignment.
    pub(super) fn charge_flow(&mut self, key: u64) {
        if self.fair_queues.is_empty() {
            return;
        }
        let call = self.calls.get_mut(&key).expect("the key is that of an open request");
        if std::mem::replace(&mut call.is_charged, true) {
            return;
        }
        let queue = self.fair_queues.entry(queue_key(&call.request)).or_default();
        queue.charge(&flow(&call.request), cost(&call.request));
    }
}

fn queue_key(request: &DispatchRequest) -> (u32, ServiceName) {
    (request.priority, request.service.clone())
}

fn flow(request: &DispatchRequest) -> FairFlow {
    let workspace = request.workspace.clone();
    let route = workspace.is_some().then(|| request.route.clone());
    FairFlow { workspace, route }
}

/// Tokens of a request for a model; requests of plain services count alike.
pub(super) fn cost(request: &DispatchRequest) -> f64 {
    let tokens = |generation: &crate::call::Generation| {
        (generation.prompt.0.saturating_add(generation.output_limit.0)).max(1) as f64
    };
    request.generation.as_ref().map_or(1.0, tokens)
}

fn waiting_request(key: u64, call: &OpenCall) -> WaitingRequest {
    let request = &call.request;
    let rank = call.returned_since.unwrap_or(request.deadline);
    WaitingRequest { key, flow: flow(request), cost: cost(request), rank }
}
