//! A process that writes the log of decisions.

use std::io;

use base::prelude::*;
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::sink::{EventLog, LogLimits};

/// Runs `task` on one thread, with a log of `vm` to standard output, and writes out what is left of
/// the log when the task has ended.
///
/// # Errors
///
/// Fails if the runtime or the log cannot start, or as the task does.
pub fn run_logged<T, E>(vm: &VmId, task: impl AsyncFnOnce(EventLog) -> Result<T, E>) -> Result<T, E>
where
    E: From<io::Error> + From<FlexiLoggerError>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (log, writer) = EventLog::start(vm, LogLimits::default(), io::stdout());
    let _notes = log.take_notes(LevelFilter::Info)?;
    let outcome = runtime.block_on(task(log.clone()));
    log.close();
    // The writer only fails if standard output does, and then nobody can be told.
    let _ = writer.join();
    outcome
}
