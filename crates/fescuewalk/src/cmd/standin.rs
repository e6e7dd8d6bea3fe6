//! Runs a stand-in for one of the systems that fescuewalk works with.
//!
//! ```text
//! fescuewalk standin platform [--listen IP:PORT] [--vms FILE]
//! fescuewalk standin weights  [--listen IP:PORT] [--rate RATE] [--full-speed N]
//! fescuewalk standin engine   [--listen IP:PORT] [--memory SIZE] [--weights IP:PORT] [...]
//! fescuewalk standin service  [--listen IP:PORT] [--call-time SPAN]
//! ```

use std::{net::SocketAddr, path::PathBuf};

use base::prelude::*;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::{
    engine::{self, EngineOptions},
    platform::{self, PlatformOptions},
    service::{self, ServiceOptions},
    weights::{self, WeightOptions},
};
use tokio::net::TcpListener;

use crate::{
    command_args::{self, InputFile},
    error::{CliError, CliResult},
};

/// Arguments and help of `fescuewalk standin`.
pub fn command() -> Command {
    Command::new("standin")
        .about("Runs a stand-in for the platform, an engine, the weight store or a service")
        .long_about(
            "Runs a stand-in until SIGTERM or SIGINT. PUT /admin/fault injects faults; GET \
             /admin/records returns what was executed. The platform has GET /admin/calls instead, \
             which returns the number of calls.",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Stands in for the platform: its Object API and the VM list")
                .arg(command_args::listen_arg())
                .arg(
                    Arg::new("vms")
                        .long("vms")
                        .value_name("FILE")
                        .help("Initial VM list, as a JSON array")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("weights")
                .about("Stands in for the weight store")
                .arg(command_args::listen_arg())
                .arg(value_arg("rate", "RATE", "Loads per second when fully used, such as 4.5/s"))
                .arg(value_arg("full-speed", "N", "Concurrent loads that run at full speed")),
        )
        .subcommand(
            Command::new("engine")
                .about("Stands in for a model engine")
                .arg(command_args::listen_arg())
                .arg(value_arg("memory", "SIZE", "Memory for models, such as 80GiB"))
                .arg(value_arg("weights", "IP:PORT", "Address of the weight store"))
                .arg(value_arg("token-time", "SPAN", "Time per generated token, such as 2ms"))
                .arg(value_arg("batch", "N", "Sequences that run concurrently"))
                .arg(
                    Arg::new("ignores-fencing")
                        .long("ignores-fencing")
                        .help("Accept orders with outdated fencing numbers")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("Stands in for a plain service")
                .arg(command_args::listen_arg())
                .arg(value_arg("call-time", "SPAN", "Time per call, such as 5ms")),
        )
}

fn value_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an argument is malformed, the VM list cannot be read, or the address is taken.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let (kind, args) = args.subcommand().expect("clap enforces a subcommand");
    let listener =
        TcpListener::bind(command_args::required_value::<SocketAddr>(args, "listen")).await?;
    println!("listening http {}", listener.local_addr()?);
    match kind {
        "platform" => run_platform(listener, args).await,
        "weights" => run_weights(listener, args).await,
        "engine" => run_engine(listener, args).await,
        _ => run_service(listener, args).await,
    }
}

async fn run_platform(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = PlatformOptions::default();
    if let Some(path) = args.get_one::<PathBuf>("vms") {
        let input = InputFile::new(path);
        options.vms = serde_json::from_str(&input.read_text()?)
            .map_err(|error| CliError::usage(format!("{}: {error}", input.name())))?;
    }
    let _handle = platform::serve(listener, options)?;
    base::signals::stop_requested().await?;
    Ok(())
}

async fn run_weights(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = WeightOptions::default();
    set_from_arg(args, "rate", &mut options.rate)?;
    set_from_arg(args, "full-speed", &mut options.max_full_speed_transfers)?;
    let _handle = weights::serve(listener, options)?;
    base::signals::stop_requested().await?;
    Ok(())
}

async fn run_engine(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = EngineOptions::default();
    set_from_arg(args, "memory", &mut options.memory)?;
    set_from_arg(args, "batch", &mut options.batch_size)?;
    let mut token_time = TimeSpan(options.token_time);
    set_from_arg(args, "token-time", &mut token_time)?;
    options.token_time = token_time.0;
    if let Some(text) = args.get_one::<String>("weights") {
        options.weights = Some(parse_arg("weights", text)?);
    }
    options.checks_fencing = !args.get_flag("ignores-fencing");
    let _handle = engine::serve(listener, options)?;
    base::signals::stop_requested().await?;
    Ok(())
}

async fn run_service(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = ServiceOptions::default();
    let mut call_time = TimeSpan(options.call_time);
    set_from_arg(args, "call-time", &mut call_time)?;
    options.call_time = call_time.0;
    let _handle = service::serve(listener, options)?;
    base::signals::stop_requested().await?;
    Ok(())
}

fn set_from_arg<T: std::str::FromStr>(
    args: &ArgMatches,
    name: &str,
    value: &mut T,
) -> CliResult<()> {
    if let Some(text) = args.get_one::<String>(name) {
        *value = parse_arg(name, text)?;
    }
    Ok(())
}

fn parse_arg<T: std::str::FromStr>(name: &str, text: &str) -> CliResult<T> {
    text.parse().map_err(|_| CliError::usage(format!("invalid value {text:?} for --{name}")))
}
