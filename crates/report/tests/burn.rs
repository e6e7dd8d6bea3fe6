//! Burn rates by window and cause, restarts of entries, settings, and parsing of scrape logs.

use base::prelude::*;
use lists::{ListSet, check_lists};
use report::{
    BurnSettings, ScrapeLog, burn::BurnAlert, burn_report, html::burn_page, outcome::MissCause,
    scrape::scrape_block,
};

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_796_000_000_000;

fn lists() -> ListSet {
    let plans = format!(
        "[customer crew]\nplan = field\nkey-hash = {}\nhome-region = r\n",
        KeyHash::of_key("k")
    );
    let rights = "[plan field]\npriority = 1\nshare = 1\nshort-availability = 99%\n\
        short-latency = 1s\n";
    ListSet::from_image(ListVersion(3), &check_lists(&plans, rights).unwrap()).unwrap()
}

/// Metrics of an entry with `good` complete answers, `full` refusals by a full queue, and `cold`
/// late answers after a cold start.
fn metrics(good: u32, full: u32, cold: u32) -> String {
    format!(
        "# HELP fescuewalk_requests_total Requests by result code.\n\
         # TYPE fescuewalk_requests_total counter\n\
         fescuewalk_requests_total{{customer=\"crew\",class=\"short\",code=\"0\"}} {good}\n\
         fescuewalk_requests_total{{customer=\"crew\",class=\"short\",code=\"1007\"}} {full}\n\
         fescuewalk_requests_total{{customer=\"crew\",class=\"short\",code=\"1005\"}} 77\n\
         # TYPE fescuewalk_slow_total counter\n\
         fescuewalk_slow_total{{customer=\"crew\",class=\"short\",cause=\"cold-start\"}} {cold}\n\
         # TYPE fescuewalk_first_byte_seconds histogram\n\
         fescuewalk_first_byte_seconds_bucket{{customer=\"crew\",class=\"short\",le=\"+Inf\"}} {good}\n\
         fescuewalk_first_byte_seconds_sum{{customer=\"crew\",class=\"short\"}} {good}\n\
         fescuewalk_first_byte_seconds_count{{customer=\"crew\",class=\"short\"}} {good}\n"
    )
}

fn log(blocks: &[(&str, u64, String)]) -> ScrapeLog {
    let blocks = blocks.iter().map(|(entry, millis, text)| scrape_block(entry, *millis, text));
    ScrapeLog::parse(&blocks.collect::<String>()).unwrap()
}

#[test]
fn burn_is_the_miss_share_over_the_error_budget() {
    let log = log(&[
        ("a", NOW_MS - HOUR_MS / 2, metrics(1_000, 10, 0)),
        ("a", NOW_MS, metrics(1_950, 30, 30)),
    ]);

    let report = burn_report(&log, &lists(), &BurnSettings::default());

    let line = &report.lines[0];
    let hour = &line.windows[1];
    assert_eq!((hour.counts.requests, hour.counts.refused), (970.0, 20.0));
    assert!((hour.burn - 50.0 / 970.0 / 0.01).abs() < 1e-9);
    assert!((hour.counts.cause_share(MissCause::Queue) - 0.4).abs() < 1e-9);
    assert!((hour.counts.cause_share(MissCause::ColdStart) - 0.6).abs() < 1e-9);
    assert!((hour.counts.mean_seconds() - 1.0).abs() < 1e-9);
}

#[test]
fn counters_add_up_across_entries_and_restarts() {
    let log = log(&[
        ("a", NOW_MS - 2_000, metrics(100, 0, 0)),
        ("b", NOW_MS - 1_900, metrics(500, 5, 0)),
        ("a", NOW_MS - 1_000, metrics(150, 0, 0)),
        ("b", NOW_MS - 900, metrics(20, 1, 0)),
        ("a", NOW_MS, metrics(160, 0, 0)),
    ]);

    let report = burn_report(&log, &lists(), &BurnSettings::default());

    let counts = &report.lines[0].windows[0].counts;
    assert_eq!((counts.requests, counts.refused), (81.0, 1.0));
    assert_eq!(report.entries, 2);
}

#[test]
fn alert_needs_both_windows() {
    let settings = BurnSettings::parse("burn.ini", "[page]\nthreshold = 10\n").unwrap();
    let burning = [("a", NOW_MS - 200_000, metrics(0, 0, 0)), ("a", NOW_MS, metrics(100, 50, 0))];
    let recovered = [
        ("a", NOW_MS - HOUR_MS / 2, metrics(0, 0, 0)),
        ("a", NOW_MS - HOUR_MS / 3, metrics(100, 50, 0)),
        ("a", NOW_MS - 200_000, metrics(100, 50, 0)),
        ("a", NOW_MS, metrics(200, 50, 0)),
    ];

    let alert = |blocks: &[_]| burn_report(&log(blocks), &lists(), &settings).lines[0].alert;

    assert_eq!(alert(&burning), BurnAlert::Page);
    assert_ne!(alert(&recovered), BurnAlert::Page);
}

#[test]
fn page_has_no_external_resources() {
    let log = log(&[("a", NOW_MS - HOUR_MS, metrics(0, 0, 0)), ("a", NOW_MS, metrics(90, 9, 1))]);
    let report = burn_report(&log, &lists(), &BurnSettings::default());

    let page = burn_page(&report).unwrap();

    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("crew/short"));
    assert!(!page.contains("src=") && !page.contains("href="));
}

#[test]
fn settings_fault_names_its_key() {
    let faults = BurnSettings::parse("burn.ini", "[burn]\nwindows = 5min, soon\n").unwrap_err();

    assert_eq!(faults.faults[0].key, "windows");
}

#[test]
fn arbitrary_log_never_panics() {
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::deterministic();
    let line = "(# fescuewalk scrape [a-z]{0,2} ?[0-9]{0,22}|# TYPE [a-z]{1,3} [a-z]{3,9}|\
        fescuewalk_(requests|slow)_total\\{(customer|class|code)=\"[a-z0-9]{0,5}\"\\} .{0,5}|.{0,12})";
    let text = proptest::collection::vec(line, 0..12);

    runner
        .run(&text, |lines| {
            let _ = ScrapeLog::parse(&lines.join("\n"));
            Ok(())
        })
        .unwrap();
}
