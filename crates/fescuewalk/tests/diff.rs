//! `fescuewalk diff`.

mod support;

use support::desk::{Desk, PLANS, RIGHTS, stdout};

#[test]
fn a_diff_says_what_changes_for_whom() {
    let desk = Desk::new("diff");
    desk.apply("0", PLANS, RIGHTS);

    let output = desk.run(&["diff"], PLANS, &RIGHTS.replace("replicas = 2", "replicas = 5"));

    let text = stdout(&output);
    assert!(text.contains("against version 1"), "{text}");
    let line = "[model summary] changed; replicas: \"2\" -> \"5\"; for crew";
    assert!(text.contains(line), "{text}");
}

#[test]
fn equal_lists_change_nothing() {
    let desk = Desk::new("diff");
    desk.apply("0", PLANS, RIGHTS);

    let output = desk.run(&["diff"], PLANS, RIGHTS);

    assert!(stdout(&output).contains("nothing changes"));
}
