//! Runs the side process that works with `fescuewalk entry`. On the users' platform the agent takes
//! its place.
//!
//! ```text
//! fescuewalk-side [--check] FILE
//! ```

use std::{fs, path::PathBuf};

use base::{logging::announce, signals::StopSignals};
use clap::ArgMatches;
use side::{SideHandle, SideSettings};

use crate::error::Result;

/// Runs the side process until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings cannot be read or have faults, or if the process cannot start.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("settings").expect("clap enforces required arguments");
    let settings = SideSettings::parse(&path.display().to_string(), &fs::read_to_string(path)?)?;
    if args.get_flag("check") {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    serve(settings)
}

#[tokio::main]
async fn serve(settings: SideSettings) -> Result<()> {
    let mut stop = StopSignals::start()?;
    let _logger = settings.log.start()?;
    let Some(handle) = stop.unless_requested(SideHandle::start(settings)).await else {
        log::info!("process: stopped before it listened");
        return Ok(());
    };
    let (peers, http) = (handle.peer_address(), handle.http_address());
    announce(format!("listening peers {peers} http {http}"));
    stop.requested().await;
    handle.stop().await;
    Ok(())
}
