//! Scaling: how many replicas the demand for a model needs.

use std::collections::VecDeque;

use base::prelude::*;

/// Number of parts that the window of past demand is divided into.
const WINDOW_PARTS: u32 = 8;

/// Length of the window, in load times.
const WINDOW_LOADS: u32 = 8;

/// Demand for a model at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that run.
    pub running: u32,
}

/// Measured speed of a model's replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaSpeed {
    /// Number of requests that a replica runs at once.
    pub batch: u32,
    /// Run time of a request.
    pub service_time: Duration,
    /// Duration of a load.
    pub load_time: Duration,
}

/// Combines the scaler's `target` with the keep-warm plan: a target above one is taken as is;
/// otherwise one replica is desired while there is demand or the plan keeps the model loaded, and
/// none if neither holds.
pub fn desired_replicas(target: u32, demand: ModelDemand, is_kept_warm: bool) -> u32 {
    let is_needed = is_kept_warm || demand != ModelDemand::default();
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

/// Computes the target number of replicas. The target rises at once and falls only after the
/// demand was lower for a complete window, which avoids flapping.
#[derive(Debug)]
pub struct ReplicaScaler {
    speed: ReplicaSpeed,
    parts: VecDeque<DemandPart>,
}

impl ReplicaScaler {
    /// Creates a scaler without past demand.
    pub fn new(speed: ReplicaSpeed) -> Self {
        Self { speed, parts: VecDeque::new() }
    }

    /// Replaces the measured speed of the replicas.
    pub fn set_speed(&mut self, speed: ReplicaSpeed) {
        self.speed = speed;
    }

    /// The measured speed of the replicas.
    pub fn speed(&self) -> ReplicaSpeed {
        self.speed
    }

    /// Records the demand at `now` and returns the target number of replicas, given the number
    /// that is loaded or being loaded.
    pub fn target(&mut self, demand: ModelDemand, replicas: u32, now: Instant) -> u32 {
        let replicas_needed = self.replicas_needed(demand, replicas);
        self.record_demand(replicas_needed, now);
        let highest = self.parts.iter().map(|part| part.replicas).max().unwrap_or(0);
        highest.min(replicas_needed.max(replicas))
    }

    /// Replicas needed for this demand alone. Another load is not worth it if the present replicas
    /// drain the queue before it would be done.
    fn replicas_needed(&self, demand: ModelDemand, replicas: u32) -> u32 {
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
        let batches = waiting.div_ceil(self.speed.batch.max(1) * replicas);
        self.speed.service_time * batches
    }

    fn record_demand(&mut self, replicas: u32, now: Instant) {
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
