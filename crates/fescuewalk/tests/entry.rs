//! Checks of the settings by `fescuewalk entry`.

mod support;

use support::{WorkDir, run};

const VALID_SETTINGS: &str = "
[log]
level = info
format = json
[process]
vm = entry-0
zone = cz-central-1
region = cz-central
secret = test-secret
peer-address = 127.0.0.1:0
http-address = 127.0.0.1:0
[platform]
address = 127.0.0.1:9
reads = 20/s
";

fn check(text: &str) -> std::process::Output {
    let dir = WorkDir::new("entry");
    let path = dir.write("entry.ini", text);
    run(&["entry", "--check", path.to_str().unwrap()])
}

#[test]
fn accepts_valid_settings() {
    let output = check(VALID_SETTINGS);

    assert!(output.status.success());
}

#[test]
fn invalid_settings_exit_with_code_3() {
    let text = VALID_SETTINGS.replace("20/s", "20") + "[limits]\nbody = 4MB\n[limit]\n";

    let output = check(&text);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(errors.contains("[platform] reads: a rate such as 4.5/s"), "{errors}");
    assert!(errors.contains("[limits] body: a size such as 4MiB"), "{errors}");
    assert!(errors.contains("[limit] : no such section here"), "{errors}");
}

#[test]
fn missing_file_is_named() {
    let output = run(&["entry", "no-such-file.ini"]);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(errors.contains("no-such-file.ini"), "{errors}");
}

#[test]
fn accepts_settings_of_both_examples() {
    for deployment in ["slatina", "toy-desk"] {
        let path = format!("{}/../../examples/{deployment}/entry.ini", env!("CARGO_MANIFEST_DIR"));

        let output = run(&["entry", "--check", &path]);

        assert!(output.status.success(), "{output:?}");
    }
}
