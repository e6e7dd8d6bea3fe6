//! The programs under test.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The programs could not be built or found.
#[derive(Debug, Snafu)]
pub enum BinaryError {
    /// The build tool could not be started.
    #[snafu(display("the build could not be started: {source}"))]
    BuildStart {
        /// Cause.
        source: std::io::Error,
    },
    /// The build failed.
    #[snafu(display("the build of the programs failed"))]
    BuildFailed,
    /// The directory of the running test is unknown.
    #[snafu(display("the directory of the programs is unknown"))]
    NoDirectory,
}

/// Result of finding the programs.
pub type Result<T, E = BinaryError> = std::result::Result<T, E>;

/// Paths of the programs.
#[derive(Debug, Clone)]
pub struct ProgramPaths {
    /// `fescuewalk`.
    pub fescuewalk: PathBuf,
    /// `fescuewalk-side`.
    pub side: PathBuf,
}

impl ProgramPaths {
    /// Builds both programs, so that none is older than its source, and returns their paths.
    ///
    /// # Errors
    ///
    /// Fails if the build fails.
    pub fn build() -> Result<Self> {
        let arguments = ["build", "--locked", "--quiet", "-p", "fescuewalk", "-p"];
        let status = Command::new(env!("CARGO"))
            .args(arguments)
            .arg("fescuewalk-side")
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
            .status()
            .context(BuildStartSnafu)?;
        ensure!(status.success(), BuildFailedSnafu);
        let test = std::env::current_exe().ok().context(NoDirectorySnafu)?;
        let directory = test.parent().and_then(Path::parent).context(NoDirectorySnafu)?;
        Ok(Self {
            fescuewalk: directory.join("fescuewalk"),
            side: directory.join("fescuewalk-side"),
        })
    }
}
