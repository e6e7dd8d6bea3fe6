//! Results of a replay.

use std::time::Duration;

use base::prelude::ResultCode;
use lists::WorkClass;

use super::job::Job;

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// It was answered by its deadline.
    Answered,
    /// The owner refused it with this code.
    Refused(ResultCode),
    /// Its deadline passed while it was running or queued.
    TimedOut,
}

/// The end of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOutcome {
    /// How the request ended.
    pub end: JobEnd,
    /// Time from arrival to the end.
    pub elapsed: Duration,
}

/// Outcomes of all requests of a trace.
#[derive(Debug, Default)]
pub struct ReplaySummary {
    /// Outcome of each request, in the order of the trace.
    pub outcomes: Vec<JobOutcome>,
    /// Number of hedges granted.
    pub hedges: usize,
}

impl ReplaySummary {
    /// Quantile of the response time of the requests of `class` that arrive at or after `from`;
    /// zero if there are none. `quantile` lies in 0..=1.
    ///
    /// A request without an answer counts with its timeout.
    pub fn quantile(
        &self,
        jobs: &[Job],
        class: WorkClass,
        from: Duration,
        quantile: f64,
    ) -> Duration {
        let chosen = jobs.iter().zip(&self.outcomes);
        let mut times: Vec<Duration> = chosen
            .filter(|(job, _)| job.class == class && job.arrival >= from)
            .map(|(job, outcome)| match outcome.end {
                JobEnd::Answered => outcome.elapsed,
                JobEnd::Refused(_) | JobEnd::TimedOut => job.timeout,
            })
            .collect();
        times.sort_unstable();
        let index = (quantile * times.len() as f64) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    /// Fraction of the requests arriving in `from..until` for which `is_counted` holds; zero if
    /// none arrive.
    pub fn fraction(
        &self,
        jobs: &[Job],
        from: Duration,
        until: Duration,
        is_counted: impl Fn(&Job, &JobOutcome) -> bool,
    ) -> f64 {
        let in_span = |job: &Job| job.arrival >= from && job.arrival < until;
        let chosen: Vec<(&Job, &JobOutcome)> =
            jobs.iter().zip(&self.outcomes).filter(|(job, _)| in_span(job)).collect();
        let counted = chosen.iter().filter(|(job, outcome)| is_counted(job, outcome)).count();
        counted as f64 / chosen.len().max(1) as f64
    }

    /// Hedges granted for each hundred requests.
    pub fn hedge_percent(&self) -> f64 {
        100.0 * self.hedges as f64 / self.outcomes.len().max(1) as f64
    }
}
