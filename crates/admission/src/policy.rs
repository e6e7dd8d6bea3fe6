//! Limits and checks of admission queues.

use base::prelude::*;

use crate::request::RequestSize;

/// Limits of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Size, in tokens, that a customer with the smallest share is granted in one round of short
    /// requests; eight times as much in a round of long ones.
    pub quantum: RequestSize,
    /// Most slots that long requests may hold, in percent of all slots; fewer while short requests
    /// need them.
    pub long_percent: u32,
    /// Most waiting requests of all customers and classes together.
    pub total_limit: usize,
    /// Service time assumed for short requests before the first has ended.
    pub short_service: Duration,
    /// Service time assumed for long requests before the first has ended.
    pub long_service: Duration,
    /// Least number of grants between two that go out of turn to an urgent request of low priority.
    pub ageing_interval: u32,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            quantum: RequestSize(512),
            long_percent: 50,
            total_limit: 4096,
            short_service: Duration::from_millis(100),
            long_service: Duration::from_secs(2),
            ageing_interval: 8,
        }
    }
}

/// Checks of a queue; all are on by default, tests turn some off to show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionChecks {
    /// Customers of one priority are served by their shares; if off, in the order of arrival.
    pub fair_shares: bool,
    /// Long requests are limited to their part of the slots, so that short ones find free slots.
    pub short_reserve: bool,
    /// A request that is not expected to end by its deadline is refused when it is offered.
    pub early_refusal: bool,
    /// A waiting request is refused at its latest start, before its caller times out.
    pub timely_expiry: bool,
    /// Waiting requests are limited for each customer and in total.
    pub bounded_queues: bool,
    /// Requests of low priority that come close to their latest start get a part of the grants.
    pub ageing: bool,
}

impl Default for AdmissionChecks {
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
