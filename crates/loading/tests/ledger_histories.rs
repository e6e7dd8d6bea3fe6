//! Random histories with faults: memory is never overcommitted, and a slot that was given up
//! leaves nothing loaded. With a check turned off, the same histories show the fault.

mod common;

use common::{Breach, EngineWorld};
use loading::{FenceCheck, GuardSet};
use rstest::rstest;

const STEPS: u32 = 1500;
const SEEDS: u64 = 150;

fn breaches(check: FenceCheck, guards: GuardSet) -> Vec<Breach> {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = EngineWorld::new(check, guards, seed);
        world.run(STEPS);
        found.extend(world.breaches);
    }
    found
}

#[rstest]
#[case(FenceCheck::Enforced)]
#[case(FenceCheck::Ignored)]
#[tokio::test(start_paused = true)]
async fn no_history_breaks_an_invariant(#[case] check: FenceCheck) {
    let found = breaches(check, GuardSet::default());

    assert_eq!(found, Vec::new());
}

#[rstest]
#[case(FenceCheck::Enforced)]
#[case(FenceCheck::Ignored)]
#[tokio::test(start_paused = true)]
async fn histories_without_faults_load_what_is_ordered(#[case] check: FenceCheck) {
    let mut world = EngineWorld::new(check, GuardSet::default(), 1);
    world.faults = false;

    world.run(STEPS);

    assert!(world.confirmed > 50, "{} loads were confirmed", world.confirmed);
    assert_eq!(world.breaches, Vec::new());
}

#[rstest]
#[case::reserve_first(GuardSet { reserve_first: false, ..GuardSet::default() }, Breach::MemoryOver)]
#[case::free_by_listing(GuardSet { free_by_listing: false, ..GuardSet::default() }, Breach::MemoryOver)]
#[case::old_listings(GuardSet { ignore_old_listings: false, ..GuardSet::default() }, Breach::MemoryOver)]
#[case::keep_doubtful(GuardSet { keep_doubtful: false, ..GuardSet::default() }, Breach::MemoryOver)]
#[case::doubtful_slots(GuardSet { keep_doubtful: false, ..GuardSet::default() }, Breach::LoadedWithoutSlot)]
#[case::check_fences(GuardSet { check_fences: false, ..GuardSet::default() }, Breach::LoadedWithoutSlot)]
#[case::spare_busy(GuardSet { spare_busy: false, ..GuardSet::default() }, Breach::BusyUnloaded)]
#[tokio::test(start_paused = true)]
async fn a_check_turned_off_lets_its_fault_through(
    #[case] guards: GuardSet,
    #[case] fault: Breach,
) {
    let found = breaches(FenceCheck::Ignored, guards);

    assert!(found.contains(&fault));
}
