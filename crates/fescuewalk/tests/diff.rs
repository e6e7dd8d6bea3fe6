//! `fescuewalk diff`.

mod support;

use support::platform::{PLANS, PlatformFixture, RIGHTS, stdout};

#[test]
fn diff_shows_changes_and_affected_customers() {
    let fixture = PlatformFixture::new("diff");
    fixture.apply("0", PLANS, RIGHTS);

    let output = fixture.run(&["diff"], PLANS, &RIGHTS.replace("replicas = 2", "replicas = 5"));

    let text = stdout(&output);
    assert!(text.contains("against version 1"), "{text}");
    let line = "[model summary] changed; replicas: \"2\" -> \"5\"; for crew";
    assert!(text.contains(line), "{text}");
}

#[test]
fn equal_lists_show_no_change() {
    let fixture = PlatformFixture::new("diff");
    fixture.apply("0", PLANS, RIGHTS);

    let output = fixture.run(&["diff"], PLANS, RIGHTS);

    assert!(stdout(&output).contains("nothing changes"));
}
