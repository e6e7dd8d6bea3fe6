//! Burst of first requests for many cold models, against the bound that the weight store's rate
//! alone sets.

use measures::figures::FigureTarget;

use crate::{
    print_figure,
    replay::{KeepPolicy, Replay, ReplayResult, quantile},
    workload::{FleetSize, RequestTrace, TracedModel, TracedRequest},
};
use base::prelude::*;

/// Cold models that get requests at the same time.
const BURST_MODELS: usize = 40;
/// Requests for each of these models.
const BURST_REQUESTS: usize = 25;
/// Largest ratio of the p99 cold start to the bound.
const MAX_BOUND_RATIO: f64 = 1.3;

/// Measures the burst on one deployment.
pub fn measure(size: &FleetSize) {
    let size = FleetSize { trace_hours: 1.0, warm_up_hours: 0.0, ..*size };
    let trace = burst_trace(&size);
    let bound = bound_p99(&size);
    let keep = Duration::from_secs(600);
    let system = Replay::new(&size, &trace, KeepPolicy::Fixed(keep)).run();
    let naive = Replay::new(&size, &trace, KeepPolicy::Naive(keep)).run();
    println!(
        "\n{}: burst of {BURST_REQUESTS} requests for each of {BURST_MODELS} cold models",
        size.name
    );
    print_row("bound of the store's rate", bound, 0);
    print_row("system", quantile(&system.cold, 0.99), system.loads);
    print_row("naive", quantile(&naive.cold, 0.99), naive.loads);
    let p99 = |result: &ReplayResult| quantile(&result.cold, 0.99);
    print_figure(&size, "burst.bound_p99_s", bound, FigureTarget::Baseline);
    print_figure(&size, "burst.naive_p99_s", p99(&naive), FigureTarget::Baseline);
    print_figure(&size, "burst.p99_s", p99(&system), FigureTarget::AtMost(bound * MAX_BOUND_RATIO));
    let loads = system.loads as f64 / BURST_MODELS as f64;
    print_figure(&size, "burst.loads_per_model", loads, FigureTarget::AtMost(size.slots as f64));
}

fn print_row(name: &str, p99: f64, loads: usize) {
    println!("{name:<28} p99 cold start {p99:>8.3} s, {loads} loads");
}

/// The trace of the burst; all models have the same size, so that one bound holds for all.
fn burst_trace(size: &FleetSize) -> RequestTrace {
    let models = vec![TracedModel { size: ByteSize::gib(14) }; size.models];
    let mut requests = Vec::new();
    for request in 0..BURST_REQUESTS {
        for model in 0..BURST_MODELS {
            let arrival = 1.0 + request as f64 * 0.04 + model as f64 * 0.001;
            requests.push(TracedRequest { arrival, model, adapter: None, service_time: 2.0 });
        }
    }
    requests.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    RequestTrace { models, requests }
}

/// p99 wait in seconds if only the store's rate limited it: four loads read at once, so the first
/// models are ready after one read (4 / rate) and a load from disk (4 s), and each later one after
/// another 1 / rate.
fn bound_p99(size: &FleetSize) -> f64 {
    let first_load = 4.0 / size.store_rate + 4.0;
    let ready =
        |model: usize| 1.0 + first_load + (model.saturating_sub(3)) as f64 / size.store_rate;
    let mut waits: Vec<f64> = Vec::new();
    for model in 0..BURST_MODELS {
        for request in 0..BURST_REQUESTS {
            let arrival = 1.0 + request as f64 * 0.04 + model as f64 * 0.001;
            waits.push((ready(model) - arrival).max(0.0));
        }
    }
    waits.sort_by(f64::total_cmp);
    quantile(&waits, 0.99)
}
