//! Service times as observed, per class.

use base::prelude::*;

use crate::{policy::AdmissionPolicy, request::WorkClass};

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
