//! The check whether service comes back after a loss of power, on made-up records, and the plans with
//! such losses.

use base::prelude::*;
use rstest::rstest;
use soak::{
    SoakPlan,
    callers::{CallKind, CallOutcome, CallReport},
    checks::power_losses::find_unserved,
    injection::power_loss::LossRecord,
    plan::Fault,
};

const SERVED: CallOutcome = CallOutcome::Complete { status: 200, is_correct: true };
const REFUSED: CallOutcome = CallOutcome::Complete { status: 503, is_correct: true };
/// When power is lost, returns, and all processes run again, in seconds.
const LOSS: (u64, u64, u64) = (10, 12, 13);

/// One request of each kind each second; `outcome` decides by kind and second of the run.
fn violations(outcome: impl Fn(CallKind, u64) -> CallOutcome) -> Vec<String> {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let report = |kind: CallKind, second: u64| CallReport {
        call: format!("g0-{second}-0"),
        kind,
        gateway: 0,
        path: "/read/a".to_owned(),
        timeout: Duration::from_secs(3),
        sent: at(second),
        ended: at(second) + Duration::from_millis(20),
        outcome: outcome(kind, second),
    };
    let seconds = (0..50).filter(|second| !(LOSS.0..LOSS.2).contains(second));
    let reports = seconds.flat_map(|second| CallKind::ALL.map(|kind| report(kind, second)));
    let reports: Vec<CallReport> = reports.collect();
    let loss = LossRecord { began: at(LOSS.0), returned: at(LOSS.1), restarted: at(LOSS.2) };
    let found = find_unserved(&reports, &[loss], at(LOSS.2));
    found.into_iter().map(|violation| violation.invariant.to_owned()).collect()
}

/// Serves one request in `interval` seconds.
fn one_in(interval: u64, second: u64) -> CallOutcome {
    if second.is_multiple_of(interval) { SERVED } else { REFUSED }
}

#[rstest]
#[case::nothing_served(|_, second| if second < LOSS.0 { SERVED } else { REFUSED })]
#[case::served_within_the_bound_only(
    |_, second| if second <= LOSS.2 + 12 { SERVED } else { REFUSED }
)]
#[case::less_than_a_quarter(
    |_, second| if second < LOSS.0 { SERVED } else { one_in(5, second) }
)]
#[case::a_quarter_before(
    |_, second| if second < LOSS.0 { one_in(3, second) } else { REFUSED }
)]
fn lack_of_service_is_found(#[case] outcome: fn(CallKind, u64) -> CallOutcome) {
    assert_eq!(violations(outcome), ["service comes back after a loss of power"]);
}

#[rstest]
#[case::all_served(|_, _| SERVED)]
#[case::refused_within_the_bound(
    |_, second| if (LOSS.2..=LOSS.2 + 12).contains(&second) { REFUSED } else { SERVED }
)]
#[case::a_third(|_, second| if second < LOSS.0 { SERVED } else { one_in(3, second) })]
#[case::not_served_before(|_, _| REFUSED)]
fn service_that_is_back_passes(#[case] outcome: fn(CallKind, u64) -> CallOutcome) {
    assert!(violations(outcome).is_empty());
}

#[test]
fn kind_that_does_not_come_back_is_found() {
    let is_lost = |kind, second| kind == CallKind::Chat && second > LOSS.0;
    let found = violations(|kind, second| if is_lost(kind, second) { REFUSED } else { SERVED });
    assert_eq!(found, ["each kind comes back after a loss of power"]);
}

#[test]
fn callers_that_leave_early_do_not_count() {
    let is_after = |second| second > LOSS.2;
    let found = violations(|_, second| match is_after(second) && !second.is_multiple_of(10) {
        true => CallOutcome::Abandoned,
        false => SERVED,
    });
    assert!(found.is_empty());
}

#[rstest]
fn loss_leaves_other_faults_of_a_seed(#[values(1, 2, 3, 4, 5, 8, 9, 10, 11, 12)] seed: u64) {
    let is_loss = |fault: &Fault| matches!(fault, Fault::PowerLoss(_));
    let plain = SoakPlan::from_seed(seed);
    let lossy = SoakPlan::with_power_loss(seed);
    let losses = lossy.faults.iter().filter(|scheduled| is_loss(&scheduled.fault)).count();
    assert!((1..=3).contains(&losses));
    let kept = plain.faults.iter().filter(|scheduled| lossy.faults.contains(scheduled));
    assert_eq!(kept.count(), plain.faults.len());
    assert_eq!((plain.rate, plain.engines), (lossy.rate, lossy.engines));
}
