//! Runs the fault matrix over separate processes.
//!
//! ```text
//! cargo test -p proof --test matrix                    # the fixed part, as in CI
//! cargo test -p proof --test matrix -- whole           # every cell
//! cargo test -p proof --test matrix -- answer/kill ... # these cells
//! ```

use std::{collections::BTreeSet, fs, path::Path, process::ExitCode};

use futures::{StreamExt, stream};
use proof::{
    binaries::ProgramPaths,
    matrix::{MatrixCell, fixed_part, whole},
    runner::{CellReport, CellVerdict, run_cell},
};

/// Cells that run at the same time.
const PARALLEL_CELLS: usize = 4;
/// Beginning of a line of `KNOWN-RED.txt` that names a cell.
const KNOWN_PREFIX: &str = "matrix ";

/// How many cells ended how.
#[derive(Debug, Default)]
struct MatrixTally {
    passed: usize,
    failed: usize,
    not_run: usize,
    unknown_failures: usize,
}

fn wanted_cells(arguments: &[String]) -> Result<Vec<MatrixCell>, String> {
    let names = arguments.iter().filter(|name| !name.starts_with('-')).collect::<Vec<_>>();
    match names.as_slice() {
        [] => Ok(fixed_part()),
        [name] if name.as_str() == "whole" => Ok(whole()),
        names => names.iter().map(|name| name.parse().map_err(|_| (*name).clone())).collect(),
    }
}

/// Cells that `KNOWN-RED.txt` lists.
fn known_red() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let names = text.lines().filter_map(|line| line.strip_prefix(KNOWN_PREFIX));
    names.filter_map(|rest| rest.split([':', ' ']).next()).map(str::to_owned).collect()
}

fn print_report(report: &CellReport, is_known: bool) {
    let took = report.took.as_secs_f32();
    let cell = &report.cell;
    match &report.verdict {
        CellVerdict::Passed => println!("passed   {cell} ({took:.1} s)"),
        CellVerdict::NotRun(cause) => println!("not run  {cell}: {cause}"),
        CellVerdict::Failed(broken) => {
            let known = if is_known { ", listed in KNOWN-RED.txt" } else { "" };
            println!("failed   {cell} ({took:.1} s{known})");
            broken.iter().take(6).for_each(|promise| println!("    {promise}"));
            println!("    {} faults, logs in {:?}", broken.len(), report.logs);
        }
    }
}

impl MatrixTally {
    fn add(&mut self, report: &CellReport, known: &BTreeSet<String>) {
        let is_known = known.contains(&report.cell.to_string());
        print_report(report, is_known);
        match report.verdict {
            CellVerdict::Passed => self.passed += 1,
            CellVerdict::NotRun(_) => self.not_run += 1,
            CellVerdict::Failed(_) => {
                self.failed += 1;
                self.unknown_failures += usize::from(!is_known);
            }
        }
    }

    fn exit_code(&self) -> ExitCode {
        match self.unknown_failures + self.not_run {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let cells = match wanted_cells(&arguments) {
        Ok(cells) => cells,
        Err(name) => {
            eprintln!("{name:?} is neither `whole` nor a cell such as answer/kill");
            return ExitCode::FAILURE;
        }
    };
    let programs = match ProgramPaths::build() {
        Ok(programs) => programs,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let home = std::env::temp_dir().join(format!("fescuewalk-proof-{}", std::process::id()));
    let known = known_red();
    let mut tally = MatrixTally::default();
    let runs = cells.iter().map(|cell| run_cell(&programs, &home, cell));
    let mut reports = stream::iter(runs).buffer_unordered(PARALLEL_CELLS);
    while let Some(report) = reports.next().await {
        tally.add(&report, &known);
    }
    let MatrixTally { passed, failed, not_run, .. } = tally;
    println!("matrix {passed} passed, {failed} failed, {not_run} not run");
    tally.exit_code()
}
