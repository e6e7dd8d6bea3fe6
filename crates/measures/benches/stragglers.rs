//! Tail latency while some backend servers are slowed: the owner's choice of replica with probation
//! and hedges against least connections on late reports.

use std::time::Duration;

use admission::AdmissionPolicy;
use lists::WorkClass;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    replay::{Job, ReplayFleet, ReplayRouter, ReplaySummary, SpeedChange, Workload, replay},
};

const SEED: u64 = 20_262;
const CUSTOMERS: usize = 8;
const LOAD: f64 = 0.35;
const END: Duration = Duration::from_secs(240);
/// The warm-up is not counted.
const FROM: Duration = Duration::from_secs(20);
const BUDGET: Duration = Duration::from_secs(10);
/// Each slowed server is slow for this long, again and again.
const SLOW_SPAN: Duration = Duration::from_secs(20);
/// Time between the starts of two slow spans of the same server.
const SLOW_PERIOD: Duration = Duration::from_secs(60);
/// Requests in a hundred that may be repeated.
const REPEATABLE: u32 = 80;
/// Largest ratio of the p99 to that with no server slowed.
const RATIO_TARGET: f64 = 1.5;
/// Most hedges in a hundred requests.
const HEDGE_TARGET: f64 = 5.0;

struct ServiceCase {
    name: &'static str,
    fleet: ReplayFleet,
    service: Duration,
    slowed: &'static [usize],
}

fn cases() -> [ServiceCase; 4] {
    let case = |name, servers, zones, millis, slowed| ServiceCase {
        name,
        fleet: ReplayFleet { servers, slots: 4, zones },
        service: Duration::from_millis(millis),
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
            rate: LOAD * self.fleet.capacity() / self.service.as_secs_f64(),
            service: self.service,
            budget: BUDGET,
            repeatable_percent: REPEATABLE,
        };
        workload.draw(SEED, CUSTOMERS, self.fleet.zones)
    }

    fn changes(&self, slowed: usize, factor: f64) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        for server in 0..slowed {
            let mut at = FROM + SLOW_PERIOD * server as u32 / 5;
            while at < END {
                changes.push(SpeedChange { at, server, factor });
                changes.push(SpeedChange { at: at + SLOW_SPAN, server, factor: 1.0 });
                at += SLOW_PERIOD;
            }
        }
        changes
    }

    fn run(&self, is_desk: bool, jobs: &[Job], changes: &[SpeedChange]) -> ReplaySummary {
        let policy = AdmissionPolicy { short_service: self.service, ..AdmissionPolicy::default() };
        let router = match is_desk {
            true => ReplayRouter::desk(policy, &self.fleet, SEED),
            false => ReplayRouter::naive(&self.fleet, SEED),
        };
        replay(router, &self.fleet, jobs, changes)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn measure(case: &ServiceCase, is_desk: bool, figures: &mut Vec<MeasuredFigure>) {
    let router = if is_desk { "desk" } else { "naive" };
    let jobs = case.jobs();
    let quantiles = |summary: &ReplaySummary| {
        [0.5, 0.99].map(|part| summary.quantile(&jobs, WorkClass::Short, FROM, part))
    };
    let [p50, normal_p99] = quantiles(&case.run(is_desk, &jobs, &[])).map(millis);
    println!("{:<18} {router:<6} none       {p50:>8.1} {normal_p99:>9.1}", case.name);
    for slowed in case.slowed {
        for factor in [3.0, 10.0] {
            let summary = case.run(is_desk, &jobs, &case.changes(*slowed, factor));
            let [p50, p99] = quantiles(&summary).map(millis);
            let (ratio, hedges) = (p99 / normal_p99, summary.hedge_percent());
            println!(
                "{:<18} {router:<6} {slowed} by {factor:<4} {p50:>9.1} {p99:>9.1} {ratio:>6.2} {hedges:>7.2}",
                case.name
            );
            let name = format!("stragglers.{}.{slowed}x{factor}", case.name);
            let (ratio_target, hedge_target) = match is_desk {
                true => (FigureTarget::AtMost(RATIO_TARGET), FigureTarget::AtMost(HEDGE_TARGET)),
                false => (FigureTarget::Baseline, FigureTarget::Baseline),
            };
            let p99_name = format!("{name}.p99_ratio.{router}");
            figures.push(MeasuredFigure::new(p99_name, ratio, ratio_target));
            if is_desk {
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
