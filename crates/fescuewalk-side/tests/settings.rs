//! Settings of the side process are checked whole at the start.

use std::{fs, path::Path, process::Command};

fn check(name: &str, text: &str) -> (bool, String) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fescuewalk-side"))
        .arg("--check")
        .arg(&path)
        .output()
        .unwrap();
    (output.status.success(), String::from_utf8(output.stderr).unwrap())
}

const GOOD: &str = "
[process]
vm = rosnatka-0
zone = cz-central-1
region = cz-central
secret = test-secret
peer-address = 127.0.0.1:0
http-address = 127.0.0.1:0
[backend]
kind = engine
service = rosnatka
address = 127.0.0.1:9
memory = 80GiB
checks-fencing = yes
[platform]
address = 127.0.0.1:9
";

#[test]
fn good_settings_have_no_faults() {
    let (success, errors) = check("good", GOOD);

    assert!(success, "{errors}");
}

#[test]
fn all_faults_are_listed_with_line_section_and_key() {
    let text = GOOD
        .replace("80GiB", "80GB")
        .replace("zone = cz-central-1\n", "")
        .replace("checks-fencing = yes", "checks-fences = yes");

    let (success, errors) = check("bad", &text);

    assert!(!success);
    assert!(errors.contains("[process] zone"), "{errors}");
    assert!(errors.contains(":12: [backend] memory: a size such as 80GiB"), "{errors}");
    assert!(errors.contains(":13: [backend] checks-fences: no such key here"), "{errors}");
}

#[test]
fn the_settings_of_both_examples_have_no_faults() {
    let names = [
        "slatina/side-rosnatka",
        "slatina/side-vrbovka",
        "toy-desk/side-lending-assistant",
        "toy-desk/side-circulation-desk",
    ];
    for name in names {
        let path = format!("{}/../../examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));

        let (success, errors) = check("example", &fs::read_to_string(path).unwrap());

        assert!(success, "{name}: {errors}");
    }
}
