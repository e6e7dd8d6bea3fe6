//! Command line of the tests that run fleets from seeds.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use base::prelude::*;
use futures::{StreamExt, stream};
use proof::binaries::ProgramPaths;
use soak::deployed::run::RunReport;

/// Option that keeps the logs of runs that passed.
const KEEP_OPTION: &str = "--keep";

/// A run of one seed.
pub struct SeedRun {
    /// The seed.
    pub seed: u64,
    /// Where its settings and logs are; kept if the run fails, or with `--keep`.
    pub directory: PathBuf,
}

fn selected_seeds(arguments: &[String], short: &[u64]) -> Result<Vec<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is not a number"));
    match arguments {
        [] => Ok(short.to_vec()),
        [option, value, ..] if option == "--seeds" && has_only_keep(&arguments[2..]) => {
            let (first, last) = value.split_once('-').unwrap_or((value, value));
            Ok((number(first)?..=number(last)?).collect())
        }
        _ => Err("expected no arguments or --seeds FIRST-LAST [--keep]".to_owned()),
    }
}

fn has_only_keep(rest: &[String]) -> bool {
    rest.is_empty() || rest == [KEEP_OPTION]
}

fn print_report(run: &SeedRun, report: &RunReport, is_kept: bool) {
    let seed = run.seed;
    if report.findings.is_empty() {
        println!("seed {seed}: passed; {}", report.summary);
        if !is_kept {
            // The logs of a run that passed are of no use.
            let _ = std::fs::remove_dir_all(&run.directory);
        }
        return;
    }
    println!("seed {seed}: FAILED; {}; logs in {}", report.summary, run.directory.display());
    report.findings.iter().take(8).for_each(|finding| println!("    {finding}"));
}

/// Runs the seeds that the arguments of test `name` select, `parallel` at a time.
pub async fn run_seeds<F>(
    name: &str,
    short: &[u64],
    parallel: usize,
    run_one: impl Fn(SeedRun, ProgramPaths) -> F,
) -> ExitCode
where
    F: Future<Output = std::io::Result<RunReport>>,
{
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seeds = match selected_seeds(&arguments, short) {
        Ok(seeds) => seeds,
        Err(message) => {
            eprintln!("{name}: {message}");
            return ExitCode::from(2);
        }
    };
    let is_kept = arguments.iter().any(|argument| argument == KEEP_OPTION);
    let programs = match ProgramPaths::build() {
        Ok(programs) => programs,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let began = Instant::now();
    let runs = stream::iter(seeds).map(|seed| {
        let run = |seed| SeedRun {
            seed,
            directory: Path::new(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("{name}-{seed}-{}", std::process::id())),
        };
        let outcome = run_one(run(seed), programs.clone());
        async move { (run(seed), outcome.await) }
    });
    let mut runs = runs.buffer_unordered(parallel);
    let (mut passed, mut failed) = (0, 0);
    while let Some((run, outcome)) = runs.next().await {
        match outcome {
            Ok(report) => {
                print_report(&run, &report, is_kept);
                match report.findings.is_empty() {
                    true => passed += 1,
                    false => failed += 1,
                }
            }
            Err(error) => {
                println!("seed {}: not run: {error}", run.seed);
                failed += 1;
            }
        }
    }
    println!("{name} {passed} passed, {failed} failed, {} s", began.elapsed().as_secs());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
