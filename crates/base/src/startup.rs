//! Start of a process on a VM that is not ready for it yet.
//!
//! After a loss of power, a process may start before the VM has its address, or while an earlier
//! process still has a port. Neither lasts, and a process that ends on it may not be started again.

use std::{fmt::Display, io, time::Duration};

use tokio::time;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of attempts to take an address. A process that drains keeps its port for its grace time.
const TAKE_ATTEMPTS: u32 = 300;

/// Why a start failed, and whether a later attempt may succeed.
pub trait StartFailure: Display {
    /// Whether the cause may go away without a change of the settings.
    fn is_transient(&self) -> bool;
}

impl StartFailure for io::Error {
    fn is_transient(&self) -> bool {
        matches!(self.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
    }
}

/// Calls `take` until it succeeds, fails for good or has failed for 30 seconds.
///
/// # Errors
///
/// Returns the last error of `take`.
pub async fn take_when_free<T, E>(mut take: impl AsyncFnMut() -> Result<T, E>) -> Result<T, E>
where
    E: StartFailure,
{
    for attempt in 1.. {
        match take().await {
            Err(error) if error.is_transient() && attempt < TAKE_ATTEMPTS => {
                if attempt == 1 {
                    let limit = RETRY_PAUSE * TAKE_ATTEMPTS;
                    log::warn!("start: {error}; trying again for {limit:?}");
                }
            }
            outcome => return outcome,
        }
        time::sleep(RETRY_PAUSE).await;
    }
    unreachable!("the last attempt returns")
}
