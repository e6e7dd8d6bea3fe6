//! What is learned of the weight store.

mod common;

use base::prelude::*;
use common::instance;
use residency::store_concurrency::StoreConcurrency;
use rstest::rstest;

const ALONE: Duration = Duration::from_secs(6);

/// Runs `together` loads at once against a store that serves `full_speed` at full speed.
fn run(pace: &mut StoreConcurrency, together: usize, full_speed: usize, now: Instant) {
    let engines: Vec<_> = (0..together).map(|n| instance(&format!("i-{n}"))).collect();
    for engine in &engines {
        pace.record_start(engine, ALONE, now);
    }
    let stretch = (together as f64 / full_speed as f64).max(1.0);
    for engine in &engines {
        pace.record_end(engine, now + ALONE.mul_f64(stretch));
    }
}

#[rstest]
#[case(2)]
#[case(4)]
fn the_limit_settles_around_what_the_store_serves_at_full_speed(#[case] full_speed: usize) {
    let now = Instant::now();
    let mut pace = StoreConcurrency::default();

    for round in 0..6 {
        let limit = pace.limit();
        run(&mut pace, limit, full_speed, now + ALONE * 10 * round);
    }

    assert!(pace.limit().abs_diff(full_speed) <= 1, "{}", pace.limit());
}

#[test]
fn a_load_that_is_forgotten_teaches_nothing() {
    let now = Instant::now();
    let mut pace = StoreConcurrency::default();
    pace.record_start(&instance("i-1"), ALONE, now);

    pace.discard(&instance("i-1"));
    pace.record_end(&instance("i-1"), now + ALONE * 10);

    assert_eq!(pace.limit(), StoreConcurrency::default().limit());
}
