//! Runs the fault matrix over separate processes.
//!
//! ```text
//! cargo test -p proof --test matrix                    # the cells of CI
//! cargo test -p proof --test matrix -- whole           # every cell
//! cargo test -p proof --test matrix -- answer/kill ... # the named cells
//! ```

use std::{collections::BTreeSet, fs, path::Path, process::ExitCode};

use futures::{StreamExt, stream};
use proof::{
    binaries::ProgramPaths,
    matrix::{MatrixCell, all_cells, ci_cells},
    runner::{CellReport, CellResult, run_cell},
};

/// Cells that run at the same time.
const PARALLEL_CELLS: usize = 4;
/// Prefix of the lines of `KNOWN-RED.txt` that name a cell.
const KNOWN_PREFIX: &str = "matrix ";

/// Number of cells by result.
#[derive(Debug, Default)]
struct MatrixTally {
    passed: usize,
    failed: usize,
    not_run: usize,
    unlisted_failures: usize,
}

fn selected_cells(arguments: &[String]) -> Result<Vec<MatrixCell>, String> {
    let names = arguments.iter().filter(|name| !name.starts_with('-')).collect::<Vec<_>>();
    match names.as_slice() {
        [] => Ok(ci_cells()),
        [name] if name.as_str() == "whole" => Ok(all_cells()),
        names => names.iter().map(|name| name.parse().map_err(|_| (*name).clone())).collect(),
    }
}

/// Names of the cells listed in `KNOWN-RED.txt`; their failures do not fail the run.
fn known_failures() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let names = text.lines().filter_map(|line| line.strip_prefix(KNOWN_PREFIX));
    names.filter_map(|rest| rest.split([':', ' ']).next()).map(str::to_owned).collect()
}

fn print_report(report: &CellReport, is_known: bool) {
    let took = report.took.as_secs_f32();
    let cell = &report.cell;
    match &report.result {
        CellResult::Passed => println!("passed   {cell} ({took:.1} s)"),
        CellResult::NotRun(cause) => println!("not run  {cell}: {cause}"),
        CellResult::Failed(violations) => {
            let known = if is_known { ", listed in KNOWN-RED.txt" } else { "" };
            println!("failed   {cell} ({took:.1} s{known})");
            violations.iter().take(6).for_each(|violation| println!("    {violation}"));
            println!("    {} faults, logs in {:?}", violations.len(), report.logs);
        }
    }
}

impl MatrixTally {
    fn add(&mut self, report: &CellReport, known: &BTreeSet<String>) {
        let is_known = known.contains(&report.cell.to_string());
        print_report(report, is_known);
        match report.result {
            CellResult::Passed => self.passed += 1,
            CellResult::NotRun(_) => self.not_run += 1,
            CellResult::Failed(_) => {
                self.failed += 1;
                self.unlisted_failures += usize::from(!is_known);
            }
        }
    }

    fn exit_code(&self) -> ExitCode {
        match self.unlisted_failures + self.not_run {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let cells = match selected_cells(&arguments) {
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
    let logs_root = std::env::temp_dir().join(format!("fescuewalk-proof-{}", std::process::id()));
    let known = known_failures();
    let mut tally = MatrixTally::default();
    let runs = cells.iter().map(|cell| run_cell(&programs, &logs_root, cell));
    let mut reports = stream::iter(runs).buffer_unordered(PARALLEL_CELLS);
    while let Some(report) = reports.next().await {
        tally.add(&report, &known);
    }
    let MatrixTally { passed, failed, not_run, .. } = tally;
    println!("matrix {passed} passed, {failed} failed, {not_run} not run");
    tally.exit_code()
}
