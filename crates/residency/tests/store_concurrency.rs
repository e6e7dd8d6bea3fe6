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

/// Replays the loads of a release of all engines, against a store that serves four at full speed
/// and slows those that begin beyond that: start and duration in milliseconds.
#[test]
fn load_that_began_before_others_is_no_evidence_for_all_of_them() {
    const LOADS: [(u64, u64); 12] = [
        (0, 6_130),
        (8_900, 6_040),
        (8_900, 6_030),
        (9_150, 6_010),
        (14_930, 6_040),
        (14_940, 6_040),
        (14_960, 6_030),
        (15_160, 6_040),
        (15_160, 7_540),
        (20_970, 6_020),
        (21_010, 6_030),
        (21_010, 7_530),
    ];
    let start = Instant::now();
    let mut events: Vec<(u64, bool, usize)> = LOADS
        .iter()
        .enumerate()
        .flat_map(|(n, (at, took))| [(*at, true, n), (at + took, false, n)])
        .collect();
    events.sort_unstable();
    let mut concurrency = StoreConcurrency::default();

    for (at, begins, n) in events {
        let (engine, now) = (instance(&format!("i-{n}")), start + Duration::from_millis(at));
        if begins {
            concurrency.record_start(&engine, SOLO_TIME, now);
        } else {
            concurrency.record_end(&engine, now);
        }
        assert!(concurrency.limit() <= 5, "{} after {at} ms", concurrency.limit());
    }
}
