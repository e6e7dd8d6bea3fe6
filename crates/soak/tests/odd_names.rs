//! Runs a whole fleet of cvtl-lending as plain processes beside objects of another writer whose names,
//! contents and sizes are odd, through starts, a restart and a loss of power.
//!
//! ```text
//! cargo test -p soak --test odd_names                       # the short part, as in CI
//! cargo test -p soak --test odd_names -- --seeds 1-20       # seeds 1 to 20
//! ```

mod support;

use std::process::ExitCode;

use proof::binaries::ProgramPaths;
use soak::{
    deployed::{DeployedFleet, LENDING_SIZE, run::RunReport},
    odd_names::{plan::OddNamesPlan, run_plan},
};
use support::{SeedRun, run_seeds};

/// Seeds of the short part.
const SHORT_SEEDS: [u64; 2] = [1, 2];
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 2;
/// First of the networks 127.N.0.0/16 of the runs.
const FIRST_NETWORK: u64 = 170;
/// Number of these networks.
const NETWORKS: u64 = 10;

async fn run_one(run: SeedRun, programs: ProgramPaths) -> std::io::Result<RunReport> {
    let network = (FIRST_NETWORK + run.seed % NETWORKS) as u8;
    let mut fleet = DeployedFleet::new(LENDING_SIZE, &programs, &run.directory, network).await?;
    run_plan(&OddNamesPlan::from_seed(run.seed), &mut fleet).await
}

#[tokio::main]
async fn main() -> ExitCode {
    run_seeds("odd_names", &SHORT_SEEDS, PARALLEL_RUNS, run_one).await
}
