//! The account of the lists for the board.
//!
//! ```text
//! fescuewalk account --platform IP:PORT [--after VERSION] [--log FILE] [--span SPAN]
//!                    [--json FILE] [--html FILE]
//! ```

use std::path::PathBuf;

use base::prelude::*;
use clap::{Arg, ArgMatches, Command, value_parser};
use report::{ScrapeLog, account::AccountScope, gather_account, html::account_page};

use crate::{
    config::{InputConfig, output_arg, platform_arg, platform_client, required, write_output},
    error::CliResult,
};

/// Arguments of the subcommand.
struct AccountArgs {
    scope: AccountScope,
}

impl AccountArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        let log = match args.get_one::<PathBuf>("log") {
            Some(path) => ScrapeLog::parse(&InputConfig::new(path).text()?)?,
            None => ScrapeLog::default(),
        };
        let span: TimeSpan = required(args, "span");
        Ok(Self { scope: AccountScope { after: required(args, "after"), log, span: span.0 } })
    }
}

/// The `--log` argument.
pub fn log_arg() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILE")
        .help("Log of the entries' metrics, as burn keeps it")
        .value_parser(value_parser!(PathBuf))
}

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("account")
        .about("Tells who changed the lists, when it was in force, and what followed")
        .arg(platform_arg())
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("VERSION")
                .help("Only edits after this version")
                .value_parser(value_parser!(ListVersion))
                .default_value("0"),
        )
        .arg(log_arg())
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SPAN")
                .help("Span compared before and after each edit")
                .value_parser(value_parser!(TimeSpan))
                .default_value("1h"),
        )
        .arg(output_arg("json"))
        .arg(output_arg("html"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the platform does not answer or a file cannot be read or written.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let AccountArgs { scope } = AccountArgs::new(args)?;
    let account = gather_account(&platform_client(args), &scope).await?;
    print!("{account}");
    write_output(args, "json", || Ok(serde_json::to_string_pretty(&account)?))?;
    write_output(args, "html", || Ok(account_page(&account)))
}
