//! Runs a process that writes the decision log.

use std::{
    io,
    panic::{self, AssertUnwindSafe},
    thread::{self, JoinHandle},
};

use base::prelude::*;
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::{
    sink::{EventLog, LogLimits},
    tasks::record_panics,
};

/// Longest time that a process waits at its end for its last lines to be written.
const MAX_WRITE_TIME: Duration = Duration::from_millis(500);
/// Time between two checks whether they are.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Runs `task` on a single-threaded runtime with a decision log of `vm` on standard output, and
/// writes the remaining lines when the task has ended, unless nobody reads them. Panics of any task are recorded in it.
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
    record_panics(&log);
    let running = AssertUnwindSafe(|| runtime.block_on(task(log.clone())));
    let outcome = panic::catch_unwind(running);
    // Tasks that are still running record what they leave undone.
    drop(runtime);
    log.close();
    wait_for(&writer);
    outcome.unwrap_or_else(|payload| panic::resume_unwind(payload))
}

/// Waits until `writer` ends, but not longer than the lines may take: an output that nobody reads would
/// keep the process, with its addresses, until it is killed.
fn wait_for(writer: &JoinHandle<()>) {
    let ends = Instant::now() + MAX_WRITE_TIME;
    while !writer.is_finished() && Instant::now() < ends {
        thread::sleep(CHECK_INTERVAL);
    }
}
