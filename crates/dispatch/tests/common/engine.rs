//! An engine with continuous batching: prompts are read in pieces between the tokens of others.

use base::prelude::*;

/// Speeds of an engine, as the users' sheet of the toy desk gives them.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Time of a step without prompts.
    pub step: Duration,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

pub const TOY_DESK: EngineSpeed = EngineSpeed {
    step: Duration::from_micros(8_200),
    tokens_per_ms: 25.8,
    chunk: 2048,
    tokens_per_event: 3,
};

#[derive(Debug, Clone)]
struct Run {
    key: u64,
    unread: u64,
    made: u64,
    total: u64,
}

/// What an engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// An event of the stream `key`.
    Event(u64),
    /// The stream `key` has ended.
    End(u64),
}

/// One engine.
#[derive(Debug)]
pub struct EngineSim {
    speed: EngineSpeed,
    runs: Vec<Run>,
    step_ends: Option<Instant>,
}

impl EngineSim {
    pub fn new(speed: EngineSpeed) -> Self {
        Self { speed, runs: Vec::new(), step_ends: None }
    }

    /// A request arrives that makes `total` tokens.
    pub fn send(&mut self, key: u64, prompt: u64, total: u64, now: Instant) {
        self.runs.push(Run { key, unread: prompt, made: 0, total });
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
    }

    /// When the present step ends.
    pub fn next(&self) -> Option<Instant> {
        self.step_ends
    }

    fn begin_step(&mut self, now: Instant) {
        if self.runs.is_empty() {
            self.step_ends = None;
            return;
        }
        let unread: u64 = self.runs.iter().map(|run| run.unread).sum();
        let read = unread.min(self.speed.chunk);
        let reading = Duration::from_secs_f64(read as f64 / self.speed.tokens_per_ms / 1000.0);
        self.step_ends = Some(now + self.speed.step + reading);
    }

    /// Ends the step that is due at `now`.
    pub fn end_step(&mut self, now: Instant) -> Vec<EngineEvent> {
        let mut budget = self.speed.chunk;
        let mut events = Vec::new();
        for run in &mut self.runs {
            let read = run.unread.min(budget);
            run.unread -= read;
            budget -= read;
            if run.unread > 0 {
                continue;
            }
            run.made += 1;
            let is_first = run.made == 1;
            if is_first || run.made.is_multiple_of(self.speed.tokens_per_event) {
                events.push(EngineEvent::Event(run.key));
            }
            if run.made >= run.total {
                events.push(EngineEvent::End(run.key));
            }
        }
        self.runs.retain(|run| run.made < run.total);
        self.begin_step(now);
        events
    }
}
