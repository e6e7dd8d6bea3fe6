//! Start of a process on a VM that is not ready for it yet.
//!
//! After a loss of power, a process may start before the VM has its address, while an earlier
//! process still has a port, or while the settings file is being written. None of these lasts, and a
//! process that ends on it may not be started again. So a start goes on until it succeeds or is
//! stopped by a signal.

use std::{
    fmt::Display,
    io::{self, Write},
    thread::{self, JoinHandle},
    time::Duration,
};

use tokio::time;

use crate::signals;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of attempts from one report of a cause to the next; reports are 30 s apart.
const REPORT_ATTEMPTS: u32 = 300;

/// Decides which failures of a start are reported: each new cause, and a lasting one now and then.
#[derive(Debug, Default)]
struct FailureReports {
    last: Option<String>,
    attempts: u32,
}

impl FailureReports {
    /// Whether the failure of the next attempt, with this cause, is reported.
    fn is_due(&mut self, cause: &str) -> bool {
        self.attempts += 1;
        let is_due = self.last.as_deref() != Some(cause) || self.attempts >= REPORT_ATTEMPTS;
        if is_due {
            self.last = Some(cause.to_owned());
            self.attempts = 0;
        }
        is_due
    }
}

/// Calls `take` until it succeeds.
pub async fn take_when_free<T, E: Display>(mut take: impl AsyncFnMut() -> Result<T, E>) -> T {
    let mut reports = FailureReports::default();
    loop {
        match take().await {
            Ok(taken) => return taken,
            Err(error) => {
                if reports.is_due(&error.to_string()) {
                    log::warn!("start: {error}; trying again every {RETRY_PAUSE:?}");
                }
            }
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Longest wait at the end of a start for its last line on standard error.
const LAST_LINE_TIME: Duration = Duration::from_millis(100);

/// Lines on standard error, for what comes before the log. A thread writes each: nobody may read them, and
/// a stop has to be noticed meanwhile.
#[derive(Debug, Default)]
struct StartLines {
    writing: Option<JoinHandle<()>>,
}

impl StartLines {
    fn is_writing(&self) -> bool {
        self.writing.as_ref().is_some_and(|writing| !writing.is_finished())
    }

    /// Writes a line, unless the one before has not been taken yet or no thread can be started.
    fn write(&mut self, text: String) {
        if self.is_writing() {
            return;
        }
        let write = move || {
            // Standard error may be closed, which must not end the start.
            let _ = writeln!(io::stderr(), "start: {text}");
        };
        self.writing = thread::Builder::new().spawn(write).ok();
    }

    /// Waits briefly until the last line is written.
    fn finish(&self) {
        let pause = LAST_LINE_TIME / 20;
        let mut waited = Duration::ZERO;
        while self.is_writing() && waited < LAST_LINE_TIME {
            thread::sleep(pause);
            waited += pause;
        }
    }
}

/// Calls `take` until it succeeds; blocks the thread. Reports failures on standard error, for causes
/// that come before the log. `None` if a stop signal comes first, which is held back until then.
pub fn take_when_possible<T, E: Display>(mut take: impl FnMut() -> Result<T, E>) -> Option<T> {
    let mut reports = FailureReports::default();
    let mut lines = StartLines::default();
    loop {
        match take() {
            Ok(taken) => return Some(taken),
            Err(error) => {
                let cause = error.to_string();
                if reports.is_due(&cause) {
                    lines.write(format!("{cause}\nstart: trying again every {RETRY_PAUSE:?}"));
                }
            }
        }
        match signals::stopped_before(RETRY_PAUSE) {
            Ok(false) => {}
            Ok(true) => {
                lines.write("a stop signal came first, the process ends".to_owned());
                lines.finish();
                return None;
            }
            Err(error) => lines.write(format!("the signal mask cannot be changed: {error}")),
        }
    }
}

/// Whether the last line of a settings file may still be written. A line break or a comment ends it.
fn ends_within_line(text: &str) -> bool {
    !text.ends_with('\n')
        && text.lines().last().is_some_and(|line| !line.starts_with(';') && !line.ends_with(']'))
}

/// Calls `read`, which reads and checks the settings file and returns its text with them, until the
/// file has no fault that a process cannot do with and a whole last line. Blocks the thread; the
/// runtime and the log do not exist without settings. `None` if a stop signal comes first.
pub fn read_when_complete<T, E: Display>(
    mut read: impl FnMut() -> Result<(T, String), E>,
) -> Option<(T, String)> {
    take_when_possible(|| match read() {
        Ok((_, text)) if ends_within_line(&text) => {
            Err("the last line of the settings may be incomplete".to_owned())
        }
        outcome => outcome.map_err(|error| error.to_string()),
    })
}
