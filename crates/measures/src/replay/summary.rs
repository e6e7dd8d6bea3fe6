//! What a replay has seen.

use std::time::Duration;

use base::prelude::ResultCode;
use lists::WorkClass;

use super::job::Job;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// With its answer.
    Answered,
    /// With a refusal.
    Refused(ResultCode),
    /// Its deadline passed while it ran, or with nobody to tell.
    TimedOut,
}

/// The end of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOutcome {
    /// How it ended.
    pub end: JobEnd,
    /// Time from arrival to the end.
    pub after: Duration,
}

/// All ends of a history, in the order of its requests.
#[derive(Debug, Default)]
pub struct ReplaySummary {
    /// One end for each request.
    pub outcomes: Vec<JobOutcome>,
    /// Hedges granted.
    pub hedges: usize,
}

impl ReplaySummary {
    /// Quantile of the time to an answer of `class`, for requests that arrive from `from` on.
    ///
    /// Requests without an answer count with all of their time.
    pub fn quantile(&self, jobs: &[Job], class: WorkClass, from: Duration, part: f64) -> Duration {
        let chosen = jobs.iter().zip(&self.outcomes);
        let mut times: Vec<Duration> = chosen
            .filter(|(job, _)| job.class == class && job.at >= from)
            .map(|(job, outcome)| match outcome.end {
                JobEnd::Answered => outcome.after,
                JobEnd::Refused(_) | JobEnd::TimedOut => job.budget,
            })
            .collect();
        times.sort_unstable();
        let index = (part * times.len() as f64) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    /// Part of the requests of a span of arrivals that ended as `is_wanted` says.
    pub fn part(
        &self,
        jobs: &[Job],
        from: Duration,
        until: Duration,
        is_wanted: impl Fn(&Job, &JobOutcome) -> bool,
    ) -> f64 {
        let in_span = |job: &Job| job.at >= from && job.at < until;
        let chosen: Vec<(&Job, &JobOutcome)> =
            jobs.iter().zip(&self.outcomes).filter(|(job, _)| in_span(job)).collect();
        let wanted = chosen.iter().filter(|(job, outcome)| is_wanted(job, outcome)).count();
        wanted as f64 / chosen.len().max(1) as f64
    }

    /// Hedges for each hundred requests.
    pub fn hedge_percent(&self) -> f64 {
        100.0 * self.hedges as f64 / self.outcomes.len().max(1) as f64
    }
}
