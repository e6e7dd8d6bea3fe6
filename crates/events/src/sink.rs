//! The buffer between the process and its standard output, with a rate limit.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, TryLockError},
    thread,
};

use base::{locks, prelude::*};
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::{LevelFilter, Record};
use serde::Serialize;

use crate::event::DecisionEvent;

/// Time for which lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Times that a panic tries to lock the buffer; other threads hold it for microseconds.
const LOCK_TRIES: usize = 1_000;

/// Limits of what a process logs; lines beyond them are dropped.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Long-term average of lines per second.
    pub rate: EventRate,
    /// Lines that may be written at once, beyond the average rate.
    pub burst: u32,
    /// Most bytes that wait to be written. A line may start below this size and end above it.
    pub buffer: ByteSize,
}

impl Default for LogLimits {
    /// Fits a burst of requests at one entry with three lines per request.
    fn default() -> Self {
        Self { rate: EventRate(400.0), burst: 2_000, buffer: ByteSize(256 * 1024) }
    }
}

#[derive(Debug)]
struct SinkState {
    lines: Vec<u8>,
    number: u64,
    dropped: u64,
    dropped_total: u64,
    /// Lines that the token bucket admits now.
    tokens: f64,
    refilled: Instant,
    is_closed: bool,
}

#[derive(Debug)]
struct Sink {
    limits: LogLimits,
    vm: String,
    state: Mutex<SinkState>,
    changed: Condvar,
}

/// The fields that every line starts with.
#[derive(Serialize)]
struct LineHead<'a> {
    /// Wall-clock time in milliseconds of the Unix epoch, for display only.
    at_ms: u64,
    vm: &'a str,
    /// Line number; a gap shows dropped lines. A `lines-dropped` line has the number of the line
    /// that follows it.
    n: u64,
}

#[derive(Serialize)]
struct Line<'a, T> {
    #[serde(flatten)]
    head: LineHead<'a>,
    #[serde(flatten)]
    event: T,
}

/// A record of the `log` crate, written as an event.
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
        locks::lock(&self.state)
    }

    /// The state without waiting for ever: a panic may come while its own thread holds the lock.
    fn lock_soon(&self) -> Option<MutexGuard<'_, SinkState>> {
        (0..LOCK_TRIES).find_map(|_| match self.state.try_lock() {
            Ok(state) => Some(state),
            Err(TryLockError::Poisoned(error)) => Some(error.into_inner()),
            Err(TryLockError::WouldBlock) => {
                thread::yield_now();
                None
            }
        })
    }

    fn write<T: Serialize>(&self, event: T) {
        self.write_locked(self.lock(), event);
    }

    fn write_locked<T: Serialize>(&self, mut state: MutexGuard<'_, SinkState>, event: T) {
        state.number += 1;
        if !self.admit(&mut state) {
            state.dropped += 1;
            state.dropped_total += 1;
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
        let elapsed = now.saturating_duration_since(state.refilled).as_secs_f64();
        state.refilled = now;
        state.tokens = (state.tokens + elapsed * self.limits.rate.0).min(self.limits.burst.into());
        let has_space = (state.lines.len() as u64) < self.limits.buffer.0;
        if state.tokens < 1.0 || !has_space {
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

    /// Waits for lines and returns them together; `None` once the log is closed and the buffer
    /// is empty.
    fn next_batch(&self) -> Option<Vec<u8>> {
        let mut state = self.lock();
        while state.lines.is_empty() {
            if state.is_closed {
                return None;
            }
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if !state.is_closed {
            (state, _) = self
                .changed
                .wait_timeout_while(state, BATCH_DELAY, |state| !state.is_closed)
                .unwrap_or_else(PoisonError::into_inner);
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

/// The decision log of one process; clones write to the same log.
#[derive(Debug, Clone)]
pub struct EventLog {
    sink: Arc<Sink>,
}

impl EventLog {
    /// Starts a log whose lines are written to `output` by a separate thread, and returns it with
    /// the handle of that thread. If no thread can be started, the process runs on without its log.
    pub fn start(
        vm: &VmId,
        limits: LogLimits,
        output: impl Write + Send + 'static,
    ) -> (Self, WriterThread) {
        let state = SinkState {
            lines: Vec::new(),
            number: 0,
            dropped: 0,
            dropped_total: 0,
            tokens: limits.burst.into(),
            refilled: Instant::now(),
            is_closed: false,
        };
        let sink = Arc::new(Sink {
            limits,
            vm: vm.to_string(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&sink);
        let started = thread::Builder::new().spawn(move || write_lines(&writer, output));
        if let Err(error) = &started {
            // Standard error may be closed, which must not end the start.
            let _ = writeln!(
                io::stderr(),
                "log: cannot start the thread that writes it, running without the log: {error}"
            );
        }
        (Self { sink }, WriterThread(started.ok()))
    }

    /// Installs a logger that writes the records of the `log` crate to this log as `note` events.
    /// The logger stays active until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a logger.
    pub fn capture_log_records(
        &self,
        level: LevelFilter,
    ) -> Result<LoggerHandle, FlexiLoggerError> {
        let sink = Box::new(RecordWriter(Arc::clone(&self.sink)));
        Logger::with(level).log_to_writer(sink).start()
    }

    /// Writes one event, or drops it if a limit is reached.
    pub fn record(&self, event: &DecisionEvent<'_>) {
        self.sink.write(event);
    }

    /// Writes a line on a panic. It is dropped if the panic came in the log itself.
    pub(crate) fn record_panic(&self, text: &str) {
        if let Some(state) = self.sink.lock_soon() {
            let (level, text) = ("error".to_owned(), text.to_owned());
            self.sink.write_locked(state, Note { event: "panic", level, text });
        }
    }

    /// Number of lines dropped since the start. A batch that cannot be written counts as one.
    pub fn dropped_lines(&self) -> u64 {
        self.sink.lock().dropped_total
    }

    /// Closes the log; the writer thread ends once all lines are written.
    pub fn close(&self) {
        self.sink.lock().is_closed = true;
        self.sink.changed.notify_one();
    }
}

/// The thread that writes the lines of a log, if it could be started.
#[derive(Debug)]
pub struct WriterThread(Option<thread::JoinHandle<()>>);

impl WriterThread {
    /// Whether the thread has ended or was never started.
    pub fn is_finished(&self) -> bool {
        self.0.as_ref().is_none_or(thread::JoinHandle::is_finished)
    }

    /// Waits until the thread ends.
    ///
    /// # Errors
    ///
    /// Fails if the thread panicked.
    pub fn join(self) -> thread::Result<()> {
        self.0.map_or(Ok(()), thread::JoinHandle::join)
    }
}

struct RecordWriter(Arc<Sink>);

impl LogWriter for RecordWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        LogWriter::write(&*self.0, now, record)
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(sink: &Sink, mut output: impl Write) {
    while let Some(lines) = sink.next_batch() {
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            sink.lock().dropped_total += 1;
        }
    }
}
