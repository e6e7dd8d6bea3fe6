//! Service times as observed, per class.

use base::prelude::*;
use lists::WorkClass;

use crate::policy::AdmissionPolicy;

/// Weight of the newest observation in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponential moving average of service times.
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

/// Time over which the rate of arrivals is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(10);
/// Standard deviations of Poisson arrivals that slots are kept for above the mean.
const DEMAND_DEVIATIONS: f64 = 1.0;

/// Slots that arriving requests keep busy, by Little's law.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandEstimate {
    rate: f64,
    updated: Option<Instant>,
}

impl DemandEstimate {
    pub(crate) fn new() -> Self {
        Self { rate: 0.0, updated: None }
    }

    pub(crate) fn arrive(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.updated = Some(now);
    }

    /// Slots that keep nearly all arrivals from waiting: the mean and some deviations.
    pub(crate) fn slots(&self, service: Duration, now: Instant) -> u32 {
        let mean = self.rate_at(now) * service.as_secs_f64();
        (mean + DEMAND_DEVIATIONS * mean.sqrt()).ceil() as u32
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.rate * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }
}
