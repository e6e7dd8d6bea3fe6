//! Runs the agent.
//!
//! ```text
//! fescuewalk-side agent [--check] [SETTINGS]
//! ```

use std::{env, fs, path::PathBuf};

use agent::{Agent, AgentSettings};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use events::{EventLog, LogLimits};
use log::LevelFilter;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

use crate::error::{Result, UsageSnafu};

/// Variable that names the settings file where no argument does.
const SETTINGS_VARIABLE: &str = "FESCUEWALK_SETTINGS";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("agent")
        .about("Runs the side process on the users' platform")
        .long_about(
            "Runs beside one engine on the users' platform until SIGTERM or SIGINT. Without \
             SETTINGS the file is named by the variable FESCUEWALK_SETTINGS.",
        )
        .after_help("Example:\n  fescuewalk-side agent --check examples/slatina/agent.ini")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("Settings in INI")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, list all faults and exit")
                .action(ArgAction::SetTrue),
        )
}

fn settings_path(args: &ArgMatches) -> Result<PathBuf> {
    let given = args.get_one::<PathBuf>("settings").cloned();
    let path = given.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    match path {
        Some(path) => Ok(path),
        None => {
            let message = format!("name the settings as argument or by {SETTINGS_VARIABLE}");
            UsageSnafu { message }.fail()
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the settings have faults or the process cannot start.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = settings_path(args)?;
    let name = path.display().to_string();
    let settings = AgentSettings::parse(&name, &fs::read_to_string(&path)?)?;
    if args.get_flag("check") {
        println!("{name}: no faults");
        return Ok(());
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (log, writer) = EventLog::start(&settings.vm, LogLimits::default(), std::io::stdout());
    let _notes = log.take_notes(LevelFilter::Info)?;
    let outcome = runtime.block_on(serve(settings, log.clone()));
    log.close();
    // The writer only fails if standard output does, and then nobody can be told.
    let _ = writer.join();
    outcome
}

async fn serve(settings: AgentSettings, log: EventLog) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let agent = Agent::start(settings, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    agent.stop();
    Ok(())
}
