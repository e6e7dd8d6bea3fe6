//! Decision events and metrics of one request.

use base::prelude::*;
use dispatch::{Assignment, CallId, Refusal, WaitReason};
use events::{DecisionEvent, EventLog, millis};
use roster::InstanceId;
use suspects::SuspectKeys;

use crate::{attempt::FailedAttempt, metrics::GatewayMetrics, permits::PermitOutcome};

/// Call id in the decision log if the caller gave none.
const NO_CALL_ID: &str = "-";

/// Records the events of one request in the decision log and in the metrics.
#[derive(Clone)]
pub struct CallTrace {
    log: EventLog,
    metrics: GatewayMetrics,
    call: CallId,
    arrived_at: Instant,
    keys: SuspectKeys,
    attempts: u32,
    sent_at: Instant,
}

/// The longest pause between two chunks of an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LongestPause {
    /// Length of the pause.
    pub span: Duration,
    /// Time from the arrival of the request to the end of the pause.
    pub end: Duration,
}

impl LongestPause {
    /// Replaces the pause by one of length `span` that ended at `end`, if that is longer.
    pub fn update(&mut self, span: Duration, end: Duration) {
        if span > self.span {
            *self = Self { span, end };
        }
    }
}

impl CallTrace {
    /// A trace of a request whose head has just been read.
    pub fn new(log: EventLog, metrics: GatewayMetrics, call: Option<CallId>) -> Self {
        let now = Instant::now();
        let call = call.unwrap_or_else(|| CallId(NO_CALL_ID.to_owned()));
        let keys = SuspectKeys::default();
        Self { log, metrics, call, arrived_at: now, keys, attempts: 0, sent_at: now }
    }

    /// Sets the keys of the request, which are known once its body was read.
    pub fn set_keys(&mut self, keys: &SuspectKeys) {
        self.keys = keys.clone();
    }

    /// The call id that the caller gave, or `-`.
    pub fn call(&self) -> &CallId {
        &self.call
    }

    /// Writes an event to the decision log.
    pub fn record(&self, event: &DecisionEvent<'_>) {
        self.log.record(event);
    }

    /// Records that the request waits; `expected` is the estimated end of the wait.
    pub fn record_wait(&self, reason: WaitReason, expected: Option<Instant>) {
        if reason == WaitReason::ServersFull {
            self.metrics.server_byte_waits.inc();
        }
        let expected = expected.map(|at| at.saturating_duration_since(Instant::now()));
        self.log.record(&DecisionEvent::CallWaits {
            call: &self.call,
            reason: reason.text(),
            expected_ms: expected.map(millis),
        });
    }

    /// Records that the request is sent to a backend server, and starts the clock of the attempt.
    pub fn record_assignment(&mut self, assignment: &Assignment) {
        self.attempts = assignment.attempt;
        self.sent_at = Instant::now();
        self.record_attempt(assignment);
    }

    /// Records that a second attempt is sent because the one at `slow_server` is slow.
    pub fn record_hedge(&mut self, assignment: &Assignment, slow_server: &InstanceId) {
        self.attempts = assignment.attempt;
        self.log.record(&DecisionEvent::HedgeSent {
            call: &self.call,
            server: &assignment.server,
            slow: slow_server,
            after_ms: millis(self.time_since_sent()),
        });
        self.record_attempt(assignment);
    }

    /// Time since the last attempt that is no hedge was sent.
    pub fn time_since_sent(&self) -> Duration {
        self.sent_at.elapsed()
    }

    fn record_attempt(&self, assignment: &Assignment) {
        self.metrics.attempts.inc();
        self.log.record(&DecisionEvent::CallAssigned {
            call: &self.call,
            server: &assignment.server,
            software: assignment.software.as_str(),
            attempt: assignment.attempt,
            load: assignment.load,
            load_age_ms: millis(assignment.load_age),
            expected_ms: millis(assignment.expected_first_byte),
            waited_ms: millis(self.elapsed()),
        });
    }

    /// Records that a side process gave no permit; `elapsed` is the time since it was requested.
    pub fn record_permit_denial(
        &self,
        assignment: &Assignment,
        outcome: PermitOutcome,
        elapsed: Duration,
    ) {
        self.log.record(&DecisionEvent::PermitDenied {
            call: &self.call,
            server: &assignment.server,
            outcome: outcome.text(),
            load: assignment.load,
            load_age_ms: millis(assignment.load_age),
            expected_ms: millis(assignment.expected_first_byte),
            asked_ms: millis(elapsed),
        });
    }

    /// Records a failed attempt at `server`.
    pub fn record_failure(&self, server: &InstanceId, failed: &FailedAttempt) {
        self.metrics.failed_attempts.inc();
        self.log.record(&DecisionEvent::AttemptFailed {
            call: &self.call,
            server,
            failure: failed.failure.text(),
            keys: &self.keys,
            may_have_run: failed.failure.may_have_run(),
            reason: &failed.reason,
            after_ms: millis(self.sent_at.elapsed()),
        });
    }

    /// Records that the request is answered with a refusal.
    pub fn record_refusal(&self, refusal: &Refusal, status: u16) {
        self.metrics.count_request(refusal.code);
        let now = Instant::now();
        let ready_at = refusal.estimate.and_then(|estimate| estimate.ready_at);
        let expected = ready_at.map(|at| at.saturating_duration_since(now));
        self.log.record(&DecisionEvent::CallRefused {
            call: &self.call,
            code: refusal.code.number(),
            status,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.map(millis),
            expected_ms: expected.map(millis),
            expected_age_ms: refusal
                .estimate
                .map(|estimate| millis(estimate.estimated_at.elapsed())),
            held_ms: millis(self.elapsed()),
            attempts: self.attempts,
        });
    }

    /// Records a complete answer; `first_byte` is the time from the request to the first byte.
    pub fn record_answer(&self, status: u16, first_byte: Duration, pause: LongestPause) {
        self.metrics.count_request(ResultCode::Success);
        self.metrics.first_byte.observe(first_byte.as_secs_f64());
        self.log.record(&DecisionEvent::CallAnswered {
            call: &self.call,
            status,
            first_ms: millis(first_byte),
            total_ms: millis(self.elapsed()),
            pause_ms: millis(pause.span),
            pause_end_ms: millis(pause.end),
            attempts: self.attempts,
        });
    }

    /// Records an answer that was cut off after its head and `events` frames had been sent.
    pub fn record_broken_answer(&self, server: &InstanceId, reason: &str, events: u64) {
        self.metrics.count_request(ResultCode::AnswerCut);
        let call = &self.call;
        self.log.record(&DecisionEvent::AnswerBroken { call, server, reason, events });
    }

    /// Records that the request was dropped before its answer was complete: because the process
    /// ends if its requests were aborted, and otherwise because its caller left.
    pub fn record_dropped(&self, is_aborted: bool) {
        let held_ms = millis(self.elapsed());
        if is_aborted {
            self.log.record(&DecisionEvent::CallUnanswered { call: &self.call, held_ms });
            return;
        }
        self.metrics.count_request(ResultCode::CallerCancelled);
        self.log.record(&DecisionEvent::CallerLeft { call: &self.call, held_ms });
    }

    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        self.arrived_at.elapsed()
    }
}
