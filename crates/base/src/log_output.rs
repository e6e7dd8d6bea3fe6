//! Log lines on their way to an output whose reader may have stopped to read. Writing a line never waits
//! for it: lines beyond a limit are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use flexi_logger::{DeferredNow, FormatFunction, writers::LogWriter};
use log::{Level, Record};

use crate::{locks, sizes::ByteSize};

/// Most bytes that wait to be written. A line may start below this size and end above it.
const MAX_WAITING: ByteSize = ByteSize(256 * 1_024);
/// Longest wait at the end of a process until the last lines are written.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(500);
/// Pause between two checks whether they are.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lines that were dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Log lines that this process has dropped because its log was not read.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Debug, Default)]
struct WaitingLines {
    bytes: Vec<u8>,
    /// Lines dropped and not reported in the log yet.
    dropped: u64,
    is_closed: bool,
}

/// The buffer between the logger and the thread that writes its lines.
struct LineBuffer {
    format: FormatFunction,
    waiting: Mutex<WaitingLines>,
    changed: Condvar,
}

impl LineBuffer {
    fn format_line(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<Vec<u8>> {
        let mut line = Vec::new();
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        Ok(line)
    }

    /// Waits for lines and returns them together; `None` once the log is closed and no line waits.
    fn next_batch(&self) -> Option<Vec<u8>> {
        let waiting = locks::lock(&self.waiting);
        let is_idle = |waiting: &mut WaitingLines| waiting.bytes.is_empty() && !waiting.is_closed;
        let mut waiting =
            self.changed.wait_while(waiting, is_idle).unwrap_or_else(PoisonError::into_inner);
        let mut batch = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        drop(waiting);
        if dropped > 0 {
            let text = format_args!("log: dropped {dropped} lines, because the log was not read");
            let record = Record::builder().level(Level::Warn).args(text).build();
            batch.extend(self.format_line(&mut DeferredNow::new(), &record).unwrap_or_default());
        }
        (!batch.is_empty()).then_some(batch)
    }

    fn write_lines(&self, mut output: impl Write) {
        while let Some(batch) = self.next_batch() {
            if output.write_all(&batch).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// The end of the log that the logger writes to.
struct LineWriter(Arc<LineBuffer>);

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = self.0.format_line(now, record)?;
        let mut waiting = locks::lock(&self.0.waiting);
        if waiting.bytes.len() as u64 >= MAX_WAITING.0 {
            waiting.dropped += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        waiting.bytes.extend(line);
        drop(waiting);
        self.0.changed.notify_one();
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The output of a log; waits briefly for its last lines when it is dropped.
pub struct LogOutput {
    buffer: Arc<LineBuffer>,
    writer: Option<JoinHandle<()>>,
}

impl LogOutput {
    /// Starts the thread that writes the lines to `output`. Without one, the process runs on without its
    /// log.
    pub fn start(format: FormatFunction, output: impl Write + Send + 'static) -> Self {
        let (waiting, changed) = (Mutex::default(), Condvar::new());
        let buffer = Arc::new(LineBuffer { format, waiting, changed });
        let written = Arc::clone(&buffer);
        let started = thread::Builder::new().spawn(move || written.write_lines(output));
        if let Err(error) = &started {
            // Standard error may be closed, which must not end the start.
            let _ = writeln!(
                io::stderr(),
                "log: cannot start the thread that writes it, running without the log: {error}"
            );
        }
        Self { buffer, writer: started.ok() }
    }

    /// A writer for the logger, which never waits.
    pub fn writer(&self) -> Box<dyn LogWriter> {
        Box::new(LineWriter(Arc::clone(&self.buffer)))
    }
}

impl Drop for LogOutput {
    fn drop(&mut self) {
        locks::lock(&self.buffer.waiting).is_closed = true;
        self.buffer.changed.notify_one();
        let mut waited = Duration::ZERO;
        let is_writing = || self.writer.as_ref().is_some_and(|writer| !writer.is_finished());
        while is_writing() && waited < MAX_CLOSE_TIME {
            thread::sleep(CLOSE_POLL_INTERVAL);
            waited += CLOSE_POLL_INTERVAL;
        }
    }
}
