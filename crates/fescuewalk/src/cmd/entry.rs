//! Runs the entry process.
//!
//! ```text
//! fescuewalk entry [--check] FILE
//! ```

use clap::{Arg, ArgAction, ArgMatches, Command};
use entry::{EntryHandle, EntrySettings};

use crate::{
    config::{self, InputConfig},
    error::CliResult,
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("entry")
        .about("Runs the entry process that accepts requests from callers")
        .long_about(
            "Runs the entry process until SIGTERM or SIGINT. New requests are then refused as \
             not run, and the process ends when those in flight have ended.",
        )
        .arg(config::file_arg("settings", "Settings in INI"))
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, list all faults and exit")
                .action(ArgAction::SetTrue),
        )
}

struct EntryArgs {
    settings: InputConfig,
    check: bool,
}

impl EntryArgs {
    fn new(args: &ArgMatches) -> Self {
        let path = config::required::<std::path::PathBuf>(args, "settings");
        Self { settings: InputConfig::new(path), check: args.get_flag("check") }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the settings have faults or the process cannot start.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let args = EntryArgs::new(args);
    let settings = EntrySettings::parse(&args.settings.name(), &args.settings.text()?)?;
    if args.check {
        println!("{}: no faults", args.settings.name());
        return Ok(());
    }
    let _logger = settings.log.start()?;
    let handle = EntryHandle::start(settings).await?;
    println!("listening peers {} http {}", handle.peer_address(), handle.http_address());
    base::signals::stop_requested().await?;
    handle.stop().await;
    Ok(())
}
