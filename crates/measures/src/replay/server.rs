//! Simulated backend server with slots, a FIFO queue and a speed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{ids::AttemptId, prelude::Instant};

/// Expected end of an attempt; stale once the server's generation has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedEnd {
    /// Expected time of the end.
    pub at: Instant,
    /// Attempt that ends.
    pub id: AttemptId,
    /// Generation of the server when the end was computed; each change of speed increments it.
    pub generation: u64,
}

#[derive(Debug)]
struct RunningJob {
    remaining: Duration,
    updated_at: Instant,
}

/// State of one simulated backend server.
#[derive(Debug)]
pub struct SimulatedServer {
    slots: usize,
    slowdown: f64,
    generation: u64,
    running: BTreeMap<AttemptId, RunningJob>,
    queued: VecDeque<(AttemptId, Duration)>,
}

impl SimulatedServer {
    /// Creates an idle server of normal speed that runs `slots` attempts at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            slowdown: 1.0,
            generation: 0,
            running: BTreeMap::new(),
            queued: VecDeque::new(),
        }
    }

    /// Number of running and queued attempts.
    pub fn load(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Queues an attempt and starts the first queued one if a slot is free; returns its expected
    /// end.
    pub fn enqueue(
        &mut self,
        id: AttemptId,
        service_time: Duration,
        now: Instant,
    ) -> Option<ExpectedEnd> {
        self.queued.push_back((id, service_time));
        self.start_next(now)
    }

    /// Removes the attempt and returns true, unless `end` is stale or the attempt was cancelled.
    pub fn finish(&mut self, end: ExpectedEnd) -> bool {
        let is_current = end.generation == self.generation && self.running.contains_key(&end.id);
        is_current && self.running.remove(&end.id).is_some()
    }

    /// Removes a running or queued attempt.
    pub fn cancel(&mut self, id: AttemptId) {
        self.running.remove(&id);
        self.queued.retain(|(queued, _)| *queued != id);
    }

    /// Starts the first queued attempt if a slot is free; returns its expected end.
    pub fn start_next(&mut self, now: Instant) -> Option<ExpectedEnd> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (id, service_time) = self.queued.pop_front()?;
        self.running.insert(id, RunningJob { remaining: service_time, updated_at: now });
        let at = now + service_time.mul_f64(self.slowdown);
        Some(ExpectedEnd { at, id, generation: self.generation })
    }

    /// Sets the factor by which processing takes longer and returns the new expected ends of the
    /// running attempts; their earlier ends become stale.
    pub fn set_slowdown(&mut self, slowdown: f64, now: Instant) -> Vec<ExpectedEnd> {
        self.generation += 1;
        let mut ends = Vec::new();
        for (id, job) in &mut self.running {
            let done = now.saturating_duration_since(job.updated_at).div_f64(self.slowdown);
            job.remaining = job.remaining.saturating_sub(done);
            job.updated_at = now;
            let at = now + job.remaining.mul_f64(slowdown);
            ends.push(ExpectedEnd { at, id: *id, generation: self.generation });
        }
        self.slowdown = slowdown;
        ends
    }
}
