//! Tail latency while some backend servers are slow: the owner's replica choice with probation and
//! hedges against least connections on delayed reports.

use std::time::Duration;

use admission::AdmissionPolicy;
use lists::WorkClass;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    replay::{Job, ReplayFleet, ReplayRouter, ReplaySummary, SpeedChange, Workload, replay},
};

const SEED: u64 = 20_262;
const CUSTOMERS: usize = 8;
/// Load, as a fraction of the capacity.
const LOAD: f64 = 0.35;
const END: Duration = Duration::from_secs(240);
/// Requests that arrive during the warm-up are not counted.
const WARM_UP: Duration = Duration::from_secs(20);
const TIMEOUT: Duration = Duration::from_secs(10);
/// Length of each slow span of a server.
const SLOW_SPAN: Duration = Duration::from_secs(20);
/// Time between the starts of two slow spans of the same server.
const SLOW_PERIOD: Duration = Duration::from_secs(60);
/// Percentage of requests that may run twice.
const RETRYABLE_PERCENT: u32 = 80;
/// Largest ratio of the p99 to the p99 without slow servers.
const MAX_P99_RATIO: f64 = 1.5;
/// Most hedges in a hundred requests.
const MAX_HEDGE_PERCENT: f64 = 5.0;

struct ServiceCase {
    name: &'static str,
    fleet: ReplayFleet,
    service_time: Duration,
    /// Numbers of slow servers to measure with.
    slowed: &'static [usize],
}

fn cases() -> [ServiceCase; 4] {
    let case = |name, servers, zones, millis, slowed| ServiceCase {
        name,
        fleet: ReplayFleet { servers, slots: 4, zones },
        service_time: Duration::from_millis(millis),
        slowed,
    };
    [
        case("rosnatka", 12, 3, 400, &[1, 2, 4]),
        case("vrbovka", 3, 3, 60, &[1]),
        case("lending-assistant", 9, 4, 300, &[1, 2, 4]),
        case("circulation-desk", 4, 4, 50, &[1, 2]),
    ]
}

impl ServiceCase {
    fn jobs(&self) -> Vec<Job> {
        let workload = Workload {
            class: WorkClass::Short,
            from: Duration::ZERO,
            until: END,
            rate: LOAD * self.fleet.capacity() / self.service_time.as_secs_f64(),
            service_time: self.service_time,
            timeout: TIMEOUT,
            retryable_percent: RETRYABLE_PERCENT,
        };
        workload.draw(SEED, CUSTOMERS, self.fleet.zones)
    }

    fn changes(&self, slowed: usize, slowdown: f64) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        for server in 0..slowed {
            let mut at = WARM_UP + SLOW_PERIOD * server as u32 / 5;
            while at < END {
                changes.push(SpeedChange { at, server, slowdown });
                changes.push(SpeedChange { at: at + SLOW_SPAN, server, slowdown: 1.0 });
                at += SLOW_PERIOD;
            }
        }
        changes
    }

    fn run(&self, is_owner: bool, jobs: &[Job], changes: &[SpeedChange]) -> ReplaySummary {
        let policy =
            AdmissionPolicy { short_service: self.service_time, ..AdmissionPolicy::default() };
        let router = match is_owner {
            true => ReplayRouter::owner(policy, &self.fleet, SEED),
            false => ReplayRouter::naive(&self.fleet, SEED),
        };
        replay(router, &self.fleet, jobs, changes)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn measure(case: &ServiceCase, is_owner: bool, figures: &mut Vec<MeasuredFigure>) {
    let router = if is_owner { "desk" } else { "naive" };
    let jobs = case.jobs();
    let latencies = |summary: &ReplaySummary| {
        [0.5, 0.99].map(|quantile| summary.quantile(&jobs, WorkClass::Short, WARM_UP, quantile))
    };
    let [p50, normal_p99] = latencies(&case.run(is_owner, &jobs, &[])).map(millis);
    println!("{:<18} {router:<6} none       {p50:>8.1} {normal_p99:>9.1}", case.name);
    for slowed in case.slowed {
        for slowdown in [3.0, 10.0] {
            let summary = case.run(is_owner, &jobs, &case.changes(*slowed, slowdown));
            let [p50, p99] = latencies(&summary).map(millis);
            let (ratio, hedges) = (p99 / normal_p99, summary.hedge_percent());
            println!(
                "{:<18} {router:<6} {slowed} by {slowdown:<4} {p50:>9.1} {p99:>9.1} {ratio:>6.2} {hedges:>7.2}",
                case.name
            );
            let name = format!("stragglers.{}.{slowed}x{slowdown}", case.name);
            let (ratio_target, hedge_target) = match is_owner {
                true => {
                    (FigureTarget::AtMost(MAX_P99_RATIO), FigureTarget::AtMost(MAX_HEDGE_PERCENT))
                }
                false => (FigureTarget::Baseline, FigureTarget::Baseline),
            };
            let p99_name = format!("{name}.p99_ratio.{router}");
            figures.push(MeasuredFigure::new(p99_name, ratio, ratio_target));
            if is_owner {
                let name = format!("{name}.hedge_percent.{router}");
                figures.push(MeasuredFigure::new(name, hedges, hedge_target));
            }
        }
    }
}

fn main() {
    let mut figures = Vec::new();
    println!("service            router slowed        p50 ms    p99 ms  ratio hedges%");
    for case in cases() {
        measure(&case, true, &mut figures);
        measure(&case, false, &mut figures);
    }
    println!();
    figures.iter().for_each(MeasuredFigure::print);
}
