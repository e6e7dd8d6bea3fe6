//! Goodput during a demand peak, and latency of short work beside long work: the owner's admission
//! against least connections on delayed reports with FIFO queues.

use std::time::Duration;

use admission::AdmissionPolicy;
use lists::WorkClass;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    replay::{Job, JobEnd, ReplayFleet, ReplayRouter, ReplaySummary, Workload, replay},
};

const SEED: u64 = 20_261;
const CUSTOMERS: usize = 8;
/// Load outside the peak, as a fraction of the capacity.
const BASE_LOAD: f64 = 0.4;
const PEAK_START: Duration = Duration::from_secs(30);
const PEAK_END: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(90);
const MIX_END: Duration = Duration::from_secs(240);
/// Short work that arrives during the warm-up of the mixed load is not counted.
const MIX_WARM_UP: Duration = Duration::from_secs(40);
const SHORT_TIMEOUT: Duration = Duration::from_secs(3);
const LONG_TIMEOUT: Duration = Duration::from_secs(120);
/// Ratio of the service time of long work to that of short work.
const LONG_FACTOR: u32 = 20;
/// Load of long work, as a fraction of the capacity.
const LONG_LOAD: f64 = 0.6;
/// Least goodput at the peak, as a fraction of what the capacity allows.
const MIN_GOODPUT: f64 = 0.9;
/// Largest ratio of the p99 of short work beside long work to its p99 alone.
const MAX_P99_RATIO: f64 = 1.2;
/// Number of seeds over which the mixed load is averaged.
const MIX_SEEDS: u64 = 5;

struct ServiceCase {
    name: &'static str,
    fleet: ReplayFleet,
    service_time: Duration,
}

fn cases() -> [ServiceCase; 4] {
    let case = |name, servers, zones, millis| ServiceCase {
        name,
        fleet: ReplayFleet { servers, slots: 4, zones },
        service_time: Duration::from_millis(millis),
    };
    [
        case("rosnatka", 12, 3, 400),
        case("vrbovka", 3, 3, 60),
        case("lending-assistant", 9, 4, 300),
        case("circulation-desk", 4, 4, 50),
    ]
}

impl ServiceCase {
    fn policy(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            short_service: self.service_time,
            long_service: self.service_time * LONG_FACTOR,
            ..AdmissionPolicy::default()
        }
    }

    fn short(&self, load: f64, from: Duration, until: Duration) -> Workload {
        Workload {
            class: WorkClass::Short,
            from,
            until,
            rate: load * self.fleet.capacity() / self.service_time.as_secs_f64(),
            service_time: self.service_time,
            timeout: SHORT_TIMEOUT,
            retryable_percent: 50,
        }
    }

    fn long(&self) -> Workload {
        let service_time = self.service_time * LONG_FACTOR;
        let rate = LONG_LOAD * self.fleet.capacity() / service_time.as_secs_f64();
        let class = WorkClass::Long;
        let timeout = LONG_TIMEOUT;
        Workload { class, rate, service_time, timeout, ..self.short(1.0, Duration::ZERO, MIX_END) }
    }

    fn draw(&self, workloads: &[Workload], seed: u64) -> Vec<Job> {
        let draws = workloads.iter().zip(seed * 100..);
        let mut jobs: Vec<Job> = draws
            .flat_map(|(workload, seed)| workload.draw(seed, CUSTOMERS, self.fleet.zones))
            .collect();
        jobs.sort_by_key(|job| job.arrival);
        jobs
    }

    fn run_owner(&self, jobs: &[Job], seed: u64) -> ReplaySummary {
        let router = ReplayRouter::owner(self.policy(), &self.fleet, seed);
        replay(router, &self.fleet, jobs, &[])
    }

    fn run_naive(&self, jobs: &[Job], seed: u64) -> ReplaySummary {
        replay(ReplayRouter::naive(&self.fleet, seed), &self.fleet, jobs, &[])
    }
}

/// Requests answered in time at the peak, as a fraction of what the capacity allows.
fn goodput(summary: &ReplaySummary, jobs: &[Job], peak_factor: f64) -> f64 {
    let answered = summary.fraction(jobs, PEAK_START, PEAK_END, |job, outcome| {
        outcome.end == JobEnd::Answered && outcome.elapsed <= job.timeout
    });
    answered * (BASE_LOAD * peak_factor) / (BASE_LOAD * peak_factor).min(1.0)
}

fn measure_peak(case: &ServiceCase, factor: u32, figures: &mut Vec<MeasuredFigure>) {
    let peak_factor = f64::from(factor);
    let workloads = [
        case.short(BASE_LOAD, Duration::ZERO, PEAK_START),
        case.short(BASE_LOAD * peak_factor, PEAK_START, PEAK_END),
        case.short(BASE_LOAD, PEAK_END, END),
    ];
    let jobs = case.draw(&workloads, SEED);
    for (router, summary) in
        [("desk", case.run_owner(&jobs, SEED)), ("naive", case.run_naive(&jobs, SEED))]
    {
        let good = goodput(&summary, &jobs, peak_factor);
        let refused = summary.fraction(&jobs, PEAK_START, PEAK_END, |_, outcome| {
            matches!(outcome.end, JobEnd::Refused(_))
        });
        let at_once = summary.fraction(&jobs, PEAK_START, PEAK_END, |_, outcome| {
            matches!(outcome.end, JobEnd::Refused(_)) && outcome.elapsed.is_zero()
        });
        let timed_out = summary
            .fraction(&jobs, PEAK_START, PEAK_END, |_, outcome| outcome.end == JobEnd::TimedOut);
        println!(
            "{:<18} x{factor:<3} {router:<6} {good:>8.3} {refused:>8.3} {at_once:>8.3} {timed_out:>9.3}",
            case.name
        );
        let target = match router {
            "desk" => FigureTarget::AtLeast(MIN_GOODPUT),
            _ => FigureTarget::Baseline,
        };
        let name = format!("crest.{}.x{factor}.goodput.{router}", case.name);
        figures.push(MeasuredFigure::new(name, good, target));
    }
}

/// Means over `MIX_SEEDS` seeds.
struct MixedResult {
    short_p99_ms: f64,
    long_answered: f64,
}

fn run_mix(case: &ServiceCase, has_long: bool, is_owner: bool) -> MixedResult {
    let mut sum = MixedResult { short_p99_ms: 0.0, long_answered: 0.0 };
    for seed in SEED..SEED + MIX_SEEDS {
        let short = case.short(BASE_LOAD, Duration::ZERO, MIX_END);
        let workloads = if has_long { vec![short, case.long()] } else { vec![short] };
        let jobs = case.draw(&workloads, seed);
        let summary =
            if is_owner { case.run_owner(&jobs, seed) } else { case.run_naive(&jobs, seed) };
        let p99 = summary.quantile(&jobs, WorkClass::Short, MIX_WARM_UP, 0.99);
        let long: Vec<Job> =
            jobs.iter().filter(|job| job.class == WorkClass::Long).copied().collect();
        let answered = summary.fraction(&jobs, Duration::ZERO, MIX_END, |job, outcome| {
            job.class == WorkClass::Long && outcome.end == JobEnd::Answered
        });
        let long_share = long.len() as f64 / jobs.len() as f64;
        sum.short_p99_ms += 1e3 * p99.as_secs_f64() / MIX_SEEDS as f64;
        sum.long_answered += answered / long_share.max(f64::MIN_POSITIVE) / MIX_SEEDS as f64;
    }
    sum
}

fn measure_mix(case: &ServiceCase, figures: &mut Vec<MeasuredFigure>) {
    for (router, is_owner) in [("desk", true), ("naive", false)] {
        let alone = run_mix(case, false, is_owner).short_p99_ms;
        let MixedResult { short_p99_ms, long_answered } = run_mix(case, true, is_owner);
        let ratio = short_p99_ms / alone;
        println!(
            "{:<18} {router:<6} {alone:>9.1} {short_p99_ms:>10.1} {ratio:>7.2} {long_answered:>14.3}",
            case.name
        );
        let target = match is_owner {
            true => FigureTarget::AtMost(MAX_P99_RATIO),
            false => FigureTarget::Baseline,
        };
        let name = format!("crest.{}.short_p99_ratio.{router}", case.name);
        figures.push(MeasuredFigure::new(name, ratio, target));
    }
}

fn main() {
    let mut figures = Vec::new();
    println!("service            swing router  goodput  refused  at once  timed out");
    for case in cases() {
        for factor in [2, 5, 10] {
            measure_peak(&case, factor, &mut figures);
        }
    }
    println!(
        "\nservice            router p99 alone  with long   ratio  long answered   (p99 of short work, ms)"
    );
    for case in cases() {
        measure_mix(&case, &mut figures);
    }
    println!();
    figures.iter().for_each(MeasuredFigure::print);
}
