//! Estimates of service times and of the slots that short requests need.

use base::prelude::*;
use lists::WorkClass;

use crate::policy::AdmissionPolicy;

/// Weight of the newest sample in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponential moving average of the service times of each class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceEstimate {
    short: Duration,
    long: Duration,
}

impl ServiceEstimate {
    pub(crate) fn new(policy: &AdmissionPolicy) -> Self {
        Self { short: policy.short_service, long: policy.long_service }
    }

    pub(crate) fn mean(&self, class: WorkClass) -> Duration {
        match class {
            WorkClass::Short => self.short,
            WorkClass::Long => self.long,
        }
    }

    pub(crate) fn observe(&mut self, class: WorkClass, served: Duration) {
        let mean = match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        };
        *mean = mean.mul_f64(1.0 - NEWEST_WEIGHT) + served.mul_f64(NEWEST_WEIGHT);
    }
}

/// Time constant of the arrival rate.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Standard deviations of Poisson arrivals above the mean that slots are reserved for.
const RESERVED_DEVIATIONS: f64 = 1.0;

/// Estimate of the slots that arriving requests keep busy, by Little's law.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandEstimate {
    rate: f64,
    updated: Option<Instant>,
}

impl DemandEstimate {
    pub(crate) fn new() -> Self {
        Self { rate: 0.0, updated: None }
    }

    pub(crate) fn record_arrival(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / RATE_WINDOW.as_secs_f64();
        self.updated = Some(now);
    }

    /// Slots with which most arrivals need not wait: the mean plus [`RESERVED_DEVIATIONS`].
    pub(crate) fn slots(&self, service: Duration, now: Instant) -> u32 {
        let mean = self.rate_at(now) * service.as_secs_f64();
        (mean + RESERVED_DEVIATIONS * mean.sqrt()).ceil() as u32
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.rate * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }
}
