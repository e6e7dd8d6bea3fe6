//! Delays before listings of the store are repeated that have shown nothing or a part.

use base::prelude::*;
use platform::{GapReason, ListingGap, StoreError};
use rand::RngExt;

/// Delay before the next call to the store after one that did not reach it, and longest delay before the
/// first repetition of a listing.
pub const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay before a repetition that may meet the same again.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// Longest delay while the store is busy, or while nothing is listed, which may be over at any moment.
const MAX_SHORT_DELAY: Duration = Duration::from_secs(1);
/// Status of a store that takes no more calls for the moment.
const TOO_MANY_REQUESTS: u16 = 429;
/// Part of a delay that is left to chance, so that the entries do not list at the same time.
const RANDOM_SHARE: f64 = 0.5;

/// Delays between the repetitions of a listing. They double while the reason stays.
#[derive(Debug, Default)]
pub struct RelistDelays {
    reason: Option<GapReason>,
    repetitions: u32,
}

impl RelistDelays {
    /// Delay after a listing with a gap.
    pub fn after_gap(&mut self, gap: &ListingGap) -> Duration {
        self.after(gap.reason, longest_delay(gap.reason))
    }

    /// Delay after a listing that failed. It is constant while the store refuses the first page or is
    /// not reached: such an attempt is a single call, and the store may be back at any moment.
    pub fn after_failure(&mut self, error: &StoreError) -> Duration {
        match error {
            StoreError::Format { .. } => self.after(GapReason::Undecodable, MAX_SHORT_DELAY),
            StoreError::TooLarge { .. } => self.after(GapReason::TooLarge, MAX_SHORT_DELAY),
            StoreError::Status { .. } | StoreError::Conflict => RETRY_DELAY,
            StoreError::Refused { .. } | StoreError::NoAnswer { .. } | StoreError::SlowAnswer => {
                self.reset();
                RETRY_DELAY
            }
        }
    }

    /// Delay after a listing that failed while an earlier one is in use, and its changes can be watched.
    pub fn after_failed_repetition(&mut self, error: &StoreError) -> Duration {
        let reason = match error {
            StoreError::Status { status } => GapReason::Status(*status),
            StoreError::Format { .. } => GapReason::Undecodable,
            StoreError::TooLarge { .. } => GapReason::TooLarge,
            error => return self.after_failure(error),
        };
        self.after(reason, longest_delay(reason))
    }

    /// Forgets the reason, after a complete listing or because the store was not reached.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn after(&mut self, reason: GapReason, longest: Duration) -> Duration {
        if self.reason.replace(reason) != Some(reason) {
            self.repetitions = 0;
        }
        let delay = RETRY_DELAY.saturating_mul(1 << self.repetitions.min(16)).min(longest);
        self.repetitions = self.repetitions.saturating_add(1);
        delay.mul_f64(1.0 - RANDOM_SHARE * rand::rng().random::<f64>())
    }
}

fn longest_delay(reason: GapReason) -> Duration {
    match reason {
        GapReason::Status(TOO_MANY_REQUESTS | 500..) => MAX_SHORT_DELAY,
        GapReason::Status(_) | GapReason::NoName | GapReason::Undecodable | GapReason::TooLarge => {
            MAX_DELAY
        }
    }
}
