//! The budget of repeats and the trust in backend servers.

use base::prelude::*;
use dispatch::{
    budget::{RetryBudget, RetryLimits},
    health::ServerHealth,
};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) };

/// Takes repeats until the budget refuses, at most 1,000.
fn take_all(budget: &mut RetryBudget, entries: usize, now: Instant) -> usize {
    (0..1_000).take_while(|_| budget.try_take(entries, now)).count()
}

/// Load pattern: all entries lose the answers of the same backend server and send again at once.
#[test]
fn all_entries_together_stay_within_the_fleets_budget() {
    let now = Instant::now();
    for entries in [1, 4, 30] {
        let taken: usize =
            (0..entries).map(|_| take_all(&mut RetryBudget::new(LIMITS), entries, now)).sum();
        assert!(taken as f64 <= LIMITS.allowance, "{entries} entries took {taken}");
    }
}

#[test]
fn requests_earn_repeats_which_are_forgotten_with_the_window() {
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

/// In no window do repeats pass the ratio and the allowance, however they are spread.
#[test]
fn no_sliding_window_holds_more_than_the_budget() {
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
fn a_server_that_is_lost_is_left_out_longer_each_time_and_forgiven_at_once() {
    let now = Instant::now();
    let mut trust = ServerHealth::new(now);
    let span_after = |trust: &mut ServerHealth, now: Instant| {
        trust.record_loss(now);
        (0..100)
            .map(|step| Duration::from_millis(50) * step)
            .find(|span| !trust.is_suspended(now + *span))
            .expect("it is tried again")
    };

    let first = span_after(&mut trust, now);
    let second = span_after(&mut trust, now + Duration::from_secs(5));
    trust.record_success(now + Duration::from_secs(10));

    assert!(second > first, "{first:?} {second:?}");
    assert!(!trust.is_suspended(now + Duration::from_secs(10)));
}

#[test]
fn failures_count_and_are_forgotten() {
    let now = Instant::now();
    let mut trust = ServerHealth::new(now);

    for _ in 0..10 {
        trust.record_failure(now);
    }

    assert!(trust.failure_share(now) > 0.8);
    assert!(trust.failure_share(now + Duration::from_secs(30)) < 0.01);
}
