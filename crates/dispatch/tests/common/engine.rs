//! Simulated engine with continuous batching: prompts are prefilled in chunks between the tokens of
//! running streams.

use base::prelude::*;

/// Speed of an engine, as given in the users' workload sheets.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Duration of a step without prefill.
    pub step: Duration,
    /// Prompt tokens prefilled per millisecond.
    pub tokens_per_ms: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u64,
    /// Tokens per event of a stream.
    pub tokens_per_event: u64,
}

/// Engine in the workload sheet of the toy desk.
pub const TOY_DESK: EngineSpeed = EngineSpeed {
    step: Duration::from_micros(8_200),
    tokens_per_ms: 25.8,
    chunk: 2048,
    tokens_per_event: 3,
};

#[derive(Debug, Clone)]
struct SimRequest {
    key: u64,
    queued: u64,
    generated: u64,
    total: u64,
}

/// Output of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// An event of the stream `key`.
    Event(u64),
    /// The stream `key` has ended.
    End(u64),
}

/// One simulated engine.
#[derive(Debug)]
pub struct EngineSim {
    speed: EngineSpeed,
    requests: Vec<SimRequest>,
    step_ends: Option<Instant>,
}

impl EngineSim {
    pub fn new(speed: EngineSpeed) -> Self {
        Self { speed, requests: Vec::new(), step_ends: None }
    }

    /// Adds a request that generates `total` tokens.
    pub fn send(&mut self, key: u64, prompt: u64, total: u64, now: Instant) {
        self.requests.push(SimRequest { key, queued: prompt, generated: 0, total });
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
    }

    /// End of the current step; none if no request is running.
    pub fn next(&self) -> Option<Instant> {
        self.step_ends
    }

    fn begin_step(&mut self, now: Instant) {
        if self.requests.is_empty() {
            self.step_ends = None;
            return;
        }
        let queued: u64 = self.requests.iter().map(|request| request.queued).sum();
        let prefilled = queued.min(self.speed.chunk);
        let prefill = Duration::from_secs_f64(prefilled as f64 / self.speed.tokens_per_ms / 1000.0);
        self.step_ends = Some(now + self.speed.step + prefill);
    }

    /// Ends the current step, which is due at `now`, and begins the next one.
    pub fn end_step(&mut self, now: Instant) -> Vec<EngineEvent> {
        let mut remaining = self.speed.chunk;
        let mut events = Vec::new();
        for request in &mut self.requests {
            let prefilled = request.queued.min(remaining);
            request.queued -= prefilled;
            remaining -= prefilled;
            if request.queued > 0 {
                continue;
            }
            request.generated += 1;
            let is_first = request.generated == 1;
            if is_first || request.generated.is_multiple_of(self.speed.tokens_per_event) {
                events.push(EngineEvent::Event(request.key));
            }
            if request.generated >= request.total {
                events.push(EngineEvent::End(request.key));
            }
        }
        self.requests.retain(|request| request.generated < request.total);
        self.begin_step(now);
        events
    }
}
