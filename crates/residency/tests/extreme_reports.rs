//! Demand and engines with numbers at the ends of their ranges, as other processes may report them.

mod common;

use std::sync::Arc;

use base::prelude::*;
use common::{engine_spec, instance, model};
use residency::{
    CurrentLoad, DemandRates, DemandRow, DemandTracker, EngineSnapshot, OrderCount, Planner,
};
use roster::IncarnationStart;
use rstest::rstest;

fn engine(name: &str, held: &[&str], now: Instant) -> EngineSnapshot {
    let loading = CurrentLoad {
        model: model("b"),
        ready_at: now + Duration::from_millis(u32::MAX.into()),
        is_from_store: true,
    };
    EngineSnapshot {
        instance: instance(name),
        software: "v1".parse().expect("any text"),
        started: Some(IncarnationStart(u64::MAX)),
        orders: OrderCount(u64::MAX),
        residents: held.iter().map(|name| (model(name), usize::MAX)).collect(),
        loading: held.is_empty().then_some(loading),
        unloading: None,
        copies_in_memory: Default::default(),
        copies_on_disk: [model("a"), model("b"), model("c")].into(),
        takes_changes: !held.is_empty(),
    }
}

fn row(name: &str, rate: f64) -> DemandRow {
    let rates = DemandRates { recent: EventRate(rate), long_term: EventRate(rate) };
    DemandRow {
        model: Some(model(name)),
        arrivals: u64::MAX,
        waiting: u32::MAX,
        slack: Duration::from_millis(u32::MAX.into()),
        priority: u32::MAX,
        streams: vec![("v1".parse().expect("any text"), u32::MAX)],
        running: vec![(instance("e1"), u32::MAX), (instance("e2"), u32::MAX)],
        past_rates: Some(rates),
    }
}

fn entry(name: &str) -> VmId {
    name.parse().expect("a valid name")
}

/// Guards against counts of several entries that overflowed as they were added up, in the task that
/// plans and with the lock of the fleet held.
#[rstest]
#[case::largest(f64::MAX)]
#[case::infinite(f64::INFINITY)]
#[case::not_a_number(f64::NAN)]
#[case::negative(f64::MIN)]
fn planner_survives_greatest_demand_of_several_entries(#[case] rate: f64) {
    let now = Instant::now();
    let mut planner = Planner::default();
    planner.set_spec(Arc::new(engine_spec(&["a", "b", "c"])));
    planner.update_engine(engine("e1", &["a", "a"], now), now);
    planner.update_engine(engine("e2", &[], now), now);
    let mut demand = DemandTracker::default();
    for name in ["entry-1", "entry-2"] {
        demand.apply_report(entry(name), vec![row("a", rate), row("b", rate), row("c", rate)], now);
    }

    for seconds in 0..3 {
        let _ = planner.plan(&demand, now + Duration::from_secs(seconds));
    }

    assert_eq!(demand.by_model(now)[&model("a")].waiting, u32::MAX);
    assert_eq!(demand.by_model(now)[&model("a")].total_running(), u32::MAX);
}
