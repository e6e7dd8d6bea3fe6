//! What an entry tells the planner of the demand.

use std::collections::BTreeMap;

use base::prelude::*;
use dispatch::ModelUsage;
use gateway::telling::DemandTelling;
use peers::PlannerIdentity;
use residency::DemandRow;

fn planner(incarnation: u64) -> Option<PlannerIdentity> {
    let address = "10.0.0.1:7380".parse().expect("an address");
    Some(PlannerIdentity { address, incarnation: ProcessIncarnation(incarnation) })
}

fn arrivals(counts: &[(String, u64)]) -> BTreeMap<ModelId, ModelUsage> {
    let used = |arrivals| ModelUsage { arrivals, ..ModelUsage::default() };
    let model = |name: &str| name.parse().expect("a valid name");
    counts.iter().map(|(name, count)| (model(name), used(*count))).collect()
}

fn telling() -> DemandTelling {
    DemandTelling::new("entry-1".parse().expect("a valid name"))
}

fn names(rows: &[DemandRow]) -> Vec<String> {
    rows.iter().filter_map(|row| Some(row.model.as_ref()?.to_string())).collect()
}

#[test]
fn a_planner_is_told_only_what_changed() {
    let now = Instant::now();
    let mut telling = telling();
    let (before, after) = ([("a".to_owned(), 3), ("b".to_owned(), 1)], [("b".to_owned(), 2)]);

    let first = telling.rows(arrivals(&before), planner(1), now);
    let same = telling.rows(arrivals(&before), planner(1), now);
    let changed = telling.rows(arrivals(&after), planner(1), now);

    assert_eq!(first.map(|rows| names(&rows)), Some(vec!["a".to_owned(), "b".to_owned()]));
    assert_eq!(same, None);
    assert_eq!(changed.map(|rows| names(&rows)), Some(vec!["b".to_owned()]));
}

#[test]
fn a_planner_that_started_anew_is_told_the_past() {
    let start = Instant::now();
    let mut telling = telling();
    for second in 0..10 {
        let counts = [("a".to_owned(), 1 + 6 * second)];
        telling.rows(arrivals(&counts), planner(1), start + Duration::from_secs(second));
    }
    let counts = [("a".to_owned(), 55)];

    let told = telling.rows(arrivals(&counts), planner(2), start + Duration::from_secs(10));

    let past = told.and_then(|rows| rows[0].past_rates).expect("the past of the model");
    assert!((4.0..7.0).contains(&past.recent.0), "six a second, averaged: {past:?}");
}

#[test]
fn what_a_new_planner_is_told_fits_into_a_datagram() {
    let now = Instant::now();
    let mut telling = telling();
    let counts: Vec<(String, u64)> = (0..300).map(|number| (format!("m{number}"), 1)).collect();
    telling.rows(arrivals(&counts), planner(1), now);
    let busy: Vec<(String, u64)> =
        counts.iter().map(|(name, _)| (name.clone(), if name == "m299" { 9 } else { 1 })).collect();
    telling.rows(arrivals(&busy), planner(1), now);

    let told = telling.rows(arrivals(&busy), planner(2), now).expect("there is something to tell");

    assert!(told.len() <= 32, "{}", told.len());
    assert!(names(&told).contains(&"m299".to_owned()), "the busiest model is left out");
}
