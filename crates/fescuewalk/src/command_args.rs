//! Arguments that several commands share, and access to the files and addresses they name.

use std::{fs, net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgMatches, value_parser};
use lists::store::ListTexts;
use object_api::http::{ClientSettings, PlatformClient};

use crate::error::{CliError, CliResult};

/// A text file named on the command line.
#[derive(Debug, Clone, Default)]
pub struct InputFile {
    path: PathBuf,
}

impl InputFile {
    /// Refers to the file at `path` without opening it.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// The path, for messages.
    pub fn name(&self) -> String {
        self.path.display().to_string()
    }

    /// Reads the complete file as UTF-8.
    ///
    /// # Errors
    ///
    /// Fails with a usage error that names the file if it cannot be read.
    pub fn read_text(&self) -> CliResult<String> {
        fs::read_to_string(&self.path)
            .map_err(|error| CliError::usage(format!("{}: {error}", self.name())))
    }
}

/// A required positional argument that names a file.
pub fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").help(help).value_parser(value_parser!(PathBuf)).required(true)
}

/// The `--listen` argument; without it, a free port on loopback.
pub fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .help("Address to listen on; port 0 picks a free port")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
}

/// The required `--platform` argument.
pub fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .help("Address of the platform's Object API")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

/// A client of the platform at the address given by `--platform`.
pub fn platform_client(args: &ArgMatches) -> PlatformClient {
    PlatformClient::new(ClientSettings::new(required_value(args, "platform")))
}

/// Reads the lists of plans and rights named on the command line.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn read_texts(args: &ArgMatches) -> CliResult<ListTexts> {
    let text = |name| InputFile::new(required_value::<PathBuf>(args, name)).read_text();
    Ok(ListTexts { plans: text("plans")?, rights: text("rights")? })
}

/// An optional argument for a file that the report is written to; `name` is the flag and the
/// format, such as `html`.
pub fn output_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(format!("Also writes the report as {name}"))
        .value_parser(value_parser!(PathBuf))
}

/// Renders and writes a report to the file named by the argument `name`; does nothing if the
/// argument is absent.
///
/// # Errors
///
/// Fails if rendering fails or the file cannot be written.
pub fn write_output(
    args: &ArgMatches,
    name: &str,
    render: impl FnOnce() -> CliResult<String>,
) -> CliResult<()> {
    if let Some(path) = args.get_one::<PathBuf>(name) {
        fs::write(path, render()?)?;
    }
    Ok(())
}

/// The value of an argument that `clap` requires or gives a default.
///
/// # Panics
///
/// Panics if the argument is neither required nor has a default.
pub fn required_value<T>(args: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    args.get_one::<T>(name).cloned().expect("clap enforces required arguments")
}
