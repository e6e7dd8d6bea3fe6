//! `fescuewalk-side`: the process that runs beside each backend server.
//!
//! ```text
//! fescuewalk-side [--check] FILE
//! ```

use std::{fs, io, path::PathBuf, process::ExitCode};

use base::ini::FileFaults;
use clap::{Arg, ArgAction, Command, value_parser};
use side::{SideHandle, SideSettings};
use snafu::Snafu;
use tokio::signal::unix::{SignalKind, signal};
use wire::ListenError;

/// Exit code for files with faults.
const EXIT_FAULTS: u8 = 3;
/// Exit code for anything else that failed.
const EXIT_FAILED: u8 = 1;

/// Why the process ended early.
#[derive(Debug, Snafu)]
enum MainError {
    #[snafu(display("{source}"), context(false))]
    Faults { source: FileFaults },
    #[snafu(display("{source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Listen { source: ListenError },
    #[snafu(display("{source}"), context(false))]
    Log { source: flexi_logger::FlexiLoggerError },
}

type Result<T, E = MainError> = std::result::Result<T, E>;

fn command() -> Command {
    Command::new("fescuewalk-side")
        .about("Runs beside one backend server and is the only one to give it orders")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("Settings in INI")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, list all faults and exit")
                .action(ArgAction::SetTrue),
        )
}

#[tokio::main]
async fn run() -> Result<()> {
    let args = command().get_matches();
    let path = args.get_one::<PathBuf>("settings").expect("clap demands it");
    let settings = SideSettings::parse(&path.display().to_string(), &fs::read_to_string(path)?)?;
    if args.get_flag("check") {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    let _logger = settings.log.start()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = SideHandle::start(settings).await?;
    println!("listening peers {} http {}", handle.peer_address(), handle.http_address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop().await;
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuewalk-side: {error}");
            ExitCode::from(match error {
                MainError::Faults { .. } => EXIT_FAULTS,
                _ => EXIT_FAILED,
            })
        }
    }
}
