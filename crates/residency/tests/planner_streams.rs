//! Loads for streams that callers take up again while engines of two software versions serve.

mod common;

use std::sync::Arc;

use base::prelude::*;
use common::{engine_spec, instance, model};
use residency::{
    DemandRow, DemandTracker, EngineSnapshot, OrderCount, Planner, planner::PlanOutcome,
};
use roster::{IncarnationStart, SoftwareVersion};

const MODELS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("any text")
}

fn engine(name: &str, software: &str, held: &[&str], on_disk: &[&str]) -> EngineSnapshot {
    EngineSnapshot {
        instance: instance(name),
        started: Some(IncarnationStart(1)),
        software: version(software),
        orders: OrderCount(0),
        residents: held.iter().map(|name| (model(name), 0)).collect(),
        loading: None,
        unloading: None,
        copies_in_memory: Default::default(),
        copies_on_disk: on_disk.iter().map(|name| model(name)).collect(),
        takes_changes: true,
    }
}

fn streams(name: &str, software: &str, count: u32) -> DemandRow {
    let streams = vec![(version(software), count)];
    DemandRow { model: Some(model(name)), arrivals: 1, streams, ..DemandRow::default() }
}

fn plan(engines: Vec<EngineSnapshot>, rows: Vec<DemandRow>) -> PlanOutcome {
    let now = Instant::now();
    let mut planner = Planner::default();
    planner.set_spec(Arc::new(engine_spec(&MODELS)));
    engines.into_iter().for_each(|engine| planner.update_engine(engine, now));
    let mut tracker = DemandTracker::default();
    tracker.apply_report("entry-1".parse().expect("a valid name"), rows, now);
    planner.plan(&tracker, now)
}

/// The loads formatted as `<engine>: <model>`.
fn loads(outcome: &PlanOutcome) -> Vec<String> {
    let changes = outcome.changes.iter();
    let loads = changes.filter_map(|planned| {
        let load = planned.change.load.as_ref()?;
        Some(format!("{}: {load}", planned.change.instance))
    });
    loads.collect()
}

#[test]
fn model_is_loaded_at_the_version_of_the_stream_although_another_one_holds_it() {
    let engines = vec![
        engine("i-1", "v1", &["a", "b", "c"], &["d"]),
        engine("i-2", "v2", &["d", "e", "f"], &["d"]),
    ];

    let outcome = plan(engines, vec![streams("d", "v1", 1)]);

    assert_eq!(loads(&outcome), ["i-1: d"]);
    assert!(matches!(&outcome.stream_estimates[..], [(_, software, Some(_))]
        if *software == version("v1")));
}

#[test]
fn no_load_is_planned_if_an_engine_of_the_version_holds_the_model() {
    let engines = vec![
        engine("i-1", "v1", &["a", "b", "d"], &["d"]),
        engine("i-2", "v2", &["e", "f", "g"], &["d"]),
    ];

    let outcome = plan(engines, vec![streams("d", "v1", 1)]);

    assert_eq!(loads(&outcome), Vec::<String>::new());
}

#[test]
fn model_that_streams_wait_for_is_not_unloaded() {
    let engines = vec![engine("i-1", "v1", &["a", "b", "c"], &["d", "e"])];
    let waiting = DemandRow {
        model: Some(model("d")),
        arrivals: 1,
        waiting: 1,
        slack: Duration::from_secs(4),
        ..DemandRow::default()
    };
    let rows = vec![streams("a", "v1", 1), streams("b", "v1", 1), waiting];

    let outcome = plan(engines, rows);

    let unloaded = outcome.changes.iter().flat_map(|planned| &planned.change.unload);
    assert_eq!(unloaded.collect::<Vec<_>>(), [&model("c")]);
}

#[test]
fn one_load_serves_streams_and_other_requests() {
    let engines = vec![
        engine("i-1", "v1", &["a", "b", "c"], &["d"]),
        engine("i-2", "v2", &["e", "f", "g"], &["d"]),
    ];
    let row = DemandRow { waiting: 3, slack: Duration::from_secs(4), ..streams("d", "v1", 1) };

    let outcome = plan(engines, vec![row]);

    assert_eq!(loads(&outcome), ["i-1: d"]);
}
