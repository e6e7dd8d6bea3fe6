//! Random histories with several owners and faults: neither slots nor loaded replicas exceed the
//! decided count. With a single check turned off, the same histories violate an invariant.

mod common;

use common::{Fault, PlacementSimulation, Violation};
use placement::PlacementChecks;
use rstest::rstest;

const STEPS: u32 = 2500;
const SEEDS: u64 = 60;
const PAIR_SEEDS: u64 = 2;

fn violations(faults: &[Fault], checks: PlacementChecks, seeds: u64) -> Vec<Violation> {
    let mut found = Vec::new();
    for seed in 0..seeds {
        let mut simulation = PlacementSimulation::new(faults, checks, seed);
        simulation.run(STEPS);
        found.extend(simulation.violations);
    }
    found
}

#[tokio::test(start_paused = true)]
async fn all_faults_keep_the_invariants() {
    let found = violations(&Fault::ALL, PlacementChecks::default(), SEEDS);

    assert_eq!(found, Vec::new());
}

#[tokio::test(start_paused = true)]
async fn pairs_of_faults_keep_the_invariants() {
    for first in Fault::ALL {
        for second in Fault::ALL.into_iter().filter(|second| *second >= first) {
            let found = violations(&[first, second], PlacementChecks::default(), PAIR_SEEDS);

            assert_eq!(found, Vec::new(), "with {first:?} and {second:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn histories_load_several_replicas() {
    let mut simulation = PlacementSimulation::new(&Fault::ALL, PlacementChecks::default(), 3);

    simulation.run(STEPS);

    assert!(simulation.max_loaded >= 2, "at most {} were loaded", simulation.max_loaded);
    assert!(simulation.writes > 20, "{} writes", simulation.writes);
}

#[rstest]
#[case::reread(PlacementChecks { reread: false, ..PlacementChecks::default() }, Violation::TooManyLoaded)]
#[case::count(PlacementChecks { compare_count: false, ..PlacementChecks::default() }, Violation::CountReverted)]
#[case::confirmation(PlacementChecks { await_confirmation: false, ..PlacementChecks::default() }, Violation::TooManyLoaded)]
#[case::bound(PlacementChecks { bound_slots: false, ..PlacementChecks::default() }, Violation::TooManySlots)]
#[tokio::test(start_paused = true)]
async fn disabled_check_violates_an_invariant(
    #[case] checks: PlacementChecks,
    #[case] expected: Violation,
) {
    let found = violations(&Fault::ALL, checks, SEEDS);

    assert!(found.contains(&expected), "{} violations", found.len());
}
