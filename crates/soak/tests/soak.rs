//! Runs the soak test.
//!
//! ```text
//! cargo test -p soak --test soak                      # the short part, as in CI
//! cargo test -p soak --test soak -- --seeds 1-50      # seeds 1 to 50
//! cargo test -p soak --test soak -- --fresh 20        # 20 random seeds
//! cargo test -p soak --test soak -- --losses 1-50     # the same with a loss of power in each
//! cargo test -p soak --test soak -- --models 7        # a loss of power with many models, seed 7
//! cargo test -p soak --test soak -- --large 7         # the largest fleet, with seed 7
//! ```

use std::{collections::BTreeSet, fs, path::Path, process::ExitCode};

use base::{ids::ProcessIncarnation, prelude::*};
use futures::{StreamExt, stream};
use proof::binaries::ProgramPaths;
use soak::{SoakPlan, run::RunOutcome, run_plan};

/// Seeds of the short part, in addition to those in `seeds.txt`.
const SHORT_SEEDS: [u64; 3] = [1, 2, 3];
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 3;
/// Prefix of the lines of `KNOWN-RED.txt` that name a seed.
const KNOWN_PREFIX: &str = "soak ";

/// Prefix of the lines of `seeds.txt` whose plans have a loss of power in any case.
const LOSS_PREFIX: &str = "losses ";

/// Seeds in `seeds.txt` on the lines with `prefix`, each of which found a fault.
fn regression_seeds(prefix: &str) -> Vec<u64> {
    let text = include_str!("../seeds.txt");
    let lines = text.lines().filter_map(|line| line.strip_prefix(prefix));
    lines.filter_map(|rest| rest.split([' ', ':']).next()?.parse().ok()).collect()
}

/// Plans of the short part; a seed in both lists runs once.
fn short_plans() -> Vec<SoakPlan> {
    let seeds: BTreeSet<u64> = SHORT_SEEDS.into_iter().chain(regression_seeds("")).collect();
    let losses = regression_seeds(LOSS_PREFIX).into_iter().map(SoakPlan::with_power_loss);
    let mut plans: Vec<SoakPlan> =
        losses.chain(seeds.into_iter().map(SoakPlan::from_seed)).collect();
    // The longest runs come first, so that none of them is left alone at the end.
    plans.sort_by_key(|plan| std::cmp::Reverse((plan.has_power_loss(), plan.last_fault_end())));
    plans
}

fn known_failures() -> BTreeSet<u64> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let names = text.lines().filter_map(|line| line.strip_prefix(KNOWN_PREFIX));
    names.filter_map(|rest| rest.split([':', ' ']).next()?.parse().ok()).collect()
}

fn selected_plans(arguments: &[String]) -> Result<Vec<SoakPlan>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is not a number"));
    let range = |text: &str| {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        Ok::<_, String>(number(first)?..=number(last)?)
    };
    match arguments {
        [] => Ok(short_plans()),
        [option, value] if option == "--seeds" => {
            Ok(range(value)?.map(SoakPlan::from_seed).collect())
        }
        [option, value] if option == "--losses" => {
            Ok(range(value)?.map(SoakPlan::with_power_loss).collect())
        }
        [option, value] if option == "--fresh" => {
            let seeds = (0..number(value)?).map(|_| ProcessIncarnation::random().0 >> 20);
            Ok(seeds.map(SoakPlan::from_seed).collect())
        }
        [option, value] if option == "--models" => Ok(vec![SoakPlan::many_models(number(value)?)]),
        [option, value] if option == "--large" => Ok(vec![SoakPlan::large(number(value)?)]),
        _ => Err("expected no arguments, --seeds FIRST-LAST, --losses FIRST-LAST, --fresh COUNT, \
                 --models SEED or --large SEED"
            .to_owned()),
    }
}

async fn run_one(
    plan: &SoakPlan,
    programs: &ProgramPaths,
    number: usize,
) -> Result<RunOutcome, String> {
    // Another call of this test may run the same seed: it must not replace the settings of processes
    // that restart, and it uses other addresses, if possible.
    let id = std::process::id();
    let name = format!("soak-{}-{number}-{id}", plan.seed);
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Remove the logs of an earlier run with the same name.
    let _ = fs::remove_dir_all(&directory);
    let subnet = ((id as usize * 17 + number) % 250) as u8 + 1;
    let outcome =
        run_plan(plan, programs, &directory, subnet).await.map_err(|error| error.to_string())?;
    if outcome.violations.is_empty() {
        let _ = fs::remove_dir_all(&directory);
    }
    Ok(outcome)
}

fn print_outcome(plan: &SoakPlan, outcome: &RunOutcome, is_known: bool) {
    let (served, requests) = (outcome.served, outcome.requests);
    let size = format!("{} gateways, {} engines", plan.gateways, plan.engines);
    let verdict = match (outcome.violations.is_empty(), is_known) {
        (true, _) => "passed",
        (false, true) => "failed, listed in KNOWN-RED.txt",
        (false, false) => "FAILED",
    };
    println!("seed {}: {verdict} ({size}, {served} of {requests} served)", plan.seed);
    if let Some(recovery) = &outcome.recovery {
        println!("    {recovery}");
    }
    if !outcome.violations.is_empty() {
        outcome.violations.iter().take(8).for_each(|violation| println!("    {violation}"));
        println!("    {} in all; faults:", outcome.violations.len());
        for scheduled in &plan.faults {
            println!(
                "      {:?} for {:?}: {:?}",
                scheduled.at, scheduled.duration, scheduled.fault
            );
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let plans = match selected_plans(&arguments) {
        Ok(plans) => plans,
        Err(message) => {
            eprintln!("soak: {message}");
            return ExitCode::from(2);
        }
    };
    let programs = match ProgramPaths::build() {
        Ok(programs) => programs,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    let began = Instant::now();
    let known = known_failures();
    let runs = stream::iter(plans.into_iter().enumerate()).map(|(number, plan)| {
        let programs = programs.clone();
        async move {
            let outcome = run_one(&plan, &programs, number).await;
            (plan, outcome)
        }
    });
    let mut runs = runs.buffer_unordered(PARALLEL_RUNS);
    let (mut passed, mut failed, mut not_run, mut unlisted) = (0, 0, 0, 0);
    while let Some((plan, outcome)) = runs.next().await {
        match outcome {
            Ok(outcome) => {
                let is_known = known.contains(&plan.seed);
                print_outcome(&plan, &outcome, is_known);
                match outcome.violations.is_empty() {
                    true => passed += 1,
                    false => failed += 1,
                }
                unlisted += usize::from(!outcome.violations.is_empty() && !is_known);
            }
            Err(error) => {
                println!("seed {}: not run: {error}", plan.seed);
                not_run += 1;
            }
        }
    }
    let took = began.elapsed().as_secs();
    println!("soak {passed} passed, {failed} failed, {not_run} not run, {took} s");
    if unlisted > 0 || not_run > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
