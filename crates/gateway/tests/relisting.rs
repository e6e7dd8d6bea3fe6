//! Delays between the repetitions of a listing.

use base::prelude::*;
use gateway::relisting::RelistDelays;
use platform::{GapReason, ListingGap, StoreError};

const SHORTEST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_secs(10);

/// Guards against servers that stay unknown after the store is back.
#[test]
fn delays_double_while_the_reason_stays_and_the_store_is_reached() {
    let mut delays = RelistDelays::default();
    let gap = |status| ListingGap { reason: GapReason::Status(status), read_up_to: None };

    for repetition in 0..10 {
        let delay = delays.after_gap(&gap(503));
        let longest = (SHORTEST * (1 << repetition)).min(LONGEST);
        assert!(longest / 2 <= delay && delay <= longest, "{repetition}: {delay:?}");
    }
    assert!(delays.after_gap(&gap(400)) <= SHORTEST, "the reason is another");
    delays.after_gap(&gap(400));
    assert_eq!(delays.after_failure(&StoreError::SlowAnswer), SHORTEST);
    assert!(delays.after_gap(&gap(400)) <= SHORTEST, "the store was not reached");
}
