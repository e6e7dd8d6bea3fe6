//! Runs the agent: the side process on the users' platform.
//!
//! ```text
//! fescuewalk-side agent [--check] [SETTINGS]
//! ```

use std::{env, fs, path::PathBuf};

use agent::{Agent, AgentSettings};
use base::{
    signals::{SettingsWatch, StopSignals, reload_until_stopped},
    startup::read_when_complete,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use events::{DecisionEvent, EventLog, record_early_stop, run_with_log};

use crate::error::{Result, UsageSnafu};

/// Environment variable with the path of the settings file; an argument takes precedence.
const SETTINGS_VARIABLE: &str = "FESCUEWALK_SETTINGS";

/// Arguments and help of `fescuewalk-side agent`.
pub fn command() -> Command {
    Command::new("agent")
        .about("Runs the side process on the users' platform")
        .long_about(
            "Runs beside one engine on the users' platform until SIGTERM or SIGINT. Without \
             SETTINGS, the path is taken from the environment variable FESCUEWALK_SETTINGS.",
        )
        .after_help("Example:\n  fescuewalk-side agent --check examples/slatina/agent.ini")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("Settings file in INI format")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, print all faults and exit")
                .action(ArgAction::SetTrue),
        )
}

fn settings_path(args: &ArgMatches) -> Result<PathBuf> {
    let given = args.get_one::<PathBuf>("settings").cloned();
    let path = given.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    match path {
        Some(path) => Ok(path),
        None => {
            let message = format!("no settings file; pass SETTINGS or set {SETTINGS_VARIABLE}");
            UsageSnafu { message }.fail()
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if no settings file is named, or if a signal handler cannot be installed. A check fails if the
/// file cannot be read or has faults.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = settings_path(args)?;
    let name = path.display().to_string();
    if args.get_flag("check") {
        AgentSettings::parse(&name, &fs::read_to_string(&path)?)?;
        println!("{name}: no faults");
        return Ok(());
    }
    let read = read_when_complete(|| -> Result<_> {
        let text = fs::read_to_string(&path)?;
        Ok((AgentSettings::parse_usable(&name, &text)?, text))
    });
    let Some(((settings, lesser), text)) = read else { return Ok(()) };
    let vm = settings.vm.clone();
    run_with_log(&vm, async move |log| {
        let stop = StopSignals::start()?;
        lesser.warn();
        let watch = SettingsWatch::start(&path, text)?;
        serve(settings, watch, stop, &name, log).await;
        Ok(())
    })
}

async fn serve(
    settings: AgentSettings,
    watch: SettingsWatch,
    mut stop: StopSignals,
    name: &str,
    log: EventLog,
) {
    let starting = Agent::start(settings.clone(), log.clone());
    let Some(agent) = stop.unless_requested(starting).await else {
        return record_early_stop(&log);
    };
    reload_until_stopped(watch, stop, |text| record_reload(&settings, name, text, &log)).await;
    agent.stop();
}

/// Records in the event log whether the changed settings file is valid. No change is applied
/// without a restart.
fn record_reload(
    settings: &AgentSettings,
    name: &str,
    text: std::io::Result<String>,
    log: &EventLog,
) {
    let read = text
        .map_err(|error| format!("{name}: {error}"))
        .and_then(|text| AgentSettings::parse_usable(name, &text).map_err(|e| e.to_string()));
    let (accepted, detail) = match read {
        Ok((read, _)) if read == *settings => (true, "nothing changed".to_owned()),
        Ok(_) => (true, "the changes need a restart".to_owned()),
        Err(fault) => (false, fault),
    };
    log.record(&DecisionEvent::SettingsReloaded { accepted, detail: &detail });
}
