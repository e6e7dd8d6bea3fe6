//! Hedged requests: a second attempt at another backend server when the first is slow. The first
//! good answer is passed on, and the other attempt is cancelled.

use dispatch::{Assignment, AttemptFailure, HedgeCause, HedgeDecision, HedgeSide};
use events::{DecisionEvent, millis};
use prometheus::{IntCounterVec, Opts, core::Collector};
use tokio::time;

use crate::{
    attempt::{self, Attempt, FailedAttempt, ForwardRequest},
    backends::DispatchTicket,
    call::{Answered, attempt_call},
    process::Gateway,
    trace::CallTrace,
};

/// Metrics of hedges; clones share them.
#[derive(Debug, Clone)]
pub struct HedgeMetrics {
    hedges: IntCounterVec,
    withheld: IntCounterVec,
}

impl Default for HedgeMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl HedgeMetrics {
    /// Metrics that start at zero.
    ///
    /// # Panics
    ///
    /// Does not panic, because the names are constant and valid.
    pub fn new() -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
            counters.expect("a valid name")
        };
        let hedges = counters(
            "fescuewalk_gateway_hedges_total",
            "Second attempts of slow requests, by event: sent, won or cancelled",
            "event",
        );
        let withheld = counters(
            "fescuewalk_gateway_withheld_hedges_total",
            "Second attempts that were due and not sent, by cause",
            "cause",
        );
        for event in ["sent", "won", "cancelled"] {
            hedges.with_label_values(&[event]);
        }
        withheld.with_label_values(&[HedgeCause::ShareSpent.text()]);
        Self { hedges, withheld }
    }

    /// What is registered of them.
    pub fn collectors(&self) -> [Box<dyn Collector>; 2] {
        [Box::new(self.hedges.clone()), Box::new(self.withheld.clone())]
    }

    /// Hedges so far, by event: `sent`, `won` or `cancelled`.
    pub fn total(&self, event: &str) -> u64 {
        self.hedges.with_label_values(&[event]).get()
    }

    fn count(&self, event: &str) {
        self.hedges.with_label_values(&[event]).inc();
    }

    fn count_withheld(&self, cause: HedgeCause) {
        self.withheld.with_label_values(&[cause.text()]).inc();
    }
}

/// Makes one attempt of a request, and a second one if the first is slow. Returns the assignment
/// whose result is passed on or decides on a retry, with that result.
///
/// The dispatcher knows only that assignment when this returns.
pub(crate) async fn attempt_hedged(
    gateway: &Gateway,
    request: &ForwardRequest,
    assignment: Assignment,
    ticket: &DispatchTicket,
    trace: &mut CallTrace,
    is_streaming: bool,
) -> (Assignment, attempt::Result<Answered>) {
    let is_hedgeable = request.may_retry && !is_streaming;
    let due = match is_hedgeable {
        true => gateway
            .backends
            .with_dispatcher(|dispatcher, now| dispatcher.hedge_due(ticket.key(), now)),
        false => None,
    };
    let first_attempt =
        Attempt { key: ticket.key(), side: HedgeSide::First, assignment: &assignment };
    let Some(due) = due else {
        let result = attempt_call(gateway, request, first_attempt, is_streaming).await;
        return (assignment, result);
    };
    let mut first = Box::pin(attempt_call(gateway, request, first_attempt, false));
    if let Ok(result) = time::timeout_at(due, &mut first).await {
        drop(first);
        return (assignment, result);
    }
    let decision = match gateway.is_draining() {
        true => HedgeDecision::Withheld(HedgeCause::Stopping),
        false => gateway
            .backends
            .with_dispatcher(|dispatcher, now| dispatcher.start_hedge(ticket.key(), now)),
    };
    let hedge = match decision {
        HedgeDecision::Send(hedge) => hedge,
        HedgeDecision::Withheld(cause) => {
            gateway.metrics.hedges.count_withheld(cause);
            trace.record(&DecisionEvent::HedgeWithheld {
                call: trace.call(),
                server: &assignment.server,
                cause: cause.text(),
                after_ms: millis(trace.time_since_sent()),
            });
            let result = first.await;
            return (assignment, result);
        }
    };
    gateway.metrics.hedges.count("sent");
    trace.record_hedge(&hedge, &assignment.server);
    let second_attempt = Attempt { key: ticket.key(), side: HedgeSide::Second, assignment: &hedge };
    let mut second = Box::pin(attempt_call(gateway, request, second_attempt, false));
    let race = HedgeRace { gateway, ticket, trace, first: &assignment, second: &hedge };
    let (side, result) = tokio::select! {
        biased;
        result = &mut first => (HedgeSide::First, result),
        result = &mut second => (HedgeSide::Second, result),
    };
    let (side, result, earlier) = match result {
        Ok(answer) => {
            race.record_win(side);
            (side, Ok(answer), None)
        }
        Err(failed) => {
            race.record_failure(side, &failed);
            match side {
                HedgeSide::First => (HedgeSide::Second, (&mut second).await, failed.answer),
                HedgeSide::Second => (HedgeSide::First, (&mut first).await, failed.answer),
            }
        }
    };
    // Keeps the error response of the attempt that failed first, in case the last brings none.
    let result =
        result.map_err(|failed| FailedAttempt { answer: failed.answer.or(earlier), ..failed });
    // Resets the connection of an attempt that has not ended.
    drop((first, second));
    match side {
        HedgeSide::First => (assignment, result),
        HedgeSide::Second => (hedge, result),
    }
}

struct HedgeRace<'a> {
    gateway: &'a Gateway,
    ticket: &'a DispatchTicket,
    trace: &'a CallTrace,
    first: &'a Assignment,
    second: &'a Assignment,
}

impl HedgeRace<'_> {
    fn record_win(&self, side: HedgeSide) {
        let (winner, loser, event) = match side {
            HedgeSide::First => (self.first, self.second, "cancelled"),
            HedgeSide::Second => (self.second, self.first, "won"),
        };
        self.gateway
            .backends
            .with_dispatcher(|dispatcher, now| dispatcher.win_hedged(self.ticket.key(), side, now));
        self.gateway.metrics.hedges.count(event);
        self.trace.record(&DecisionEvent::HedgeEnded {
            call: self.trace.call(),
            winner: &winner.server,
            cancelled: &loser.server,
            is_hedge_first: side == HedgeSide::Second,
            after_ms: millis(self.trace.time_since_sent()),
        });
    }

    fn record_failure(&self, side: HedgeSide, failed: &FailedAttempt) {
        let server = match side {
            HedgeSide::First => &self.first.server,
            HedgeSide::Second => &self.second.server,
        };
        self.trace.record_failure(server, failed);
        let failure: AttemptFailure = failed.failure;
        self.gateway.backends.with_dispatcher(|dispatcher, now| {
            dispatcher.fail_hedged(self.ticket.key(), side, failure, now);
        });
    }
}
