//! Reports the edits of the lists: who made each, when it was in force, and the requests before and
//! after it.
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
    command_args::{
        InputFile, output_arg, platform_arg, platform_client, required_value, write_output,
    },
    error::CliResult,
};

struct AccountArgs {
    scope: AccountScope,
}

impl AccountArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        let log = match args.get_one::<PathBuf>("log") {
            Some(path) => ScrapeLog::parse(&InputFile::new(path).read_text()?)?,
            None => ScrapeLog::default(),
        };
        let span: TimeSpan = required_value(args, "span");
        Ok(Self { scope: AccountScope { after: required_value(args, "after"), log, span: span.0 } })
    }
}

/// The `--log` argument, shared with `burn`.
pub fn log_arg() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILE")
        .help("Log of the entries' metrics, as written by burn")
        .value_parser(value_parser!(PathBuf))
}

/// Arguments and help of `fescuewalk account`.
pub fn command() -> Command {
    Command::new("account")
        .about("Shows each edit of the lists, when it was in force, and how requests changed")
        .arg(platform_arg())
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("VERSION")
                .help("Show only edits after this version")
                .value_parser(value_parser!(ListVersion))
                .default_value("0"),
        )
        .arg(log_arg())
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SPAN")
                .help("Length of the spans compared before and after each edit, such as 1h")
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
/// Fails if the platform does not answer, the log is malformed, or a file cannot be read or
/// written.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let AccountArgs { scope } = AccountArgs::new(args)?;
    let account = gather_account(&platform_client(args), &scope).await?;
    print!("{account}");
    write_output(args, "json", || Ok(serde_json::to_string_pretty(&account)?))?;
    write_output(args, "html", || Ok(account_page(&account)))
}
