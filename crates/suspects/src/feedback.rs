//! When an entry answers a message that went to all entries.

use base::prelude::*;

/// Longest delay of an answer; requests are refused only after it.
pub const MAX_FEEDBACK_DELAY: Duration = Duration::from_millis(30);

/// Delay of the answer of one of `entries` entries that may all have the same answer.
///
/// The delays for `draw`, uniform between 0 and 1, are distributed so that about one entry has a
/// short one, however many there are; the others learn of its answer before theirs is due, and keep
/// it. A single entry that has an answer sends it within [`MAX_FEEDBACK_DELAY`].
pub fn feedback_delay(draw: f64, entries: usize) -> Duration {
    let entries = (entries.max(2) as f64).max(10.0);
    let share = 1.0 + draw.clamp(f64::MIN_POSITIVE, 1.0).ln() / entries.ln();
    MAX_FEEDBACK_DELAY.mul_f64(share.clamp(0.0, 1.0))
}
