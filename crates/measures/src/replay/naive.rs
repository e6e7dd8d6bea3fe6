//! Naive router for comparison: least connections on delayed load reports, FIFO queues at the
//! servers, no refusals.

use std::{collections::VecDeque, time::Duration};

use base::prelude::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between load reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay until the router sees a report.
const REPORT_DELAY: Duration = Duration::from_millis(500);

struct DelayedReport {
    visible_at: Instant,
    loads: Vec<usize>,
}

/// Picks the server with the least load in the last report that the router has seen.
pub struct NaiveRouter {
    rng: ChaCha8Rng,
    delayed: VecDeque<DelayedReport>,
    loads: Vec<usize>,
}

impl NaiveRouter {
    /// Creates a router for `servers` servers, all at load 0; `seed` is for ties.
    pub fn new(servers: usize, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng, delayed: VecDeque::new(), loads: vec![0; servers] }
    }

    /// Records the current load of each server, which `choose` sees after a delay of 500 ms.
    pub fn record_report(&mut self, loads: Vec<usize>, now: Instant) {
        self.delayed.push_back(DelayedReport { visible_at: now + REPORT_DELAY, loads });
    }

    /// Index of the server with the least load in the reports visible at `now`; ties are broken at
    /// random.
    pub fn choose(&mut self, now: Instant) -> usize {
        while let Some(report) = self.delayed.pop_front_if(|report| report.visible_at <= now) {
            self.loads = report.loads;
        }
        let least = self.loads.iter().min().copied().unwrap_or(0);
        let lightest: Vec<usize> =
            (0..self.loads.len()).filter(|server| self.loads[*server] == least).collect();
        lightest[self.rng.random_range(0..lightest.len())]
    }
}
