//! The decision log under load.

use std::{
    fmt,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use base::prelude::*;
use dispatch::CallId;
use events::{DecisionEvent, EngineEvent, EventLog, LogLimits, run_with_output};
use flexi_logger::FlexiLoggerError;
use residency::OrderCount;
use serde_json::{Value, json};

#[derive(Default)]
struct OutputState {
    bytes: Mutex<OutputBytes>,
    changed: Condvar,
}

#[derive(Default)]
struct OutputBytes {
    written: Vec<u8>,
    is_blocked: bool,
}

/// An output that keeps what is written and can block its writers.
#[derive(Clone, Default)]
struct Output {
    state: Arc<OutputState>,
}

impl Output {
    fn set_blocked(&self, is_blocked: bool) {
        self.state.bytes.lock().expect("no thread panics while holding the lock").is_blocked =
            is_blocked;
        self.state.changed.notify_all();
    }

    fn lines(&self) -> Vec<Value> {
        let written = self
            .state
            .bytes
            .lock()
            .expect("no thread panics while holding the lock")
            .written
            .clone();
        let text = String::from_utf8(written).expect("the log is text");
        text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.bytes.lock().expect("no thread panics while holding the lock");
        let mut state = self
            .state
            .changed
            .wait_while(state, |state| state.is_blocked)
            .expect("no thread panics while holding the lock");
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn vm() -> VmId {
    "entry-1".parse().expect("a valid name")
}

fn caller_left(call: &CallId, held_ms: u64) -> DecisionEvent<'_> {
    DecisionEvent::CallerLeft { call, held_ms }
}

#[test]
fn event_is_one_line_with_number_and_time() {
    let output = Output::default();
    let (log, thread) = EventLog::start(&vm(), LogLimits::default(), output.clone());
    let call = CallId("c-1".to_owned());

    log.record(&caller_left(&call, 7));
    log.record(&caller_left(&call, 8));
    log.close();
    thread.join().expect("the writer ends");

    let lines = output.lines();
    assert_eq!(lines.len(), 2);
    assert_eq!((lines[0]["n"].as_u64(), lines[1]["n"].as_u64()), (Some(1), Some(2)));
    assert_eq!(lines[0]["event"], "caller-left");
    assert_eq!(lines[0]["call"], "c-1");
    assert_eq!(lines[0]["vm"], "entry-1");
    assert!(lines[0]["at_ms"].as_u64().is_some_and(|at| at > 0));
}

/// Guards against an event of an engine whose line has another form than those of other events.
#[test]
fn engine_event_has_its_name_and_fields_in_its_line() {
    let output = Output::default();
    let (log, thread) = EventLog::start(&vm(), LogLimits::default(), output.clone());

    let event = EngineEvent::ChangeDeclined { load: "m1", reason: "busy", orders: OrderCount(7) };
    log.record(&event.into());
    log.close();
    thread.join().expect("the writer ends");

    let mut line = output.lines().remove(0);
    let fields = line.as_object_mut().expect("a line is an object");
    fields.remove("at_ms");
    let expected = json!({ "vm": "entry-1", "n": 1, "event": "change-declined", "load": "m1",
        "reason": "busy", "orders": "7" });
    assert_eq!(line, expected);
}

#[test]
fn lines_beyond_burst_are_dropped_and_counted() {
    let output = Output::default();
    let limits = LogLimits { rate: EventRate(0.0), burst: 10, buffer: ByteSize::mib(1) };
    let (log, thread) = EventLog::start(&vm(), limits, output.clone());
    let call = CallId("c-1".to_owned());

    for number in 0..100 {
        log.record(&caller_left(&call, number));
    }
    log.close();
    thread.join().expect("the writer ends");

    assert_eq!(output.lines().len(), 10);
    assert_eq!(log.dropped_lines(), 90);
}

#[test]
fn dropped_lines_are_reported_in_the_log() {
    let output = Output::default();
    output.set_blocked(true);
    let limits = LogLimits { rate: EventRate(1e6), burst: 1_000_000, buffer: ByteSize(2_000) };
    let (log, thread) = EventLog::start(&vm(), limits, output.clone());
    let call = CallId("c-1".to_owned());
    for number in 0..200 {
        log.record(&caller_left(&call, number));
    }
    let dropped = log.dropped_lines();

    output.set_blocked(false);
    while output.lines().is_empty() {
        std::thread::yield_now();
    }
    log.record(&caller_left(&call, 999));
    log.close();
    thread.join().expect("the writer ends");

    let lines = output.lines();
    let notes: Vec<&Value> = lines.iter().filter(|line| line["event"] == "lines-dropped").collect();
    assert!(dropped > 0);
    assert_eq!(notes.len(), 1, "{lines:?}");
    assert_eq!(notes[0]["lines"].as_u64(), Some(dropped));
}

#[test]
fn blocked_output_does_not_block_writers() {
    let output = Output::default();
    output.set_blocked(true);
    let limits = LogLimits { buffer: ByteSize(10_000), ..LogLimits::default() };
    let (log, thread) = EventLog::start(&vm(), limits, output.clone());
    let call = CallId("c-1".to_owned());

    for number in 0..10_000 {
        log.record(&caller_left(&call, number));
    }

    assert!(log.dropped_lines() > 9_000);
    output.set_blocked(false);
    log.close();
    thread.join().expect("the writer ends");
}

/// Error of a task that ends a process.
#[derive(Debug)]
struct TaskError(String);

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for TaskError {
    fn from(error: io::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<FlexiLoggerError> for TaskError {
    fn from(error: FlexiLoggerError) -> Self {
        Self(error.to_string())
    }
}

/// Guards against a process that ends by itself without a line in its log that says why.
#[test]
fn error_that_ends_a_process_is_logged() {
    let output = Output::default();
    let error = TaskError("no such address".to_owned());

    let outcome = run_with_output(&vm(), output.clone(), async |_| Err::<(), _>(error));

    assert!(outcome.is_err());
    let lines = output.lines();
    assert_eq!(lines[0]["event"], "failed");
    assert_eq!(lines[0]["reason"], "no such address");
}
