//! Request traces for rarely used models: scheduled batches, sessions, rare single requests and
//! demand peaks.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOUR_SECONDS: f64 = 3600.0;
/// Requests of a demand peak, which arrive within five seconds.
const PEAK_REQUESTS: usize = 100;

/// Size of a deployment and length of its trace.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Name in the tables and the figure names.
    pub name: &'static str,
    /// Number of engines.
    pub servers: usize,
    /// Number of models.
    pub models: usize,
    /// Number of adapters, spread over the models in turn.
    pub adapters: usize,
    /// Number of slots of each model.
    pub slots: usize,
    /// Loads a second that the weight store sustains.
    pub store_rate: f64,
    /// Shortest and longest time to load an adapter, in seconds.
    pub adapter_load: (f64, f64),
    /// Length of the trace, in hours.
    pub trace_hours: f64,
    /// Hours at the start of the trace that only train the plan and are not counted.
    pub warm_up_hours: f64,
}

/// Model that a trace has requests for.
#[derive(Debug, Clone, Copy)]
pub struct TracedModel {
    /// Memory that the loaded model takes.
    pub size: ByteSize,
}

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct TracedRequest {
    /// Arrival, in seconds from the start of the trace.
    pub arrival: f64,
    /// Index of the model.
    pub model: usize,
    /// Index of the adapter, if the request uses one.
    pub adapter: Option<usize>,
    /// Time that the request runs, in seconds.
    pub service_time: f64,
}

/// When requests for a model or adapter arrive; times in seconds.
#[derive(Debug, Clone, Copy)]
enum UsagePattern {
    /// A batch of requests each `period`, give or take 2 %.
    Timetable { period: f64 },
    /// Sessions of several requests, with exponential gaps of mean `gap`.
    Sessions { gap: f64 },
    /// Single requests, with exponential gaps of mean `gap`.
    Rare { gap: f64 },
}

/// Models and the requests for them.
#[derive(Debug, Clone)]
pub struct RequestTrace {
    /// Models, by index.
    pub models: Vec<TracedModel>,
    /// Requests, sorted by arrival.
    pub requests: Vec<TracedRequest>,
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw_pattern(rng: &mut ChaCha8Rng) -> UsagePattern {
    match rng.random_range(0..10) {
        0..3 => UsagePattern::Timetable {
            period: [1.0, 2.0, 4.0, 6.0][rng.random_range(0..4)] * HOUR_SECONDS,
        },
        3..7 => UsagePattern::Sessions { gap: rng.random_range(0.5..8.0) * HOUR_SECONDS },
        _ => UsagePattern::Rare { gap: rng.random_range(2.0..24.0) * HOUR_SECONDS },
    }
}

impl RequestTrace {
    /// Draws the trace of a deployment; `seed` determines it.
    pub fn draw(size: &FleetSize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sizes_gib = [8, 14, 14, 24, 40];
        let draw_model = |rng: &mut ChaCha8Rng| TracedModel {
            size: ByteSize::gib(sizes_gib[rng.random_range(0..sizes_gib.len())]),
        };
        let models = (0..size.models).map(|_| draw_model(&mut rng)).collect();
        let mut trace = Self { models, requests: Vec::new() };
        let end = size.trace_hours * HOUR_SECONDS;
        for model in 0..size.models {
            trace.draw_requests(&mut rng, model, None, end);
        }
        for adapter in 0..size.adapters {
            trace.draw_requests(&mut rng, adapter % size.models, Some(adapter), end);
        }
        for _ in 0..(size.trace_hours / 24.0) as usize {
            let model = rng.random_range(0..size.models);
            let at = rng.random_range(0.0..end);
            trace.draw_peak(&mut rng, model, at);
        }
        trace.requests.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
        trace
    }

    fn draw_requests(
        &mut self,
        rng: &mut ChaCha8Rng,
        model: usize,
        adapter: Option<usize>,
        end: f64,
    ) {
        let pattern = draw_pattern(rng);
        let mut at = match pattern {
            UsagePattern::Timetable { period } => rng.random_range(0.0..period),
            UsagePattern::Sessions { gap } | UsagePattern::Rare { gap } => exponential(rng, gap),
        };
        while at < end {
            let (count, think_time) = match pattern {
                UsagePattern::Timetable { .. } => (rng.random_range(1..20), 0.5),
                UsagePattern::Sessions { .. } => (rng.random_range(3..20), 45.0),
                UsagePattern::Rare { .. } => (1, 0.0),
            };
            let mut arrival = at;
            for _ in 0..count {
                let service_time = rng.random_range(1.0..6.0);
                self.requests.push(TracedRequest { arrival, model, adapter, service_time });
                arrival += exponential(rng, think_time);
            }
            at += match pattern {
                UsagePattern::Timetable { period } => period * rng.random_range(0.98..1.02),
                UsagePattern::Sessions { gap } | UsagePattern::Rare { gap } => {
                    exponential(rng, gap)
                }
            };
        }
        self.requests.retain(|request| request.arrival < end);
    }

    fn draw_peak(&mut self, rng: &mut ChaCha8Rng, model: usize, at: f64) {
        for _ in 0..PEAK_REQUESTS {
            let (arrival, service_time) =
                (at + rng.random_range(0.0..5.0), rng.random_range(1.0..6.0));
            self.requests.push(TracedRequest { arrival, model, adapter: None, service_time });
        }
    }
}
