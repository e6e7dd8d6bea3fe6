//! Checks of the settings by `fescuewalk-side agent`.

use std::{fs, path::Path, process::Command};

fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&path, text).expect("the directory for test files is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_fescuewalk-side"))
        .args(["agent", "--check"])
        .arg(&path)
        .output()
        .expect("the program starts");
    (output.status.code(), String::from_utf8(output.stderr).expect("errors are text"))
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read_to_string(path).expect("the example is there")
}

#[test]
fn accepts_example_settings() {
    for name in ["slatina/agent.ini", "toy-desk/agent.ini"] {
        let (code, errors) = check("agent-good", &example(name));

        assert_eq!(code, Some(0), "{name}: {errors}");
    }
}

#[test]
fn faults_are_listed_with_line_and_key() {
    let text = example("slatina/agent.ini").replace("service = rosnatka", "servise = rosnatka");

    let (code, errors) = check("agent-bad", &text);

    assert_eq!(code, Some(3));
    assert!(errors.contains("agent-bad.ini:7: [engine] servise: no such key here"), "{errors}");
    assert!(errors.contains("[engine] service"), "{errors}");
}
