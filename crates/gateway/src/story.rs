//! What is logged and counted about one request.

use base::prelude::*;
use dispatch::{Assignment, CallId, Refusal, WaitReason};
use events::{DecisionEvent, EventLog, millis};
use roster::InstanceId;

use crate::{attempt::FailedAttempt, metrics::GatewayMetrics, permits::PermitOutcome};

/// Name of a request whose caller gave none.
const NO_CALL: &str = "-";

/// The story of one request.
#[derive(Clone)]
pub struct CallStory {
    log: EventLog,
    metrics: GatewayMetrics,
    call: CallId,
    arrived: Instant,
    attempts: u32,
    sent: Instant,
}

/// The longest pause between two parts of an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LongestPause {
    /// How long it was.
    pub span: Duration,
    /// Time from the request to its end.
    pub end: Duration,
}

impl LongestPause {
    /// Takes in a pause.
    pub fn note(&mut self, span: Duration, end: Duration) {
        if span > self.span {
            *self = Self { span, end };
        }
    }
}

impl CallStory {
    /// The story of a request that has just been read.
    pub fn new(log: EventLog, metrics: GatewayMetrics, call: Option<CallId>) -> Self {
        let now = Instant::now();
        let call = call.unwrap_or_else(|| CallId(NO_CALL.to_owned()));
        Self { log, metrics, call, arrived: now, attempts: 0, sent: now }
    }

    /// The caller's name for the request.
    pub fn call(&self) -> &CallId {
        &self.call
    }

    /// Writes an event of this request.
    pub fn record(&self, event: &DecisionEvent<'_>) {
        self.log.record(event);
    }

    /// The request waits.
    pub fn wait(&self, reason: WaitReason, expected: Option<Instant>) {
        let expected = expected.map(|at| at.saturating_duration_since(Instant::now()));
        self.log.record(&DecisionEvent::CallWaits {
            call: &self.call,
            reason: reason.text(),
            expected_ms: expected.map(millis),
        });
    }

    /// The request goes to a backend server.
    pub fn assign(&mut self, assignment: &Assignment) {
        self.attempts = assignment.attempt;
        self.sent = Instant::now();
        self.metrics.attempts.inc();
        self.log.record(&DecisionEvent::CallAssigned {
            call: &self.call,
            server: &assignment.server,
            attempt: assignment.attempt,
            load: assignment.load,
            load_age_ms: millis(assignment.load_age),
            expected_ms: millis(assignment.expected_first_byte),
            waited_ms: millis(self.held()),
        });
    }

    /// A side process did not let the request in.
    pub fn deny(&self, assignment: &Assignment, outcome: PermitOutcome, asked: Duration) {
        self.log.record(&DecisionEvent::PermitDenied {
            call: &self.call,
            server: &assignment.server,
            outcome: outcome.text(),
            load: assignment.load,
            load_age_ms: millis(assignment.load_age),
            expected_ms: millis(assignment.expected_first_byte),
            asked_ms: millis(asked),
        });
    }

    /// An attempt failed.
    pub fn fail(&self, server: &InstanceId, failed: &FailedAttempt) {
        self.metrics.failed_attempts.inc();
        self.log.record(&DecisionEvent::AttemptFailed {
            call: &self.call,
            server,
            may_have_run: failed.failure.may_have_run(),
            reason: &failed.reason,
            after_ms: millis(self.sent.elapsed()),
        });
    }

    /// The request is refused or given up.
    pub fn refuse(&self, refusal: &Refusal, status: u16) {
        self.metrics.count(refusal.code);
        let now = Instant::now();
        let ready_at = refusal.estimate.and_then(|outlook| outlook.ready_at);
        let expected = ready_at.map(|at| at.saturating_duration_since(now));
        self.log.record(&DecisionEvent::CallRefused {
            call: &self.call,
            code: refusal.code.number(),
            status,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.map(millis),
            expected_ms: expected.map(millis),
            expected_age_ms: refusal.estimate.map(|outlook| millis(outlook.estimated_at.elapsed())),
            held_ms: millis(self.held()),
            attempts: self.attempts,
        });
    }

    /// The request is answered in full; its first byte came after `first`.
    pub fn answer(&self, status: u16, first: Duration, pause: LongestPause) {
        self.metrics.count(ResultCode::Success);
        self.metrics.first_byte.observe(first.as_secs_f64());
        self.log.record(&DecisionEvent::CallAnswered {
            call: &self.call,
            status,
            first_ms: millis(first),
            total_ms: millis(self.held()),
            pause_ms: millis(pause.span),
            pause_end_ms: millis(pause.end),
            attempts: self.attempts,
        });
    }

    /// The answer broke off after its head was sent.
    pub fn break_off(&self, server: &InstanceId, reason: &str, events: u64) {
        self.metrics.count(ResultCode::AnswerCut);
        let call = &self.call;
        self.log.record(&DecisionEvent::AnswerBroken { call, server, reason, events });
    }

    /// The caller left.
    pub fn leave(&self) {
        self.metrics.count(ResultCode::CallerCancelled);
        let held_ms = millis(self.held());
        self.log.record(&DecisionEvent::CallerLeft { call: &self.call, held_ms });
    }

    /// How long the request has been here.
    pub fn held(&self) -> Duration {
        self.arrived.elapsed()
    }
}
