//! `fescuewalk entry --check`.

mod support;

use support::{WorkDir, run};

const GOOD: &str = "
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
fn good_settings_have_no_faults() {
    let output = check(GOOD);

    assert!(output.status.success());
}

#[test]
fn faults_end_with_their_own_exit_code() {
    let text = GOOD.replace("20/s", "20") + "[limits]\nbody = 4MB\n[limit]\n";

    let output = check(&text);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(errors.contains("[platform] reads: a rate such as 4.5/s"), "{errors}");
    assert!(errors.contains("[limits] body: a size such as 4MiB"), "{errors}");
    assert!(errors.contains("[limit] : no such section here"), "{errors}");
}

#[test]
fn a_missing_file_is_named() {
    let output = run(&["entry", "no-such-file.ini"]);

    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(errors.contains("no-such-file.ini"), "{errors}");
}

#[test]
fn the_settings_of_both_examples_have_no_faults() {
    for deployment in ["slatina", "toy-desk"] {
        let path = format!("{}/../../examples/{deployment}/entry.ini", env!("CARGO_MANIFEST_DIR"));

        let output = run(&["entry", "--check", &path]);

        assert!(output.status.success(), "{output:?}");
    }
}
