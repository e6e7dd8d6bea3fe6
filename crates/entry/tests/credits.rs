//! Credits lapse when nobody returns them.

use base::{ids::AttemptId, prelude::*};
use entry::owner::credits::{CreditBook, CreditTerm};

fn attempt(number: u128) -> AttemptId {
    AttemptId { request: RequestId(number), attempt: 1 }
}

fn term(until: Instant) -> CreditTerm {
    CreditTerm { until, asker: None }
}

#[tokio::test(start_paused = true)]
async fn a_credit_lapses_after_its_term_and_not_before() {
    let now = Instant::now();
    let mut credits = CreditBook::default();
    credits.grant(attempt(1), term(now + Duration::from_secs(1)));
    credits.grant(attempt(2), term(now + Duration::from_secs(3)));

    let early = credits.release_lapsed(now);
    let late = credits.release_lapsed(now + Duration::from_secs(2));

    assert_eq!(early, Vec::new());
    assert_eq!(late, vec![attempt(1)]);
    assert_eq!(credits.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_returned_credit_is_not_counted() {
    let mut credits = CreditBook::default();
    credits.grant(attempt(1), term(Instant::now()));

    credits.take_back(attempt(1));
    credits.take_back(attempt(2));

    assert_eq!(credits.count(), 0);
}
