//! `fescuewalk burn`.

mod support;

use support::{
    desk::{Desk, PLANS, RIGHTS, stderr, stdout},
    run,
};

const LOG: &str = "# fescuewalk scrape 127.0.0.1:1 1796000000000\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"0\"} 100\n\
    # fescuewalk scrape 127.0.0.1:1 1796000060000\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"0\"} 180\n\
    fescuewalk_requests_total{customer=\"crew\",class=\"short\",code=\"1014\"} 20\n";

#[test]
fn the_report_names_burn_and_causes() {
    let desk = Desk::new("burn");
    desk.apply("0", PLANS, RIGHTS);
    let log = desk.write("scrapes.log", LOG);
    let html = desk.path("burn.html");
    let platform = desk.platform();

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
fn a_malformed_log_is_named() {
    let desk = Desk::new("burn");
    let log = desk.write("scrapes.log", "# fescuewalk scrape nowhere\n");
    let platform = desk.platform();

    let output = run(&["burn", "--platform", &platform, "--log", log.to_str().unwrap()]);

    assert!(!output.status.success());
    assert!(stderr(&output).contains("is not a header"), "{}", stderr(&output));
}
