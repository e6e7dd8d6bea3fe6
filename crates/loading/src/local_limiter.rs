//! The side process's end of the weight store's gate, with a local cap while the gate's owner
//! does not answer.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::weight_limiter::{LimiterAction, LimiterEvent, WeightLoadId, WeightLoadRequest};

/// Time that the gate's owner has to answer or to say that the load waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Loads that one process reads from the store without the gate.
const MAX_UNPERMITTED_LOADS: usize = 1;

/// Something that happened at the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalLimiterEvent {
    /// A load wants to read from the store.
    Requested(WeightLoadRequest),
    /// The gate's owner decided.
    Decided(LimiterAction),
    /// The gate's owner says that a load waits there.
    Queued(WeightLoadId),
    /// A load ended.
    Ended(WeightLoadId),
    /// Time passed.
    Tick,
}

/// What the side process must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalLimiterAction {
    /// Send this to the gate's owner.
    Send(LimiterEvent),
    /// Begin the load.
    Start(WeightLoadId),
    /// Give the load up.
    Refuse(WeightLoadId),
}

#[derive(Debug, Clone, Copy)]
struct LoadState {
    request: WeightLoadRequest,
    heard: Instant,
    has_begun: bool,
    is_local: bool,
}

/// Loads of one side process on their way through the gate.
#[derive(Debug, Default)]
pub struct LocalLoadLimiter {
    loads: BTreeMap<WeightLoadId, LoadState>,
}

impl LocalLoadLimiter {
    /// Nothing under way.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one event and returns what must be done, in order.
    pub fn step(&mut self, event: LocalLimiterEvent, now: Instant) -> Vec<LocalLimiterAction> {
        let mut actions = Vec::new();
        match event {
            LocalLimiterEvent::Requested(request) => self.want(request, now, &mut actions),
            LocalLimiterEvent::Decided(LimiterAction::Permit(ticket)) => {
                self.begin(ticket, false, &mut actions);
            }
            LocalLimiterEvent::Decided(LimiterAction::Refuse(ticket)) => {
                self.refuse(ticket, &mut actions)
            }
            LocalLimiterEvent::Queued(ticket) => self.hear(ticket, now),
            LocalLimiterEvent::Ended(ticket) => self.end(ticket, &mut actions),
            LocalLimiterEvent::Tick => self.ask_again(&mut actions),
        }
        self.begin_unheard(now, &mut actions);
        actions
    }

    /// Loads that read from the store without a permit.
    pub fn unpermitted_count(&self) -> usize {
        self.loads.values().filter(|load| load.is_local).count()
    }

    fn want(
        &mut self,
        request: WeightLoadRequest,
        now: Instant,
        actions: &mut Vec<LocalLimiterAction>,
    ) {
        let load = LoadState { request, heard: now, has_begun: false, is_local: false };
        self.loads.entry(request.id).or_insert(load);
        actions.push(LocalLimiterAction::Send(LimiterEvent::Requested(request)));
    }

    fn begin(
        &mut self,
        ticket: WeightLoadId,
        is_local: bool,
        actions: &mut Vec<LocalLimiterAction>,
    ) {
        match self.loads.get_mut(&ticket) {
            Some(load) if load.has_begun => {}
            Some(load) => {
                load.has_begun = true;
                load.is_local = is_local;
                actions.push(LocalLimiterAction::Start(ticket));
            }
            None => actions.push(LocalLimiterAction::Send(LimiterEvent::Ended(ticket))),
        }
    }

    fn refuse(&mut self, ticket: WeightLoadId, actions: &mut Vec<LocalLimiterAction>) {
        if self.loads.get(&ticket).is_some_and(|load| !load.has_begun) {
            self.loads.remove(&ticket);
            actions.push(LocalLimiterAction::Refuse(ticket));
        }
    }

    fn hear(&mut self, ticket: WeightLoadId, now: Instant) {
        if let Some(load) = self.loads.get_mut(&ticket) {
            load.heard = now;
        }
    }

    fn end(&mut self, ticket: WeightLoadId, actions: &mut Vec<LocalLimiterAction>) {
        if self.loads.remove(&ticket).is_some() {
            actions.push(LocalLimiterAction::Send(LimiterEvent::Ended(ticket)));
        }
    }

    fn ask_again(&self, actions: &mut Vec<LocalLimiterAction>) {
        for load in self.loads.values() {
            let event = match load.has_begun {
                true => LimiterEvent::Renewed(load.request.id),
                false => LimiterEvent::Requested(load.request),
            };
            actions.push(LocalLimiterAction::Send(event));
        }
    }

    /// Begins loads that the gate's owner left unanswered, up to the local cap.
    fn begin_unheard(&mut self, now: Instant, actions: &mut Vec<LocalLimiterAction>) {
        let is_unheard = |load: &&LoadState| !load.has_begun && now >= load.heard + ANSWER_TIMEOUT;
        while self.unpermitted_count() < MAX_UNPERMITTED_LOADS {
            let unheard = self.loads.values().filter(is_unheard);
            let Some(first) = unheard.min_by_key(|load| load.request.deadline) else { return };
            self.begin(first.request.id, true, actions);
        }
    }
}
