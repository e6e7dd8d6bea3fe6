//! Runs a process that writes the decision log.

use std::{
    io,
    thread::{self, JoinHandle},
};

use base::prelude::*;
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::sink::{EventLog, LogLimits};

/// Polls of the writer thread at the end of a process, which ends without the remaining lines if
/// nobody reads them.
const LAST_POLLS: u32 = 200;
/// Time between two of these polls.
const LAST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs `task` on a single-threaded runtime with a decision log of `vm` on standard output, and
/// writes the remaining lines when the task has ended, for at most a second.
///
/// # Errors
///
/// Fails if the runtime or the logger cannot start, and returns the error of `task`.
pub fn run_with_log<T, E>(
    vm: &VmId,
    task: impl AsyncFnOnce(EventLog) -> Result<T, E>,
) -> Result<T, E>
where
    E: From<io::Error> + From<FlexiLoggerError>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (log, writer) = EventLog::start(vm, LogLimits::default(), io::stdout());
    let _logger = log.capture_log_records(LevelFilter::Info)?;
    let outcome = runtime.block_on(task(log.clone()));
    // Tasks that are still running record what they leave undone.
    drop(runtime);
    log.close();
    wait_for_writer(&writer);
    outcome
}

fn wait_for_writer(writer: &JoinHandle<()>) {
    for _ in 0..LAST_POLLS {
        if writer.is_finished() {
            return;
        }
        thread::sleep(LAST_POLL_INTERVAL);
    }
}
