//! Delays between the repetitions of a listing.

use base::prelude::*;
use gateway::relisting::RelistDelays;
use platform::{GapReason, ListingGap, StoreError};
use rstest::rstest;

const SHORTEST: Duration = Duration::from_millis(250);

/// Guards against servers that stay unknown after the store is back.
#[rstest]
#[case::refused(400, Duration::from_secs(10))]
#[case::too_many_calls(429, Duration::from_secs(1))]
#[case::busy(503, Duration::from_secs(1))]
fn delays_double_while_the_reason_stays_and_the_store_is_reached(
    #[case] status: u16,
    #[case] limit: Duration,
) {
    let mut delays = RelistDelays::default();
    let gap = |status| ListingGap { reason: GapReason::Status(status), read_up_to: None };

    for repetition in 0..10 {
        let delay = delays.after_gap(&gap(status));
        let longest = (SHORTEST * (1 << repetition)).min(limit);
        assert!(longest / 2 <= delay && delay <= longest, "{repetition}: {delay:?}");
    }
    assert!(delays.after_gap(&gap(404)) <= SHORTEST, "the reason is another");
    delays.after_gap(&gap(404));
    assert_eq!(delays.after_failure(&StoreError::SlowAnswer), SHORTEST);
    assert!(delays.after_gap(&gap(404)) <= SHORTEST, "the store was not reached");
}

/// An entry that has listed nothing serves nothing.
#[test]
fn listing_that_shows_nothing_is_repeated_within_a_second() {
    let mut delays = RelistDelays::default();

    let error = StoreError::TooLarge { limit: ByteSize::mib(8) };
    let longest = (0..10).map(|_| delays.after_failure(&error)).max();

    assert!(longest <= Some(Duration::from_secs(1)), "{longest:?}");
}
