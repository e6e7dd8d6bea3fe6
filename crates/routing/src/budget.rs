//! Budgets of hedges and retries: a token bucket filled by first attempts.

/// Allows extra attempts as a part of the first attempts.
#[derive(Debug, Clone, Copy)]
pub struct AttemptBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl AttemptBudget {
    /// At most `percent` extra attempts per hundred first ones, and `burst` at once.
    ///
    /// The bucket starts with one token, so that a quiet process may make an extra attempt.
    pub fn new(percent: f64, burst: u32) -> Self {
        let capacity = f64::from(burst.max(1));
        Self { ratio: percent / 100.0, capacity, tokens: 1.0 }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes an extra attempt, if the budget has one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
