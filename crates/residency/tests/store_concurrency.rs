//! Estimate of the parallel loads that the weight store serves at full speed.

mod common;

use base::prelude::*;
use common::instance;
use residency::store_concurrency::StoreConcurrency;
use rstest::rstest;

const SOLO_TIME: Duration = Duration::from_secs(6);

/// Runs `parallel` loads at once against a store that serves `full_speed` at full speed.
fn run(concurrency: &mut StoreConcurrency, parallel: usize, full_speed: usize, now: Instant) {
    let engines: Vec<_> = (0..parallel).map(|n| instance(&format!("i-{n}"))).collect();
    for engine in &engines {
        concurrency.record_start(engine, SOLO_TIME, now);
    }
    let slowdown = (parallel as f64 / full_speed as f64).max(1.0);
    for engine in &engines {
        concurrency.record_end(engine, now + SOLO_TIME.mul_f64(slowdown));
    }
}

#[rstest]
#[case(2)]
#[case(4)]
fn limit_converges_to_full_speed_loads(#[case] full_speed: usize) {
    let now = Instant::now();
    let mut concurrency = StoreConcurrency::default();

    for round in 0..6 {
        let limit = concurrency.limit();
        run(&mut concurrency, limit, full_speed, now + SOLO_TIME * 10 * round);
    }

    assert!(concurrency.limit().abs_diff(full_speed) <= 1, "{}", concurrency.limit());
}

#[test]
fn discarded_load_keeps_limit() {
    let now = Instant::now();
    let mut concurrency = StoreConcurrency::default();
    concurrency.record_start(&instance("i-1"), SOLO_TIME, now);

    concurrency.discard(&instance("i-1"));
    concurrency.record_end(&instance("i-1"), now + SOLO_TIME * 10);

    assert_eq!(concurrency.limit(), StoreConcurrency::default().limit());
}
