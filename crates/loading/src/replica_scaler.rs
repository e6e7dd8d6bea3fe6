//! How many replicas the demand for a model asks for.

use std::collections::VecDeque;

use base::prelude::*;

/// Parts of the window over which the highest demand is remembered.
const WINDOW_PARTS: u32 = 8;

/// Length of that window, in load times.
const WINDOW_LOADS: u32 = 8;

/// Demand for a model at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// What is known of a replica's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaSpeed {
    /// Requests that a replica runs together.
    pub batch: u32,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Time that a load takes.
    pub load_time: Duration,
}

/// Replicas wanted altogether: the scale decides between one and many, and where no request is
/// there the keep-warm plan decides between one and none.
pub fn desired_replicas(target: u32, demand: ModelDemand, is_kept: bool) -> u32 {
    let is_needed = is_kept || demand != ModelDemand::default();
    match target {
        0 | 1 => u32::from(is_needed),
        _ => target,
    }
}

#[derive(Debug, Clone, Copy)]
struct DemandPart {
    end: Instant,
    replicas: u32,
}

/// The number of replicas wanted; rises at once and falls after a quiet window.
#[derive(Debug)]
pub struct ReplicaScaler {
    speed: ReplicaSpeed,
    parts: VecDeque<DemandPart>,
}

impl ReplicaScaler {
    /// A scale without any demand so far.
    pub fn new(speed: ReplicaSpeed) -> Self {
        Self { speed, parts: VecDeque::new() }
    }

    /// Replaces what is known of a replica's speed.
    pub fn set_speed(&mut self, speed: ReplicaSpeed) {
        self.speed = speed;
    }

    /// What is known of a replica's speed.
    pub fn speed(&self) -> ReplicaSpeed {
        self.speed
    }

    /// Replicas wanted, given how many are loaded or being loaded.
    pub fn target(&mut self, demand: ModelDemand, replicas: u32, now: Instant) -> u32 {
        let needed = self.needed(demand, replicas);
        self.note(needed, now);
        let highest = self.parts.iter().map(|part| part.replicas).max().unwrap_or(0);
        highest.min(needed.max(replicas))
    }

    /// Replicas for which waiting requests are worth a load: one that would be done only after
    /// the present replicas have worked off the queue is of no use.
    fn needed(&self, demand: ModelDemand, replicas: u32) -> u32 {
        let batch = self.speed.batch.max(1);
        let running = demand.running.div_ceil(batch);
        if demand.waiting == 0 {
            return running;
        }
        if replicas > 0 && self.drain_time(demand.waiting, replicas) <= self.speed.load_time {
            return running.max(replicas);
        }
        (demand.waiting + demand.running).div_ceil(batch).max(1)
    }

    fn drain_time(&self, waiting: u32, replicas: u32) -> Duration {
        let rounds = waiting.div_ceil(self.speed.batch.max(1) * replicas);
        self.speed.service_time * rounds
    }

    fn note(&mut self, replicas: u32, now: Instant) {
        let window = self.speed.load_time * WINDOW_LOADS;
        while self.parts.front().is_some_and(|part| part.end + window <= now) {
            self.parts.pop_front();
        }
        match self.parts.back_mut() {
            Some(part) if now < part.end => part.replicas = part.replicas.max(replicas),
            _ => self.parts.push_back(DemandPart { end: now + window / WINDOW_PARTS, replicas }),
        }
    }
}
