//! Builds and locates the programs under test.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The programs could not be built or found.
#[derive(Debug, Snafu)]
pub enum BinaryError {
    /// Cargo could not be started.
    #[snafu(display("cargo build could not be started: {source}"))]
    BuildStart {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Cargo ended with a failure; its messages are on standard error.
    #[snafu(display("cargo build of the programs under test failed"))]
    BuildFailed,
    /// The directory of the running test is unknown; the programs are built into its parent.
    #[snafu(display("the target directory of the programs under test is unknown"))]
    NoDirectory,
}

/// Result of finding the programs.
pub type Result<T, E = BinaryError> = std::result::Result<T, E>;

/// Paths of the programs under test.
#[derive(Debug, Clone)]
pub struct ProgramPaths {
    /// Path of `fescuewalk`, which runs entry processes, gateways and stand-ins.
    pub fescuewalk: PathBuf,
    /// Path of `fescuewalk-side`, which runs side processes and agents.
    pub side: PathBuf,
}

impl ProgramPaths {
    /// Builds both programs with the profile of the test, so that none is older than its source, and
    /// returns their paths.
    ///
    /// # Errors
    ///
    /// Fails if the build fails or the target directory is unknown.
    pub fn build() -> Result<Self> {
        let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
        let arguments = ["build", "--locked", "--quiet", "-p", "fescuewalk", "-p"];
        let status = Command::new(env!("CARGO"))
            .args(arguments)
            .args(["fescuewalk-side", "--profile", profile])
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
