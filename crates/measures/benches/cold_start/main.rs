//! Cold starts and idle accelerator time: the keep-warm plan against fixed keep-alives and a naive
//! policy, bursts against the bound that the weight store's rate sets, and the cost of decisions.

mod burst;
mod cost;
mod replay;
mod workload;

use base::prelude::*;
use measures::figures::{FigureTarget, MeasuredFigure};
use replay::{KeepPolicy, Replay, ReplayResult, quantile};
use workload::{FleetSize, RequestTrace};

/// Seed of all traces.
const SEED: u64 = 41;

/// Fixed keep-alives of the named deployments, in minutes.
const KEEP_MINUTES: [u64; 3] = [1, 10, 60];

/// Fixed keep-alives at the design size, in minutes.
const DESIGN_MINUTES: [u64; 1] = [10];

/// Largest ratio of the plan's p99 wait to that of the fixed keep-alive; a smaller difference does
/// not count as lower.
const MAX_WAIT_RATIO: f64 = 0.99;

/// Bisection steps of the search for the price of waiting.
const PRICE_SEARCH_STEPS: usize = 8;

const SLATINA: FleetSize = FleetSize {
    name: "slatina",
    servers: 12,
    models: 70,
    adapters: 60,
    slots: 3,
    store_rate: 3.0,
    adapter_load: (0.006, 0.019),
    trace_hours: 120.0,
    warm_up_hours: 48.0,
};

const TOY_DESK: FleetSize = FleetSize {
    name: "toy-desk",
    servers: 9,
    models: 50,
    adapters: 40,
    slots: 3,
    store_rate: 4.5,
    adapter_load: (0.005, 0.014),
    trace_hours: 120.0,
    warm_up_hours: 48.0,
};

const DESIGN: FleetSize = FleetSize {
    name: "design",
    servers: 120,
    models: 120,
    adapters: 9400,
    slots: 3,
    store_rate: 4.5,
    adapter_load: (0.005, 0.014),
    trace_hours: 8.0,
    warm_up_hours: 4.0,
};

fn main() {
    for size in [SLATINA, TOY_DESK] {
        compare(&size, &KEEP_MINUTES);
    }
    compare(&DESIGN, &DESIGN_MINUTES);
    for size in [SLATINA, TOY_DESK] {
        burst::measure(&size);
    }
    cost::measure();
}

/// Compares the policies on one deployment.
fn compare(size: &FleetSize, minutes: &[u64]) {
    let trace = RequestTrace::draw(size, SEED);
    println!(
        "\n{}: {} servers, {} models, {} adapters, {} requests",
        size.name,
        size.servers,
        size.models,
        size.adapters,
        trace.requests.len()
    );
    println!(
        "policy                  p50 wait  p95 wait  p99 wait  p50 cold  p95 cold  p99 cold  idle h   loads  cold requests"
    );
    let naive = run(size, &trace, KeepPolicy::Naive(Duration::from_secs(600)));
    print_row("naive, 10 min", &naive);
    print_figure(size, "naive.wait_p99_s", quantile(&naive.waits, 0.99), FigureTarget::Baseline);
    print_figure(size, "naive.cold_p99_s", quantile(&naive.cold, 0.99), FigureTarget::Baseline);
    print_figure(size, "naive.idle_hours", naive.idle_hours, FigureTarget::Baseline);
    for minutes in minutes {
        compare_keep(size, &trace, *minutes);
    }
}

fn compare_keep(size: &FleetSize, trace: &RequestTrace, minutes: u64) {
    let fixed = run(size, trace, KeepPolicy::Fixed(Duration::from_secs(60 * minutes)));
    print_row(&format!("fixed, {minutes} min"), &fixed);
    let planned = run_with_idle_limit(size, trace, fixed.idle_hours);
    print_row(&format!("planned, same idle as {minutes} min"), &planned);
    let name = |what: &str| format!("keep_{minutes}min.{what}");
    let fixed_p99 = quantile(&fixed.waits, 0.99);
    print_figure(size, &name("fixed_wait_p99_s"), fixed_p99, FigureTarget::Baseline);
    print_figure(
        size,
        &name("fixed_cold_p99_s"),
        quantile(&fixed.cold, 0.99),
        FigureTarget::Baseline,
    );
    print_figure(size, &name("fixed_idle_hours"), fixed.idle_hours, FigureTarget::Baseline);
    print_figure(
        size,
        &name("planned_cold_p99_s"),
        quantile(&planned.cold, 0.99),
        FigureTarget::Baseline,
    );
    print_figure(
        size,
        &name("planned_idle_hours"),
        planned.idle_hours,
        FigureTarget::AtMost(fixed.idle_hours),
    );
    let planned_p99 = quantile(&planned.waits, 0.99);
    let target = FigureTarget::AtMost(fixed_p99 * MAX_WAIT_RATIO);
    print_figure(size, &name("planned_wait_p99_s"), planned_p99, target);
    let breaches = (fixed.breaches + planned.breaches) as f64;
    print_figure(size, &name("memory_breaches"), breaches, FigureTarget::AtMost(0.0));
    print_figure(size, &name("unserved"), planned.unserved as f64, FigureTarget::AtMost(0.0));
}

/// Result of the plan with the highest price of waiting whose idle hours don't exceed
/// `limit`.
fn run_with_idle_limit(size: &FleetSize, trace: &RequestTrace, limit: f64) -> ReplayResult {
    let (mut low, mut high) = (1e-4_f64, 1e4_f64);
    let mut best = run(size, trace, KeepPolicy::Planned(low));
    for _ in 0..PRICE_SEARCH_STEPS {
        let price = (low * high).sqrt();
        let result = run(size, trace, KeepPolicy::Planned(price));
        if result.idle_hours <= limit {
            low = price;
            best = result;
        } else {
            high = price;
        }
    }
    best
}

fn run(size: &FleetSize, trace: &RequestTrace, policy: KeepPolicy) -> ReplayResult {
    Replay::new(size, trace, policy).run()
}

fn print_row(name: &str, result: &ReplayResult) {
    let ReplayResult { waits, cold, idle_hours, loads, .. } = result;
    let [wait_p50, wait_p95, wait_p99] = [0.5, 0.95, 0.99].map(|q| quantile(waits, q));
    let [cold_p50, cold_p95, cold_p99] = [0.5, 0.95, 0.99].map(|q| quantile(cold, q));
    println!(
        "{name:<28} {wait_p50:>8.3}  {wait_p95:>8.3}  {wait_p99:>8.3}  {cold_p50:>8.3}  {cold_p95:>8.3}  {cold_p99:>8.3} {idle_hours:>8.1} {loads:>6} {:>6}/{}",
        cold.len(),
        waits.len()
    );
}

/// Prints a figure under the name of the deployment.
fn print_figure(size: &FleetSize, name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(format!("cold_start.{}.{name}", size.name), value, target).print();
}
