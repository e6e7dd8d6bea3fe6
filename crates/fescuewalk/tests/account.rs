//! `fescuewalk account`.

mod support;

use support::{
    platform::{PLANS, PlatformFixture, RIGHTS, stderr, stdout},
    run,
};

#[test]
fn accepted_edits_appear_in_text_json_and_html() {
    let fixture = PlatformFixture::new("account");
    fixture.apply("0", PLANS, RIGHTS);
    fixture.apply("1", PLANS, &RIGHTS.replace("share = 30", "share = 45"));
    let (json, html) = (fixture.path("account.json"), fixture.path("account.html"));
    let (json_arg, html_arg) = (json.to_str().unwrap(), html.to_str().unwrap());
    let platform = fixture.platform_address();

    let output = run(&[
        "account",
        "--platform",
        &platform,
        "--after",
        "1",
        "--json",
        json_arg,
        "--html",
        html_arg,
    ]);

    let text = stdout(&output);
    assert!(text.contains("version 2 by jana"), "{text} {}", stderr(&output));
    assert!(text.contains("share: \"30\" -> \"45\"; for crew"), "{text}");
    let json: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    assert_eq!(json["edits"][0]["operator"], "jana");
    assert!(std::fs::read_to_string(html).unwrap().contains("Version 2 by jana"));
}
