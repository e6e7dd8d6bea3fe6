//! Runs a whole fleet of cvtl-lending as plain processes, from its templates, through starts, losses
//! of power and returns.
//!
//! ```text
//! cargo test -p soak --test deployed                        # the short part, as in CI
//! cargo test -p soak --test deployed -- --seeds 1-50        # seeds 1 to 50
//! ```

use std::{path::Path, process::ExitCode};

use base::prelude::*;
use futures::{StreamExt, stream};
use proof::binaries::ProgramPaths;
use soak::deployed::{
    DeployedFleet, LENDING_SIZE,
    plan::DeploymentPlan,
    run::{RunReport, run_plan},
};

/// Seeds of the short part.
const SHORT_SEEDS: [u64; 2] = [1, 2];
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 2;
/// First of the networks 127.N.0.0/16 of the runs.
const FIRST_NETWORK: u64 = 100;

fn selected_seeds(arguments: &[String]) -> Result<Vec<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is not a number"));
    match arguments {
        [] => Ok(SHORT_SEEDS.to_vec()),
        [option, value] if option == "--seeds" => {
            let (first, last) = value.split_once('-').unwrap_or((value, value));
            Ok((number(first)?..=number(last)?).collect())
        }
        _ => Err("expected no arguments or --seeds FIRST-LAST".to_owned()),
    }
}

async fn run_one(seed: u64, programs: &ProgramPaths) -> std::io::Result<RunReport> {
    let name = format!("deployed-{seed}-{}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let network = (FIRST_NETWORK + seed % 70) as u8;
    let mut fleet = DeployedFleet::new(LENDING_SIZE, programs, &directory, network).await?;
    let report = run_plan(&DeploymentPlan::from_seed(seed), &mut fleet).await?;
    if report.findings.is_empty() {
        // The logs of a run that passed are of no use.
        let _ = std::fs::remove_dir_all(&directory);
    }
    Ok(report)
}

fn print_report(seed: u64, report: &RunReport) {
    let verdict = if report.findings.is_empty() { "passed" } else { "FAILED" };
    println!("seed {seed}: {verdict}; {}", report.summary);
    report.findings.iter().take(8).for_each(|finding| println!("    {finding}"));
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seeds = match selected_seeds(&arguments) {
        Ok(seeds) => seeds,
        Err(message) => {
            eprintln!("deployed: {message}");
            return ExitCode::from(2);
        }
    };
    let programs = match ProgramPaths::build() {
        Ok(programs) => programs,
        Err(error) => {
            eprintln!("deployed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let began = Instant::now();
    let runs = stream::iter(seeds).map(|seed| {
        let programs = programs.clone();
        async move { (seed, run_one(seed, &programs).await) }
    });
    let mut runs = runs.buffer_unordered(PARALLEL_RUNS);
    let (mut passed, mut failed) = (0, 0);
    while let Some((seed, outcome)) = runs.next().await {
        match outcome {
            Ok(report) => {
                print_report(seed, &report);
                match report.findings.is_empty() {
                    true => passed += 1,
                    false => failed += 1,
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed += 1;
            }
        }
    }
    println!("deployed {passed} passed, {failed} failed, {} s", began.elapsed().as_secs());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
