//! Burn of the service-level objectives.
//!
//! ```text
//! fescuewalk burn --platform IP:PORT [--log FILE] [--settings FILE]
//!                 [--json FILE] [--html FILE] [ENTRY...]
//! ```
//!
//! The metrics of each ENTRY are read now and appended to the log; the report covers the whole log.

use std::{fs::OpenOptions, io::Write, net::SocketAddr, path::PathBuf};

use base::clock;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use report::{BurnSettings, ScrapeLog, burn_report, html::burn_page, scrape::scrape_block};

use crate::{
    cmd::account::log_arg,
    config::{InputConfig, output_arg, platform_arg, platform_client, write_output},
    error::{CliError, CliResult},
    fetch::fetch,
};

/// Arguments of the subcommand.
struct BurnArgs {
    log: Option<PathBuf>,
    entries: Vec<SocketAddr>,
    settings: BurnSettings,
}

impl BurnArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        let settings = match args.get_one::<PathBuf>("settings") {
            Some(path) => {
                let input = InputConfig::new(path);
                BurnSettings::parse(&input.name(), &input.text()?)?
            }
            None => BurnSettings::default(),
        };
        let entries = args.get_many::<SocketAddr>("entries").into_iter().flatten().copied();
        Ok(Self { log: args.get_one("log").cloned(), entries: entries.collect(), settings })
    }
}

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("burn")
        .about("Shows how fast error budgets are used up, and by what")
        .arg(platform_arg())
        .arg(log_arg())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Windows and thresholds of alerts")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(output_arg("json"))
        .arg(output_arg("html"))
        .arg(
            Arg::new("entries")
                .value_name("IP:PORT")
                .help("HTTP addresses of entry processes to read now")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the platform or an entry does not answer, or a file cannot be read or written.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let burn = BurnArgs::new(args)?;
    let log = ScrapeLog::parse(&extend_log(&burn).await?)?;
    let lists = lists::load_lists(&platform_client(args)).await?;
    let lists = lists.ok_or_else(|| CliError::failed("the platform has no lists yet"))?;
    let report = burn_report(&log, &lists, &burn.settings);
    print!("{report}");
    write_output(args, "json", || Ok(serde_json::to_string_pretty(&report)?))?;
    write_output(args, "html", || Ok(burn_page(&report)?))
}

/// Reads the entries, appends to the log and returns its whole text.
async fn extend_log(burn: &BurnArgs) -> CliResult<String> {
    let mut fresh = String::new();
    for entry in &burn.entries {
        let body = fetch(*entry, "/metrics").await?;
        let millis = clock::since_epoch().as_millis() as u64;
        let text = String::from_utf8_lossy(&body);
        fresh.push_str(&scrape_block(&entry.to_string(), millis, &text));
    }
    let Some(path) = &burn.log else { return Ok(fresh) };
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(fresh.as_bytes())?;
    InputConfig::new(path).text()
}
