//! `fescuewalk-side`: the command line program of the side process, which runs beside each backend
//! server.

mod cmd;
mod error;

use std::{path::PathBuf, process::ExitCode};

use base::signals::{mask_at_start, release_signals, release_stop};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::Result;

fn command() -> Command {
    Command::new("fescuewalk-side")
        .about("Runs beside one backend server and is the only process that sends it orders")
        .version(env!("CARGO_PKG_VERSION"))
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("Settings file in INI format")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, print all faults and exit")
                .action(ArgAction::SetTrue),
        )
        .subcommand(cmd::agent::command())
}

/// Writes the help or the fault of the arguments, which may take long, and exits.
fn exit_without_command(error: &clap::Error) -> ! {
    if let Err(error) = release_stop() {
        eprintln!("fescuewalk-side: stop signals are still held back: {error}");
    }
    error.exit()
}

fn run(matches: &ArgMatches) -> Result<()> {
    let args = matches.subcommand().map_or(matches, |(_, args)| args);
    if args.get_flag("check") {
        release_signals()?;
    }
    match matches.subcommand() {
        Some(("agent", args)) => cmd::agent::run(args),
        _ => cmd::side::run(matches),
    }
}

fn main() -> ExitCode {
    let masked = mask_at_start();
    let matches = command().try_get_matches();
    let matches = matches.unwrap_or_else(|error| exit_without_command(&error));
    match masked.map_err(Into::into).and_then(|()| run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nobody may read the error; a signal then ends the process.
            let released = release_signals();
            eprintln!("fescuewalk-side: {error}");
            if let Err(error) = released {
                eprintln!("fescuewalk-side: signals are still held back: {error}");
            }
            error.exit_code()
        }
    }
}
