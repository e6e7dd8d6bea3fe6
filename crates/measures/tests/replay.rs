//! Differential replays: the owner's desk against least connections on late reports.

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

fn workload(class: WorkClass, rate: f64, service: u64, budget: u64) -> Workload {
    Workload {
        class,
        from: Duration::ZERO,
        until: END,
        rate,
        service: Duration::from_millis(service),
        budget: Duration::from_millis(budget),
        repeatable_percent: 60,
    }
}

fn history(seed: u64) -> Vec<Job> {
    let burst = Workload {
        from: Duration::from_secs(10),
        until: Duration::from_secs(20),
        ..workload(WorkClass::Short, 150.0, 100, 1500)
    };
    let mut jobs = workload(WorkClass::Short, 50.0, 100, 1500).draw(seed, 5, FLEET.zones);
    jobs.extend(workload(WorkClass::Long, 2.0, 2000, 30_000).draw(seed + 1000, 5, FLEET.zones));
    jobs.extend(burst.draw(seed + 2000, 5, FLEET.zones));
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn straggler(seed: u64) -> Vec<SpeedChange> {
    let server = seed as usize % FLEET.servers;
    let change = |at, factor| SpeedChange { at: Duration::from_secs(at), server, factor };
    vec![change(5, 10.0), change(25, 1.0)]
}

fn run_desk(seed: u64, jobs: &[Job]) -> ReplaySummary {
    replay(ReplayRouter::desk(policy(), &FLEET, seed), &FLEET, jobs, &straggler(seed))
}

fn in_time(jobs: &[Job], summary: &ReplaySummary) -> usize {
    let outcomes = jobs.iter().zip(&summary.outcomes);
    outcomes.filter(|(job, end)| end.end == JobEnd::Answered && end.after <= job.budget).count()
}

#[test]
fn every_request_ends_once_and_by_its_deadline() {
    for seed in 0..15 {
        let jobs = history(seed);

        let summary = run_desk(seed, &jobs);

        assert_eq!(summary.outcomes.len(), jobs.len(), "seed {seed}");
        let is_late = |(job, end): (&Job, &JobOutcome)| end.after > job.budget;
        assert!(!jobs.iter().zip(&summary.outcomes).any(is_late), "seed {seed}");
    }
}

#[test]
fn the_desk_answers_more_in_time_than_the_naive_router() {
    for seed in 0..15 {
        let jobs = history(seed);

        let desk = in_time(&jobs, &run_desk(seed, &jobs));
        let naive = replay(ReplayRouter::naive(&FLEET, seed), &FLEET, &jobs, &straggler(seed));

        assert!(desk > in_time(&jobs, &naive), "seed {seed}");
    }
}

#[test]
fn hedges_stay_below_one_in_twenty() {
    for seed in 0..15 {
        let jobs = history(seed);

        let summary = run_desk(seed, &jobs);

        assert!(summary.hedge_percent() < 5.0, "seed {seed}: {}", summary.hedge_percent());
    }
}

#[test]
fn the_same_seed_gives_the_same_ends() {
    let jobs = history(3);

    let first = run_desk(3, &jobs);
    let second = run_desk(3, &jobs);

    assert_eq!(first.outcomes, second.outcomes);
    assert_eq!(first.hedges, second.hedges);
}
