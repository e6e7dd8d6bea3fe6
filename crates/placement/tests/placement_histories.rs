//! Random histories with several owners and faults: slots never exceed the decided count, and
//! neither do loaded replicas. With a check turned off, the same histories show the fault.

mod common;

use common::{Breach, Fault, PlacementWorld};
use placement::PlacementGuards;
use rstest::rstest;

const STEPS: u32 = 2500;
const SEEDS: u64 = 60;
const PAIR_SEEDS: u64 = 2;

fn breaches(faults: &[Fault], guards: PlacementGuards, seeds: u64) -> Vec<Breach> {
    let mut found = Vec::new();
    for seed in 0..seeds {
        let mut world = PlacementWorld::new(faults, guards, seed);
        world.run(STEPS);
        found.extend(world.breaches);
    }
    found
}

#[tokio::test(start_paused = true)]
async fn no_history_breaks_an_invariant() {
    let found = breaches(&Fault::ALL, PlacementGuards::default(), SEEDS);

    assert_eq!(found, Vec::new());
}

#[tokio::test(start_paused = true)]
async fn no_pair_of_faults_breaks_an_invariant() {
    for first in Fault::ALL {
        for second in Fault::ALL.into_iter().filter(|second| *second >= first) {
            let found = breaches(&[first, second], PlacementGuards::default(), PAIR_SEEDS);

            assert_eq!(found, Vec::new(), "with {first:?} and {second:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn histories_load_several_replicas() {
    let mut world = PlacementWorld::new(&Fault::ALL, PlacementGuards::default(), 3);

    world.run(STEPS);

    assert!(world.most_loaded >= 2, "at most {} were loaded", world.most_loaded);
    assert!(world.writes > 20, "{} writes", world.writes);
}

#[rstest]
#[case::reread(PlacementGuards { reread: false, ..PlacementGuards::default() }, Breach::TooManyLoaded)]
#[case::count(PlacementGuards { compare_count: false, ..PlacementGuards::default() }, Breach::CountReverted)]
#[case::confirmation(PlacementGuards { await_confirmation: false, ..PlacementGuards::default() }, Breach::TooManyLoaded)]
#[case::bound(PlacementGuards { bound_slots: false, ..PlacementGuards::default() }, Breach::TooManySlots)]
#[tokio::test(start_paused = true)]
async fn a_check_turned_off_lets_its_fault_through(
    #[case] guards: PlacementGuards,
    #[case] fault: Breach,
) {
    let found = breaches(&Fault::ALL, guards, SEEDS);

    assert!(found.contains(&fault), "{} breaches", found.len());
}
