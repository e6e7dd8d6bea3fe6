//! Tests of the retry budget and of the health of backend servers.

use base::prelude::*;
use dispatch::{
    budget::{RetryBudget, RetryLimits},
    health::ServerHealth,
};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) };

/// Takes retries until the budget is spent, at most 1,000.
fn take_all(budget: &mut RetryBudget, entries: usize, now: Instant) -> usize {
    (0..1_000).take_while(|_| budget.try_take(entries, now)).count()
}

/// All entries lose the answers of the same backend server and retry at once.
#[test]
fn all_entries_stay_within_fleet_budget() {
    let now = Instant::now();
    for entries in [1, 4, 30] {
        let taken: usize =
            (0..entries).map(|_| take_all(&mut RetryBudget::new(LIMITS), entries, now)).sum();
        assert!(taken as f64 <= LIMITS.allowance, "{entries} entries took {taken}");
    }
}

#[test]
fn first_attempts_add_retries_until_window_ends() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    for _ in 0..100 {
        budget.record_first(now);
    }

    let taken = take_all(&mut budget, 1, now);
    let at_once = take_all(&mut budget, 1, now + Duration::from_secs(5));
    let later = take_all(&mut budget, 1, now + Duration::from_secs(30));

    assert!((50..=72).contains(&taken), "{taken}");
    assert_eq!(at_once, 0);
    assert!(later > 0 && later < taken, "{later}");
}

/// Steps coarser than the requests must not let a sliding window exceed the allowance.
#[test]
fn sliding_window_stays_within_budget() {
    let began = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    let mut taken = Vec::new();
    for step in 0..600_u32 {
        let now = began + Duration::from_millis(50) * step;
        if budget.try_take(1, now) {
            taken.push(now);
        }
    }

    for first in &taken {
        let within = taken.iter().filter(|at| *at >= first && **at < *first + LIMITS.window);
        assert!(within.count() as f64 <= LIMITS.allowance);
    }
}

#[test]
fn backoff_grows_with_each_loss_and_ends_on_success() {
    let now = Instant::now();
    let mut health = ServerHealth::new(now);
    let span_after = |health: &mut ServerHealth, now: Instant| {
        health.record_loss(now);
        (0..100)
            .map(|step| Duration::from_millis(50) * step)
            .find(|span| !health.is_suspended(now + *span))
            .expect("the back-off ends within 5 s")
    };

    let first = span_after(&mut health, now);
    let second = span_after(&mut health, now + Duration::from_secs(5));
    health.record_success(now + Duration::from_secs(10));

    assert!(second > first, "{first:?} {second:?}");
    assert!(!health.is_suspended(now + Duration::from_secs(10)));
}

#[test]
fn failure_share_rises_and_decays() {
    let now = Instant::now();
    let mut health = ServerHealth::new(now);

    for _ in 0..10 {
        health.record_failure(now);
    }

    assert!(health.failure_share(now) > 0.8);
    assert!(health.failure_share(now + Duration::from_secs(30)) < 0.01);
}
