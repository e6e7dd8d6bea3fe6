//! Random histories with faults: memory is never overcommitted, and no model stays loaded after its
//! slot was released. With a safety check turned off, the same histories show the fault.

mod common;

use common::{EngineSimulation, Violation};
use loading::{FenceCheck, SafetyChecks};
use rstest::rstest;

const STEPS: u32 = 1500;
const SEEDS: u64 = 150;

fn violations(fence_check: FenceCheck, checks: SafetyChecks) -> Vec<Violation> {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut simulation = EngineSimulation::new(fence_check, checks, seed);
        simulation.run(STEPS);
        found.extend(simulation.violations);
    }
    found
}

#[rstest]
#[case(FenceCheck::Enforced)]
#[case(FenceCheck::Ignored)]
#[tokio::test(start_paused = true)]
async fn random_histories_keep_invariants(#[case] fence_check: FenceCheck) {
    let found = violations(fence_check, SafetyChecks::default());

    assert_eq!(found, Vec::new());
}

#[rstest]
#[case(FenceCheck::Enforced)]
#[case(FenceCheck::Ignored)]
#[tokio::test(start_paused = true)]
async fn histories_without_faults_confirm_loads(#[case] fence_check: FenceCheck) {
    let mut simulation = EngineSimulation::new(fence_check, SafetyChecks::default(), 1);
    simulation.faults = false;

    simulation.run(STEPS);

    assert!(simulation.confirmed > 50, "{} loads were confirmed", simulation.confirmed);
    assert_eq!(simulation.violations, Vec::new());
}

#[rstest]
#[case::reserve_before_load(SafetyChecks { reserve_before_load: false, ..SafetyChecks::default() }, Violation::MemoryOvercommitted)]
#[case::free_by_listing(SafetyChecks { free_by_listing: false, ..SafetyChecks::default() }, Violation::MemoryOvercommitted)]
#[case::ignore_stale_listings(SafetyChecks { ignore_stale_listings: false, ..SafetyChecks::default() }, Violation::MemoryOvercommitted)]
#[case::reserve_uncertain_loads(SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() }, Violation::MemoryOvercommitted)]
#[case::uncertain_loads_without_slot(SafetyChecks { reserve_uncertain_loads: false, ..SafetyChecks::default() }, Violation::LoadedWithoutSlot)]
#[case::check_fences(SafetyChecks { check_fences: false, ..SafetyChecks::default() }, Violation::LoadedWithoutSlot)]
#[case::protect_busy_targets(SafetyChecks { protect_busy_targets: false, ..SafetyChecks::default() }, Violation::BusyUnloaded)]
#[tokio::test(start_paused = true)]
async fn disabled_check_exposes_its_fault(#[case] checks: SafetyChecks, #[case] fault: Violation) {
    let found = violations(FenceCheck::Ignored, checks);

    assert!(found.contains(&fault));
}
