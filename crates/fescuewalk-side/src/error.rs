//! The one error of the program, with its exit codes.

use std::{io, process::ExitCode};

use base::ini::FileFaults;
use snafu::Snafu;
use wire::ListenError;

/// Exit code for wrong arguments, as `clap` uses it.
const EXIT_USAGE: u8 = 2;
/// Exit code for files with faults.
const EXIT_FAULTS: u8 = 3;
/// Exit code for anything else that failed.
const EXIT_FAILED: u8 = 1;

/// Why the process ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MainError {
    /// An argument is missing.
    #[snafu(display("{message}"))]
    Usage {
        /// What is missing.
        message: String,
    },
    /// A file has faults.
    #[snafu(display("{source}"), context(false))]
    Faults {
        /// All of them.
        source: FileFaults,
    },
    /// A file or signal failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// An address is taken.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// The agent could not start.
    #[snafu(display("{source}"), context(false))]
    Agent {
        /// Cause.
        source: agent::StartError,
    },
    /// Logging could not start.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Cause.
        source: flexi_logger::FlexiLoggerError,
    },
}

/// Result of the program.
pub type Result<T, E = MainError> = std::result::Result<T, E>;

impl MainError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            MainError::Usage { .. } => EXIT_USAGE,
            MainError::Faults { .. } => EXIT_FAULTS,
            _ => EXIT_FAILED,
        })
    }
}
