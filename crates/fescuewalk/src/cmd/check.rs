//! Checks the lists of plans and rights locally, without contacting the platform.
//!
//! ```text
//! fescuewalk check PLANS RIGHTS
//! ```

use clap::{Arg, ArgMatches, Command};
use lists::check_lists;

use crate::{
    command_args::{InputFile, file_arg, required_value},
    error::CliResult,
};

struct CheckArgs {
    plans: InputFile,
    rights: InputFile,
}

impl CheckArgs {
    fn new(args: &ArgMatches) -> Self {
        let input = |name| InputFile::new(required_value::<std::path::PathBuf>(args, name));
        Self { plans: input("plans"), rights: input("rights") }
    }
}

/// The positional arguments `PLANS` and `RIGHTS`, shared with `apply` and `diff`.
pub fn list_args() -> [Arg; 2] {
    [
        file_arg("plans", "File with the list of plans"),
        file_arg("rights", "File with the list of rights"),
    ]
}

/// Arguments and help of `fescuewalk check`.
pub fn command() -> Command {
    Command::new("check").about("Checks both lists and prints every fault").args(list_args())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a file cannot be read, or with all faults of both lists.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = CheckArgs::new(args);
    let image = check_lists(&args.plans.read_text()?, &args.rights.read_text()?)?;
    println!("{} sections, no faults, checksum {}", image.sections().count(), image.digest());
    Ok(())
}
