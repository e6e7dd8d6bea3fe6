//! Runs a process that writes the decision log.

use std::{
    fmt::Display,
    io::{self, Write},
    thread::{self, JoinHandle},
};

use base::prelude::*;
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::{
    event::DecisionEvent,
    sink::{EventLog, LogLimits},
};

/// Longest wait at the end of a process until the last lines are written. Whoever reads standard
/// output may have stopped to, and the process is killed if it does not end in its grace time.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(500);
/// Pause between two checks whether the last lines are written.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs `task` on a single-threaded runtime with a decision log of `vm` on standard output, and
/// writes the remaining lines when the task has ended, as long as the output takes them.
///
/// # Errors
///
/// Fails if the runtime or the logger cannot start, and returns the error of `task`.
pub fn run_with_log<T, E>(
    vm: &VmId,
    task: impl AsyncFnOnce(EventLog) -> Result<T, E>,
) -> Result<T, E>
where
    E: Display + From<io::Error> + From<FlexiLoggerError>,
{
    run_with_output(vm, io::stdout(), task)
}

/// The same with the decision log on `output`.
///
/// # Errors
///
/// As [`run_with_log`].
pub fn run_with_output<T, E>(
    vm: &VmId,
    output: impl Write + Send + 'static,
    task: impl AsyncFnOnce(EventLog) -> Result<T, E>,
) -> Result<T, E>
where
    E: Display + From<io::Error> + From<FlexiLoggerError>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (log, writer) = EventLog::start(vm, LogLimits::default(), output);
    let _logger = log.capture_log_records(LevelFilter::Info)?;
    let outcome = runtime.block_on(task(log.clone()));
    if let Err(error) = &outcome {
        log.record(&DecisionEvent::Failed { reason: &error.to_string() });
    }
    // Tasks that are still running record what they leave undone.
    drop(runtime);
    log.close();
    wait_for_writer(&writer);
    outcome
}

fn wait_for_writer(writer: &JoinHandle<()>) {
    let mut waited = Duration::ZERO;
    while !writer.is_finished() && waited < MAX_CLOSE_TIME {
        thread::sleep(CLOSE_POLL_INTERVAL);
        waited += CLOSE_POLL_INTERVAL;
    }
}
