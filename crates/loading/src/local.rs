//! The side process's end of the weight store's gate, with a local cap while the gate's owner
//! does not answer.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::gate::{GateAction, GateEvent, GateRequest, GateTicket};

/// Time that the gate's owner has to answer or to say that the load waits.
const ANSWER_SPAN: Duration = Duration::from_secs(2);

/// Loads that one process reads from the store without the gate.
const LOCAL_CAP: usize = 1;

/// Something that happened at the side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalEvent {
    /// A load wants to read from the store.
    Wanted(GateRequest),
    /// The gate's owner decided.
    Decided(GateAction),
    /// The gate's owner says that a load waits there.
    Waits(GateTicket),
    /// A load ended.
    Ended(GateTicket),
    /// Time passed.
    Tick,
}

/// What the side process must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalAction {
    /// Send this to the gate's owner.
    Send(GateEvent),
    /// Begin the load.
    Begin(GateTicket),
    /// Give the load up.
    Refuse(GateTicket),
}

#[derive(Debug, Clone, Copy)]
struct LocalLoad {
    request: GateRequest,
    heard: Instant,
    has_begun: bool,
    is_local: bool,
}

/// Loads of one side process on their way through the gate.
#[derive(Debug, Default)]
pub struct LocalGate {
    loads: BTreeMap<GateTicket, LocalLoad>,
}

impl LocalGate {
    /// Nothing under way.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one event and returns what must be done, in order.
    pub fn step(&mut self, event: LocalEvent, now: Instant) -> Vec<LocalAction> {
        let mut actions = Vec::new();
        match event {
            LocalEvent::Wanted(request) => self.want(request, now, &mut actions),
            LocalEvent::Decided(GateAction::Permit(ticket)) => {
                self.begin(ticket, false, &mut actions);
            }
            LocalEvent::Decided(GateAction::Refuse(ticket)) => self.refuse(ticket, &mut actions),
            LocalEvent::Waits(ticket) => self.hear(ticket, now),
            LocalEvent::Ended(ticket) => self.end(ticket, &mut actions),
            LocalEvent::Tick => self.ask_again(&mut actions),
        }
        self.begin_unheard(now, &mut actions);
        actions
    }

    /// Loads that read from the store without a permit.
    pub fn local_count(&self) -> usize {
        self.loads.values().filter(|load| load.is_local).count()
    }

    fn want(&mut self, request: GateRequest, now: Instant, actions: &mut Vec<LocalAction>) {
        let load = LocalLoad { request, heard: now, has_begun: false, is_local: false };
        self.loads.entry(request.ticket).or_insert(load);
        actions.push(LocalAction::Send(GateEvent::Asked(request)));
    }

    fn begin(&mut self, ticket: GateTicket, is_local: bool, actions: &mut Vec<LocalAction>) {
        match self.loads.get_mut(&ticket) {
            Some(load) if load.has_begun => {}
            Some(load) => {
                load.has_begun = true;
                load.is_local = is_local;
                actions.push(LocalAction::Begin(ticket));
            }
            None => actions.push(LocalAction::Send(GateEvent::Ended(ticket))),
        }
    }

    fn refuse(&mut self, ticket: GateTicket, actions: &mut Vec<LocalAction>) {
        if self.loads.get(&ticket).is_some_and(|load| !load.has_begun) {
            self.loads.remove(&ticket);
            actions.push(LocalAction::Refuse(ticket));
        }
    }

    fn hear(&mut self, ticket: GateTicket, now: Instant) {
        if let Some(load) = self.loads.get_mut(&ticket) {
            load.heard = now;
        }
    }

    fn end(&mut self, ticket: GateTicket, actions: &mut Vec<LocalAction>) {
        if self.loads.remove(&ticket).is_some() {
            actions.push(LocalAction::Send(GateEvent::Ended(ticket)));
        }
    }

    fn ask_again(&self, actions: &mut Vec<LocalAction>) {
        for load in self.loads.values() {
            let event = match load.has_begun {
                true => GateEvent::Renewed(load.request.ticket),
                false => GateEvent::Asked(load.request),
            };
            actions.push(LocalAction::Send(event));
        }
    }

    /// Begins loads that the gate's owner left unanswered, up to the local cap.
    fn begin_unheard(&mut self, now: Instant, actions: &mut Vec<LocalAction>) {
        let is_unheard = |load: &&LocalLoad| !load.has_begun && now >= load.heard + ANSWER_SPAN;
        while self.local_count() < LOCAL_CAP {
            let unheard = self.loads.values().filter(is_unheard);
            let Some(first) = unheard.min_by_key(|load| load.request.deadline) else { return };
            self.begin(first.request.ticket, true, actions);
        }
    }
}
