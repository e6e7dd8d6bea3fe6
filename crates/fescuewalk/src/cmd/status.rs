//! Shows what the owners know of each model and service.
//!
//! ```text
//! fescuewalk status ENTRY...
//! ```

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use entry::owner::TargetReport;

use crate::{
    error::{CliError, CliResult},
    fetch::fetch,
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows what is decided, held and loaded for each model and service")
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
/// Fails if an entry does not answer.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    for address in args.get_many::<SocketAddr>("entries").into_iter().flatten() {
        let body = fetch(*address, "/status").await?;
        let reports: Vec<TargetReport> = serde_json::from_slice(&body)
            .map_err(|_| CliError::failed(format!("{address} answers something else")))?;
        println!("# entry {address}");
        reports.iter().for_each(|report| print!("{report}"));
    }
    Ok(())
}
