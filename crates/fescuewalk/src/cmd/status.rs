//! Shows what the owners know of each model and service.
//!
//! ```text
//! fescuewalk status ENTRY...
//! ```

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use entry::owner::TargetReport;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::error::{CliError, CliResult};

/// Largest answer of one entry, in bytes.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Time for the answer of one entry.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

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
        let body = fetch(*address).await?;
        let reports: Vec<TargetReport> = serde_json::from_slice(&body)
            .map_err(|_| CliError::failed(format!("{address} answers something else")))?;
        println!("# entry {address}");
        reports.iter().for_each(|report| print!("{report}"));
    }
    Ok(())
}

async fn fetch(address: SocketAddr) -> CliResult<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::get(format!("http://{address}/status"))
        .body(Full::default())
        .map_err(|error| CliError::usage(error.to_string()))?;
    let exchange = async {
        let answer = client.request(request).await.ok()?;
        let body = Limited::new(answer.into_body(), MAX_STATUS_BYTES).collect().await.ok()?;
        Some(body.to_bytes())
    };
    let body = tokio::time::timeout(STATUS_TIMEOUT, exchange).await.ok().flatten();
    body.ok_or_else(|| CliError::failed(format!("{address} does not answer")))
}
