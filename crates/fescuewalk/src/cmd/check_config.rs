//! Checks a configuration before it is sent, without contacting the platform.
//!
//! ```text
//! fescuewalk check-config FILE [--against FILE] [--dearest-request TOKENS] [--json]
//! ```

use std::path::PathBuf;

use catalog::{TokenCount, check::CheckSettings};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use platform::CatalogDocument;

use crate::{
    command_args::{InputFile, file_arg, required_value},
    config_report::{ConfigFile, ConfigReport},
    error::{CliError, CliResult},
};

/// Arguments and help of `fescuewalk check-config`.
pub fn command() -> Command {
    Command::new("check-config")
        .about("Checks a configuration before it is sent, and shows what it changes")
        .long_about(
            "Checks a configuration before it is sent: what the entries reject or ignore, what can \
             never match, and limits that contradict each other. With --against also what differs \
             from the version in force. API keys are never printed. Exit status: 0 without \
             faults, 1 with faults, 2 if a file cannot be read or is not JSON.",
        )
        .arg(file_arg("file", "The configuration, or the object that holds it as its spec"))
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("The version in force; differences are shown, and are no faults")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("dearest-request")
                .long("dearest-request")
                .value_name("TOKENS")
                .help("Cost of the dearest request that callers send; bursts are compared with it")
                .value_parser(value_parser!(TokenCount)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints one JSON document instead of lines")
                .action(ArgAction::SetTrue),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a file cannot be read or is not JSON, or if the configuration has faults.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let file = read_file(&required_value(args, "file"))?;
    let against = args.get_one::<PathBuf>("against").map(read_file).transpose()?;
    let dearest_request = args.get_one::<TokenCount>("dearest-request").copied();
    let settings = CheckSettings { dearest_request };
    let report = ConfigReport::new(&file, against.as_ref(), &settings);
    match args.get_flag("json") {
        true => println!("{}", report.to_json()?),
        false => print!("{report}"),
    }
    match report.fault_count() {
        0 => Ok(()),
        count => Err(CliError::failed(format!("{}: {count} faults", file.name))),
    }
}

fn read_file(path: &PathBuf) -> CliResult<ConfigFile> {
    let file = InputFile::new(path);
    let document = CatalogDocument::read(&file.read_text()?)
        .map_err(|error| CliError::usage(format!("{}: {error}", file.name())))?;
    Ok(ConfigFile { name: file.name(), document })
}
