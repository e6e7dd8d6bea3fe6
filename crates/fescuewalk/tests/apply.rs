//! `fescuewalk apply`.

mod support;

use support::platform::{PLANS, PlatformFixture, RIGHTS, stderr, stdout};

fn with_share(share: u32) -> String {
    RIGHTS.replace("share = 30", &format!("share = {share}"))
}

#[test]
fn edit_is_accepted_at_the_version_read() {
    let fixture = PlatformFixture::new("apply");

    let first = fixture.apply("0", PLANS, RIGHTS);
    let second = fixture.apply("1", PLANS, &with_share(31));

    assert!(stdout(&first).contains("version 1 accepted"), "{}", stderr(&first));
    assert!(stdout(&second).contains("version 2 accepted, 1 sections"));
}

#[test]
fn edit_at_outdated_version_is_refused_with_both_diffs() {
    let fixture = PlatformFixture::new("apply");
    fixture.apply("0", PLANS, RIGHTS);
    fixture.apply("1", PLANS, &with_share(31));

    let output = fixture.apply("1", PLANS, &with_share(32));

    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(1));
    let (theirs, ours) = text.split_once("# ours").unwrap();
    assert!(theirs.contains("share = 31"), "{text}");
    assert!(ours.contains("share = 32"), "{text}");
}

#[test]
fn dry_run_changes_nothing() {
    let fixture = PlatformFixture::new("apply");
    fixture.apply("0", PLANS, RIGHTS);
    let args = ["apply", "--dry-run", "--read-at", "1", "--operator", "jana"];

    let output = fixture.run(&args, PLANS, &with_share(60));
    let again = fixture.run(&["diff"], PLANS, RIGHTS);

    assert!(stdout(&output).contains("share: \"30\" -> \"60\""), "{}", stderr(&output));
    assert!(stdout(&again).contains("against version 1\nnothing changes"));
}

#[test]
fn faults_give_exit_code_3_and_location() {
    let fixture = PlatformFixture::new("apply");

    let output = fixture.apply("0", PLANS, &RIGHTS.replace("share = 30", "share = 0"));

    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("rights.ini:3: [plan field] share"));
}
