//! How long a request waits for something that is not there yet, and when it is turned away.
//!
//! Load pattern: requests for models that no engine holds. Loads take from under a second to
//! many; the weight store serves few at once, so some requests cannot be served in time whatever
//! is done. Those are refused at once, with the time at which there will be room.

use base::prelude::*;

use crate::{
    desk::{Ask, Refusal, WaitReason},
    servers::ServerView,
};

/// Return after a refusal that a moment can mend.
pub(crate) const SHORT_RETURN: Duration = Duration::from_millis(150);
/// Return when nobody can say when there will be room.
pub(crate) const UNKNOWN_RETURN: Duration = Duration::from_millis(1_500);
/// Part of the goal for which a request waits for a plan that names a time.
const UNPLANNED_PART: f64 = 0.125;
/// Longest such wait.
const UNPLANNED_PATIENCE: Duration = Duration::from_millis(600);
/// Longest wait for a backend server that can be reached, as a part of the time left.
const NO_SERVER_PART: f64 = 0.3;
/// Time to the first event once the model is there.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Least time for which callers of streams wait for the first event.
const MIN_FIRST_PATIENCE: Duration = Duration::from_secs(2);
/// An outlook that is older than this is not trusted.
const OUTLOOK_AGE: Duration = Duration::from_secs(2);

/// How long callers of a stream wait for its first event, by the goals of its route.
pub fn first_patience(goal: Duration, pause_goal: Option<Duration>) -> Duration {
    let by_pause = pause_goal.map_or(Duration::ZERO, |pause| pause * 8);
    MIN_FIRST_PATIENCE.max(goal * 4).max(by_pause)
}

/// When the planner expects a model to be loaded somewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadOutlook {
    /// When the model is there; none if it is not going to be loaded soon.
    pub ready_at: Option<Instant>,
    /// When this was told.
    pub told: Instant,
}

/// The best knowledge of when `model` is there.
pub(crate) fn outlook<'a>(
    servers: impl Iterator<Item = &'a ServerView>,
    model: &ModelId,
    planned: Option<&LoadOutlook>,
    now: Instant,
) -> Option<LoadOutlook> {
    let loads = servers
        .filter(|server| !server.is_leaving)
        .filter_map(ServerView::loading)
        .filter(|loading| loading.model == *model)
        .map(|loading| loading.ready_at.max(now));
    if let Some(ready_at) = loads.min() {
        return Some(LoadOutlook { ready_at: Some(ready_at), told: now });
    }
    planned.copied().filter(|outlook| now.saturating_duration_since(outlook.told) < OUTLOOK_AGE)
}

/// Whether a request that has waited since `since` goes on waiting, and until when about.
///
/// # Errors
///
/// Returns the refusal if it does not.
pub(crate) fn judge(
    ask: &Ask,
    reason: WaitReason,
    since: Instant,
    outlook: Option<LoadOutlook>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    match reason {
        WaitReason::ModelMissing => judge_model(ask, since, outlook, now),
        WaitReason::EnginesReading => {
            let reason = "the engines have too much to read";
            within(ask.first_by, now, ResultCode::QueueFull, reason)
        }
        WaitReason::NoServer => {
            let left = ask.deadline.saturating_duration_since(since);
            let until = since + left.mul_f64(NO_SERVER_PART);
            within(until, now, ResultCode::NoReplica, "no backend server can be reached")
        }
    }
}

fn within(
    until: Instant,
    now: Instant,
    code: ResultCode,
    reason: &'static str,
) -> Result<Option<Instant>, Refusal> {
    match now < until {
        true => Ok(None),
        false => Err(Refusal::until(code, SHORT_RETURN, reason)),
    }
}

fn judge_model(
    ask: &Ask,
    since: Instant,
    outlook: Option<LoadOutlook>,
    now: Instant,
) -> Result<Option<Instant>, Refusal> {
    let Some(outlook) = outlook else {
        let patience = ask.goal.mul_f64(UNPLANNED_PART).min(UNPLANNED_PATIENCE);
        let reason = "no engine holds the model and no load is planned";
        return match now < since + patience {
            true => Ok(None),
            false => Err(Refusal::until(ResultCode::NoReplica, UNKNOWN_RETURN, reason)),
        };
    };
    let Some(ready_at) = outlook.ready_at else {
        let reason = "the model will not be loaded in time";
        let refusal = Refusal::until(ResultCode::DeadlineUnmeetable, UNKNOWN_RETURN, reason);
        return Err(refusal.because_of(outlook));
    };
    if ready_at + FIRST_EVENT > ask.first_by {
        let wait = ready_at.saturating_duration_since(now);
        let reason = "the model will be loaded too late";
        let refusal = Refusal::until(ResultCode::DeadlineUnmeetable, wait, reason);
        return Err(refusal.because_of(outlook));
    }
    Ok(Some(ready_at))
}
