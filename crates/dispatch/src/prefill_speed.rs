//! What an entry learns about the speed of engines from its own requests.
//!
//! Load pattern: engines share their VMs with others and slow down for a while; the load that they
//! report tells it late.

use base::prelude::*;
use catalog::TokenCount;

/// Weight of a new observation.
const OBSERVATION_WEIGHT: f64 = 0.25;
/// Reading speed assumed before the first observation, in milliseconds a token.
///
/// About the slowest that the users' sheets name: 19 tokens a millisecond.
const FIRST_MS_PER_TOKEN: f64 = 0.055;
/// Fixed part of the time to a first event assumed before the first observation.
const FIRST_BASE_MS: f64 = 25.0;
/// Bounds of what one observation may say, against outliers.
const MS_PER_TOKEN_RANGE: (f64, f64) = (0.005, 2.0);

/// Speed of one engine with one model.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSpeed {
    ms_per_token: f64,
    base_ms: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self { ms_per_token: FIRST_MS_PER_TOKEN, base_ms: FIRST_BASE_MS }
    }
}

impl PrefillSpeed {
    /// Expected time to the first event of a request, with the prompts ahead of it in `queued`.
    pub fn first_event(&self, queued: TokenCount, own: TokenCount) -> Duration {
        let tokens = (queued.0 + own.0) as f64;
        Duration::from_secs_f64((self.base_ms + self.ms_per_token * tokens).max(0.0) / 1000.0)
    }

    /// Learns from a request whose first event came `took` after it was sent.
    pub fn observe(&mut self, queued: TokenCount, own: TokenCount, took: Duration) {
        let tokens = ((queued.0 + own.0) as f64).max(1.0);
        let took_ms = took.as_secs_f64() * 1000.0;
        let (low, high) = MS_PER_TOKEN_RANGE;
        let per_token = ((took_ms - self.base_ms) / tokens).clamp(low, high);
        self.ms_per_token += OBSERVATION_WEIGHT * (per_token - self.ms_per_token);
    }
}
