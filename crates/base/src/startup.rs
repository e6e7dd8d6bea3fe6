//! Start of a process on a VM that is not ready for it yet.
//!
//! After a loss of power, a process may start before the VM has its address, while an earlier
//! process still has a port, or while the settings file is being written. None of these lasts, and a
//! process that ends on it may not be started again.

use std::{
    fmt::Display,
    io::{self, Write},
    thread,
    time::Duration,
};

use tokio::time;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of attempts to read the settings.
const READ_ATTEMPTS: u32 = 50;
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

/// Whether the last line of a settings file may still be written. A line break or a comment ends it.
fn ends_within_line(text: &str) -> bool {
    !text.ends_with('\n') && text.lines().last().is_some_and(|line| !line.starts_with(';'))
}

/// Calls `read`, which reads and checks the settings file and returns its text with them, until the
/// file has no faults and a whole last line, or 5 seconds have passed. Blocks the thread; the runtime
/// and the log do not exist without settings.
///
/// # Errors
///
/// Returns the last error of `read`.
pub fn read_when_complete<T, E: Display>(
    mut read: impl FnMut() -> Result<(T, String), E>,
) -> Result<(T, String), E> {
    for attempt in 1..READ_ATTEMPTS {
        let fault = match read() {
            Ok((_, text)) if ends_within_line(&text) => {
                "the last line of the settings may be incomplete".to_owned()
            }
            Ok(complete) => return Ok(complete),
            Err(error) => error.to_string(),
        };
        if attempt == 1 {
            let limit = RETRY_PAUSE * READ_ATTEMPTS;
            // Standard error may be closed, which must not end the start.
            let _ = writeln!(io::stderr(), "start: {fault}\nstart: reading again for {limit:?}");
        }
        thread::sleep(RETRY_PAUSE);
    }
    read()
}
