//! The choice of the backend server for one request, and what follows if there is none.

use base::prelude::*;
use catalog::TokenCount;

use super::{CallDispatcher, LoadTarget, StopStage};
use crate::{
    choice::{
        ChoiceView, EngineOffer, ServerChoice, choose_engine, choose_plain, earliest_pause_end,
        is_full,
    },
    decision::{Assignment, DispatchDecision, Refusal, WaitReason},
    hedging::HeldAddress,
    waiting,
};

/// Maximum wait for the permit of one engine before the request is dispatched again.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(450);

impl CallDispatcher {
    pub(super) fn decide_plain(&mut self, key: u64, now: Instant) -> DispatchDecision {
        let call = &self.calls[&key];
        let view = self.choice_view(key, now);
        match choose_plain(self.servers.values(), &call.request.service, &view) {
            Some(choice) => self.assign(key, &choice, now),
            None if is_full(self.servers.values(), &call.request.service, &view) => {
                self.wait(key, WaitReason::ServersFull, now)
            }
            None => self.wait_for_slot_or(key, WaitReason::NoServer, now),
        }
    }

    pub(super) fn decide_generation(&mut self, key: u64, now: Instant) -> DispatchDecision {
        let call = &self.calls[&key];
        let Some(generation) = &call.request.generation else {
            return self.decide_plain(key, now);
        };
        let view = self.choice_view(key, now);
        let servers = self.servers.values();
        match choose_engine(servers, &call.request.service, generation, &view) {
            EngineOffer::ModelMissing => self.wait_for_slot_or(key, WaitReason::ModelMissing, now),
            EngineOffer::Full => self.wait(key, WaitReason::ServersFull, now),
            EngineOffer::PrefillBusy => self.wait(key, WaitReason::PrefillBusy, now),
            EngineOffer::Chosen(choice) => self.assign(key, &choice, now),
        }
    }

    pub(super) fn choice_view(&self, key: u64, now: Instant) -> ChoiceView<'_> {
        let call = &self.calls[&key];
        ChoiceView {
            zone: &self.settings.zone,
            failed_servers: &call.failed_servers,
            software: call.request.software.as_ref(),
            service_time: self.service_time(&call.request.service),
            allowances: &self.allowances,
            bodies: &self.bodies,
            body: call.request.body,
            now,
        }
    }

    /// Lets a request wait for `reason`, unless its backend servers have only asked for a pause. It
    /// waits for a pause that ends within moments; then no load of the model is planned for it.
    pub(super) fn wait_or_pause(
        &mut self,
        key: u64,
        reason: WaitReason,
        now: Instant,
    ) -> DispatchDecision {
        let call = &self.calls[&key];
        let target = call.request.generation.as_ref().map(|generation| &generation.target);
        let request = &call.request;
        let servers = self.servers.values().filter(|view| view.fits(request.software.as_ref()));
        let pause_end = earliest_pause_end(servers, &request.service, target, now);
        match pause_end {
            None => self.wait(key, reason, now),
            Some(end) if end < now + waiting::SHORT_RETRY_AFTER => {
                self.wait(key, WaitReason::ServersPaused, now)
            }
            Some(end) => self.refuse(key, waiting::pause_refusal(key, end, now)),
        }
    }

    pub(super) fn wait(&mut self, key: u64, reason: WaitReason, now: Instant) -> DispatchDecision {
        if self.stop_stage >= StopStage::NoWaits {
            return self.refuse(key, Refusal::stopping(Duration::ZERO));
        }
        let call = self.calls.get_mut(&key).expect("the key is that of an open request");
        call.is_model_missing = reason == WaitReason::ModelMissing;
        if reason != WaitReason::ServersLimited {
            call.awaits_slot_of = None;
        }
        let waited_for_room =
            std::mem::replace(&mut call.waits_for_room, reason == WaitReason::ServersFull);
        if waited_for_room && !call.waits_for_room {
            // The time for which it waits for something else begins now.
            call.waiting_since = Some(now);
        }
        let waiting_since = *call.waiting_since.get_or_insert(now);
        let call = &self.calls[&key];
        let target = call.request.generation.as_ref().map(|generation| &generation.target);
        let estimate = target.and_then(|target| {
            let software = call.request.software.as_ref();
            let able_servers = self
                .servers
                .values()
                .filter(|view| view.service == call.request.service && view.fits(software));
            let load = LoadTarget {
                model: target.model.clone(),
                software: self.required_software(&call.request).cloned(),
            };
            let planned = self.load_estimates.get(&load);
            waiting::best_estimate(able_servers, &target.model, planned, now)
        });
        match waiting::check_wait(&call.request, reason, waiting_since, estimate, now) {
            Ok(expected_end) => DispatchDecision::Wait(reason, expected_end),
            Err(refusal) => self.refuse(key, refusal),
        }
    }

    fn assign(&mut self, key: u64, choice: &ServerChoice, now: Instant) -> DispatchDecision {
        self.query_cheaper_limited(key, choice, now);
        self.charge_flow(key);
        let call = self.calls.get_mut(&key).expect("the key is that of an open request");
        let server = &choice.server;
        let view = self.servers.get_mut(server).expect("the server was chosen from this map");
        call.waiting_since = None;
        call.waits_for_room = false;
        call.awaits_slot_of = None;
        call.is_model_missing = false;
        call.assigned_to = Some(server.clone());
        call.assigned_software = Some(view.software.clone());
        call.slot = self.allowances.take_slot(server, now);
        self.bodies.hold(view.address, call.request.body);
        call.held_at = Some(HeldAddress { address: view.address, has_body: true });
        let generation = call.request.generation.as_ref();
        let assignment = Assignment {
            server: server.clone(),
            started: view.started,
            software: view.software.clone(),
            address: view.address,
            attempt: call.sent_attempts + 1,
            load: view.load(),
            load_age: view.load_age(now),
            expected_first_byte: choice.expected,
            needs_permit: generation.is_some() && view.has_side_process(),
            permit_deadline: call.wait_deadline().min(now + MAX_PERMIT_WAIT),
        };
        let target = generation.map(|generation| generation.target.clone());
        let prompt = generation.map_or(TokenCount(0), |generation| generation.prompt);
        view.assign(key, target, prompt, now);
        DispatchDecision::Send(assignment)
    }
}
