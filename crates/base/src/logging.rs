//! The `[log]` section and the start of logging.

use std::str::FromStr;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{LevelFilter, Record};
use snafu::Snafu;

use crate::ini::SectionReader;

/// Form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level and sentence.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The form is not known.
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

/// Settings of logging.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Form of lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: LogFormat::Text }
    }
}

impl LogSettings {
    /// Reads the section.
    pub fn read(section: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            level: section.optional("level", "error, warn, info, debug or trace", default.level),
            format: section.optional("format", "text or json", default.format),
        }
    }

    /// Starts logging to the standard error stream until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails if logging was started before.
    pub fn start(self) -> Result<LoggerHandle, FlexiLoggerError> {
        let format = match self.format {
            LogFormat::Text => write_line,
            LogFormat::Json => flexi_logger::json_format,
        };
        Logger::with(self.level).log_to_stderr().format(format).start()
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
