//! Runs a whole fleet of cvtl-lending as plain processes through a day's length of troubles and a loss of
//! all VMs, each process with the processor share and the memory of its VM.
//!
//! ```text
//! cargo test -p soak --test days                             # the short part, as in CI
//! cargo test -p soak --test days -- --seeds 1-50             # seeds 1 to 50
//! cargo test --release -p soak --test days -- --seeds 1-50   # the same with release programs
//! ```

mod support;

use std::process::ExitCode;

use proof::binaries::ProgramPaths;
use soak::deployed::{
    DeployedFleet, LENDING_SIZE, LinkKind, day::run_day, day_plan::DayPlan, run::RunReport,
};
use support::{SeedRun, run_seeds};

/// Seeds of the short part.
const SHORT_SEEDS: [u64; 1] = [1];
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 4;
/// First of the networks 127.N.0.0/16 of the runs.
const FIRST_NETWORK: u64 = 202;

async fn run_one(run: SeedRun, programs: ProgramPaths) -> std::io::Result<RunReport> {
    let network = (FIRST_NETWORK + run.seed % 50) as u8;
    let fleet = DeployedFleet::with_links(
        LENDING_SIZE,
        &programs,
        &run.directory,
        network,
        LinkKind::Relayed,
    )
    .await?;
    run_day(&DayPlan::from_seed(run.seed), fleet).await
}

#[tokio::main]
async fn main() -> ExitCode {
    run_seeds("days", &SHORT_SEEDS, PARALLEL_RUNS, run_one).await
}
