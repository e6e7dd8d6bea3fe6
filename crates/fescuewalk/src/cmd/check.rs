//! Checks both lists without sending anything.
//!
//! ```text
//! fescuewalk check PLANS RIGHTS
//! ```

use clap::{Arg, ArgMatches, Command};
use lists::check_lists;

use crate::{
    config::{InputConfig, file_arg, required},
    error::CliResult,
};

/// Arguments of the subcommand.
struct CheckArgs {
    plans: InputConfig,
    rights: InputConfig,
}

impl CheckArgs {
    fn new(args: &ArgMatches) -> Self {
        let input = |name| InputConfig::new(required::<std::path::PathBuf>(args, name));
        Self { plans: input("plans"), rights: input("rights") }
    }
}

/// The arguments that name both lists.
pub fn list_args() -> [Arg; 2] {
    [file_arg("plans", "List of plans"), file_arg("rights", "List of rights")]
}

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("check").about("Checks both lists and names every fault").args(list_args())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails with every fault of both lists.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = CheckArgs::new(args);
    let image = check_lists(&args.plans.text()?, &args.rights.text()?)?;
    println!("{} sections, no faults, checksum {}", image.sections().count(), image.digest());
    Ok(())
}
