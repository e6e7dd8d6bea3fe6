//! `fescuewalk check`.

mod support;

use support::{
    WorkDir,
    platform::{PLANS, RIGHTS, stderr, stdout},
    run,
};

fn check(plans: &str, rights: &str) -> std::process::Output {
    let dir = WorkDir::new("check");
    let plans = dir.write("plans.ini", plans);
    let rights = dir.write("rights.ini", rights);
    run(&["check", plans.to_str().unwrap(), rights.to_str().unwrap()])
}

#[test]
fn accepts_valid_lists() {
    let output = check(PLANS, RIGHTS);

    assert!(output.status.success());
    assert!(stdout(&output).starts_with("4 sections, no faults"));
}

#[test]
fn fault_is_reported_with_line_section_and_key() {
    let output = check(&PLANS.replace("field", "lost"), &RIGHTS.replace("14GiB", "14GB"));

    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("rights.ini:12: [model summary] memory"));
}
