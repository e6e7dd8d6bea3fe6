//! Shows the state of each model and service, as reported by the entries that own them.
//!
//! ```text
//! fescuewalk status ENTRY...
//! ```

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use entry::owner::TargetReport;

use crate::{
    error::{CliError, CliResult},
    fetch::fetch_page,
};

/// Arguments and help of `fescuewalk status`.
pub fn command() -> Command {
    Command::new("status")
        .about(
            "Shows the replicas of each model and service: decided in the lists, held and loaded",
        )
        .arg(
            Arg::new("entries")
                .value_name("IP:PORT")
                .help("HTTP addresses of entry processes")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .required(true),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an entry does not answer, or if its answer is not a list of target reports.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    for address in args.get_many::<SocketAddr>("entries").into_iter().flatten() {
        let body = fetch_page(*address, "/status").await?;
        let reports: Vec<TargetReport> = serde_json::from_slice(&body).map_err(|_| {
            CliError::failed(format!(
                "the answer of the entry at {address} to /status is not a list of target reports"
            ))
        })?;
        println!("# entry {address}");
        reports.iter().for_each(|report| print!("{report}"));
    }
    Ok(())
}
