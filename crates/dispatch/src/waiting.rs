//! How long a request waits for something that is not there yet, and when it is turned away.
//!
//! Load pattern: requests for models that no engine holds. Loads take from under a second to
//! many; the weight store serves few at once, so some requests cannot be served in time whatever
//! is done. Those are refused at once, with the time at which there will be room.

use base::prelude::*;

use crate::{
    dispatcher::{DispatchRequest, Refusal, WaitReason},
    servers::ServerView,
};

/// Return after a refusal that a moment can mend.
pub(crate) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Return when nobody can say when there will be room.
pub(crate) const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Part of the goal for which a request waits for a plan that names a time.
const UNPLANNED_WAIT_SHARE: f64 = 0.125;
/// Longest such wait.
const MAX_UNPLANNED_WAIT: Duration = Duration::from_millis(600);
/// Longest wait for a backend server that can be reached, as a part of the time left.
const NO_SERVER_WAIT_SHARE: f64 = 0.3;
/// Time to the first event once the model is there.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Least time for which callers of streams wait for the first event.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// An outlook that is older than this is not trusted.
const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(2);

/// How long callers of a stream wait for its first event, by the goals of its route.
pub fn first_event_timeout(goal: Duration, pause_goal: Option<Duration>) -> Duration {
    let by_pause = pause_goal.map_or(Duration::ZERO, |pause| pause * 8);
    MIN_FIRST_EVENT_TIMEOUT.max(goal * 4).max(by_pause)
}

/// When the planner expects a model to be loaded somewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEstimate {
    /// When the model is there; none if it is not going to be loaded soon.
    pub ready_at: Option<Instant>,
    /// When this was told.
    pub estimated_at: Instant,
}

/// The best knowledge of when `model` is there.
pub(crate) fn best_estimate<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    model: &ModelId,
    planned: Option<&LoadEstimate>,
    now: Instant,
) -> Option<LoadEstimate> {
    let loads = servers
        .filter(|server| !server.is_draining)
        .filter_map(ServerView::loading)
        .filter(|loading| loading.model == *model)
        .map(|loading| loading.ready_at.max(now));
    if let Some(ready_at) = loads.min() {
        return Some(LoadEstimate { ready_at: Some(ready_at), estimated_at: now });
    }
    planned
        .copied()
        .filter(|outlook| now.saturating_duration_since(outlook.estimated_at) < MAX_ESTIMATE_AGE)
}

/// Whether a request that has waited since `since` goes on waiting, and until when about.
///
/// # Errors
///
/// Returns the refusal if it does not.
pub(crate) fn check_wait(
    ask: &DispatchRequest,
    reason: WaitReason,
    since: Instant,
    outlook: Option<LoadEstimate>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    match reason {
        WaitReason::ModelMissing => check_model_wait(ask, since, outlook, now),
        WaitReason::PrefillBusy => {
            let reason = "the engines have too much to read";
            wait_until(ask.first_byte_deadline, now, ResultCode::QueueFull, reason)
        }
        WaitReason::NoServer => {
            let left = ask.deadline.saturating_duration_since(since);
            let until = since + left.mul_f64(NO_SERVER_WAIT_SHARE);
            wait_until(until, now, ResultCode::NoReplica, "no backend server can be reached")
        }
    }
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
    ask: &DispatchRequest,
    since: Instant,
    outlook: Option<LoadEstimate>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    let Some(outlook) = outlook else {
        let patience = ask.goal.mul_f64(UNPLANNED_WAIT_SHARE).min(MAX_UNPLANNED_WAIT);
        let reason = "no engine holds the model and no load is planned";
        return match now < since + patience {
            true => Ok(None),
            false => {
                Err(Refusal::with_retry_after(ResultCode::NoReplica, UNKNOWN_RETRY_AFTER, reason))
            }
        };
    };
    let Some(ready_at) = outlook.ready_at else {
        let reason = "the model will not be loaded in time";
        let refusal =
            Refusal::with_retry_after(ResultCode::DeadlineUnmeetable, UNKNOWN_RETRY_AFTER, reason);
        return Err(refusal.with_estimate(outlook));
    };
    if ready_at + FIRST_EVENT_TIME > ask.first_byte_deadline {
        let wait = ready_at.saturating_duration_since(now);
        let reason = "the model will be loaded too late";
        let refusal = Refusal::with_retry_after(ResultCode::DeadlineUnmeetable, wait, reason);
        return Err(refusal.with_estimate(outlook));
    }
    Ok(Some(ready_at))
}
