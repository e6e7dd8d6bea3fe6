//! Causes of late answers.

use std::time::Duration;

use entry::slow::SlowCause;
use rstest::rstest;

#[rstest]
#[case(900, true, SlowCause::ColdStart)]
#[case(900, false, SlowCause::Queue)]
#[case(100, true, SlowCause::Straggler)]
#[case(100, false, SlowCause::Straggler)]
fn largest_share_of_time_is_the_cause(
    #[case] wait: u64,
    #[case] is_cold: bool,
    #[case] cause: SlowCause,
) {
    let wait = Duration::from_millis(wait);

    let found = SlowCause::classify(Duration::from_millis(1_000), wait, is_cold);

    assert_eq!(found, cause);
}
