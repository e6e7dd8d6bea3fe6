//! A log whose reader has stopped to read.

use std::{
    io::{BufRead, BufReader, pipe},
    time::Duration,
};

use base::log_output::{LogOutput, dropped_lines};
use flexi_logger::{DeferredNow, default_format};
use log::{Level, Record};
use tokio::time::Instant;

/// More than a pipe and the log hold together.
const LINES: u64 = 40_000;
/// Time within which a log that is not read is closed.
const CLOSE_TIME: Duration = Duration::from_secs(2);

fn write_all_lines(output: &LogOutput) {
    let writer = output.writer();
    for number in 0..LINES {
        let text = format_args!("line {number}");
        let record = Record::builder().level(Level::Info).args(text).build();
        writer.write(&mut DeferredNow::new(), &record).expect("it is taken or dropped");
    }
}

/// Number of dropped lines that a line of the log reports.
fn dropped_count(line: &str) -> Option<u64> {
    line.split_once("dropped ")?.1.split(' ').next()?.parse().ok()
}

/// Guards against a process that waits for the reader of its log, and against lines that are lost
/// without a trace.
#[test]
fn lines_that_nobody_reads_are_dropped_and_counted() {
    let (reader, writer) = pipe().expect("descriptors are left");
    let output = LogOutput::start(default_format, writer);

    write_all_lines(&output);
    let dropped = dropped_lines();
    let closing = Instant::now();
    drop(output);

    assert!(closing.elapsed() < CLOSE_TIME, "{:?}", closing.elapsed());
    assert!(dropped > 0 && dropped < LINES, "{dropped}");
    let lines: Vec<String> = BufReader::new(reader).lines().map_while(Result::ok).collect();
    let told: Vec<u64> = lines.iter().filter_map(|line| dropped_count(line)).collect();
    assert_eq!(told.iter().sum::<u64>(), dropped, "{told:?}");
    assert_eq!((lines.len() - told.len()) as u64, LINES - dropped);
}
