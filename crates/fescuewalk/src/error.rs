//! Error type shared by all commands, and the exit code for each kind of error.

use std::{io, process::ExitCode};

use base::{ids::IdError, ini::FileFaults};
use lists::store::ListError;
use snafu::Snafu;
use standin::server::ServeError;

/// Exit code for invalid arguments or unreadable input files; the same as that of `clap`.
const EXIT_USAGE: u8 = 2;
/// Exit code for settings or lists with faults.
const EXIT_FAULTS: u8 = 3;
/// Exit code for every other error.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// An argument is invalid or the file that it names cannot be read.
    #[snafu(display("{message}"))]
    Usage {
        /// The argument or file, and what is wrong with it.
        message: String,
    },
    /// Settings or lists have faults.
    #[snafu(display("{source}"), context(false))]
    Faults {
        /// All faults of all files, with line, section and key.
        source: FileFaults,
    },
    /// Reading, writing, listening or waiting for a signal failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A stand-in could not start.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// Why it cannot serve requests.
        source: ServeError,
    },
    /// The name of a VM, availability zone, region or operator is malformed.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// The rule that the name violates.
        source: IdError,
    },
    /// The lists in the platform's store could not be read or written.
    #[snafu(display("{source}"), context(false))]
    Lists {
        /// The failed call or the invalid object.
        source: ListError,
    },
    /// A metrics log, written by `burn`, could not be parsed.
    #[snafu(display("{source}"), context(false))]
    Scrape {
        /// The malformed line.
        source: report::ScrapeError,
    },
    /// A plot of a report in HTML could not be drawn.
    #[snafu(display("{source}"), context(false))]
    Plot {
        /// Error of the plotting library.
        source: report::plot::PlotError,
    },
    /// A report could not be encoded as JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Error of the encoder.
        source: serde_json::Error,
    },
    /// The logger of the process could not start.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Error of the logger.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The command ran, but did not achieve its result: a check failed or a request was refused.
    #[snafu(display("{message}"))]
    Failed {
        /// What failed and why, as shown to the user.
        message: String,
    },
}

/// Result of a command.
pub type CliResult<T, E = CliError> = std::result::Result<T, E>;

impl CliError {
    /// Creates a [`CliError::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// Creates a [`CliError::Failed`].
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed { message: message.into() }
    }

    /// The exit code for this error: 2 for usage, 3 for faults in files, 1 for all others.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Usage { .. } => EXIT_USAGE,
            CliError::Faults { .. } => EXIT_FAULTS,
            _ => EXIT_FAILED,
        })
    }
}
