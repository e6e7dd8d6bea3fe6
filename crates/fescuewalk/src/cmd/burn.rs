//! Reports how fast the error budgets of the service-level objectives burn.
//!
//! ```text
//! fescuewalk burn --platform IP:PORT [--log FILE] [--settings FILE]
//!                 [--json FILE] [--html FILE] [ENTRY...]
//! ```
//!
//! The metrics of each ENTRY are read now and appended to the log; the report covers the complete
//! log.

use std::{fs::OpenOptions, io::Write, net::SocketAddr, path::PathBuf};

use base::clock;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use report::{BurnSettings, ScrapeLog, burn_report, html::burn_page, scrape::scrape_block};

use crate::{
    cmd::account::log_arg,
    command_args::{InputFile, output_arg, platform_arg, platform_client, write_output},
    error::{CliError, CliResult},
    fetch::fetch_page,
};

struct BurnArgs {
    log: Option<PathBuf>,
    entries: Vec<SocketAddr>,
    settings: BurnSettings,
}

impl BurnArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        let settings = match args.get_one::<PathBuf>("settings") {
            Some(path) => {
                let input = InputFile::new(path);
                BurnSettings::parse(&input.name(), &input.read_text()?)?
            }
            None => BurnSettings::default(),
        };
        let entries = args.get_many::<SocketAddr>("entries").into_iter().flatten().copied();
        Ok(Self { log: args.get_one("log").cloned(), entries: entries.collect(), settings })
    }
}

/// Arguments and help of `fescuewalk burn`.
pub fn command() -> Command {
    Command::new("burn")
        .about("Shows how fast error budgets burn, and the causes")
        .arg(platform_arg())
        .arg(log_arg())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file with the windows and thresholds of alerts")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(output_arg("json"))
        .arg(output_arg("html"))
        .arg(
            Arg::new("entries")
                .value_name("IP:PORT")
                .help("HTTP addresses of entry processes whose metrics are read now")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the platform holds no lists, the platform or an entry does not answer, the log is
/// malformed, or a file cannot be read or written.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let burn = BurnArgs::new(args)?;
    let log = ScrapeLog::parse(&extend_log(&burn).await?)?;
    let lists = lists::load_lists(&platform_client(args)).await?;
    let lists =
        lists.ok_or_else(|| CliError::failed("the platform has no lists; use apply first"))?;
    let report = burn_report(&log, &lists, &burn.settings);
    print!("{report}");
    write_output(args, "json", || Ok(serde_json::to_string_pretty(&report)?))?;
    write_output(args, "html", || Ok(burn_page(&report)?))
}

/// Reads the metrics of all entries, appends them to the log and returns the complete log. Without
/// `--log` it returns only the metrics just read.
async fn extend_log(burn: &BurnArgs) -> CliResult<String> {
    let mut blocks = String::new();
    for entry in &burn.entries {
        let body = fetch_page(*entry, "/metrics").await?;
        let millis = clock::since_epoch().as_millis() as u64;
        let text = String::from_utf8_lossy(&body);
        blocks.push_str(&scrape_block(&entry.to_string(), millis, &text));
    }
    let Some(path) = &burn.log else { return Ok(blocks) };
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(blocks.as_bytes())?;
    InputFile::new(path).read_text()
}
