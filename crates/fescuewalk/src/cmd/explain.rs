//! Explains one request from the logs of the processes.
//!
//! ```text
//! fescuewalk explain ID LOG...
//! ```

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use report::explain::{DecisionLogs, explain};

use crate::{
    config::{InputConfig, required},
    error::{CliError, CliResult},
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Explains one request from the logs of the processes")
        .long_about(
            "Reads the logs of several processes and prints the story of one request: its own \
             lines, marked by a star, and the beliefs, plans and orders that decided about it. \
             Causes come before what they caused, whatever the clocks of the VMs said.",
        )
        .after_help("Example:\n  fescuewalk explain 9c41d07be2a35f68 entry-1.log side-*.log")
        .arg(Arg::new("id").value_name("ID").help("The caller's name for the try").required(true))
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .help("Log of a process")
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
/// Fails if a log cannot be read or none names the request.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let id: String = required(args, "id");
    let mut logs = DecisionLogs::default();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        logs.add(&InputConfig::new(path).text()?);
    }
    if logs.torn > 0 {
        eprintln!("{} torn lines were passed over", logs.torn);
    }
    match explain(&logs, &id) {
        Some(story) => print!("{story}"),
        None => {
            let lines = logs.lines.len();
            return Err(CliError::failed(format!("none of {lines} lines names the request {id}")));
        }
    }
    Ok(())
}
