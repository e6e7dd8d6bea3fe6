//! Runs a whole fleet inside one process, sends it bursts of requests and prints what happened.
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
    local_fleet::{FleetPlan, LocalFleet},
};

/// Time for one call, from sending to the end of its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Time over which the requests of one burst are spread.
const BURST_SPREAD: Duration = Duration::from_millis(200);
/// Time by which requests are shifted at random.
const BURST_JITTER: Duration = Duration::from_millis(100);
/// Calls of the plain service, each sent twice under the same key.
const KEYED_CALLS: u32 = 20;
/// Tokens of one answer.
const ANSWER_TOKENS: u32 = 24;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("try")
        .about("Runs a whole fleet in one process and shows what a burst of requests does")
        .long_about(
            "Starts stand-ins, side processes and entries of one of the example deployments on \
             loopback, sends bursts to cold models and repeated calls to plain services, and \
             prints cold-start times, loads and refusals. Fails if an answer was lost, cut or \
             crossed, a key ran twice, memory was overcommitted, or more replicas were loaded \
             than decided, by the stand-ins' own records.",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_parser(["slatina", "toy-desk"])
                .default_value("slatina")
                .help("Example deployment"),
        )
        .arg(number("models", "12", "Cold models that get a burst"))
        .arg(number("burst", "20", "Requests in each burst"))
        .arg(number("seed", "7", "Seed of the requests' times"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(0..=10_000))
        .default_value(default)
        .help(help)
}

/// What is tried.
struct TryArgs {
    deployment: TryDeployment,
    models: usize,
    burst: u32,
    seed: u64,
}

impl TryArgs {
    fn new(args: &ArgMatches) -> Self {
        let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
        let deployment = match args.get_one::<String>("deployment").map(String::as_str) {
            Some("toy-desk") => TryDeployment::ToyDesk,
            _ => TryDeployment::Slatina,
        };
        Self {
            deployment,
            models: number("models") as usize,
            burst: number("burst") as u32,
            seed: number("seed"),
        }
    }
}

/// One of the example deployments.
#[derive(Clone, Copy)]
enum TryDeployment {
    Slatina,
    ToyDesk,
}

impl TryDeployment {
    fn plan(self) -> CliResult<FleetPlan> {
        let (plans, rights, region, zones, rate) = match self {
            TryDeployment::Slatina => (
                include_str!("../../../../examples/slatina/plans.ini"),
                include_str!("../../../../examples/slatina/rights.ini"),
                "cz-central",
                3,
                3.0,
            ),
            TryDeployment::ToyDesk => (
                include_str!("../../../../examples/toy-desk/plans.ini"),
                include_str!("../../../../examples/toy-desk/rights.ini"),
                "pnw-west",
                4,
                4.5,
            ),
        };
        let zone = |number| format!("{region}-{number}").parse::<ZoneName>();
        Ok(FleetPlan {
            texts: ListTexts { plans: plans.to_owned(), rights: rights.to_owned() },
            region: region.parse()?,
            zones: (1..=zones).map(zone).collect::<Result<_, _>>()?,
            weight_rate: EventRate(rate),
        })
    }

    /// Customer whose plan permits the models of the bursts, and its key.
    fn customer_key(self) -> &'static str {
        match self {
            TryDeployment::Slatina => "demo-mokriny",
            TryDeployment::ToyDesk => "demo-families-app",
        }
    }

    fn service(self) -> &'static str {
        match self {
            TryDeployment::Slatina => "vrbovka",
            TryDeployment::ToyDesk => "circulation-desk",
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a check of the stand-ins' records fails.
#[tokio::main]
pub async fn run(args: &ArgMatches) -> CliResult<()> {
    let args = TryArgs::new(args);
    let fleet = LocalFleet::start(args.deployment.plan()?).await?;
    let models = cold_models(&fleet.lists, &args)?;
    let script = script(&args, &models);
    let options = LoadOptions { entries: fleet.addresses(), timeout: CALL_TIMEOUT };
    let outcomes = run_script(&options, &script).await;
    let verdict = TryVerdict::new(&fleet, &script, &outcomes);
    fleet.stop().await;
    verdict.print();
    verdict.check()
}

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

fn script(args: &TryArgs, models: &[String]) -> CallScript {
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
            service: args.deployment.service().to_owned(),
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

/// What the callers saw and what the stand-ins recorded.
struct TryVerdict {
    summary: RunSummary,
    models: Vec<ModelLine>,
    faults: Vec<String>,
    loads: usize,
}

/// Figures of one model.
struct ModelLine {
    model: String,
    decided: u32,
    peak: u32,
    calls: usize,
    first_ms: u128,
    last_ms: u128,
}

impl TryVerdict {
    fn new(fleet: &LocalFleet, script: &CallScript, outcomes: &[CallOutcome]) -> Self {
        let engines: Vec<_> = fleet.engines.iter().map(|e| e.state.records()).collect();
        let services: Vec<_> = fleet.services.iter().map(|s| s.state.records()).collect();
        let mut faults = Vec::new();
        let mut models = Vec::new();
        for held in verify::peak_engine_counts(&engines) {
            let id = held.model.parse::<ModelId>().ok();
            let entry = id.and_then(|id| fleet.lists.model(&id).cloned());
            let decided = entry.map_or(0, |entry| entry.replicas.0);
            if held.count > decided {
                faults.push(format!("{}: {} loaded, {decided} decided", held.model, held.count));
            }
            models.push(ModelLine::new(&held, decided, script, outcomes));
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
            faults.push(format!("{} answers were lost, cut or crossed", summary.failed_count()));
        }
        let loads = engines.iter().flat_map(|records| &records.orders).count();
        Self { summary, models, faults, loads }
    }

    fn print(&self) {
        println!(
            "{:24} {:>7} {:>5} {:>6} {:>9} {:>9}",
            "model", "decided", "peak", "whole", "first ms", "last ms"
        );
        for line in &self.models {
            println!(
                "{:24} {:>7} {:>5} {:>6} {:>9} {:>9}",
                line.model, line.decided, line.peak, line.calls, line.first_ms, line.last_ms
            );
        }
        println!("{}", self.summary);
        println!("orders to engines: {}", self.loads);
        for fault in &self.faults {
            println!("FAULT: {fault}");
        }
        let verdict = if self.faults.is_empty() { "ok" } else { "failed" };
        println!(
            "try {verdict}: {} whole, {} refused, {} broken, {} faults",
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

impl ModelLine {
    fn new(
        held: &verify::PeakEngineCount,
        decided: u32,
        script: &CallScript,
        outcomes: &[CallOutcome],
    ) -> Self {
        let is_whole = |outcome: &CallOutcome| outcome.verdict == CallVerdict::Complete;
        let times: Vec<u128> = script
            .calls
            .iter()
            .zip(outcomes)
            .filter(|(call, outcome)| is_chat(&call.kind, &held.model) && is_whole(outcome))
            .filter_map(|(_, outcome)| outcome.first_byte.map(|time| time.as_millis()))
            .collect();
        Self {
            model: held.model.clone(),
            decided,
            peak: held.count,
            calls: times.len(),
            first_ms: times.iter().min().copied().unwrap_or_default(),
            last_ms: times.iter().max().copied().unwrap_or_default(),
        }
    }
}

fn is_chat(kind: &CallKind, model: &str) -> bool {
    matches!(kind, CallKind::Chat(chat) if chat.model == model)
}
