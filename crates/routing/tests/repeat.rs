//! What may be attempted again, and the budget of extra attempts.

use base::prelude::*;
use routing::{AttemptBudget, AttemptRecord, RepeatDecision, RepeatRule};
use rstest::rstest;

const RETRY: RepeatDecision = RepeatDecision::Retry;
const NOT_RUN: RepeatDecision = RepeatDecision::GiveUp(RunState::NotRun);
const MAY_HAVE_RUN: RepeatDecision = RepeatDecision::GiveUp(RunState::MayHaveRun);

#[rstest]
#[case(RepeatRule::Repeatable, RunState::NotRun, true, RETRY)]
#[case(RepeatRule::Repeatable, RunState::MayHaveRun, true, RETRY)]
#[case(RepeatRule::AtMostOnce, RunState::NotRun, true, RETRY)]
#[case(RepeatRule::AtMostOnce, RunState::MayHaveRun, true, MAY_HAVE_RUN)]
#[case(RepeatRule::Repeatable, RunState::NotRun, false, NOT_RUN)]
#[case(RepeatRule::Repeatable, RunState::MayHaveRun, false, MAY_HAVE_RUN)]
fn the_rule_and_the_fate_decide(
    #[case] rule: RepeatRule,
    #[case] state: RunState,
    #[case] in_budget: bool,
    #[case] expected: RepeatDecision,
) {
    let decision = AttemptRecord::new(rule).end_attempt(state, in_budget, true);

    assert_eq!(decision, expected);
}

#[test]
fn an_earlier_attempt_that_may_have_run_is_not_forgotten() {
    let mut record = AttemptRecord::new(RepeatRule::Repeatable);
    record.end_attempt(RunState::MayHaveRun, true, true);

    let decision = record.end_attempt(RunState::NotRun, true, false);

    assert_eq!(decision, MAY_HAVE_RUN);
}

#[test]
fn nothing_is_repeated_after_output_was_shown() {
    let mut record = AttemptRecord::new(RepeatRule::Repeatable);
    record.show_output();

    let decision = record.end_attempt(RunState::MayHaveRun, true, true);

    assert!(!record.may_hedge());
    assert_eq!(decision, MAY_HAVE_RUN);
}

#[test]
fn three_runs_are_enough() {
    let mut record = AttemptRecord::new(RepeatRule::Repeatable);

    let decisions = [0; 3].map(|_| record.end_attempt(RunState::MayHaveRun, true, true));

    assert_eq!(decisions, [RETRY, RETRY, MAY_HAVE_RUN]);
}

#[test]
fn extra_attempts_are_a_part_of_the_first_ones() {
    let mut budget = AttemptBudget::new(5.0, 10);

    let extra = (0..1000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!((45..=51).contains(&extra.count()));
}
