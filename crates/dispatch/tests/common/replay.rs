//! A replay of arrivals at several entries, each with a desk of its own, and engines that they
//! share, in virtual time.

use std::collections::BTreeMap;

use base::prelude::*;
use dispatch::{CallDispatcher, DispatchAction, DispatchDecision};
use roster::InstanceId;

use super::{
    engine::{EngineEvent, EngineSim},
    stream_ask,
};

/// One request of a replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time from the start.
    pub at: Duration,
    /// Entry that accepts it.
    pub entry: usize,
    /// Model.
    pub model: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens that are made.
    pub output: u64,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Served {
    /// Time to the first event.
    pub first: Option<Duration>,
    /// Longest pause between two events.
    pub pause: Duration,
    /// Whether it was refused.
    pub is_refused: bool,
    /// Whether it is complete.
    pub is_complete: bool,
}

/// How requests get to engines.
pub trait Policy {
    /// Where a request goes at once; `None` if it waits.
    fn offer(&mut self, id: u64, arrival: &Arrival, now: Instant) -> Option<InstanceId>;
    /// The first event came; returns requests that go to engines now.
    fn start(&mut self, id: u64, now: Instant) -> Vec<(u64, InstanceId)>;
    /// The request is complete.
    fn end(&mut self, id: u64, now: Instant) -> Vec<(u64, InstanceId)>;
}

/// Every entry has a desk.
pub struct Desks {
    pub desks: Vec<CallDispatcher>,
    keys: BTreeMap<u64, (usize, u64)>,
    ids: BTreeMap<(usize, u64), u64>,
}

impl Desks {
    pub fn new(desks: Vec<CallDispatcher>) -> Self {
        Self { desks, keys: BTreeMap::new(), ids: BTreeMap::new() }
    }

    fn sent(&mut self, now: Instant) -> Vec<(u64, InstanceId)> {
        let mut sent = Vec::new();
        for (entry, desk) in self.desks.iter_mut().enumerate() {
            for action in desk.take_actions() {
                if let DispatchAction::Decide(key, DispatchDecision::Send(assignment)) = action {
                    desk.mark_sent(key, now);
                    sent.push((self.ids[&(entry, key)], assignment.server));
                }
            }
        }
        sent
    }
}

impl Policy for Desks {
    fn offer(&mut self, id: u64, arrival: &Arrival, now: Instant) -> Option<InstanceId> {
        let ask = stream_ask(&arrival.model, arrival.prompt, now);
        let (key, verdict) = self.desks[arrival.entry].submit(ask, now);
        self.keys.insert(id, (arrival.entry, key));
        self.ids.insert((arrival.entry, key), id);
        match verdict {
            DispatchDecision::Send(assignment) => {
                self.desks[arrival.entry].mark_sent(key, now);
                Some(assignment.server)
            }
            DispatchDecision::Wait(..) | DispatchDecision::Refuse(_) => None,
        }
    }

    fn start(&mut self, id: u64, now: Instant) -> Vec<(u64, InstanceId)> {
        let (entry, key) = self.keys[&id];
        self.desks[entry].record_first_byte(key, now);
        self.sent(now)
    }

    fn end(&mut self, id: u64, now: Instant) -> Vec<(u64, InstanceId)> {
        let (entry, key) = self.keys[&id];
        self.desks[entry].finish(key, true, now);
        self.sent(now)
    }
}

/// The naive policy: each request goes to the next engine at once.
pub struct InTurn {
    pub engines: Vec<InstanceId>,
    next: usize,
}

impl InTurn {
    pub fn new(engines: Vec<InstanceId>) -> Self {
        Self { engines, next: 0 }
    }
}

impl Policy for InTurn {
    fn offer(&mut self, _: u64, _: &Arrival, _: Instant) -> Option<InstanceId> {
        self.next += 1;
        Some(self.engines[self.next % self.engines.len()].clone())
    }

    fn start(&mut self, _: u64, _: Instant) -> Vec<(u64, InstanceId)> {
        Vec::new()
    }

    fn end(&mut self, _: u64, _: Instant) -> Vec<(u64, InstanceId)> {
        Vec::new()
    }
}

/// Plays `arrivals` and returns what became of each.
pub fn play(
    policy: &mut impl Policy,
    engines: &mut BTreeMap<InstanceId, EngineSim>,
    arrivals: &[Arrival],
    began: Instant,
) -> Vec<Served> {
    let mut served = vec![Served::default(); arrivals.len()];
    let mut last = vec![None::<Instant>; arrivals.len()];
    let mut next_arrival = 0;
    loop {
        let step = engines.iter().filter_map(|(id, sim)| Some((sim.next()?, id.clone()))).min();
        let arrival = arrivals.get(next_arrival).map(|arrival| began + arrival.at);
        let now = match (&step, arrival) {
            (None, None) => return served,
            (Some((ends, _)), None) => *ends,
            (None, Some(at)) => at,
            (Some((ends, _)), Some(at)) => at.min(*ends),
        };
        let mut sent = Vec::new();
        if arrival == Some(now) {
            let id = next_arrival as u64;
            let found = policy.offer(id, &arrivals[next_arrival], now);
            sent.extend(found.map(|engine| (id, engine)));
            next_arrival += 1;
        } else if let Some((_, engine)) = step {
            let events = engines.get_mut(&engine).expect("it has a step").end_step(now);
            for event in events {
                match event {
                    EngineEvent::Event(id) => {
                        let index = id as usize;
                        match last[index].replace(now) {
                            Some(before) => {
                                let pause = now.saturating_duration_since(before);
                                served[index].pause = served[index].pause.max(pause);
                            }
                            None => {
                                served[index].first = Some(now - (began + arrivals[index].at));
                                sent.extend(policy.start(id, now));
                            }
                        }
                    }
                    EngineEvent::End(id) => {
                        served[id as usize].is_complete = true;
                        sent.extend(policy.end(id, now));
                    }
                }
            }
        }
        for (id, engine) in sent {
            let arrival = &arrivals[id as usize];
            let sim = engines.get_mut(&engine).expect("it is among them");
            sim.send(id, arrival.prompt, arrival.output, now);
        }
    }
}
