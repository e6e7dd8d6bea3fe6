//! A burst of first requests for many cold models, beside the bound that the weight store's rate
//! alone sets.

use measures::figures::FigureTarget;

use crate::{
    figure,
    replay::{KeepPolicy, Replay, ReplayResult, quantile},
    workload::{FleetSize, ModelShape, RequestTrace, TracedRequest},
};
use base::prelude::*;

/// Models that wake at once.
const BURST_MODELS: usize = 40;
/// Requests for each of them.
const BURST_REQUESTS: usize = 25;
/// Largest ratio to the bound.
const BOUND_RATIO: f64 = 1.3;

/// Measures the burst on one deployment.
pub fn measure(size: &FleetSize) {
    let size = FleetSize { hours: 1.0, learned_hours: 0.0, ..*size };
    let trace = burst_trace(&size);
    let bound = bound_p99(&size);
    let keep = Duration::from_secs(600);
    let ours = Replay::new(&size, &trace, KeepPolicy::Fixed(keep)).run();
    let naive = Replay::new(&size, &trace, KeepPolicy::Naive(keep)).run();
    println!(
        "\n{}: burst of {BURST_REQUESTS} requests for each of {BURST_MODELS} cold models",
        size.name
    );
    print_row("bound of the store's rate", bound, 0);
    print_row("system", quantile(&ours.cold, 0.99), ours.loads);
    print_row("naive", quantile(&naive.cold, 0.99), naive.loads);
    let p99 = |result: &ReplayResult| quantile(&result.cold, 0.99);
    figure(&size, "burst.bound_p99_s", bound, FigureTarget::Baseline);
    figure(&size, "burst.naive_p99_s", p99(&naive), FigureTarget::Baseline);
    figure(&size, "burst.p99_s", p99(&ours), FigureTarget::AtMost(bound * BOUND_RATIO));
    let loads = ours.loads as f64 / BURST_MODELS as f64;
    figure(&size, "burst.loads_per_model", loads, FigureTarget::AtMost(size.slots as f64));
}

fn print_row(name: &str, p99: f64, loads: usize) {
    println!("{name:<28} p99 cold start {p99:>8.3} s, {loads} loads");
}

/// All models of the same size, so that the bound is one number.
fn burst_trace(size: &FleetSize) -> RequestTrace {
    let models = vec![ModelShape { size: ByteSize::gib(14) }; size.models];
    let mut requests = Vec::new();
    for request in 0..BURST_REQUESTS {
        for model in 0..BURST_MODELS {
            let at = 1.0 + request as f64 * 0.04 + model as f64 * 0.001;
            requests.push(TracedRequest { at, model, adapter: None, service: 2.0 });
        }
    }
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    RequestTrace { models, requests }
}

/// If the store alone set the time, the models would become ready one after the other at its
/// rate, the first after one read and the time from disk.
fn bound_p99(size: &FleetSize) -> f64 {
    let first = 4.0 / size.store_rate + 4.0;
    let ready = |model: usize| 1.0 + first + (model.saturating_sub(3)) as f64 / size.store_rate;
    let mut waits: Vec<f64> = Vec::new();
    for model in 0..BURST_MODELS {
        for request in 0..BURST_REQUESTS {
            let at = 1.0 + request as f64 * 0.04 + model as f64 * 0.001;
            waits.push((ready(model) - at).max(0.0));
        }
    }
    waits.sort_by(f64::total_cmp);
    quantile(&waits, 0.99)
}
