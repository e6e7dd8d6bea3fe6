//! Replays of the same traces by the owner's grant allocator and by least connections on delayed
//! reports.

use std::time::Duration;

use admission::AdmissionPolicy;
use lists::WorkClass;
use measures::replay::{
    Job, JobEnd, JobOutcome, ReplayFleet, ReplayRouter, ReplaySummary, SpeedChange, Workload,
    replay,
};

const FLEET: ReplayFleet = ReplayFleet { servers: 4, slots: 3, zones: 2 };
const END: Duration = Duration::from_secs(40);

fn policy() -> AdmissionPolicy {
    AdmissionPolicy {
        short_service: Duration::from_millis(100),
        long_service: Duration::from_secs(2),
        ..AdmissionPolicy::default()
    }
}

fn workload(class: WorkClass, rate: f64, service_millis: u64, timeout_millis: u64) -> Workload {
    Workload {
        class,
        from: Duration::ZERO,
        until: END,
        rate,
        service_time: Duration::from_millis(service_millis),
        timeout: Duration::from_millis(timeout_millis),
        retryable_percent: 60,
    }
}

fn trace(seed: u64) -> Vec<Job> {
    let burst = Workload {
        from: Duration::from_secs(10),
        until: Duration::from_secs(20),
        ..workload(WorkClass::Short, 150.0, 100, 1500)
    };
    let mut jobs = workload(WorkClass::Short, 50.0, 100, 1500).draw(seed, 5, FLEET.zones);
    jobs.extend(workload(WorkClass::Long, 2.0, 2000, 30_000).draw(seed + 1000, 5, FLEET.zones));
    jobs.extend(burst.draw(seed + 2000, 5, FLEET.zones));
    jobs.sort_by_key(|job| job.arrival);
    jobs
}

fn straggler(seed: u64) -> Vec<SpeedChange> {
    let server = seed as usize % FLEET.servers;
    let change = |at, slowdown| SpeedChange { at: Duration::from_secs(at), server, slowdown };
    vec![change(5, 10.0), change(25, 1.0)]
}

fn run_owner(seed: u64, jobs: &[Job]) -> ReplaySummary {
    replay(ReplayRouter::owner(policy(), &FLEET, seed), &FLEET, jobs, &straggler(seed))
}

fn count_in_time(jobs: &[Job], summary: &ReplaySummary) -> usize {
    let outcomes = jobs.iter().zip(&summary.outcomes);
    outcomes
        .filter(|(job, outcome)| outcome.end == JobEnd::Answered && outcome.elapsed <= job.timeout)
        .count()
}

#[test]
fn every_request_ends_once_by_its_deadline() {
    for seed in 0..15 {
        let jobs = trace(seed);

        let summary = run_owner(seed, &jobs);

        assert_eq!(summary.outcomes.len(), jobs.len(), "seed {seed}");
        let is_late = |(job, outcome): (&Job, &JobOutcome)| outcome.elapsed > job.timeout;
        assert!(!jobs.iter().zip(&summary.outcomes).any(is_late), "seed {seed}");
    }
}

#[test]
fn owner_answers_more_in_time_than_naive_router() {
    for seed in 0..15 {
        let jobs = trace(seed);

        let owner = count_in_time(&jobs, &run_owner(seed, &jobs));
        let naive = replay(ReplayRouter::naive(&FLEET, seed), &FLEET, &jobs, &straggler(seed));

        assert!(owner > count_in_time(&jobs, &naive), "seed {seed}");
    }
}

#[test]
fn hedges_stay_below_five_percent() {
    for seed in 0..15 {
        let jobs = trace(seed);

        let summary = run_owner(seed, &jobs);

        assert!(summary.hedge_percent() < 5.0, "seed {seed}: {}", summary.hedge_percent());
    }
}

#[test]
fn same_seed_gives_same_outcomes() {
    let jobs = trace(3);

    let first = run_owner(3, &jobs);
    let second = run_owner(3, &jobs);

    assert_eq!(first.outcomes, second.outcomes);
    assert_eq!(first.hedges, second.hedges);
}
