//! The buffer between the process and its standard output.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
};

use base::prelude::*;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::{LevelFilter, Record};
use serde::Serialize;

use crate::event::DecisionEvent;

/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);

/// How much a process logs at most.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Lines each second, on average.
    pub rate: EventRate,
    /// Lines that may come at once.
    pub burst: u32,
    /// Bytes that wait to be written.
    pub buffer: ByteSize,
}

impl Default for LogLimits {
    /// A burst of requests at one entry, at three lines a request, fits.
    fn default() -> Self {
        Self { rate: EventRate(400.0), burst: 2_000, buffer: ByteSize(256 * 1024) }
    }
}

#[derive(Debug)]
struct SinkState {
    lines: Vec<u8>,
    number: u64,
    dropped: u64,
    dropped_ever: u64,
    tokens: f64,
    filled: Instant,
    is_closed: bool,
}

#[derive(Debug)]
struct Sink {
    limits: LogLimits,
    vm: String,
    state: Mutex<SinkState>,
    changed: Condvar,
}

/// The head that every line has.
#[derive(Serialize)]
struct LineHead<'a> {
    /// Wall-clock time in milliseconds of the Unix epoch, for display only.
    at_ms: u64,
    vm: &'a str,
    /// Number of the line; gaps show dropped lines.
    n: u64,
}

#[derive(Serialize)]
struct Line<'a, T> {
    #[serde(flatten)]
    head: LineHead<'a>,
    #[serde(flatten)]
    event: T,
}

/// A plain note of a library or module.
#[derive(Serialize)]
struct Note {
    event: &'static str,
    level: String,
    text: String,
}

#[derive(Serialize)]
struct Dropped {
    event: &'static str,
    lines: u64,
}

impl Sink {
    fn lock(&self) -> MutexGuard<'_, SinkState> {
        self.state.lock().expect("no holder panics")
    }

    fn write<T: Serialize>(&self, event: T) {
        let mut state = self.lock();
        state.number += 1;
        if !self.admit(&mut state) {
            state.dropped += 1;
            state.dropped_ever += 1;
            return;
        }
        let was_empty = state.lines.is_empty();
        if state.dropped > 0 {
            let lines = std::mem::take(&mut state.dropped);
            self.append(&mut state, Dropped { event: "lines-dropped", lines });
        }
        self.append(&mut state, event);
        drop(state);
        if was_empty {
            self.changed.notify_one();
        }
    }

    fn admit(&self, state: &mut SinkState) -> bool {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(state.filled).as_secs_f64();
        state.filled = now;
        state.tokens = (state.tokens + elapsed * self.limits.rate.0).min(self.limits.burst.into());
        let has_room = (state.lines.len() as u64) < self.limits.buffer.0;
        if state.tokens < 1.0 || !has_room {
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    fn append<T: Serialize>(&self, state: &mut SinkState, event: T) {
        let at_ms = u64::try_from(base::clock::since_epoch().as_millis()).unwrap_or(u64::MAX);
        let head = LineHead { at_ms, vm: &self.vm, n: state.number };
        if serde_json::to_writer(&mut state.lines, &Line { head, event }).is_err() {
            state.dropped += 1;
            return;
        }
        state.lines.push(b'\n');
    }

    /// Waits for lines; `None` once the log is closed and everything was taken.
    fn take(&self) -> Option<Vec<u8>> {
        let mut state = self.lock();
        while state.lines.is_empty() {
            if state.is_closed {
                return None;
            }
            state = self.changed.wait(state).expect("no holder panics");
        }
        if !state.is_closed {
            (state, _) = self
                .changed
                .wait_timeout_while(state, GATHER, |state| !state.is_closed)
                .expect("no holder panics");
        }
        Some(std::mem::take(&mut state.lines))
    }
}

impl LogWriter for Sink {
    fn write(&self, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let level = record.level().as_str().to_ascii_lowercase();
        self.write(Note { event: "note", level, text: record.args().to_string() });
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The log of one process; clones write to the same log.
#[derive(Debug, Clone)]
pub struct EventLog {
    sink: Arc<Sink>,
}

impl EventLog {
    /// A log whose lines go to `output`, written by a thread of its own.
    pub fn start(
        vm: &VmId,
        limits: LogLimits,
        output: impl Write + Send + 'static,
    ) -> (Self, thread::JoinHandle<()>) {
        let state = SinkState {
            lines: Vec::new(),
            number: 0,
            dropped: 0,
            dropped_ever: 0,
            tokens: limits.burst.into(),
            filled: Instant::now(),
            is_closed: false,
        };
        let sink = Arc::new(Sink {
            limits,
            vm: vm.to_string(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&sink);
        let thread = thread::spawn(move || write_lines(&writer, output));
        (Self { sink }, thread)
    }

    /// Sends the notes of all libraries to this log, too.
    ///
    /// # Errors
    ///
    /// Fails if another logger was started before.
    pub fn take_notes(&self, level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
        let sink = Box::new(NoteWriter(Arc::clone(&self.sink)));
        Logger::with(level).log_to_writer(sink).start()
    }

    /// Writes one event.
    pub fn record(&self, event: &DecisionEvent<'_>) {
        self.sink.write(event);
    }

    /// Lines dropped so far.
    pub fn dropped_lines(&self) -> u64 {
        self.sink.lock().dropped_ever
    }

    /// Ends the log; the thread ends once all lines are written.
    pub fn close(&self) {
        self.sink.lock().is_closed = true;
        self.sink.changed.notify_one();
    }
}

struct NoteWriter(Arc<Sink>);

impl LogWriter for NoteWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        LogWriter::write(&*self.0, now, record)
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(sink: &Sink, mut output: impl Write) {
    while let Some(lines) = sink.take() {
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            sink.lock().dropped_ever += 1;
        }
    }
}
