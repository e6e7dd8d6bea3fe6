//! The documented table of result codes agrees with the code.

use base::prelude::*;

const PAGE: &str = include_str!("../../../docs/CODES.md");

fn row(code: ResultCode) -> String {
    let state = match code {
        ResultCode::Success => String::new(),
        _ => code.run_state().to_string(),
    };
    format!("| {} | {} | {state} | {} |", code.number(), code.http_status(), code.text())
}

#[test]
fn page_lists_every_code() {
    let rows: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| ")).skip(1).collect();

    let expected: Vec<String> = ResultCode::ALL.iter().map(|code| row(*code)).collect();

    assert_eq!(rows, expected);
}
