//! Shows what an edit would change, and for whom.
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
    config::{platform_arg, platform_client, read_texts},
    error::CliResult,
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what the lists would change against those in force, and for whom")
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

/// Prints what `texts` change against `base`.
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

/// Prints the sections that an accepted edit changed.
pub fn print_record(record: &EditRecord) {
    println!("version {} by {}: {}", record.version, record.operator, record.note);
    print_delta(&record.delta);
}

/// Prints changed sections.
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
    let former = delta.changes.iter().map(|change| SectionChange {
        name: change.name.clone(),
        text: base.image.section(&change.name).cloned(),
    });
    let former = ListDelta { changes: former.collect() };
    let older = ListSet::from_image(base.head.version, &base.image)?;
    let newer = ListSet::from_image(base.head.version.next(), &image)?;
    Ok(edit_effects(&older, &newer, &delta, &former))
}
