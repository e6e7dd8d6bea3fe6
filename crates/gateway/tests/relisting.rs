//! Delays between the repetitions of a listing.

use base::prelude::*;
use gateway::relisting::RelistDelays;
use platform::{
    StoreError,
    store::{GapReason, ListingGap},
};

const SHORTEST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_secs(10);

fn gap(status: u16) -> ListingGap {
    ListingGap { reason: GapReason::Status(status), read_up_to: None }
}

#[test]
fn delays_double_while_the_reason_stays() {
    let mut delays = RelistDelays::default();

    for repetition in 0..10 {
        let delay = delays.after_gap(&gap(503));
        let longest = (SHORTEST * (1 << repetition)).min(LONGEST);
        assert!(longest / 2 <= delay && delay <= longest, "{repetition}: {delay:?}");
    }
    assert!(delays.after_gap(&gap(400)) <= SHORTEST);
}

/// Guards against servers that stay unknown after the store is back.
#[test]
fn delays_begin_again_once_the_store_was_not_reached() {
    let mut delays = RelistDelays::default();
    for _ in 0..10 {
        delays.after_gap(&gap(503));
    }

    let away = delays.after_failure(&StoreError::SlowAnswer);

    assert_eq!(away, SHORTEST);
    assert!(delays.after_gap(&gap(503)) <= SHORTEST);
}
