//! Random histories with faults: memory is never overcommitted, and a slot that was given up
//! leaves nothing loaded. With a check turned off, the same histories show the fault.

mod common;

use common::{Breach, EngineWorld};
use loading::{FenceCheck, SafetyChecks};
use rstest::rstest;

const STEPS: u32 = 1500;
const SEEDS: u64 = 150;

fn breaches(check: FenceCheck, guards: SafetyChecks) -> Vec<Breach> {
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
    let found = breaches(check, SafetyChecks::default());

    assert_eq!(found, Vec::new());
}

#[rstest]
#[case(FenceCheck::Enforced)]
#[case(FenceCheck::Ignored)]
#[tokio::test(start_paused = true)]
async fn histories_without_faults_load_what_is_ordered(#[case] check: FenceCheck) {
    let mut world = EngineWorld::new(check, SafetyChecks::default(), 1);
    world.faults = false;

    world.run(STEPS);

    assert!(world.confirmed > 50, "{} loads were confirmed", world.confirmed);
    assert_eq!(world.breaches, Vec::new());
}

#[rstest]
#[case::reserve_first(SafetyChecks { reserve_before_load: false, ..SafetyChecks::default() }, Breach::MemoryOver)]
#[case::free_by_listing(SafetyChecks { free_by_listing: false, ..SafetyChecks::default() }, Breach::MemoryOver)]
#[case::old_listings(SafetyChecks { ignore_stale_listings: false, ..SafetyChecks::default() }, Breach::MemoryOver)]
#[case::keep_doubtful(SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() }, Breach::MemoryOver)]
#[case::doubtful_slots(SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() }, Breach::LoadedWithoutSlot)]
#[case::check_fences(SafetyChecks { check_fences: false, ..SafetyChecks::default() }, Breach::LoadedWithoutSlot)]
#[case::spare_busy(SafetyChecks { protect_busy_targets: false, ..SafetyChecks::default() }, Breach::BusyUnloaded)]
#[tokio::test(start_paused = true)]
async fn a_check_turned_off_lets_its_fault_through(
    #[case] guards: SafetyChecks,
    #[case] fault: Breach,
) {
    let found = breaches(FenceCheck::Ignored, guards);

    assert!(found.contains(&fault));
}
