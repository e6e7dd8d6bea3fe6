//! Settings of the `[log]` section and initialisation of the logger.

use std::{
    io::{self, Write},
    str::FromStr,
    thread,
};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{LevelFilter, Record};
use snafu::Snafu;

use crate::{ini::SectionReader, log_output::LogOutput};

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Local time, level and message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The name of a log format is neither `text` nor `json`.
#[derive(Debug, Snafu)]
#[snafu(display("a log format is text or json"))]
pub struct FormatError;

impl FromStr for LogFormat {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, FormatError> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => FormatSnafu.fail(),
        }
    }
}

/// Settings of the logger, read from the `[log]` section.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Least severe level that is written; `info` by default.
    pub level: LevelFilter,
    /// Format of the lines; text by default.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: LogFormat::Text }
    }
}

impl LogSettings {
    /// Reads the settings; missing keys get their defaults, and faults are recorded in `section`.
    pub fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            level: section.optional("level", "error, warn, info, debug or trace", default.level),
            format: section.optional("format", "text or json", default.format),
        }
    }

    /// Installs the logger, which writes to standard error until the returned log is dropped.
    ///
    /// # Errors
    ///
    /// Fails if a logger is already installed.
    pub fn start(self) -> Result<RunningLog, FlexiLoggerError> {
        let format = match self.format {
            LogFormat::Text => write_line,
            LogFormat::Json => flexi_logger::json_format,
        };
        let output = LogOutput::start(format, io::stderr());
        let handle = Logger::with(self.level).log_to_writer(output.writer()).start()?;
        Ok(RunningLog { _handle: handle, _output: output })
    }
}

/// The log of a process, until it is dropped.
pub struct RunningLog {
    _handle: LoggerHandle,
    _output: LogOutput,
}

/// Writes `line` to standard output from a thread of its own, because nobody may read it.
pub fn announce(line: String) {
    let write = move || {
        if let Err(error) = writeln!(io::stdout(), "{line}") {
            log::warn!("process: the addresses cannot be written to standard output: {error}");
        }
    };
    if let Err(error) = thread::Builder::new().spawn(write) {
        log::warn!("process: no thread writes the addresses to standard output: {error}");
    }
}

fn write_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%:z");
    write!(out, "{time} {:5} {}", record.level(), record.args())
}
