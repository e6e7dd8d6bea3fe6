//! Runs a complete fleet inside one process, sends it bursts of requests and prints the results.
//!
//! ```text
//! fescuewalk try [--deployment slatina|toy-desk] [--models N] [--burst N] [--seed N]
//! ```

use base::prelude::*;
use clap::{Arg, ArgMatches, Command, value_parser};
use lists::{ListSet, WorkClass, store::ListTexts};
use standin::{
    load::{
        CallKind, CallOutcome, CallScript, CallVerdict, ChatCall, LoadOptions, RunSummary,
        ServiceCall, run_script,
    },
    verify,
};

use crate::{
    error::{CliError, CliResult},
    local_fleet::{FleetSpec, LocalFleet},
};

/// Time limit for one call, from sending to the end of its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Time over which the requests of one burst are evenly distributed.
const BURST_SPREAD: Duration = Duration::from_millis(200);
/// Largest random delay added to the time of a request.
const BURST_JITTER: Duration = Duration::from_millis(100);
/// Calls to the plain service, each sent twice under the same idempotency key.
const KEYED_CALLS: u32 = 20;
const ANSWER_TOKENS: u32 = 24;

/// Arguments and help of `fescuewalk try`.
pub fn command() -> Command {
    Command::new("try")
        .about("Runs a whole fleet in one process and shows how it handles a burst of requests")
        .long_about(
            "Starts stand-ins, side processes and entries of one of the example deployments on \
             loopback, sends bursts to cold models and repeated calls to plain services, and \
             prints cold-start times, loads and refusals. Fails if an answer was lost, truncated \
             or belonged to another request, or if the records of the stand-ins show that a call \
             ran twice under one key, memory was overcommitted, or more replicas were loaded \
             than the lists set.",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_parser(["slatina", "toy-desk"])
                .default_value("slatina")
                .help("Example deployment"),
        )
        .arg(number_arg("models", "12", "Number of cold models that receive a burst"))
        .arg(number_arg("burst", "20", "Requests per burst"))
        .arg(number_arg("seed", "7", "Seed for the random times of the requests"))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(0..=10_000))
        .default_value(default)
        .help(help)
}

struct TryArgs {
    deployment: ExampleDeployment,
    models: usize,
    burst: u32,
    seed: u64,
}

impl TryArgs {
    fn new(args: &ArgMatches) -> Self {
        let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
        let deployment = match args.get_one::<String>("deployment").map(String::as_str) {
            Some("toy-desk") => ExampleDeployment::ToyDesk,
            _ => ExampleDeployment::Slatina,
        };
        Self {
            deployment,
            models: number("models") as usize,
            burst: number("burst") as u32,
            seed: number("seed"),
        }
    }
}

/// The deployments in `examples/`.
#[derive(Clone, Copy)]
enum ExampleDeployment {
    Slatina,
    ToyDesk,
}

impl ExampleDeployment {
    fn fleet_spec(self) -> CliResult<FleetSpec> {
        let (plans, rights, region, zones, rate) = match self {
            ExampleDeployment::Slatina => (
                include_str!("../../../../examples/slatina/plans.ini"),
                include_str!("../../../../examples/slatina/rights.ini"),
                "cz-central",
                3,
                3.0,
            ),
            ExampleDeployment::ToyDesk => (
                include_str!("../../../../examples/toy-desk/plans.ini"),
                include_str!("../../../../examples/toy-desk/rights.ini"),
                "pnw-west",
                4,
                4.5,
            ),
        };
        let zone = |number| format!("{region}-{number}").parse::<ZoneName>();
        Ok(FleetSpec {
            texts: ListTexts { plans: plans.to_owned(), rights: rights.to_owned() },
            region: region.parse()?,
            zones: (1..=zones).map(zone).collect::<Result<_, _>>()?,
            weight_rate: EventRate(rate),
        })
    }

    /// API key of a customer whose plan permits the models of the bursts.
    fn customer_key(self) -> &'static str {
        match self {
            ExampleDeployment::Slatina => "demo-mokriny",
            ExampleDeployment::ToyDesk => "demo-families-app",
        }
    }

    fn plain_service(self) -> &'static str {
        match self {
            ExampleDeployment::Slatina => "vrbovka",
            ExampleDeployment::ToyDesk => "circulation-desk",
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the fleet cannot start, or if the outcomes or the stand-ins' records show a fault.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let args = TryArgs::new(args);
    let fleet = LocalFleet::start(args.deployment.fleet_spec()?).await?;
    let models = cold_models(&fleet.lists, &args)?;
    let script = call_script(&args, &models);
    let options = LoadOptions { entries: fleet.addresses(), timeout: CALL_TIMEOUT };
    let outcomes = run_script(&options, &script).await;
    let report = TryReport::new(&fleet, &script, &outcomes);
    fleet.stop().await;
    report.print();
    report.check()
}

/// The models that receive a burst: short work class, at least one replica, permitted for the
/// customer; sorted by name, at most `--models` of them.
fn cold_models(lists: &ListSet, args: &TryArgs) -> CliResult<Vec<String>> {
    let hash = KeyHash::of_key(args.deployment.customer_key());
    let caller = lists.caller(&hash).map_err(|code| CliError::failed(code.to_string()))?;
    let mut models: Vec<String> = lists
        .models()
        .filter(|model| model.class == WorkClass::Short && model.replicas.0 > 0)
        .map(|model| model.id.to_string())
        .filter(|name| lists.target(&caller, name).is_ok())
        .collect();
    models.sort();
    models.truncate(args.models);
    Ok(models)
}

fn call_script(args: &TryArgs, models: &[String]) -> CallScript {
    let key = args.deployment.customer_key();
    let mut script = CallScript::default();
    for (index, model) in models.iter().enumerate() {
        let chat = ChatCall {
            model: model.clone(),
            prompt: format!("first words for {model}"),
            tokens: ANSWER_TOKENS,
            is_stream: index % 2 == 1,
        };
        script.push_burst(Duration::ZERO, BURST_SPREAD, args.burst, key, &chat);
    }
    for number in 0..KEYED_CALLS {
        let call = ServiceCall {
            service: args.deployment.plain_service().to_owned(),
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
            key: Some(format!("try-{}-{number}", args.seed)),
            body: format!("order {number}"),
        };
        script.push(Duration::ZERO, key, CallKind::Service(call.clone()));
        script.push(BURST_SPREAD, key, CallKind::Service(call));
    }
    script.with_jitter(BURST_JITTER, args.seed)
}

/// Results of a run: the outcomes at the callers and the records of the stand-ins.
struct TryReport {
    summary: RunSummary,
    rows: Vec<ModelRow>,
    faults: Vec<String>,
    orders: usize,
}

/// One row of the printed table.
struct ModelRow {
    model: String,
    configured_replicas: u32,
    peak: u32,
    complete_answers: usize,
    min_first_byte_ms: u128,
    max_first_byte_ms: u128,
}

impl TryReport {
    fn new(fleet: &LocalFleet, script: &CallScript, outcomes: &[CallOutcome]) -> Self {
        let engines: Vec<_> = fleet.engines.iter().map(|e| e.state.records()).collect();
        let services: Vec<_> = fleet.services.iter().map(|s| s.state.records()).collect();
        let mut faults = Vec::new();
        let mut rows = Vec::new();
        for peak in verify::peak_engine_counts(&engines) {
            let id = peak.model.parse::<ModelId>().ok();
            let entry = id.and_then(|id| fleet.lists.model(&id).cloned());
            let configured_replicas = entry.map_or(0, |entry| entry.replicas.0);
            if peak.count > configured_replicas {
                faults.push(format!(
                    "{}: {} loaded, {configured_replicas} decided",
                    peak.model, peak.count
                ));
            }
            rows.push(ModelRow::new(&peak, configured_replicas, script, outcomes));
        }
        let overcommits: u32 = engines.iter().map(|records| records.overcommits).sum();
        if overcommits > 0 {
            faults.push(format!("memory was overcommitted {overcommits} times"));
        }
        for repeated in verify::repeated_keys(&services) {
            faults.push(format!("key {} ran {} times", repeated.key, repeated.count));
        }
        let summary = RunSummary::of(outcomes);
        if summary.failed_count() > 0 {
            faults.push(format!(
                "{} answers were lost, truncated or of another request",
                summary.failed_count()
            ));
        }
        let orders = engines.iter().flat_map(|records| &records.orders).count();
        Self { summary, rows, faults, orders }
    }

    fn print(&self) {
        println!(
            "{:24} {:>7} {:>5} {:>6} {:>9} {:>9}",
            "model", "decided", "peak", "whole", "first ms", "last ms"
        );
        for row in &self.rows {
            println!(
                "{:24} {:>7} {:>5} {:>6} {:>9} {:>9}",
                row.model,
                row.configured_replicas,
                row.peak,
                row.complete_answers,
                row.min_first_byte_ms,
                row.max_first_byte_ms
            );
        }
        println!("{}", self.summary);
        println!("orders to engines: {}", self.orders);
        for fault in &self.faults {
            println!("FAULT: {fault}");
        }
        let result = if self.faults.is_empty() { "ok" } else { "failed" };
        println!(
            "try {result}: {} whole, {} refused, {} broken, {} faults",
            self.summary.count(CallVerdict::Complete),
            self.summary.refused_count(),
            self.summary.failed_count(),
            self.faults.len()
        );
    }

    fn check(&self) -> CliResult<()> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(CliError::failed(format!("{} faults", self.faults.len())))
    }
}

impl ModelRow {
    fn new(
        peak: &verify::PeakEngineCount,
        configured_replicas: u32,
        script: &CallScript,
        outcomes: &[CallOutcome],
    ) -> Self {
        let is_complete = |outcome: &CallOutcome| outcome.verdict == CallVerdict::Complete;
        let times: Vec<u128> = script
            .calls
            .iter()
            .zip(outcomes)
            .filter(|(call, outcome)| is_chat(&call.kind, &peak.model) && is_complete(outcome))
            .filter_map(|(_, outcome)| outcome.first_byte.map(|time| time.as_millis()))
            .collect();
        Self {
            model: peak.model.clone(),
            configured_replicas,
            peak: peak.count,
            complete_answers: times.len(),
            min_first_byte_ms: times.iter().min().copied().unwrap_or_default(),
            max_first_byte_ms: times.iter().max().copied().unwrap_or_default(),
        }
    }
}

fn is_chat(kind: &CallKind, model: &str) -> bool {
    matches!(kind, CallKind::Chat(chat) if chat.model == model)
}
