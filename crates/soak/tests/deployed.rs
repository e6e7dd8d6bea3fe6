//! Runs a whole fleet of cvtl-lending as plain processes, from its templates, through starts, losses
//! of power and returns.
//!
//! ```text
//! cargo test -p soak --test deployed                        # the short part, as in CI
//! cargo test -p soak --test deployed -- --seeds 1-50        # seeds 1 to 50
//! ```

mod support;

use std::process::ExitCode;

use proof::binaries::ProgramPaths;
use soak::deployed::{
    DeployedFleet, LENDING_SIZE,
    plan::DeploymentPlan,
    run::{RunReport, run_plan},
};
use support::{SeedRun, run_seeds};

/// Seeds of the short part.
const SHORT_SEEDS: [u64; 2] = [1, 2];
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 2;
/// First of the networks 127.N.0.0/16 of the runs.
const FIRST_NETWORK: u64 = 100;

async fn run_one(run: SeedRun, programs: ProgramPaths) -> std::io::Result<RunReport> {
    let network = (FIRST_NETWORK + run.seed % 70) as u8;
    let mut fleet = DeployedFleet::new(LENDING_SIZE, &programs, &run.directory, network).await?;
    run_plan(&DeploymentPlan::from_seed(run.seed), &mut fleet).await
}

#[tokio::main]
async fn main() -> ExitCode {
    run_seeds("deployed", &SHORT_SEEDS, PARALLEL_RUNS, run_one).await
}
