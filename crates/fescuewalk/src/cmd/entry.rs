//! Runs the entry process.
//!
//! ```text
//! fescuewalk entry [--check] FILE
//! ```

use base::{logging::announce, signals::StopSignals};
use clap::{Arg, ArgAction, ArgMatches, Command};
use entry::{EntryHandle, EntrySettings};

use crate::{
    command_args::{self, InputFile},
    error::CliResult,
};

/// Arguments and help of `fescuewalk entry`.
pub fn command() -> Command {
    Command::new("entry")
        .about("Runs the entry process that accepts requests from callers")
        .long_about(
            "Runs the entry process until SIGTERM or SIGINT. It then refuses new requests with \
             the state 'not run' and exits once all requests in flight have finished, or when the \
             time 'drain' from the section [limits] of the settings has passed.",
        )
        .arg(command_args::file_arg("settings", "Settings file in INI format"))
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, print all faults and exit")
                .action(ArgAction::SetTrue),
        )
}

struct EntryArgs {
    settings: InputFile,
    check: bool,
}

impl EntryArgs {
    fn new(args: &ArgMatches) -> Self {
        let path = command_args::required_value::<std::path::PathBuf>(args, "settings");
        Self { settings: InputFile::new(path), check: args.get_flag("check") }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the settings cannot be read or have faults, or if the process cannot start.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = EntryArgs::new(args);
    let settings = EntrySettings::parse(&args.settings.name(), &args.settings.read_text()?)?;
    if args.check {
        println!("{}: no faults", args.settings.name());
        return Ok(());
    }
    serve(settings)
}

#[tokio::main]
async fn serve(settings: EntrySettings) -> CliResult<()> {
    let mut stop = StopSignals::start()?;
    let _logger = settings.log.start()?;
    let Some(handle) = stop.unless_requested(EntryHandle::start(settings)).await else {
        log::info!("process: stopped before it listened");
        return Ok(());
    };
    let (peers, http) = (handle.peer_address(), handle.http_address());
    announce(format!("listening peers {peers} http {http}"));
    stop.requested().await;
    handle.stop().await;
    Ok(())
}
