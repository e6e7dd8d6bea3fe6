//! Runs a process that writes the decision log.

use std::{
    fmt::Display,
    io::{self, Write},
    panic::{self, AssertUnwindSafe},
    thread,
};

use base::{prelude::*, startup::take_when_possible};
use flexi_logger::FlexiLoggerError;
use log::LevelFilter;
use tokio::runtime::Builder;

use crate::{
    event::DecisionEvent,
    sink::{EventLog, LogLimits, WriterThread},
    tasks::record_panics,
};

/// Longest wait at the end of a process until the last lines are written. Whoever reads standard
/// output may have stopped to, and a process that waits for it keeps its addresses.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(500);
/// Pause between two checks whether the last lines are written.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs `task` on a single-threaded runtime with a decision log of `vm` on standard output, and
/// writes the remaining lines when the task has ended, as long as the output takes them. Panics of
/// any task are recorded in it. A stop signal that comes before the runtime ends it without them.
///
/// # Errors
///
/// Fails if the logger cannot start, and returns the error of `task`.
pub fn run_with_log<E>(
    vm: &VmId,
    task: impl AsyncFnOnce(EventLog) -> Result<(), E>,
) -> Result<(), E>
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
pub fn run_with_output<E>(
    vm: &VmId,
    output: impl Write + Send + 'static,
    task: impl AsyncFnOnce(EventLog) -> Result<(), E>,
) -> Result<(), E>
where
    E: Display + From<io::Error> + From<FlexiLoggerError>,
{
    // Descriptors may be short for a while, for the process or for the VM.
    let build = || Builder::new_current_thread().enable_all().build();
    let Some(runtime) = take_when_possible(build) else { return Ok(()) };
    let (log, writer) = EventLog::start(vm, LogLimits::default(), output);
    let _logger = log.capture_log_records(LevelFilter::Info)?;
    record_panics(&log);
    let running = AssertUnwindSafe(|| runtime.block_on(task(log.clone())));
    let outcome = panic::catch_unwind(running);
    if let Ok(Err(error)) = &outcome {
        log.record(&DecisionEvent::Failed { reason: &error.to_string() });
    }
    // Tasks that are still running record what they leave undone.
    drop(runtime);
    log.close();
    wait_for_writer(&writer);
    outcome.unwrap_or_else(|payload| panic::resume_unwind(payload))
}

/// Records a planned stop that came before the process had started.
pub fn record_early_stop(log: &EventLog) {
    log.record(&DecisionEvent::Stopping { in_flight: 0 });
    log.record(&DecisionEvent::Stopped { in_flight: 0 });
}

fn wait_for_writer(writer: &WriterThread) {
    let mut waited = Duration::ZERO;
    while !writer.is_finished() && waited < MAX_CLOSE_TIME {
        thread::sleep(CLOSE_POLL_INTERVAL);
        waited += CLOSE_POLL_INTERVAL;
    }
}
