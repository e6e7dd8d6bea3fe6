//! The naive router: least connections by late load reports, first in first out, no refusals.

use std::{collections::VecDeque, time::Duration};

use base::prelude::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between load reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a report is seen.
const REPORT_LAG: Duration = Duration::from_millis(500);

struct LateReport {
    seen: Instant,
    loads: Vec<usize>,
}

/// Chooses the server whose last report shows the least load.
pub struct NaiveRouter {
    rng: ChaCha8Rng,
    late: VecDeque<LateReport>,
    loads: Vec<usize>,
}

impl NaiveRouter {
    /// A router of `servers` that nothing has been reported of.
    pub fn new(servers: usize, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng, late: VecDeque::new(), loads: vec![0; servers] }
    }

    /// Takes the loads of now; they are seen later.
    pub fn report(&mut self, loads: Vec<usize>, now: Instant) {
        self.late.push_back(LateReport { seen: now + REPORT_LAG, loads });
    }

    /// The server with the least load as seen now; one of them at random.
    pub fn choose(&mut self, now: Instant) -> usize {
        while let Some(report) = self.late.pop_front_if(|report| report.seen <= now) {
            self.loads = report.loads;
        }
        let least = self.loads.iter().min().copied().unwrap_or(0);
        let lightest: Vec<usize> =
            (0..self.loads.len()).filter(|server| self.loads[*server] == least).collect();
        lightest[self.rng.random_range(0..lightest.len())]
    }
}
