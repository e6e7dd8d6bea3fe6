//! Backend servers that name a limit: their slots, and the requests that wait for one.

use base::prelude::*;
use limits::{KnownLimits, LimitGrant, LimitSighting, MAX_AHEAD, SlotForecast};
use roster::InstanceId;

use super::{CallDispatcher, OpenCall};
use crate::{
    choice::{ServerChoice, limited_choices},
    decision::{DispatchAction, DispatchDecision, WaitReason},
    hedging::HedgeSide,
    waiting,
};

impl CallDispatcher {
    /// Records the limit named in an answer, or that it names none; `sent` is when its request was
    /// sent. Returns whether the limit is another one than before.
    pub fn record_limit(&mut self, answer: LimitSighting, sent: Instant) -> bool {
        let report = self.allowances.record_answer(answer, sent);
        let is_changed = report.is_some();
        self.actions.extend(report.map(DispatchAction::QueryLimit));
        is_changed
    }

    /// Takes what another entry knows of a limit. Returns whether it is another one than before.
    /// Waiting requests are to be reviewed after it.
    pub fn apply_limit(&mut self, sighting: LimitSighting) -> bool {
        self.allowances.apply_sighting(sighting)
    }

    /// Takes the answer to a query for slots. Returns whether the limit is another one than before.
    /// Waiting requests are to be reviewed after it.
    pub fn apply_limit_grant(&mut self, grant: LimitGrant, now: Instant) -> bool {
        self.allowances.apply_grant(grant, now)
    }

    /// The limits of backend servers that this entry knows.
    pub fn limits(&self) -> &KnownLimits {
        self.allowances.known()
    }

    /// Takes an assigned request that was not sent from its server, which is returned.
    pub(super) fn unassign(&mut self, key: u64) -> Option<InstanceId> {
        self.put_back_slot(key);
        self.release_body(key, HedgeSide::First);
        let server = self.calls.get_mut(&key)?.assigned_to.take()?;
        if let Some(view) = self.servers.get_mut(&server) {
            view.remove_call(key);
        }
        Some(server)
    }

    /// Puts back the slot of a request that was not sent.
    pub(super) fn put_back_slot(&mut self, key: u64) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if let (Some(server), Some(slot)) = (&call.assigned_to, call.slot.take()) {
            self.allowances.put_back(server, slot);
        }
    }

    /// Lets a request wait for a slot of the server where it can be sent first. Without a server
    /// that names a limit, it waits for `reason`.
    pub(super) fn wait_for_slot_or(
        &mut self,
        key: u64,
        reason: WaitReason,
        now: Instant,
    ) -> DispatchDecision {
        match self.first_limited_server(key, now) {
            Some(server) => self.wait_for_slot(key, &server, now),
            None => self.wait_or_pause(key, reason, now),
        }
    }

    fn wait_for_slot(&mut self, key: u64, server: &InstanceId, now: Instant) -> DispatchDecision {
        let call = self.calls.get_mut(&key).expect("the key is that of an open request");
        let latest = waiting::latest_send(call.wait_deadline());
        // Without a slot in sight, a request waits for one only while its goal can be met.
        let goal = waiting::latest_send(call.request.arrived + call.request.goal);
        let useful = goal.max(now + waiting::SHORT_RETRY_AFTER);
        call.awaits_slot_of = Some(server.clone());
        call.waiting_since.get_or_insert(now);
        let started = self.servers.get(server).and_then(|view| view.started);
        let max_wait = latest.saturating_duration_since(now);
        self.query_limit(server, max_wait, now);
        let ahead = self.calls_ahead(server, key);
        let (end, is_in_time) = match self.allowances.forecast(server, started, ahead, now) {
            SlotForecast::At(from) => (from, from <= latest),
            SlotForecast::Unasked => (latest, now < latest),
            SlotForecast::NotBefore(at) => (at, at <= latest.min(useful)),
        };
        if !is_in_time {
            return self.refuse(key, waiting::limit_refusal(key, end, now));
        }
        match self.wait(key, WaitReason::ServersLimited, now) {
            DispatchDecision::Wait(reason, _) => DispatchDecision::Wait(reason, Some(end)),
            decision => decision,
        }
    }

    /// The server with a limit where a request can probably be sent first, of those that could take
    /// it.
    fn first_limited_server(&self, key: u64, now: Instant) -> Option<InstanceId> {
        if !self.allowances.known().has_any() {
            return None;
        }
        let request = &self.calls[&key].request;
        let view = self.choice_view(key, now);
        let generation = request.generation.as_ref();
        let choices = limited_choices(self.servers.values(), &request.service, generation, &view);
        let first = choices.min_by_key(|choice| {
            let started = self.servers.get(&choice.server).and_then(|view| view.started);
            let ahead = self.calls_ahead(&choice.server, key);
            let interval = self.allowances.interval(&choice.server, started).unwrap_or_default();
            let queue = interval * u32::try_from(ahead).unwrap_or(u32::MAX);
            let sent = match self.allowances.forecast(&choice.server, started, ahead, now) {
                SlotForecast::At(from) => from,
                SlotForecast::Unasked => now + queue,
                SlotForecast::NotBefore(at) => at + queue,
            };
            sent + choice.cost
        });
        first.map(|choice| choice.server)
    }

    /// Asks for a slot at a server with a limit that would have been chosen with one, so that a
    /// later request can be sent there. Its answer also shows whether the limit is over.
    pub(super) fn query_cheaper_limited(&mut self, key: u64, chosen: &ServerChoice, now: Instant) {
        if !self.allowances.known().has_any() {
            return;
        }
        let request = &self.calls[&key].request;
        let view = self.choice_view(key, now);
        let generation = request.generation.as_ref();
        let cheaper = limited_choices(self.servers.values(), &request.service, generation, &view)
            .filter(|choice| choice.cost < chosen.cost)
            .min_by_key(|choice| choice.cost);
        if let Some(choice) = cheaper {
            self.query_limit(&choice.server, MAX_AHEAD, now);
        }
    }

    /// Asks for slots for the requests that wait for one at `server`, or for one if none does, if a
    /// query is due.
    fn query_limit(&mut self, server: &InstanceId, max_wait: Duration, now: Instant) {
        let started = self.servers.get(server).and_then(|view| view.started);
        let waiting =
            self.calls.values().filter(|call| call.awaits_slot_of.as_ref() == Some(server));
        let wanted = waiting.count().max(1);
        let query = self.allowances.query(server, started, wanted, max_wait, now);
        self.actions.extend(query.map(DispatchAction::QueryLimit));
    }

    /// Number of requests that wait for a slot of `server` and get one before the request `key`.
    fn calls_ahead(&self, server: &InstanceId, key: u64) -> usize {
        let rank = |key: u64, call: &OpenCall| (call.request.priority, call.request.deadline, key);
        let own = rank(key, &self.calls[&key]);
        let waiting = self
            .calls
            .iter()
            .filter(|(other, call)| **other != key && call.awaits_slot_of.as_ref() == Some(server));
        waiting.filter(|(other, call)| rank(**other, call) < own).count()
    }
}
