//! Prefill speed of engines, measured by the entry's own requests.
//!
//! Engines share their VMs with other processes and slow down at times; the load that they report
//! shows this late.

use base::prelude::*;
use catalog::TokenCount;

/// Weight of a new observation in the exponential moving average.
const OBSERVATION_WEIGHT: f64 = 0.25;
/// Prefill time per token before the first observation.
///
/// Close to the slowest engine in the users' workload sheets, which prefills 19 tokens per
/// millisecond.
const INITIAL_MS_PER_TOKEN: f64 = 0.055;
/// Fixed part of the time to a first event, independent of the prompt length.
const BASE_MS: f64 = 25.0;
/// Observations are clamped to this range, so that outliers have a bounded effect.
const MS_PER_TOKEN_RANGE: (f64, f64) = (0.005, 2.0);

/// Prefill speed of one engine with one model.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSpeed {
    ms_per_token: f64,
    base_ms: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self { ms_per_token: INITIAL_MS_PER_TOKEN, base_ms: BASE_MS }
    }
}

impl PrefillSpeed {
    /// Expected time to the first event of a request whose prompt has `own` tokens, with `queued`
    /// prompt tokens ahead of it.
    pub fn first_event(&self, queued: TokenCount, own: TokenCount) -> Duration {
        let tokens = queued.plus(own).0 as f64;
        Duration::from_secs_f64((self.base_ms + self.ms_per_token * tokens).max(0.0) / 1000.0)
    }

    /// Updates the speed by a request whose first event came `took` after it was sent.
    pub fn observe(&mut self, queued: TokenCount, own: TokenCount, took: Duration) {
        let tokens = (queued.plus(own).0 as f64).max(1.0);
        let took_ms = took.as_secs_f64() * 1000.0;
        let (low, high) = MS_PER_TOKEN_RANGE;
        let per_token = ((took_ms - self.base_ms) / tokens).clamp(low, high);
        self.ms_per_token += OBSERVATION_WEIGHT * (per_token - self.ms_per_token);
    }
}
