//! Polling interval of the VM list.

use base::prelude::*;
use entry::fleet::min_poll_interval;
use rstest::rstest;

/// Entries and side processes at the design size.
const DESIGN_VMS: usize = 12_600;
/// Entries at the design size.
const DESIGN_ENTRIES: f64 = 2_600.0;
/// Reads per second that the platform allows.
const PLATFORM_READS: f64 = 2_000.0;

#[rstest]
#[case::slatina(18)]
#[case::toy_desk(17)]
fn small_fleet_is_polled_every_second(#[case] vms: usize) {
    assert!(min_poll_interval(vms) <= Duration::from_secs(1));
}

#[test]
fn large_fleet_polling_stays_below_platform_limit() {
    let reads = DESIGN_ENTRIES / min_poll_interval(DESIGN_VMS).as_secs_f64();

    assert!(reads < PLATFORM_READS / 100.0, "{reads} reads a second");
}
