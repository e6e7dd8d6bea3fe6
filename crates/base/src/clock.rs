//! Wall-clock time derived from the clock of the Tokio runtime, so that tests can pause and advance
//! it.

use std::{sync::OnceLock, time::Duration};

use tokio::time::Instant;

struct ClockAnchor {
    instant: Instant,
    since_epoch: Duration,
}

fn anchor() -> &'static ClockAnchor {
    static ANCHOR: OnceLock<ClockAnchor> = OnceLock::new();
    ANCHOR.get_or_init(|| ClockAnchor { instant: Instant::now(), since_epoch: system_time() })
}

#[expect(clippy::disallowed_types, reason = "the one place where the system's clock is read")]
fn system_time() -> Duration {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}

/// Time since the Unix epoch: the system time at the first call plus the time that has passed on
/// the runtime's clock since.
///
/// Later adjustments of the system clock have no effect. Used for display and for records only; no
/// decision about safety depends on it.
pub fn since_epoch() -> Duration {
    let anchor = anchor();
    anchor.since_epoch + Instant::now().saturating_duration_since(anchor.instant)
}
