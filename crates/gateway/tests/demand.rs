//! Demand reports from an entry to the planner.

use std::collections::BTreeMap;

use base::prelude::*;
use dispatch::ModelUsage;
use gateway::demand::DemandReporter;
use peers::PlannerIdentity;
use residency::DemandRow;

fn planner(incarnation: u64) -> Option<PlannerIdentity> {
    let address = "10.0.0.1:7380".parse().expect("an address");
    Some(PlannerIdentity { address, incarnation: ProcessIncarnation(incarnation) })
}

fn arrivals(counts: &[(String, u64)]) -> BTreeMap<ModelId, ModelUsage> {
    let usage = |arrivals| ModelUsage { arrivals, ..ModelUsage::default() };
    let model = |name: &str| name.parse().expect("a valid name");
    counts.iter().map(|(name, count)| (model(name), usage(*count))).collect()
}

fn reporter() -> DemandReporter {
    DemandReporter::new("entry-1".parse().expect("a valid name"))
}

fn names(rows: &[DemandRow]) -> Vec<String> {
    rows.iter().filter_map(|row| Some(row.model.as_ref()?.to_string())).collect()
}

#[test]
fn report_holds_only_changes() {
    let now = Instant::now();
    let mut reporter = reporter();
    let (before, after) = ([("a".to_owned(), 3), ("b".to_owned(), 1)], [("b".to_owned(), 2)]);

    let first = reporter.rows(arrivals(&before), planner(1), now);
    let same = reporter.rows(arrivals(&before), planner(1), now);
    let changed = reporter.rows(arrivals(&after), planner(1), now);

    assert_eq!(first.map(|rows| names(&rows)), Some(vec!["a".to_owned(), "b".to_owned()]));
    assert_eq!(same, None);
    assert_eq!(changed.map(|rows| names(&rows)), Some(vec!["b".to_owned()]));
}

#[test]
fn restarted_planner_gets_past_rates() {
    let start = Instant::now();
    let mut reporter = reporter();
    for second in 0..10 {
        let counts = [("a".to_owned(), 1 + 6 * second)];
        reporter.rows(arrivals(&counts), planner(1), start + Duration::from_secs(second));
    }
    let counts = [("a".to_owned(), 55)];

    let report = reporter.rows(arrivals(&counts), planner(2), start + Duration::from_secs(10));

    let past_rates = report.and_then(|rows| rows[0].past_rates).expect("past rates of the model");
    assert!((4.0..7.0).contains(&past_rates.recent.0), "six a second, averaged: {past_rates:?}");
}

#[test]
fn first_report_fits_into_a_datagram() {
    let now = Instant::now();
    let mut reporter = reporter();
    let counts: Vec<(String, u64)> = (0..300).map(|number| (format!("m{number}"), 1)).collect();
    reporter.rows(arrivals(&counts), planner(1), now);
    let busy: Vec<(String, u64)> =
        counts.iter().map(|(name, _)| (name.clone(), if name == "m299" { 9 } else { 1 })).collect();
    reporter.rows(arrivals(&busy), planner(1), now);

    let report = reporter.rows(arrivals(&busy), planner(2), now).expect("a report");

    assert!(report.len() <= 32, "{}", report.len());
    assert!(names(&report).contains(&"m299".to_owned()), "the busiest model is left out");
}
