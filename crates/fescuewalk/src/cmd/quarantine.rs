//! Lists requests that crashed backend servers, and lifts their quarantine.
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

/// Arguments and help of `fescuewalk quarantine`.
pub fn command() -> Command {
    Command::new("quarantine")
        .about("Lists requests that crashed backend servers, and lifts their quarantine")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists suspects and quarantined requests")
                .arg(platform_arg()),
        )
        .subcommand(
            Command::new("lift")
                .about("Ends the quarantine of a request, so that it may run again")
                .arg(platform_arg())
                .arg(
                    Arg::new("fingerprint")
                        .value_name("FINGERPRINT")
                        .help("Fingerprint of the request, as printed by list")
                        .value_parser(value_parser!(RequestFingerprint))
                        .required(true),
                ),
        )
}

fn platform_arg() -> Arg {
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
/// Fails if the platform does not answer, or if it has no record of the request to lift.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    match args.subcommand() {
        Some(("list", args)) => list(&platform_client(args)).await,
        Some(("lift", args)) => {
            let fingerprint =
                args.get_one("fingerprint").expect("clap enforces required arguments");
            lift(&platform_client(args), *fingerprint).await
        }
        _ => unreachable!("a subcommand is required"),
    }
}

fn platform_client(args: &ArgMatches) -> PlatformClient {
    let address = args.get_one("platform").expect("clap enforces required arguments");
    PlatformClient::new(ClientSettings::new(*address))
}

async fn list(store: &PlatformClient) -> CliResult<()> {
    let list = admin::read_records(store).await;
    let list = list.map_err(|error| CliError::failed(error.to_string()))?;
    for stored in &list.records {
        println!("{}", format_record(stored));
    }
    for fingerprint in &list.unreadable {
        println!("{fingerprint} unreadable");
    }
    Ok(())
}

/// Formats one line: fingerprint, state, number of crashes, Unix time of the latest crash in
/// seconds, customer and model.
fn format_record(stored: &StoredRecord) -> String {
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
        false => Err(CliError::failed(format!(
            "no suspect or quarantined request has the fingerprint {fingerprint}"
        ))),
    }
}
