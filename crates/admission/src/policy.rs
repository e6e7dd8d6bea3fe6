//! Limits of admission.

use base::prelude::*;

use crate::request::RequestSize;

/// Limits of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Size that a customer of the smallest share may have granted in one round of short work.
    pub quantum: RequestSize,
    /// Largest share of all slots that long requests may hold, in percent; less while short
    /// requests need the slots.
    pub long_percent: u32,
    /// Most waiting requests of all customers.
    pub total_limit: usize,
    /// Service time of short requests assumed before any was observed.
    pub short_service: Duration,
    /// Service time of long requests assumed before any was observed.
    pub long_service: Duration,
    /// Least number of grants by priority between two that go to an urgent request out of turn.
    pub aged_interval: u32,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            quantum: RequestSize(512),
            long_percent: 50,
            total_limit: 4096,
            short_service: Duration::from_millis(100),
            long_service: Duration::from_secs(2),
            aged_interval: 8,
        }
    }
}

/// The safeguards of a queue; all are on except in tests that show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionGuards {
    /// Customers of one priority share by weight; otherwise requests go by arrival.
    pub fair_shares: bool,
    /// Long requests are limited to their part of the slots.
    pub short_reserve: bool,
    /// A request whose expected wait is too long is refused when it is offered.
    pub early_refusal: bool,
    /// A waiting request is refused while there is still time to tell its caller.
    pub timely_expiry: bool,
    /// Queues are bounded.
    pub bounded_queues: bool,
    /// Urgent requests of low priority get a part of the grants.
    pub ageing: bool,
}

impl Default for AdmissionGuards {
    fn default() -> Self {
        Self {
            fair_shares: true,
            short_reserve: true,
            early_refusal: true,
            timely_expiry: true,
            bounded_queues: true,
            ageing: true,
        }
    }
}
