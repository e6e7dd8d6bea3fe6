//! `fescuewalk burn`.

mod support;

use support::{
    platform::{PLANS, PlatformFixture, RIGHTS, stderr, stdout},
    run,
};

const LOG: &str = "# fescuewalk scrape 127.0.0.1:1 1796000000000\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"0\"} 100\n\
    # fescuewalk scrape 127.0.0.1:1 1796000060000\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"0\"} 180\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"1014\"} 20\n";

#[test]
fn report_shows_burn_rate_and_causes() {
    let fixture = PlatformFixture::new("burn");
    fixture.apply("0", PLANS, RIGHTS);
    let log = fixture.write("scrapes.log", LOG);
    let html = fixture.path("burn.html");
    let platform = fixture.platform_address();

    let output = run(&[
        "burn",
        "--platform",
        &platform,
        "--log",
        log.to_str().unwrap(),
        "--html",
        html.to_str().unwrap(),
    ]);

    let text = stdout(&output);
    let line = "5 min: burn 20.00, 20 of 100 requests missed, store outage 100%";
    assert!(text.contains(line), "{text} {}", stderr(&output));
    assert!(text.contains("alert page"), "{text}");
    assert!(std::fs::read_to_string(html).unwrap().contains("<svg"));
}

#[test]
fn malformed_log_header_is_reported() {
    let fixture = PlatformFixture::new("burn");
    let log = fixture.write("scrapes.log", "# fescuewalk scrape nowhere\n");
    let platform = fixture.platform_address();

    let output = run(&["burn", "--platform", &platform, "--log", log.to_str().unwrap()]);

    assert!(!output.status.success());
    assert!(stderr(&output).contains("is not a header"), "{}", stderr(&output));
}
