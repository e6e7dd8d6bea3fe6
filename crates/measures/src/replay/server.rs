//! A backend server reduced to slots, a queue and a speed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{ids::AttemptId, prelude::Instant};

/// An attempt is expected to end, unless its generation has changed by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEnd {
    /// When.
    pub at: Instant,
    /// Which attempt.
    pub id: AttemptId,
    /// Changes with the speed of the server.
    pub generation: u64,
}

#[derive(Debug)]
struct RunningJob {
    left: Duration,
    since: Instant,
}

/// One backend server.
#[derive(Debug)]
pub struct ServerModel {
    slots: usize,
    factor: f64,
    generation: u64,
    running: BTreeMap<AttemptId, RunningJob>,
    waiting: VecDeque<(AttemptId, Duration)>,
}

impl ServerModel {
    /// An idle server of normal speed.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            factor: 1.0,
            generation: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Requests that run or wait here.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Takes a request; it waits if all slots are busy.
    pub fn start(&mut self, id: AttemptId, service: Duration, now: Instant) -> Option<ExpectedEnd> {
        self.waiting.push_back((id, service));
        self.fill(now)
    }

    /// Whether this end is still true; the request is gone afterwards.
    pub fn finish(&mut self, end: ExpectedEnd) -> bool {
        let is_current = end.generation == self.generation && self.running.contains_key(&end.id);
        is_current && self.running.remove(&end.id).is_some()
    }

    /// Withdraws a request.
    pub fn cancel(&mut self, id: AttemptId) {
        self.running.remove(&id);
        self.waiting.retain(|(waiting, _)| *waiting != id);
    }

    /// Starts the next waiting request, if there is one and a slot for it.
    pub fn fill(&mut self, now: Instant) -> Option<ExpectedEnd> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (id, service) = self.waiting.pop_front()?;
        self.running.insert(id, RunningJob { left: service, since: now });
        let at = now + service.mul_f64(self.factor);
        Some(ExpectedEnd { at, id, generation: self.generation })
    }

    /// Changes the speed and returns the new ends of the running requests.
    pub fn set_factor(&mut self, factor: f64, now: Instant) -> Vec<ExpectedEnd> {
        self.generation += 1;
        let mut ends = Vec::new();
        for (id, job) in &mut self.running {
            let done = now.saturating_duration_since(job.since).div_f64(self.factor);
            job.left = job.left.saturating_sub(done);
            job.since = now;
            let at = now + job.left.mul_f64(factor);
            ends.push(ExpectedEnd { at, id: *id, generation: self.generation });
        }
        self.factor = factor;
        ends
    }
}
