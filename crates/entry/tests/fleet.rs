//! How often the VM list is read.

use base::prelude::*;
use entry::fleet::shortest_interval;
use rstest::rstest;

/// Entries and side processes at the size of the design.
const DESIGN_VMS: usize = 12_600;
/// Entries at the size of the design.
const DESIGN_ENTRIES: f64 = 2_600.0;
/// Reads that the platform takes, a second.
const PLATFORM_READS: f64 = 2_000.0;

#[rstest]
#[case::slatina(18)]
#[case::toy_desk(17)]
fn a_small_fleet_is_read_every_second(#[case] vms: usize) {
    assert!(shortest_interval(vms) <= Duration::from_secs(1));
}

#[test]
fn reads_of_a_large_fleet_stay_far_below_what_the_platform_takes() {
    let reads = DESIGN_ENTRIES / shortest_interval(DESIGN_VMS).as_secs_f64();

    assert!(reads < PLATFORM_READS / 100.0, "{reads} reads a second");
}
