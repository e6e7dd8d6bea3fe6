//! Shows what an edit of the lists would change, and which customers it affects.
//!
//! ```text
//! fescuewalk diff --platform IP:PORT PLANS RIGHTS
//! ```

use clap::{ArgMatches, Command};
use lists::{
    EditEffect, ListDelta, ListSet, check_lists, edit_effects,
    image::SectionChange,
    store::{EditRecord, ListTexts, LoadedLists, read_lists},
};

use crate::{
    cmd::check::list_args,
    command_args::{platform_arg, platform_client, read_texts},
    error::CliResult,
};

/// Arguments and help of `fescuewalk diff`.
pub fn command() -> Command {
    Command::new("diff")
        .about("Compares lists with those in force: what would change, and for which customers")
        .arg(platform_arg())
        .args(list_args())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the lists have faults or the platform does not answer.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let texts = read_texts(args)?;
    let base = read_lists(&platform_client(args)).await?;
    println!("against version {}", base.head.version);
    print_effects(&texts, &base)
}

/// Prints what `texts` would change compared with `base`.
///
/// # Errors
///
/// Fails if either has faults.
pub fn print_effects(texts: &ListTexts, base: &LoadedLists) -> CliResult<()> {
    let effects = effects_against(texts, base)?;
    if effects.is_empty() {
        println!("nothing changes");
    }
    for effect in effects {
        println!("{effect}");
    }
    Ok(())
}

/// Prints an accepted edit: version, operator, note and changed sections.
pub fn print_record(record: &EditRecord) {
    println!("version {} by {}: {}", record.version, record.operator, record.note);
    print_delta(&record.delta);
}

/// Prints changed sections with their new text, and the names of removed sections.
pub fn print_delta(delta: &ListDelta) {
    for change in &delta.changes {
        match &change.text {
            Some(text) => print!("[{}]\n{text}", change.name),
            None => println!("[{}] removed", change.name),
        }
    }
}

fn effects_against(texts: &ListTexts, base: &LoadedLists) -> CliResult<Vec<EditEffect>> {
    let image = check_lists(&texts.plans, &texts.rights)?;
    let delta = base.image.delta_to(&image);
    let previous = delta.changes.iter().map(|change| SectionChange {
        name: change.name.clone(),
        text: base.image.section(&change.name).cloned(),
    });
    let previous = ListDelta { changes: previous.collect() };
    let older = ListSet::from_image(base.head.version, &base.image)?;
    let newer = ListSet::from_image(base.head.version.next(), &image)?;
    Ok(edit_effects(&older, &newer, &delta, &previous))
}
