//! Shows and lifts the quarantine of requests that crash backend servers.
//!
//! ```text
//! fescuewalk quarantine list PLATFORM
//! fescuewalk quarantine lift PLATFORM FINGERPRINT
//! ```

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use object_api::http::{ClientSettings, PlatformClient};
use once::{RequestFingerprint, StoredRecord, quarantine::admin};

use crate::error::{CliError, CliResult};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("quarantine")
        .about("Shows and lifts the quarantine of requests that crash backend servers")
        .subcommand_required(true)
        .subcommand(
            Command::new("list").about("Lists suspects and quarantined requests").arg(platform()),
        )
        .subcommand(
            Command::new("lift").about("Lets a request run again").arg(platform()).arg(
                Arg::new("fingerprint")
                    .value_name("FINGERPRINT")
                    .help("Fingerprint, as the list shows it")
                    .value_parser(value_parser!(RequestFingerprint))
                    .required(true),
            ),
        )
}

fn platform() -> Arg {
    Arg::new("platform")
        .value_name("IP:PORT")
        .help("Address of the platform's Object API")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the platform does not answer, or if there is no such request.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    match args.subcommand() {
        Some(("list", args)) => list(&store(args)).await,
        Some(("lift", args)) => {
            let fingerprint = args.get_one("fingerprint").expect("clap demands it");
            lift(&store(args), *fingerprint).await
        }
        _ => unreachable!("a subcommand is required"),
    }
}

fn store(args: &ArgMatches) -> PlatformClient {
    let address = args.get_one("platform").expect("clap demands it");
    PlatformClient::new(ClientSettings::new(*address))
}

async fn list(store: &PlatformClient) -> CliResult<()> {
    let records = admin::list_records(store).await;
    let records = records.map_err(|error| CliError::failed(error.to_string()))?;
    for stored in records {
        println!("{}", line(&stored));
    }
    Ok(())
}

/// One line for each request: its fingerprint, crashes, time of the latest, customer and model.
fn line(stored: &StoredRecord) -> String {
    let StoredRecord { fingerprint, record, .. } = stored;
    let state = match record.is_quarantined() {
        true => "quarantined",
        false => "suspect",
    };
    format!(
        "{fingerprint} {state} crashes {} latest {}s customer {} model {}",
        record.crashes.len(),
        record.latest.as_secs(),
        record.customer,
        record.model
    )
}

async fn lift(store: &PlatformClient, fingerprint: RequestFingerprint) -> CliResult<()> {
    let lifted = admin::lift_record(store, fingerprint).await;
    match lifted.map_err(|error| CliError::failed(error.to_string()))? {
        true => {
            println!("lifted {fingerprint}");
            Ok(())
        }
        false => Err(CliError::failed(format!("nothing is known of {fingerprint}"))),
    }
}
