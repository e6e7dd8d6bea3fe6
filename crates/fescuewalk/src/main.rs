//! `fescuewalk`: the command line program that runs entry processes and the operators' commands.

mod cmd;
mod command_args;
mod config_report;
mod error;
mod fetch;
mod local_fleet;

use std::process::ExitCode;

use base::signals::{mask_at_start, release_signals, release_stop};
use clap::{ArgMatches, Command};

use crate::error::CliResult;

fn command() -> Command {
    Command::new("fescuewalk")
        .about("Serves rarely used language models and adapters.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::account::command())
        .subcommand(cmd::apply::command())
        .subcommand(cmd::burn::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::check_config::command())
        .subcommand(cmd::diff::command())
        .subcommand(cmd::entry::command())
        .subcommand(cmd::explain::command())
        .subcommand(cmd::gateway::command())
        .subcommand(cmd::quarantine::command())
        .subcommand(cmd::standin::command())
        .subcommand(cmd::status::command())
        .subcommand(cmd::r#try::command())
}

/// Whether a process is started that has to end in a planned stop.
fn runs_process(matches: &ArgMatches) -> bool {
    let process = matches.subcommand().filter(|(name, _)| matches!(*name, "entry" | "gateway"));
    process.is_some_and(|(_, args)| !args.get_flag("check"))
}

/// Writes the help or the fault of the arguments, which may take long, and exits.
fn exit_without_command(error: &clap::Error) -> ! {
    if let Err(error) = release_stop() {
        eprintln!("fescuewalk: stop signals are still held back: {error}");
    }
    error.exit()
}

fn run(matches: &ArgMatches) -> CliResult<()> {
    if !runs_process(matches) {
        release_signals()?;
    }
    match matches.subcommand() {
        Some(("account", args)) => cmd::account::run(args),
        Some(("burn", args)) => cmd::burn::run(args),
        Some(("apply", args)) => cmd::apply::run(args),
        Some(("check", args)) => cmd::check::run(args),
        Some(("check-config", args)) => cmd::check_config::run(args),
        Some(("diff", args)) => cmd::diff::run(args),
        Some(("entry", args)) => cmd::entry::run(args),
        Some(("explain", args)) => cmd::explain::run(args),
        Some(("gateway", args)) => cmd::gateway::run(args),
        Some(("quarantine", args)) => cmd::quarantine::run(args),
        Some(("standin", args)) => cmd::standin::run(args),
        Some(("status", args)) => cmd::status::run(args),
        Some(("try", args)) => cmd::r#try::run(args),
        _ => unreachable!("a subcommand is required"),
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
            eprintln!("fescuewalk: {error}");
            if let Err(error) = released {
                eprintln!("fescuewalk: signals are still held back: {error}");
            }
            error.exit_code()
        }
    }
}
