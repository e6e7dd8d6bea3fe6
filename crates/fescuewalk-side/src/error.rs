//! Error type of the program, and the exit code for each kind of error.

use std::{io, process::ExitCode};

use base::ini::FileFaults;
use snafu::Snafu;

/// Exit code for invalid arguments; the same as that of `clap`.
const EXIT_USAGE: u8 = 2;
/// Exit code for settings with faults.
const EXIT_FAULTS: u8 = 3;
/// Exit code for every other error.
const EXIT_FAILED: u8 = 1;

/// Why the process failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MainError {
    /// No settings file is named by argument or environment.
    #[snafu(display("{message}"))]
    Usage {
        /// The argument and the environment variable that can name it.
        message: String,
    },
    /// The settings have faults.
    #[snafu(display("{source}"), context(false))]
    Faults {
        /// All faults, with line, section and key.
        source: FileFaults,
    },
    /// The settings file could not be read, or signals could not be received.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The logger of the process could not start.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Error of the logger.
        source: flexi_logger::FlexiLoggerError,
    },
}

/// Result of a mode of the program.
pub type Result<T, E = MainError> = std::result::Result<T, E>;

impl MainError {
    /// The exit code for this error: 2 for usage, 3 for faults in settings, 1 for all others.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            MainError::Usage { .. } => EXIT_USAGE,
            MainError::Faults { .. } => EXIT_FAULTS,
            _ => EXIT_FAILED,
        })
    }
}
