//! `fescuewalk gateway` and `fescuewalk explain` on the command line.

mod support;

use std::path::Path;

use rstest::rstest;
use support::{
    WorkDir,
    platform::{stderr, stdout},
    run,
};

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    std::fs::read_to_string(path).expect("the example is there")
}

fn check(text: &str) -> std::process::Output {
    let dir = WorkDir::new("gateway");
    let path = dir.write("gateway.ini", text);
    run(&["gateway", "--check", path.to_str().expect("a path of this test")])
}

#[rstest]
#[case("slatina/gateway.ini")]
#[case("toy-desk/gateway.ini")]
fn accepts_example_settings(#[case] name: &str) {
    let output = check(&example(name));

    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn faults_are_listed_with_line_and_key() {
    let text = example("slatina/gateway.ini")
        .replace("grace = 8s", "grace = soon")
        .replace("ready = 10.1.0.38:8141\n", "");

    let output = check(&text);

    assert_eq!(output.status.code(), Some(3));
    let errors = stderr(&output);
    assert!(errors.contains("gateway.ini:7: [listen] ready"), "{errors}");
    assert!(errors.contains("[limits] grace"), "{errors}");
}

/// Guards against a process that cannot start because the platform states a figure with a fraction.
#[test]
fn figures_with_a_fraction_are_accepted() {
    let text = example("slatina/gateway.ini")
        .replace("2000ms, 2000ms", "2000.0ms, 1500.5ms")
        .replace("repeat-allowance = 52", "repeat-allowance = 52.5")
        .replace("repeat-window = 10s", "repeat-window = 7.5s\nmemory = 260.5MiB")
        .replace("grace = 8s", "grace = 8.5s\ndescriptors = 4100.0");

    let output = check(&text);

    assert!(output.status.success(), "{}", stderr(&output));
}

/// Guards against a process that cannot start where the platform states no such limits; a template
/// then leaves values empty or lines out.
#[rstest]
#[case::empty("known-within = \n[limits]\nrepeat-ratio = \nrepeat-allowance = \ndescriptors = \n")]
#[case::left_out("known-within = , \n[limits]\n")]
fn limits_that_are_not_stated_have_defaults(#[case] rest: &str) {
    let text = example("slatina/gateway.ini");
    let (stated, _) = text.split_once("; the shortest").expect("the example has this comment");

    let output = check(&format!("{stated}{rest}"));

    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn missing_settings_argument_is_a_usage_error() {
    let output = run(&["gateway", "--check"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("FESCUEWALK_SETTINGS"));
}

const LOG: &str = r#"{"at_ms":2000,"vm":"entry-1","n":4,"event":"call-received","call":"c-1","target":null}
{"at_ms":2009,"vm":"entry-1","n":5,"event":"call-refused","call":"c-1","code":1011,"status":503,"held_ms":9,"reason":"no backend server can be reached"}
{"at_ms":2010,"vm":"ent"#;

#[test]
fn explains_request_from_its_log() {
    let dir = WorkDir::new("explain");
    let log = dir.write("entry-1.log", LOG);
    let log = log.to_str().expect("a path of this test");

    let found = run(&["explain", "c-1", log]);
    let missing = run(&["explain", "c-2", log]);

    assert!(found.status.success());
    let text = stdout(&found);
    assert!(text.starts_with("request c-1: refused with code 1011 after 9 ms"), "{text}");
    assert!(stderr(&found).contains("1 torn lines"), "{}", stderr(&found));
    assert_eq!(missing.status.code(), Some(1));
}
