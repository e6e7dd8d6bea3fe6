//! Sends an edit of the lists. The platform accepts it only if the lists have not changed since the
//! version at which they were read.
//!
//! ```text
//! fescuewalk apply --platform IP:PORT --read-at VERSION --operator NAME
//!                  [--note TEXT] [--dry-run] PLANS RIGHTS
//! ```

use base::prelude::*;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lists::{
    check_lists,
    store::{EditOrder, EditOutcome, EditRecord, ListTexts, apply_edit, read_lists},
};
use object_api::http::PlatformClient;

use crate::{
    cmd::{
        check::list_args,
        diff::{print_delta, print_effects, print_record},
    },
    command_args::{platform_arg, platform_client, read_texts, required_value},
    error::{CliError, CliResult},
};

struct ApplyArgs {
    client: PlatformClient,
    texts: ListTexts,
    read_at: ListVersion,
    operator: OperatorName,
    note: String,
    is_dry_run: bool,
}

impl ApplyArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        Ok(Self {
            client: platform_client(args),
            texts: read_texts(args)?,
            read_at: required_value(args, "read-at"),
            operator: required_value(args, "operator"),
            note: required_value(args, "note"),
            is_dry_run: args.get_flag("dry-run"),
        })
    }
}

/// Arguments and help of `fescuewalk apply`.
pub fn command() -> Command {
    Command::new("apply")
        .about("Sends an edit of the lists; refuses it with both diffs if another edit came first")
        .arg(platform_arg())
        .arg(
            Arg::new("read-at")
                .long("read-at")
                .value_name("VERSION")
                .help("Version at which the lists were read; 0 if there were none")
                .value_parser(value_parser!(ListVersion))
                .required(true),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Name of the operator who makes the edit")
                .value_parser(value_parser!(OperatorName))
                .required(true),
        )
        .arg(
            Arg::new("note")
                .long("note")
                .value_name("TEXT")
                .help("Reason for the edit, shown by account")
                .default_value(""),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .help("Only print what would change, and for which customers")
                .action(ArgAction::SetTrue),
        )
        .args(list_args())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the lists have faults, another edit came first, or the platform does not answer.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let args = ApplyArgs::new(args)?;
    check_lists(&args.texts.plans, &args.texts.rights)?;
    if args.is_dry_run {
        return dry_run(&args).await;
    }
    let order = EditOrder {
        texts: args.texts,
        read_at: args.read_at,
        operator: args.operator,
        note: args.note,
    };
    match apply_edit(&args.client, &order).await? {
        EditOutcome::Accepted(record) => {
            println!("version {} accepted, {} sections", record.version, section_count(&record));
            Ok(())
        }
        EditOutcome::Unchanged(version) => {
            println!("nothing changes; version {version} stays in force");
            Ok(())
        }
        EditOutcome::Conflict { current, theirs, ours } => {
            println!("# theirs");
            theirs.iter().for_each(print_record);
            println!("# ours, refused");
            print_delta(&ours);
            let version = current.head.version;
            Err(CliError::failed(format!("another edit came first; version {version} is in force")))
        }
        EditOutcome::Unknown { record } => Err(CliError::failed(format!(
            "the outcome of the edit is unknown, because the platform's answer was lost; check later with `fescuewalk account` whether the edit was accepted (its record is the object {record})"
        ))),
    }
}

async fn dry_run(args: &ApplyArgs) -> CliResult<()> {
    let base = read_lists(&args.client).await?;
    if base.head.version != args.read_at {
        let version = base.head.version;
        return Err(CliError::failed(format!(
            "another edit came first; version {version} is in force"
        )));
    }
    print_effects(&args.texts, &base)
}

fn section_count(record: &EditRecord) -> usize {
    record.delta.changes.len()
}
