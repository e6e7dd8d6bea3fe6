//! Requests for rarely used models: timetables, sessions, rare single requests and crests.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOUR: f64 = 3600.0;
/// Requests of a crest, which arrive within five seconds.
const CREST_REQUESTS: usize = 100;

/// One deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Name in tables and figures.
    pub name: &'static str,
    /// Model engines.
    pub servers: usize,
    /// Models.
    pub models: usize,
    /// Adapters, spread over the models.
    pub adapters: usize,
    /// Slots of each model.
    pub slots: usize,
    /// Rate of the weight store.
    pub store_rate: f64,
    /// Time to load an adapter, in seconds.
    pub adapter_load: (f64, f64),
    /// Length of the history, in hours.
    pub hours: f64,
    /// Part of the history that is only learned from, in hours.
    pub learned_hours: f64,
}

/// A model of the history.
#[derive(Debug, Clone, Copy)]
pub struct ModelShape {
    /// Memory.
    pub size: ByteSize,
}

/// One request of the history.
#[derive(Debug, Clone, Copy)]
pub struct TracedRequest {
    /// Arrival, in seconds.
    pub at: f64,
    /// Model.
    pub model: usize,
    /// Adapter on the model.
    pub adapter: Option<usize>,
    /// Time that it runs, in seconds.
    pub service: f64,
}

/// How a model or adapter is used.
#[derive(Debug, Clone, Copy)]
enum UseShape {
    Timetable { period: f64 },
    Sessions { gap: f64 },
    Rare { gap: f64 },
}

/// A history of requests.
#[derive(Debug, Clone)]
pub struct RequestTrace {
    /// Models.
    pub models: Vec<ModelShape>,
    /// Requests in the order of their arrivals.
    pub requests: Vec<TracedRequest>,
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw_shape(rng: &mut ChaCha8Rng) -> UseShape {
    match rng.random_range(0..10) {
        0..3 => UseShape::Timetable { period: [1.0, 2.0, 4.0, 6.0][rng.random_range(0..4)] * HOUR },
        3..7 => UseShape::Sessions { gap: rng.random_range(0.5..8.0) * HOUR },
        _ => UseShape::Rare { gap: rng.random_range(2.0..24.0) * HOUR },
    }
}

impl RequestTrace {
    /// The history of a deployment, drawn by `seed`.
    pub fn draw(size: &FleetSize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shapes = [8, 14, 14, 24, 40];
        let shape = |rng: &mut ChaCha8Rng| ModelShape {
            size: ByteSize::gib(shapes[rng.random_range(0..shapes.len())]),
        };
        let models = (0..size.models).map(|_| shape(&mut rng)).collect();
        let mut trace = Self { models, requests: Vec::new() };
        let end = size.hours * HOUR;
        for model in 0..size.models {
            trace.draw_uses(&mut rng, model, None, end);
        }
        for adapter in 0..size.adapters {
            trace.draw_uses(&mut rng, adapter % size.models, Some(adapter), end);
        }
        for _ in 0..(size.hours / 24.0) as usize {
            let model = rng.random_range(0..size.models);
            let at = rng.random_range(0.0..end);
            trace.draw_crest(&mut rng, model, at);
        }
        trace.requests.sort_by(|a, b| a.at.total_cmp(&b.at));
        trace
    }

    fn draw_uses(&mut self, rng: &mut ChaCha8Rng, model: usize, adapter: Option<usize>, end: f64) {
        let shape = draw_shape(rng);
        let mut at = match shape {
            UseShape::Timetable { period } => rng.random_range(0.0..period),
            UseShape::Sessions { gap } | UseShape::Rare { gap } => exponential(rng, gap),
        };
        while at < end {
            let (count, think) = match shape {
                UseShape::Timetable { .. } => (rng.random_range(1..20), 0.5),
                UseShape::Sessions { .. } => (rng.random_range(3..20), 45.0),
                UseShape::Rare { .. } => (1, 0.0),
            };
            let mut arrival = at;
            for _ in 0..count {
                let service = rng.random_range(1.0..6.0);
                self.requests.push(TracedRequest { at: arrival, model, adapter, service });
                arrival += exponential(rng, think);
            }
            at += match shape {
                UseShape::Timetable { period } => period * rng.random_range(0.98..1.02),
                UseShape::Sessions { gap } | UseShape::Rare { gap } => exponential(rng, gap),
            };
        }
        self.requests.retain(|request| request.at < end);
    }

    fn draw_crest(&mut self, rng: &mut ChaCha8Rng, model: usize, at: f64) {
        for _ in 0..CREST_REQUESTS {
            let (at, service) = (at + rng.random_range(0.0..5.0), rng.random_range(1.0..6.0));
            self.requests.push(TracedRequest { at, model, adapter: None, service });
        }
    }
}
