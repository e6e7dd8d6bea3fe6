//! Checks of the settings by `fescuewalk-side`.

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

const VALID_SETTINGS: &str = "
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
fn accepts_valid_settings() {
    let (success, errors) = check("good", VALID_SETTINGS);

    assert!(success, "{errors}");
}

#[test]
fn faults_are_listed_with_line_section_and_key() {
    let text = VALID_SETTINGS
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
fn accepts_settings_of_both_examples() {
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
