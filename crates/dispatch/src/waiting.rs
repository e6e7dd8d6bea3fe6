//! How long a request waits for a model, an engine or a backend server, and when it is refused.
//!
//! A load of a model takes from under a second to many seconds, and the weight store serves few
//! loads at once, so some requests for models that no engine holds cannot be answered in time.
//! Those are refused immediately, with the time after which a retry can succeed.

use base::prelude::*;

use crate::{
    decision::{AttemptFailure, DispatchRequest, Refusal, WaitReason},
    servers::ServerView,
};

/// Retry-after of refusals whose cause is expected to pass within moments.
pub(crate) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry-after of refusals when the time until a retry can succeed is unknown.
pub(crate) const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Share of the latency goal for which a request waits for a load to be planned.
const UNPLANNED_WAIT_SHARE: f64 = 0.125;
/// Maximum time for which a request waits for a load to be planned.
const MAX_UNPLANNED_WAIT: Duration = Duration::from_millis(600);
/// Share of the time to the deadline for which a request waits for a reachable backend server.
const NO_SERVER_WAIT_SHARE: f64 = 0.3;
/// Expected time to the first event once the model is loaded.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Minimum time for which callers of streams wait for the first event.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of a pause over which the callers that were refused return after it.
const RETURN_SPREAD_SHARE: f64 = 0.25;
/// Longest time over which they return.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(2);
/// Multiples of it have fractions that are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Older load estimates are ignored.
const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(2);

/// Time for which callers of a stream wait for its first event, by the goals of its route.
pub fn first_event_timeout(goal: Duration, pause_goal: Option<Duration>) -> Duration {
    let by_pause = pause_goal.map_or(Duration::ZERO, |pause| pause * 8);
    MIN_FIRST_EVENT_TIMEOUT.max(goal * 4).max(by_pause)
}

/// The planner's estimate of when a model will be loaded in some engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEstimate {
    /// When the model is loaded; none if no load is expected soon.
    pub ready_at: Option<Instant>,
    /// When this entry received the estimate.
    pub estimated_at: Instant,
}

/// The best available estimate of when `model` is loaded: the earliest load in progress, otherwise
/// the planner's estimate unless it is outdated.
pub(crate) fn best_estimate<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    model: &ModelId,
    planned: Option<&LoadEstimate>,
    now: Instant,
) -> Option<LoadEstimate> {
    let loads = servers
        .filter(|server| !server.is_draining())
        .filter_map(ServerView::loading)
        .filter(|loading| loading.model == *model)
        .map(|loading| loading.ready_at.max(now));
    if let Some(ready_at) = loads.min() {
        return Some(LoadEstimate { ready_at: Some(ready_at), estimated_at: now });
    }
    planned
        .copied()
        .filter(|estimate| now.saturating_duration_since(estimate.estimated_at) < MAX_ESTIMATE_AGE)
}

/// Whether a request that has waited since `since` continues to wait. Returns the expected end of
/// the wait, if it is known.
///
/// # Errors
///
/// Returns the refusal if it does not continue to wait.
pub(crate) fn check_wait(
    request: &DispatchRequest,
    reason: WaitReason,
    since: Instant,
    estimate: Option<LoadEstimate>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    match reason {
        WaitReason::ModelMissing => check_model_wait(request, since, estimate, now),
        WaitReason::PrefillBusy => {
            let reason = "the engines have too much to read";
            wait_until(request.first_byte_deadline, now, ResultCode::QueueFull, reason)
        }
        // The dispatcher has checked that the pause ends soon, or that a slot comes in time. Room for a
        // body comes with the next answer.
        WaitReason::ServersPaused | WaitReason::ServersLimited | WaitReason::ServersFull => {
            Ok(None)
        }
        WaitReason::NoServer => {
            let left = request.deadline.saturating_duration_since(since);
            let until = since + left.mul_f64(NO_SERVER_WAIT_SHARE);
            wait_until(until, now, ResultCode::NoReplica, "no backend server can be reached")
        }
    }
}

/// Refusal of a request that no backend server wants until `pause_end`.
///
/// Callers that return at the same moment would make the servers refuse again, so their times are
/// spread.
pub(crate) fn pause_refusal(key: u64, pause_end: Instant, now: Instant) -> Refusal {
    let reason = "the backend servers want no requests for a while";
    Refusal::with_retry_after(ResultCode::NoReplica, spread_return(key, pause_end, now), reason)
}

/// Refusal of a request that its backend servers, which name a limit, do not take before `slot`.
pub(crate) fn limit_refusal(key: u64, slot: Instant, now: Instant) -> Refusal {
    let reason = "the backend servers take only a limited number of requests";
    let wait = spread_return(key, slot, now).max(SHORT_RETRY_AFTER);
    Refusal::with_retry_after(ResultCode::NoReplica, wait, reason)
}

/// Time until a caller may return after `end`, spread over a quarter of the time until then by the
/// number of its request.
fn spread_return(key: u64, end: Instant, now: Instant) -> Duration {
    let wait = end.saturating_duration_since(now);
    let spread = wait.mul_f64(RETURN_SPREAD_SHARE).min(MAX_RETURN_SPREAD);
    wait + spread.mul_f64((key as f64 * GOLDEN_RATIO).fract())
}

/// The latest time at which a request may be sent whose first byte is due at `deadline`.
pub(crate) fn latest_send(deadline: Instant) -> Instant {
    deadline.checked_sub(FIRST_EVENT_TIME).unwrap_or(deadline)
}

fn wait_until(
    until: Instant,
    now: Instant,
    code: ResultCode,
    reason: &'static str,
) -> Result<Option<Instant>, Refusal> {
    match now < until {
        true => Ok(None),
        false => Err(Refusal::with_retry_after(code, SHORT_RETRY_AFTER, reason)),
    }
}

fn check_model_wait(
    request: &DispatchRequest,
    since: Instant,
    estimate: Option<LoadEstimate>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    let Some(estimate) = estimate else {
        let max_wait = request.goal.mul_f64(UNPLANNED_WAIT_SHARE).min(MAX_UNPLANNED_WAIT);
        let reason = "no engine holds the model and no load is planned";
        return match now < since + max_wait {
            true => Ok(None),
            false => {
                Err(Refusal::with_retry_after(ResultCode::NoReplica, UNKNOWN_RETRY_AFTER, reason))
            }
        };
    };
    let Some(ready_at) = estimate.ready_at else {
        let reason = "the model will not be loaded in time";
        let refusal =
            Refusal::with_retry_after(ResultCode::DeadlineUnmeetable, UNKNOWN_RETRY_AFTER, reason);
        return Err(refusal.with_estimate(estimate));
    };
    if ready_at + FIRST_EVENT_TIME > request.first_byte_deadline {
        let wait = ready_at.saturating_duration_since(now);
        let reason = "the model will be loaded too late";
        let refusal = Refusal::with_retry_after(ResultCode::DeadlineUnmeetable, wait, reason);
        return Err(refusal.with_estimate(estimate));
    }
    Ok(Some(ready_at))
}

/// Refusal of a request whose last attempt failed.
pub(crate) fn final_refusal(failure: AttemptFailure, reason: &'static str) -> Refusal {
    match failure {
        AttemptFailure::Unreachable | AttemptFailure::Full | AttemptFailure::Withdrawn => {
            Refusal::with_retry_after(ResultCode::NoReplica, SHORT_RETRY_AFTER, reason)
        }
        // A retry can succeed only once the model is loaded.
        AttemptFailure::Misdirected => {
            Refusal::with_retry_after(ResultCode::NoReplica, UNKNOWN_RETRY_AFTER, reason)
        }
        AttemptFailure::Failed => Refusal::new(ResultCode::BackendFailed, reason),
        AttemptFailure::Severed | AttemptFailure::Lost => {
            Refusal::new(ResultCode::BackendLost, reason)
        }
        AttemptFailure::KeyRevoked => Refusal::new(ResultCode::UnknownCustomer, reason),
    }
}
