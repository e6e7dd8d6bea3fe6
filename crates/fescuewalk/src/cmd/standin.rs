//! Runs an emulator of one of the systems that fescuewalk works with.
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
    config::{self, InputConfig},
    error::{CliError, CliResult},
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("standin")
        .about("Runs an emulator of the platform, an engine, the weight store or a service")
        .long_about(
            "Runs an emulator until SIGTERM or SIGINT. Faults are set by PUT /admin/fault; what \
             was executed is shown by GET /admin/records.",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("The Object API and the VM list")
                .arg(config::listen_arg())
                .arg(
                    Arg::new("vms")
                        .long("vms")
                        .value_name("FILE")
                        .help("First VM list, as a JSON array")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("weights")
                .about("The weight store")
                .arg(config::listen_arg())
                .arg(option("rate", "RATE", "Loads a second, such as 4.5/s"))
                .arg(option("full-speed", "N", "Loads at once at full speed")),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(config::listen_arg())
                .arg(option("memory", "SIZE", "Memory for models, such as 80GiB"))
                .arg(option("weights", "IP:PORT", "Address of the weight store"))
                .arg(option("token-time", "SPAN", "Time for one token, such as 2ms"))
                .arg(option("batch", "N", "Sequences run at once"))
                .arg(
                    Arg::new("ignores-fencing")
                        .long("ignores-fencing")
                        .help("Carry out orders with old fencing numbers")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("service").about("A plain service").arg(config::listen_arg()).arg(option(
                "call-time",
                "SPAN",
                "Time for one call, such as 5ms",
            )),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an argument is malformed or the address is taken.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let (kind, args) = args.subcommand().expect("clap demands a kind");
    let listener = TcpListener::bind(config::required::<SocketAddr>(args, "listen")).await?;
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
        let input = InputConfig::new(path);
        options.vms = serde_json::from_str(&input.text()?)
            .map_err(|error| CliError::usage(format!("{}: {error}", input.name())))?;
    }
    let _handle = platform::serve(listener, options)?;
    Ok(base::signals::stop_requested().await?)
}

async fn run_weights(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = WeightOptions::default();
    set(args, "rate", &mut options.rate)?;
    set(args, "full-speed", &mut options.max_full_speed_transfers)?;
    let _handle = weights::serve(listener, options)?;
    Ok(base::signals::stop_requested().await?)
}

async fn run_engine(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = EngineOptions::default();
    set(args, "memory", &mut options.memory)?;
    set(args, "batch", &mut options.batch_size)?;
    let mut token_time = TimeSpan(options.token_time);
    set(args, "token-time", &mut token_time)?;
    options.token_time = token_time.0;
    if let Some(text) = args.get_one::<String>("weights") {
        options.weights = Some(parse("weights", text)?);
    }
    options.checks_fencing = !args.get_flag("ignores-fencing");
    let _handle = engine::serve(listener, options)?;
    Ok(base::signals::stop_requested().await?)
}

async fn run_service(listener: TcpListener, args: &ArgMatches) -> CliResult<()> {
    let mut options = ServiceOptions::default();
    let mut call_time = TimeSpan(options.call_time);
    set(args, "call-time", &mut call_time)?;
    options.call_time = call_time.0;
    let _handle = service::serve(listener, options)?;
    Ok(base::signals::stop_requested().await?)
}

fn set<T: std::str::FromStr>(args: &ArgMatches, name: &str, value: &mut T) -> CliResult<()> {
    if let Some(text) = args.get_one::<String>(name) {
        *value = parse(name, text)?;
    }
    Ok(())
}

fn parse<T: std::str::FromStr>(name: &str, text: &str) -> CliResult<T> {
    text.parse().map_err(|_| CliError::usage(format!("--{name} does not accept {text:?}")))
}
