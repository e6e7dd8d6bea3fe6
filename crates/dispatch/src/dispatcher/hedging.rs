//! Hedged requests: a second attempt of a slow request at another backend server.

use base::prelude::*;
use catalog::{RouteKind, TokenCount};
use roster::InstanceId;

use super::{CallDispatcher, OpenCall, StopStage};
use crate::{
    choice::{ServerChoice, choose_hedge},
    decision::{Assignment, AttemptFailure},
    hedging::{FULL_SHARE, HedgeCause, HedgeDecision, HedgeLimits, HedgeSide, HeldAddress},
};

impl OpenCall {
    /// Whether the request may be hedged: it may run more than once, its answer is buffered, and
    /// no attempt has failed. Requests for models need a permit for each attempt and have none.
    fn is_hedgeable(&self) -> bool {
        self.request.kind == RouteKind::Idempotent
            && self.request.generation.is_none()
            && self.failed_servers.is_empty()
    }
}

impl CallDispatcher {
    /// Sets the limits of hedges.
    pub fn set_hedge_limits(&mut self, limits: HedgeLimits) {
        self.hedges.set_limits(limits);
    }

    /// When a hedge of the request `key`, which was just sent, is due; none if it gets none.
    pub fn hedge_due(&mut self, key: u64, now: Instant) -> Option<Instant> {
        if !self.hedges.is_on() {
            return None;
        }
        let call = self.calls.get(&key).filter(|call| call.is_hedgeable())?;
        let sent = call.hedge.first_sent?;
        let delay = self.hedges.delay(&call.request.service, &call.request.route, now)?;
        Some(sent + delay).filter(|due| *due < call.request.deadline)
    }

    /// Decides whether the request `key`, whose hedge is due, gets one, and records that it is sent.
    pub fn start_hedge(&mut self, key: u64, now: Instant) -> HedgeDecision {
        let choice = match self.find_hedge(key, now) {
            Ok(choice) => choice,
            Err(cause) => return HedgeDecision::Withheld(cause),
        };
        let service = self.calls[&key].request.service.clone();
        if !self.budget(&service).try_take(now) {
            return HedgeDecision::Withheld(HedgeCause::BudgetSpent);
        }
        self.hedges.take_share(&service);
        let call = self.calls.get_mut(&key).expect("a server was found for this request");
        let view = self.servers.get_mut(&choice.server).expect("it was chosen from this map");
        call.sent_attempts += 1;
        call.hedge.second = Some(choice.server.clone());
        self.bodies.hold(view.address, call.request.body);
        call.hedge.second_held_at = Some(HeldAddress { address: view.address, has_body: true });
        let assignment = Assignment {
            server: choice.server,
            started: view.started,
            software: view.software.clone(),
            address: view.address,
            // The first may still wait for its connection.
            attempt: call.sent_attempts.max(2),
            load: view.load(),
            load_age: view.load_age(now),
            expected_first_byte: choice.expected,
            needs_permit: false,
            permit_deadline: now,
        };
        view.assign(key, None, TokenCount(0), now);
        view.mark_sent(key, now);
        HedgeDecision::Send(assignment)
    }

    fn find_hedge(&self, key: u64, now: Instant) -> Result<ServerChoice, HedgeCause> {
        let call = self.calls.get(&key).filter(|call| call.is_hedgeable());
        let call = call.ok_or(HedgeCause::NoAttempts)?;
        let request = &call.request;
        if self.stop_stage != StopStage::Serving {
            return Err(HedgeCause::Stopping);
        }
        if call.hedge.second.is_some() || call.run_attempts + 2 > request.max_attempts {
            return Err(HedgeCause::NoAttempts);
        }
        // Both attempts could crash their servers before the first crash is known.
        if self.suspects.crashes(&request.suspect_keys) > 0
            || self.block_refusal(key, now).is_some()
        {
            return Err(HedgeCause::Suspect);
        }
        let waits = |other: &OpenCall| {
            other.waiting_since.is_some() && other.request.service == request.service
        };
        if self.calls.values().any(waits) {
            return Err(HedgeCause::CallsWait);
        }
        if self.is_nearly_full(&request.service) {
            return Err(HedgeCause::ServiceFull);
        }
        let first = call.assigned_to.as_ref().and_then(|id| self.servers.get(id));
        let first = first.ok_or(HedgeCause::NoServer)?;
        let view = self.choice_view(key, now);
        let choice = choose_hedge(self.servers.values(), &request.service, first, &view);
        let choice = choice.ok_or(HedgeCause::NoServer)?;
        if now + choice.expected >= request.deadline {
            return Err(HedgeCause::TooLate);
        }
        match self.hedges.has_share(&request.service) {
            true => Ok(choice),
            false => Err(HedgeCause::ShareSpent),
        }
    }

    /// Whether most slots of a service are in use; servers that drain do not count.
    fn is_nearly_full(&self, service: &ServiceName) -> bool {
        let servers = self.servers.values().filter(|view| view.service == *service);
        let sums = servers
            .filter(|view| !view.is_draining() && !view.is_down())
            .fold((0.0, 0.0), |(load, slots), view| {
                (load + f64::from(view.load()), slots + f64::from(view.slots))
            });
        sums.0 > sums.1 * FULL_SHARE
    }

    /// Records that `side` of a hedged request has answered; the other attempt is cancelled, which
    /// is no failure of its server.
    pub fn win_hedged(&mut self, key: u64, side: HedgeSide, now: Instant) {
        let Some(loser) = self.keep_one_side(key, side) else { return };
        let Some(call) = self.calls.get(&key) else { return };
        let average = self.service_time(&call.request.service);
        if let Some(view) = self.servers.get_mut(&loser) {
            // A server that had no time to answer has not failed to.
            match view.learn_least_time(key, average, now) {
                true => view.cancel_call(key, now),
                false => view.remove_call(key),
            }
        }
    }

    /// Records that `side` of a hedged request failed while the other attempt goes on.
    pub fn fail_hedged(
        &mut self,
        key: u64,
        side: HedgeSide,
        failure: AttemptFailure,
        now: Instant,
    ) {
        if failure == AttemptFailure::Failed {
            self.record_answer_begun(key, now);
        }
        let other = match side {
            HedgeSide::First => HedgeSide::Second,
            HedgeSide::Second => HedgeSide::First,
        };
        let Some(server) = self.keep_one_side(key, other) else { return };
        let Some(call) = self.calls.get_mut(&key) else { return };
        if failure.may_have_run() {
            call.run_attempts += 1;
        }
        if failure != AttemptFailure::Withdrawn {
            call.failed_servers.push(server.clone());
        } else if side == HedgeSide::Second {
            self.put_back_hedge(key);
        }
        if failure == AttemptFailure::Severed {
            self.record_severed(&server, key, now);
        }
        self.charge_failure(&server, key, failure, None, now);
    }

    /// Records that the hedge of the request `key` is sent.
    pub(super) fn mark_hedge_sent(&mut self, key: u64, now: Instant) {
        let second = self.calls.get(&key).and_then(|call| call.hedge.second.clone());
        if let Some(view) = second.and_then(|second| self.servers.get_mut(&second)) {
            view.mark_sent(key, now);
        }
    }

    /// Returns what a hedge has taken that was not sent.
    fn put_back_hedge(&mut self, key: u64) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.sent_attempts = call.sent_attempts.saturating_sub(1);
        let service = call.request.service.clone();
        self.budget(&service).budget.put_back();
        self.hedges.put_back_share(&service);
    }

    /// Makes the attempt `side` of a hedged request its only one; returns the server of the other.
    fn keep_one_side(&mut self, key: u64, side: HedgeSide) -> Option<InstanceId> {
        let call = self.calls.get_mut(&key)?;
        let second = call.hedge.second.take()?;
        let other = match side {
            HedgeSide::First => HedgeSide::Second,
            HedgeSide::Second => HedgeSide::First,
        };
        self.release_body(key, other);
        let call = self.calls.get_mut(&key)?;
        let second_held_at = call.hedge.second_held_at.take();
        match side {
            HedgeSide::First => Some(second),
            HedgeSide::Second => {
                call.held_at = second_held_at;
                let view = self.servers.get(&second);
                call.assigned_software = view.map(|view| view.software.clone());
                call.assigned_to.replace(second)
            }
        }
    }

    /// Records the end of a request: the time to its answer if it is `is_success`. A hedge in
    /// flight is cancelled.
    pub(super) fn finish_hedge(&mut self, key: u64, is_success: bool, now: Instant) {
        self.win_hedged(key, HedgeSide::First, now);
        let Some(call) = self.calls.get(&key) else { return };
        // Requests that may not be repeated show the times of their service as well.
        let is_plain = call.request.generation.is_none() && !call.request.kind.is_streaming();
        let is_counted =
            is_success && self.hedges.is_on() && is_plain && call.failed_servers.is_empty();
        let Some(sent) = call.hedge.first_sent.filter(|_| is_counted) else { return };
        let took = now.saturating_duration_since(sent);
        self.hedges.record_answer(&call.request.service, &call.request.route, took, now);
    }
}
