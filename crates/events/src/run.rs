//! Runs a process that writes the decision log.

use std::{
    io,
    panic::{self, AssertUnwindSafe},
};

use base::prelude::*;
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::{
    sink::{EventLog, LogLimits},
    tasks::record_panics,
};

/// Runs `task` on a single-threaded runtime with a decision log of `vm` on standard output, and
/// writes the remaining lines when the task has ended. Panics of any task are recorded in it.
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
    // Joining fails only if the writer thread has panicked, and then nothing can be logged.
    let _ = writer.join();
    outcome.unwrap_or_else(|payload| panic::resume_unwind(payload))
}
