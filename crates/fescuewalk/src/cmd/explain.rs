//! Prints the trace of one request, collected from the logs of several processes.
//!
//! ```text
//! fescuewalk explain ID LOG...
//! ```

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use report::explain::{DecisionLogs, explain};

use crate::{
    command_args::{InputFile, required_value},
    error::{CliError, CliResult},
};

/// Arguments and help of `fescuewalk explain`.
pub fn command() -> Command {
    Command::new("explain")
        .about("Prints the trace of one request from the logs of the processes")
        .long_about(
            "Reads the logs of several processes and prints the trace of one request: its own \
             lines, marked by a star, and the state updates, plans and orders that affected \
             it. A cause is printed before its effects, even if the clocks of the VMs disagree.",
        )
        .after_help("Example:\n  fescuewalk explain 9c41d07be2a35f68 entry-1.log side-*.log")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("Call ID, which the caller sent in the header attempt-id")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .help("Decision log of a process")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .required(true),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a log cannot be read or no line names the request.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let id: String = required_value(args, "id");
    let mut logs = DecisionLogs::default();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        logs.add(&InputFile::new(path).read_text()?);
    }
    if logs.torn > 0 {
        eprintln!("{} torn lines were skipped", logs.torn);
    }
    match explain(&logs, &id) {
        Some(trace) => print!("{trace}"),
        None => {
            let lines = logs.lines.len();
            return Err(CliError::failed(format!(
                "none of the {lines} log lines names the request {id}"
            )));
        }
    }
    Ok(())
}
