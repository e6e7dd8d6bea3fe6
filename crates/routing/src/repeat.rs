//! What may be attempted again.

use base::prelude::*;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatRule {
    /// It may be repeated.
    Repeatable,
    /// It may be executed at most once.
    AtMostOnce,
}

/// What the entry does after an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatDecision {
    /// Make another attempt.
    Retry,
    /// Give up; the refusal says this.
    GiveUp(RunState),
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRecord {
    rule: RepeatRule,
    may_have_run: u32,
    has_shown_output: bool,
}

/// Attempts that may have run before a repeatable request is given up.
const MAX_RUNS: u32 = 3;

impl AttemptRecord {
    /// No attempt yet.
    pub fn new(rule: RepeatRule) -> Self {
        Self { rule, may_have_run: 0, has_shown_output: false }
    }

    /// The caller has received a part of an answer; from now on nothing may be repeated.
    pub fn show_output(&mut self) {
        self.has_shown_output = true;
    }

    /// Whether a second attempt may run beside the first.
    pub fn may_hedge(&self) -> bool {
        self.rule == RepeatRule::Repeatable && !self.has_shown_output
    }

    /// Takes over an attempt that ended without an answer and decides on the next.
    ///
    /// `in_budget` and `in_time` tell whether the budget of retries and the request's time allow
    /// another attempt.
    pub fn end_attempt(
        &mut self,
        state: RunState,
        in_budget: bool,
        in_time: bool,
    ) -> RepeatDecision {
        if state == RunState::MayHaveRun {
            self.may_have_run += 1;
        }
        let is_permitted = match state {
            RunState::NotRun => !self.has_shown_output,
            RunState::MayHaveRun => self.may_hedge() && self.may_have_run < MAX_RUNS,
        };
        if is_permitted && in_budget && in_time {
            RepeatDecision::Retry
        } else {
            RepeatDecision::GiveUp(self.run_state())
        }
    }

    /// Whether any attempt may have run.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run > 0 || self.has_shown_output {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        }
    }
}
