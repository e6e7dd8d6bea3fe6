//! Runs the gateway: the entry process on the users' platform.
//!
//! ```text
//! fescuewalk gateway [--check] [SETTINGS]
//! ```

use std::{env, path::PathBuf};

use base::{
    signals::{SettingsWatch, StopSignals, reload_until_stopped},
    startup::read_when_complete,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use events::{EventLog, record_early_stop, run_with_log};
use gateway::{GatewayHandle, GatewaySettings};

use crate::{
    command_args::InputFile,
    error::{CliError, CliResult},
};

/// Environment variable with the path of the settings file; an argument takes precedence.
const SETTINGS_VARIABLE: &str = "FESCUEWALK_SETTINGS";

/// Arguments and help of `fescuewalk gateway`.
pub fn command() -> Command {
    Command::new("gateway")
        .about("Runs the entry process on the users' platform")
        .long_about(
            "Runs the entry process on the users' platform until SIGTERM or SIGINT. It accepts \
             requests from callers and sends them directly to backend servers. Without SETTINGS, \
             the path is taken from the environment variable FESCUEWALK_SETTINGS.",
        )
        .after_help("Example:\n  fescuewalk gateway --check examples/slatina/gateway.ini")
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

struct GatewayArgs {
    settings: InputFile,
    check: bool,
}

impl GatewayArgs {
    fn new(args: &ArgMatches) -> CliResult<Self> {
        let given = args.get_one::<PathBuf>("settings").cloned();
        let path = given.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
        let path = path.ok_or_else(|| {
            CliError::usage(format!("no settings file; pass SETTINGS or set {SETTINGS_VARIABLE}"))
        })?;
        Ok(Self { settings: InputFile::new(path), check: args.get_flag("check") })
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if no settings file is named, or if a signal handler cannot be installed. A check fails if the
/// file cannot be read or has faults.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = GatewayArgs::new(args)?;
    let name = args.settings.name();
    if args.check {
        GatewaySettings::parse(&name, &args.settings.read_text()?)?;
        println!("{name}: no faults");
        return Ok(());
    }
    let read = read_when_complete(|| -> CliResult<_> {
        let text = args.settings.read_text()?;
        Ok((GatewaySettings::parse_usable(&name, &text)?, text))
    });
    let Some(((settings, lesser), text)) = read else { return Ok(()) };
    let vm = settings.identity.vm.clone();
    run_with_log(&vm, async move |log| {
        let stop = StopSignals::start()?;
        lesser.warn();
        let watch = SettingsWatch::start(&name, text)?;
        serve(settings, watch, stop, &name, log).await;
        Ok(())
    })
}

async fn serve(
    settings: GatewaySettings,
    watch: SettingsWatch,
    mut stop: StopSignals,
    name: &str,
    log: EventLog,
) {
    let starting = GatewayHandle::start(settings, log.clone());
    let Some(mut handle) = stop.unless_requested(starting).await else {
        return record_early_stop(&log);
    };
    let signalled = reload_until_stopped(watch, stop, |text| handle.reload(name, text)).await;
    handle.stop_since(signalled).await;
}
