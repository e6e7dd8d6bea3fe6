//! The one error of all commands, with their exit codes.

use std::{io, process::ExitCode};

use base::{ids::IdError, ini::FileFaults};
use lists::store::ListError;
use snafu::Snafu;
use standin::server::ServeError;
use wire::ListenError;

/// Exit code for wrong arguments, as `clap` uses it.
const EXIT_USAGE: u8 = 2;
/// Exit code for files with faults.
const EXIT_FAULTS: u8 = 3;
/// Exit code for anything that failed on the way.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// An argument makes no sense.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file has faults.
    #[snafu(display("{source}"), context(false))]
    Faults {
        /// All of them.
        source: FileFaults,
    },
    /// A file or connection failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// A process could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// The gateway could not start.
    #[snafu(display("{source}"), context(false))]
    Gateway {
        /// Cause.
        source: gateway::StartError,
    },
    /// A stand-in could not start.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// Cause.
        source: ServeError,
    },
    /// A name is malformed.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// Cause.
        source: IdError,
    },
    /// The lists could not be read or written.
    #[snafu(display("{source}"), context(false))]
    Lists {
        /// Cause.
        source: ListError,
    },
    /// A log of metrics could not be read.
    #[snafu(display("{source}"), context(false))]
    Scrape {
        /// Cause.
        source: report::ScrapeError,
    },
    /// A plot could not be drawn.
    #[snafu(display("{source}"), context(false))]
    Plot {
        /// Cause.
        source: report::plot::PlotError,
    },
    /// A report could not be encoded.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// Logging could not start.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Cause.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The work was done but its result is bad.
    #[snafu(display("{message}"))]
    Failed {
        /// What is wrong.
        message: String,
    },
}

/// Result of a command.
pub type CliResult<T, E = CliError> = std::result::Result<T, E>;

impl CliError {
    /// A wrong argument.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// A bad result.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed { message: message.into() }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Usage { .. } => EXIT_USAGE,
            CliError::Faults { .. } => EXIT_FAULTS,
            _ => EXIT_FAILED,
        })
    }
}
