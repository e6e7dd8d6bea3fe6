//! Service times of a model or service, and how one replica compares with the others.
//!
//! Values are natural logarithms of seconds, so that a factor is a difference.

use base::prelude::*;
use lists::WorkClass;

/// Step of the median estimate for one observation, as a logarithm.
const MEDIAN_STEP: f64 = 0.04;
/// Weight of the newest observation in the moving mean of a replica.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time constant of the exponential decay of a replica's mean.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Largest factor of one observation; the smallest is its reciprocal.
const MAX_FACTOR: f64 = 20.0;

fn log_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-6).ln()
}

/// Running median of the service times of a class over all replicas.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MedianEstimate {
    log_median: Option<f64>,
}

impl MedianEstimate {
    pub(crate) fn new() -> Self {
        Self { log_median: None }
    }

    pub(crate) fn observe(&mut self, served: Duration) {
        let value = log_seconds(served);
        self.log_median = match self.log_median {
            None => Some(value),
            Some(median) => Some(median + MEDIAN_STEP * (value - median).clamp(-1.0, 1.0).signum()),
        };
    }

    pub(crate) fn median(&self) -> Option<Duration> {
        self.log_median.map(|median| Duration::from_secs_f64(median.exp()))
    }

    /// Logarithm of `time` divided by the median; `None` before the first observation.
    pub(crate) fn log_factor(&self, time: Duration) -> Option<f64> {
        let factor = log_seconds(time) - self.log_median?;
        Some(factor.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln()))
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassMedians {
    short: MedianEstimate,
    long: MedianEstimate,
}

impl ClassMedians {
    pub(crate) fn new() -> Self {
        Self { short: MedianEstimate::new(), long: MedianEstimate::new() }
    }

    pub(crate) fn class(&self, class: WorkClass) -> &MedianEstimate {
        match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        }
    }

    pub(crate) fn observe(&mut self, class: WorkClass, served: Duration) {
        match class {
            WorkClass::Short => self.short.observe(served),
            WorkClass::Long => self.long.observe(served),
        }
    }
}

/// Moving mean of the logarithmic factors of a replica; zero means as fast as the median.
///
/// It decays with time, so that a replica without work does not count as slow forever.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlownessMean {
    mean: f64,
    observed: Instant,
}

impl SlownessMean {
    pub(crate) fn new(now: Instant) -> Self {
        Self { mean: 0.0, observed: now }
    }

    pub(crate) fn observe(&mut self, log_factor: f64, now: Instant) {
        let mean = self.mean_at(now);
        self.mean = mean + NEWEST_WEIGHT * (log_factor - mean);
        self.observed = now;
    }

    /// Includes a request whose service time is only known to be at least this long, because it
    /// still runs or was withdrawn. It can raise the mean but not lower it.
    pub(crate) fn observe_at_least(&mut self, log_factor: f64, now: Instant) {
        if log_factor > self.mean_at(now) {
            self.observe(log_factor, now);
        }
    }

    /// Factor by which the replica is slower than the median.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        self.mean_at(now).exp()
    }

    fn mean_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.observed).as_secs_f64();
        self.mean * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
