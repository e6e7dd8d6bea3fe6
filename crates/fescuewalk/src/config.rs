//! Shared reading of files and addresses named on the command line.

use std::{fs, net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgMatches, value_parser};
use lists::store::ListTexts;
use object_api::http::{ClientSettings, PlatformClient};

use crate::error::{CliError, CliResult};

/// Where a command finds its input, built up from its arguments.
#[derive(Debug, Clone, Default)]
pub struct InputConfig {
    path: PathBuf,
}

impl InputConfig {
    /// Reads from `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Name of the file for messages.
    pub fn name(&self) -> String {
        self.path.display().to_string()
    }

    /// The whole text of the file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read; the message names it.
    pub fn text(&self) -> CliResult<String> {
        fs::read_to_string(&self.path)
            .map_err(|error| CliError::usage(format!("{}: {error}", self.name())))
    }
}

/// The positional argument that names a file.
pub fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").help(help).value_parser(value_parser!(PathBuf)).required(true)
}

/// The `--listen` argument.
pub fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .help("Address to listen on; port 0 takes a free one")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
}

/// The `--platform` argument.
pub fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .help("Address of the platform's Object API")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

/// A client of the platform named by `--platform`.
pub fn platform_client(args: &ArgMatches) -> PlatformClient {
    PlatformClient::new(ClientSettings::new(required(args, "platform")))
}

/// Both lists named on the command line.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn read_texts(args: &ArgMatches) -> CliResult<ListTexts> {
    let text = |name| InputConfig::new(required::<PathBuf>(args, name)).text();
    Ok(ListTexts { plans: text("plans")?, rights: text("rights")? })
}

/// An argument that names a file to write, such as `--html`.
pub fn output_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(format!("Also writes the report as {name}"))
        .value_parser(value_parser!(PathBuf))
}

/// Writes what `render` gives to the file named by the argument, if it was given.
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

/// The value of a required argument.
pub fn required<T>(args: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    args.get_one::<T>(name).cloned().expect("clap demands required arguments")
}
