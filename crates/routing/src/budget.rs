//! Budget of hedges and retries: a token bucket that first attempts fill.

/// Limits extra attempts to a percentage of the first attempts.
#[derive(Debug, Clone, Copy)]
pub struct AttemptBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl AttemptBudget {
    /// Allows `percent` extra attempts per hundred first attempts, and at most `burst` at once.
    ///
    /// The bucket starts with one token, so that an extra attempt is possible at a low rate of
    /// requests.
    pub fn new(percent: f64, burst: u32) -> Self {
        let capacity = f64::from(burst.max(1));
        Self { ratio: percent / 100.0, capacity, tokens: 1.0 }
    }

    /// Records a first attempt, which adds a part of a token.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes a token for an extra attempt; `false` if there is none.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
