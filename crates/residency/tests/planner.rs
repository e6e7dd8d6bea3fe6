//! Planning of loads and unloads.

mod common;

use std::{collections::HashMap, sync::Arc};

use base::prelude::*;
use common::{engine_spec, instance, model};
use residency::{
    CurrentLoad, DemandRates, DemandRow, DemandTracker, EngineSnapshot, OrderCount, Planner,
    planner::{PlanOutcome, WeightSource},
};
use roster::{IncarnationStart, InstanceId};
use rstest::rstest;

const MODELS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn planner(engines: Vec<EngineSnapshot>, now: Instant) -> Planner {
    let mut planner = Planner::default();
    planner.set_spec(Arc::new(engine_spec(&MODELS)));
    for snapshot in engines {
        planner.update_engine(snapshot, now);
    }
    planner
}

/// An idle engine that holds the models `held` and has disk copies of `on_disk`.
fn engine(name: &str, held: &[&str], on_disk: &[&str]) -> EngineSnapshot {
    EngineSnapshot {
        instance: instance(name),
        software: "v1".parse().expect("any text"),
        started: Some(IncarnationStart(1)),
        orders: OrderCount(0),
        residents: held.iter().map(|name| (model(name), 0)).collect(),
        loading: None,
        unloading: None,
        copies_in_memory: Default::default(),
        copies_on_disk: on_disk.iter().map(|name| model(name)).collect(),
        takes_changes: true,
    }
}

fn waiting(name: &str, count: u32) -> DemandRow {
    DemandRow {
        model: Some(model(name)),
        arrivals: u64::from(count),
        waiting: count,
        slack: Duration::from_secs(4),
        ..DemandRow::default()
    }
}

fn running(name: &str, engine: &str) -> DemandRow {
    DemandRow {
        model: Some(model(name)),
        arrivals: 1,
        running: vec![(instance(engine), 1)],
        ..DemandRow::default()
    }
}

fn tracker(rows: Vec<DemandRow>, now: Instant) -> DemandTracker {
    let mut tracker = DemandTracker::default();
    tracker.apply_report("entry-1".parse().expect("a valid name"), rows, now);
    tracker
}

/// The changes formatted as `<engine>: -<unloads> +<load> from <source>`.
fn changes(outcome: &PlanOutcome) -> Vec<String> {
    let text = |planned: &residency::PlannedChange| {
        let unload: Vec<&str> = planned.change.unload.iter().map(ModelId::as_str).collect();
        let load = planned.change.load.as_ref().map_or("-", ModelId::as_str);
        let source = planned.source.text();
        format!("{}: -{} +{load} from {source}", planned.change.instance, unload.join(","))
    };
    outcome.changes.iter().map(text).collect()
}

#[test]
fn waiting_model_replaces_idle_one_at_engine_with_copy() {
    let now = Instant::now();
    let engines = vec![
        engine("i-1", &["a", "b", "c"], &["a", "b", "c"]),
        engine("i-2", &["e", "f", "g"], &["d"]),
    ];
    let mut planner = planner(engines, now);
    let demand = tracker(vec![waiting("d", 1), running("e", "i-2"), running("f", "i-2")], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-2: -g +d from disk"]);
}

#[test]
fn burst_for_one_model_starts_one_load() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a"], &["d"]), engine("i-2", &["a"], &["d"])];
    let mut planner = planner(engines, now);
    let demand = tracker(vec![waiting("d", 30)], now);

    let first = planner.plan(&demand, now);
    let second = planner.plan(&demand, now + Duration::from_millis(50));

    assert_eq!(first.changes.len(), 1);
    assert!(second.changes.is_empty());
    assert!(second.load_estimates[0].1.is_some());
}

#[test]
fn two_models_with_copies_on_one_engine_load_in_turn() {
    let now = Instant::now();
    let engines = vec![
        engine("i-1", &["a", "b", "c"], &["d", "e"]),
        engine("i-2", &["a", "b", "c"], &[]),
        engine("i-3", &["a", "b", "c"], &[]),
    ];
    let mut planner = planner(engines, now);

    let outcome = planner.plan(&tracker(vec![waiting("d", 2), waiting("e", 1)], now), now);

    assert_eq!(outcome.changes.len(), 1, "a load from the store takes four times as long");
    assert_eq!(outcome.changes[0].source, WeightSource::Disk);
    let soon = now + Duration::from_secs(6);
    assert!(outcome.load_estimates.iter().all(|(_, at)| at.is_some_and(|at| at < soon)));
}

#[test]
fn model_without_copy_is_loaded_from_store() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a", "b"], &["a", "b"])];
    let mut planner = planner(engines, now);

    let outcome = planner.plan(&tracker(vec![waiting("d", 1)], now), now);

    assert_eq!(changes(&outcome), ["i-1: - +d from store"]);
}

#[test]
fn idle_model_is_unloaded_before_running_one() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a", "b", "c"], &["d"])];
    let mut planner = planner(engines, now);
    let rows = vec![waiting("d", 1), running("a", "i-1"), running("c", "i-1")];

    let outcome = planner.plan(&tracker(rows, now), now);

    assert_eq!(changes(&outcome), ["i-1: -b +d from disk"]);
}

#[test]
fn newly_loaded_model_is_kept() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b"], &["d", "e"])], now);
    let later = now + Duration::from_secs(2);
    let mut snapshot = engine("i-1", &["a", "b", "d"], &["d", "e"]);
    snapshot.orders = OrderCount(1);
    planner.update_engine(snapshot, later);

    let outcome = planner.plan(&tracker(vec![waiting("e", 1)], later), later);

    assert!(!changes(&outcome)[0].contains("-d"), "{:?}", changes(&outcome));
}

#[test]
fn load_in_progress_sets_load_estimate() {
    let now = Instant::now();
    let ready_at = now + Duration::from_secs(1);
    let mut snapshot = engine("i-1", &["a"], &["d"]);
    snapshot.takes_changes = false;
    snapshot.loading = Some(CurrentLoad { model: model("d"), ready_at, is_from_store: false });
    let mut planner = planner(vec![snapshot], now);

    let outcome = planner.plan(&tracker(vec![waiting("d", 1)], now), now);

    assert!(outcome.changes.is_empty());
    assert_eq!(outcome.load_estimates, [(model("d"), Some(ready_at))]);
}

/// Demand moves to a model that no engine holds while requests wait for rare ones. Its first
/// requests miss their goal in any case, but those that follow every 200 ms need not.
#[test]
fn repeatedly_requested_model_is_loaded_before_rare_ones() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &["d", "e", "f"])], now);
    let mut demand = DemandTracker::default();
    let entry: VmId = "entry-1".parse().expect("a valid name");
    let busy = |arrivals: u64, count: u32| DemandRow {
        arrivals,
        slack: Duration::ZERO,
        ..waiting("f", count)
    };
    demand.apply_report(entry.clone(), vec![busy(1, 1)], now - Duration::from_millis(800));
    let rows = vec![waiting("d", 1), waiting("e", 1), busy(5, 5)];
    demand.apply_report(entry, rows, now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: - +f from disk"]);
}

/// After a restart of all processes and engines, the first engine to report has no copy of the
/// busiest model; others, which report a moment later, have one on disk.
#[test]
fn store_is_not_used_before_most_engines_report() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &[])], now);
    planner.set_listed(4);
    let demand = tracker(vec![waiting("d", 3)], now);

    let early = planner.plan(&demand, now);
    for name in ["i-2", "i-3", "i-4"] {
        planner.update_engine(engine(name, &[], &["d"]), now);
    }
    let later = planner.plan(&demand, now);

    assert!(early.changes.is_empty(), "{:?}", changes(&early));
    assert_eq!(changes(&later), ["i-2: - +d from disk"]);
}

/// After a loss of all VMs, half of the listed engines do not come back, and their entries stay.
#[test]
fn store_is_used_although_lost_engines_are_still_listed() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &[]), engine("i-2", &[], &[])], now);
    planner.set_listed(4);

    let early = planner.plan(&tracker(vec![waiting("d", 3)], now), now);
    for sent in (0..1_000).step_by(150) {
        for lost in ["i-3", "i-4"] {
            planner.record_heartbeat(&instance(lost), now + Duration::from_millis(sent));
        }
    }
    let after = now + Duration::from_secs(1);
    let later = planner.plan(&tracker(vec![waiting("d", 3)], after), after);

    assert!(early.changes.is_empty(), "{:?}", changes(&early));
    assert_eq!(changes(&later), ["i-1: - +d from store"]);
}

/// Guards against callers who are refused while all engines return.
#[test]
fn requests_wait_for_the_first_of_the_engines_that_are_all_lost() {
    let now = Instant::now();
    let mut planner = planner(vec![], now);
    planner.set_listed(2);
    for sent in (0..1_000).step_by(150) {
        for lost in ["i-1", "i-2"] {
            planner.record_heartbeat(&instance(lost), now + Duration::from_millis(sent));
        }
    }

    let after = now + Duration::from_secs(1);
    let outcome = planner.plan(&tracker(vec![waiting("d", 3)], after), after);

    let (_, load_estimate) = &outcome.load_estimates[0];
    assert!(load_estimate.is_some_and(|at| at > after), "{load_estimate:?}");
}

/// Heartbeats to one of two listed engines, and the time of the plan, in milliseconds.
#[rstest]
#[case::before_the_last_can_be_answered(&[0, 150, 300, 450, 600], 700, false)]
#[case::answered_without_report(&[0, 150, 300, 450, 600], 750, true)]
#[case::beside_events(&[0, 5, 10, 15, 20, 25], 750, false)]
#[case::slow_planner(&[0, 900], 1_700, false)]
#[case::paused_planner(&[0, 150, 300, 450, 2_000], 2_200, false)]
#[case::no_longer_listed(&[0, 150, 300, 450, 600], 1_700, false)]
fn engine_is_awaited(#[case] heartbeats: &[u64], #[case] planned: u64, #[case] is_answered: bool) {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &[])], now);
    planner.set_listed(2);
    for sent in heartbeats {
        planner.record_heartbeat(&instance("i-2"), now + Duration::from_millis(*sent));
    }
    if is_answered {
        planner.mark_restarted(&instance("i-2"));
    }

    let planned = now + Duration::from_millis(planned);
    let outcome = planner.plan(&tracker(vec![waiting("d", 3)], planned), planned);

    assert!(outcome.changes.is_empty(), "{:?}", changes(&outcome));
}

#[test]
fn faster_load_is_planned_beside_slow_store_load() {
    let now = Instant::now();
    let mut slow = engine("i-1", &[], &[]);
    slow.takes_changes = false;
    let ready_at = now + Duration::from_secs(20);
    slow.loading = Some(CurrentLoad { model: model("d"), ready_at, is_from_store: true });
    let mut planner = planner(vec![slow, engine("i-2", &["a"], &["d"])], now);

    let outcome = planner.plan(&tracker(vec![waiting("d", 3)], now), now);

    assert_eq!(changes(&outcome), ["i-2: - +d from disk"]);
    let (_, load_estimate) = &outcome.load_estimates[0];
    assert!(load_estimate.is_some_and(|at| at < now + Duration::from_secs(3)));
}

#[test]
fn parallel_store_loads_are_limited() {
    let now = Instant::now();
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let mut planner = planner(names.map(|name| engine(name, &[], &[])).to_vec(), now);
    let rows = MODELS.iter().map(|name| waiting(name, 1)).collect();

    let outcome = planner.plan(&tracker(rows, now), now);

    assert_eq!(outcome.changes.len(), 3, "{:?}", changes(&outcome));
}

/// An engine that loads the model from the weight store for six seconds.
fn loading_engine(name: &str, loaded: &str, now: Instant) -> EngineSnapshot {
    let ready_at = now + Duration::from_secs(6);
    let loading = Some(CurrentLoad { model: model(loaded), ready_at, is_from_store: true });
    EngineSnapshot { loading, takes_changes: false, ..engine(name, &[], &[]) }
}

/// Guards against loads that all take longer because the weight store still serves those of engines
/// which drain or have ended. The store serves three at first.
#[rstest]
#[case::drained(|planner: &mut Planner, _| planner.remove(&instance("i-1")))]
#[case::restarted(|planner: &mut Planner, now| {
    let started = Some(IncarnationStart(2));
    planner.update_engine(EngineSnapshot { started, ..engine("i-1", &[], &[]) }, now);
})]
fn load_of_an_engine_that_left_counts_until_its_end(#[case] leave: fn(&mut Planner, Instant)) {
    let now = Instant::now();
    let engines = ["i-2", "i-3", "i-4", "i-5"].map(|name| engine(name, &[], &[]));
    let mut planner = planner(engines.to_vec(), now);
    planner.update_engine(loading_engine("i-1", "h", now), now);
    let rows: Vec<DemandRow> = MODELS[..4].iter().map(|name| waiting(name, 1)).collect();

    leave(&mut planner, now);
    let before = planner.plan(&tracker(rows.clone(), now), now);
    let later = now + Duration::from_secs(7);
    let after = planner.plan(&tracker(rows, later), later);

    assert_eq!(before.changes.len(), 2, "{:?}", changes(&before));
    assert_eq!(after.changes.len(), 3, "{:?}", changes(&after));
}

/// Guards against a load that counts twice because its engine was not heard of for a while.
#[test]
fn load_of_an_engine_that_is_back_counts_once() {
    let now = Instant::now();
    let engines = ["i-2", "i-3", "i-4"].map(|name| engine(name, &[], &[]));
    let mut planner = planner(engines.to_vec(), now);
    planner.update_engine(loading_engine("i-1", "h", now), now);
    let rows = MODELS[..4].iter().map(|name| waiting(name, 1)).collect();

    planner.remove(&instance("i-1"));
    planner.update_engine(loading_engine("i-1", "h", now), now);
    let outcome = planner.plan(&tracker(rows, now), now);

    assert_eq!(outcome.changes.len(), 2, "{:?}", changes(&outcome));
}

/// Requests wait for two rare models with disk copies at two different engines, which both hold the
/// same busy model. Either engine could unload it, but not both.
#[test]
fn two_rare_models_do_not_replace_busy_model_at_both_holders() {
    let now = Instant::now();
    let engines =
        vec![engine("i-1", &["f", "g", "h"], &["d"]), engine("i-2", &["f", "b", "c"], &["e"])];
    let mut planner = planner(engines, now);
    let busy = DemandRow { arrivals: 20, ..running("f", "i-1") };
    let others = ["g", "h"].map(|name| running(name, "i-1"));
    let more = ["b", "c"].map(|name| running(name, "i-2"));
    let mut rows = vec![busy, waiting("d", 1), waiting("e", 1)];
    rows.extend(others.into_iter().chain(more));
    let before = vec![DemandRow { arrivals: 1, ..running("f", "i-1") }];
    let mut demand = tracker(before, now - Duration::from_secs(1));
    demand.apply_report("entry-1".parse().expect("a valid name"), rows, now);

    let first = planner.plan(&demand, now);
    let second = planner.plan(&demand, now + Duration::from_millis(60));

    let unloading = |outcome: &PlanOutcome| {
        changes(outcome).iter().filter(|change| change.contains("-f")).count()
    };
    assert!(unloading(&first) + unloading(&second) <= 1, "{:?}", changes(&first));
}

/// Half of the short requests use adapters of busy models, and an engine refuses orders for
/// adapters while it loads a rare model.
#[test]
fn rare_model_avoids_engines_with_busy_models() {
    let now = Instant::now();
    let engines =
        vec![engine("i-1", &["f", "a", "b"], &["d"]), engine("i-2", &["c", "g", "h"], &["d"])];
    let mut planner = planner(engines, now);
    let busy = |arrivals| DemandRow { arrivals, ..running("f", "i-1") };
    let mut demand = tracker(vec![busy(1)], now - Duration::from_secs(1));
    let rows = vec![busy(20), waiting("d", 1)];
    demand.apply_report("entry-1".parse().expect("a valid name"), rows, now);

    let outcome = planner.plan(&demand, now);

    assert!(changes(&outcome)[0].starts_with("i-2"), "{:?}", changes(&outcome));
}

/// Demand of `entry-1` for models that run at one engine each. An item of `models` is the name, the
/// engine and the requests of the last second; their recent rate is a fifth of that number.
fn fresh_demand(models: &[(&str, &str, u64)], now: Instant) -> DemandTracker {
    let rows = |is_later: bool| -> Vec<DemandRow> {
        let row = |(name, engine, arrivals): &(&str, &str, u64)| DemandRow {
            arrivals: 1 + if is_later { *arrivals } else { 0 },
            ..running(name, engine)
        };
        models.iter().map(row).collect()
    };
    let mut demand = tracker(rows(false), now - Duration::from_secs(1));
    demand.apply_report("entry-1".parse().expect("a valid name"), rows(true), now);
    demand
}

/// Two engines are full, and every model that they hold is in demand. The demand for one of them is
/// so high that a second engine should hold it for redundancy, or must hold it for capacity.
#[rstest::rstest]
#[case::redundancy_and_equal_demand(8, 8)]
#[case::redundancy_and_higher_demand(8, 4)]
#[case::capacity_and_equal_demand(30, 30)]
#[case::capacity_and_higher_demand(30, 10)]
#[case::capacity_of_several_engines(120, 60)]
fn busy_model_does_not_replace_requested_model_at_its_only_holder(
    #[case] busy: u64,
    #[case] others: u64,
) {
    let now = Instant::now();
    let all = ["a", "b", "c", "d", "e", "f"];
    let mut planner = planner(
        vec![engine("i-1", &["a", "c", "d"], &all), engine("i-2", &["b", "e", "f"], &all)],
        now,
    );
    let beside = ["c", "d"].map(|name| (name, "i-1", others));
    let more = ["b", "e", "f"].map(|name| (name, "-", others));
    let models: Vec<_> = [("a", "i-1", busy)].into_iter().chain(beside).chain(more).collect();

    let outcome = planner.plan(&fresh_demand(&models, now), now);

    assert!(outcome.changes.is_empty(), "{:?}", changes(&outcome));
}

#[test]
fn busy_model_replaces_model_without_demand() {
    let now = Instant::now();
    let all = ["a", "b", "c", "d", "e", "f"];
    let mut planner = planner(
        vec![engine("i-1", &["a", "c", "d"], &all), engine("i-2", &["b", "e", "f"], &all)],
        now,
    );
    let models = [("a", "i-1", 30), ("b", "i-2", 4), ("c", "i-1", 4), ("e", "i-2", 4)];

    let outcome = planner.plan(&fresh_demand(&models, now), now);

    assert_eq!(changes(&outcome), ["i-2: -f +a from disk"]);
}

/// After a power loss each engine holds the models that were requested first. One request waits for
/// a rare model whose only disk copy is at the only engine that holds the busiest models.
#[test]
fn rare_model_does_not_replace_busy_one_at_its_only_holder() {
    let now = Instant::now();
    let busy = [("a", "i-1", 20), ("b", "i-1", 20), ("c", "i-1", 20)];
    let mut planner =
        planner(vec![engine("i-1", &["a", "b", "c"], &["d"]), engine("i-2", &["e"], &[])], now);
    let mut demand = fresh_demand(&busy, now);
    demand.apply_report("entry-2".parse().expect("a valid name"), vec![waiting("d", 1)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-2: - +d from store"]);
}

#[test]
fn many_waiting_requests_replace_less_requested_model_at_its_only_holder() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let demand = |now| {
        let busy = [("a", "i-1", 20), ("b", "i-1", 20), ("c", "i-1", 10)];
        let mut demand = fresh_demand(&busy, now);
        demand.apply_report("entry-2".parse().expect("a valid name"), vec![waiting("d", 8)], now);
        demand
    };

    let first = planner.plan(&demand(now), now);
    let second = planner.plan(&demand(later), later);

    assert!(first.changes.is_empty(), "waits for a model to become idle: {:?}", changes(&first));
    assert_eq!(changes(&second), ["i-1: -c +d from disk"]);
}

/// Demand moves to a model that no engine holds while loads of others are planned for seconds
/// ahead. Its requests are refused with a time to retry after, so none waits.
#[test]
fn model_with_refused_requests_is_loaded_for_retries() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let entry: VmId = "entry-1".parse().expect("a valid name");
    let row = |arrivals| DemandRow { arrivals, ..waiting("d", 0) };
    let mut demand = tracker(vec![row(1)], now - Duration::from_secs(1));
    demand.apply_report(entry, vec![row(9)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -a +d from disk"]);
}

#[test]
fn single_past_request_does_not_start_load() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let demand = tracker(vec![DemandRow { arrivals: 1, ..waiting("d", 0) }], now);

    let outcome = planner.plan(&demand, now);

    assert!(outcome.changes.is_empty(), "{:?}", changes(&outcome));
}

/// Demand moves between a few models every few seconds and returns. A rare model with a single
/// recent request is a smaller loss than one with many requests half a minute ago.
#[test]
fn model_with_past_demand_outlives_model_requested_once() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let entry: VmId = "entry-1".parse().expect("a valid name");
    let row = |name, arrivals| DemandRow { arrivals, ..waiting(name, 0) };
    let mut demand = DemandTracker::default();
    for second in 0..5 {
        let then = now - Duration::from_secs(30 - second);
        demand.apply_report(entry.clone(), vec![row("a", 1 + 6 * second)], then);
    }
    demand.apply_report(entry, vec![row("b", 1), row("c", 1), waiting("d", 1)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -b +d from disk"]);
}

/// At a load peak each resident model has streams of many seconds. An engine that unloads one of
/// them carries out no other order until its streams have ended, while models at other engines
/// become idle one after the other.
#[test]
fn load_waits_for_idle_model() {
    let now = Instant::now();
    let (first, second) = (["a", "b", "c"], ["e", "f", "g"]);
    let mut planner =
        planner(vec![engine("i-1", &first, &["d"]), engine("i-2", &second, &["d"])], now);
    let all: Vec<DemandRow> = first
        .map(|name| running(name, "i-1"))
        .into_iter()
        .chain(second.map(|name| running(name, "i-2")))
        .chain([waiting("d", 1)])
        .collect();
    let idle: Vec<DemandRow> =
        all.iter().filter(|row| row.model != Some(model("f"))).cloned().collect();
    let later = now + Duration::from_millis(300);

    let busy = planner.plan(&tracker(all, now), now);
    let freed = planner.plan(&tracker(idle, later), later);

    assert!(busy.changes.is_empty(), "{:?}", changes(&busy));
    assert!(busy.load_estimates[0].1.is_some());
    assert_eq!(changes(&freed), ["i-2: -f +d from disk"]);
}

#[test]
fn wait_for_idle_model_is_bounded() {
    let now = Instant::now();
    let held = ["a", "b", "c"];
    let mut planner = planner(vec![engine("i-1", &held, &["d"])], now);
    let rows = |now| {
        let mut rows = held.map(|name| running(name, "i-1")).to_vec();
        rows.push(waiting("d", 1));
        tracker(rows, now)
    };

    let changes_per_pass: Vec<usize> = (0..40)
        .map(|pass| now + Duration::from_millis(100) * pass)
        .map(|now| planner.plan(&rows(now), now).changes.len())
        .collect();

    let first = changes_per_pass.iter().position(|changes| *changes > 0);
    assert_eq!(first, Some(30), "{changes_per_pass:?}");
}

/// New engines without copies on disk are added or replace others, while one engine serves all
/// prompts of a busy model.
#[test]
fn empty_engine_loads_busy_model_from_store() {
    let now = Instant::now();
    let mut planner =
        planner(vec![engine("i-1", &["a", "b", "c"], &["a"]), engine("i-2", &[], &[])], now);

    let outcome = planner.plan(&fresh_demand(&[("a", "i-1", 10), ("b", "i-1", 2)], now), now);

    assert_eq!(changes(&outcome), ["i-2: - +a from store"]);
}

#[test]
fn empty_engines_leave_one_store_load_for_waiting_requests() {
    let now = Instant::now();
    let names = ["i-2", "i-3", "i-4", "i-5"];
    let mut engines = vec![engine("i-1", &["a", "b", "c"], &["a"])];
    engines.extend(names.map(|name| engine(name, &[], &[])));
    let mut planner = planner(engines, now);
    let demand = [("a", "i-1", 10), ("b", "i-1", 10), ("c", "i-1", 10)];

    let outcome = planner.plan(&fresh_demand(&demand, now), now);

    assert_eq!(outcome.changes.len(), 2, "{:?}", changes(&outcome));
}

/// Each model gets more short requests than one engine should serve. Unloading a model that a
/// second engine holds costs less than unloading one that no other engine holds.
#[test]
fn model_with_two_holders_is_unloaded_before_those_with_one() {
    let now = Instant::now();
    let mut planner = planner(
        vec![engine("i-1", &["b", "c", "a"], &["d"]), engine("i-2", &["e", "f", "a"], &["d"])],
        now,
    );
    let held = [("a", "-", 70), ("b", "-", 50), ("c", "-", 50), ("e", "-", 50), ("f", "-", 50)];
    let mut demand = fresh_demand(&held, now);
    demand.apply_report("entry-2".parse().expect("a valid name"), vec![waiting("d", 30)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -a +d from disk"]);
}

/// The entry that plans is killed, and another one takes over while requests wait. It has seen none
/// of the previous demand itself.
#[test]
fn new_planner_keeps_models_with_past_demand() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["f", "g", "h"], &["d"])], now);
    let past = DemandRates { recent: EventRate(4.0), long_term: EventRate(4.0) };
    let busy = DemandRow {
        model: Some(model("f")),
        arrivals: 900,
        past_rates: Some(past),
        ..DemandRow::default()
    };
    let rare = |name| DemandRow { model: Some(model(name)), arrivals: 1, ..DemandRow::default() };
    let demand = tracker(vec![busy, rare("g"), rare("h"), waiting("d", 1)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -g +d from disk"]);
}

#[test]
fn past_demand_is_counted_once() {
    let now = Instant::now();
    let past = DemandRates { recent: EventRate(2.0), long_term: EventRate(1.0) };
    let row = |arrivals| DemandRow { arrivals, past_rates: Some(past), ..waiting("d", 0) };
    let mut demand = tracker(vec![row(50)], now);

    demand.apply_report("entry-1".parse().expect("a valid name"), vec![row(50)], now);

    assert_eq!(demand.rates(&model("d"), now), past);
}

/// All VMs lose power and come back with empty engines, while callers continue to send requests.
#[test]
fn empty_engines_await_first_requests() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &[], &MODELS), engine("i-2", &[], &MODELS)];
    let mut planner = planner(engines, now);
    let no_demand = DemandTracker::default();

    let at_once = planner.plan(&no_demand, now);
    let demand = tracker(vec![waiting("g", 9)], now);
    let first_request = planner.plan(&demand, now + Duration::from_millis(100));
    let later = planner.plan(&no_demand, now + Duration::from_millis(400));

    assert_eq!(changes(&at_once), [""; 0]);
    assert_eq!(changes(&first_request), ["i-1: - +g from disk"]);
    assert_eq!(changes(&later), ["i-2: - +a from disk"], "the other engine fills its memory");
}

#[test]
fn free_memory_is_filled_by_past_demand() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b"], &MODELS)], now);
    let past = DemandRates { recent: EventRate(0.0), long_term: EventRate(0.4) };
    let row = DemandRow {
        model: Some(model("e")),
        arrivals: 40,
        past_rates: Some(past),
        ..DemandRow::default()
    };

    let outcome = planner.plan(&tracker(vec![row], now), now);

    assert_eq!(changes(&outcome), ["i-1: - +e from disk"]);
}

fn limited(names: &[&str], limit: f64) -> HashMap<InstanceId, EventRate> {
    names.iter().map(|name| (instance(name), EventRate(limit))).collect()
}

#[test]
fn model_held_only_by_a_limited_engine_is_loaded_at_another() {
    let now = Instant::now();
    let engines = vec![engine("e-1", &["a", "b"], &["a", "b"]), engine("e-2", &["c"], &["a", "c"])];
    let mut planner = planner(engines, now);
    let demand = fresh_demand(&[("a", "e-1", 6), ("c", "e-2", 2)], now);
    let later = now + Duration::from_secs(1);

    let without_limit = planner.plan(&demand, later);
    planner.set_limits(limited(&["e-1"], 1.0));
    let with_limit = planner.plan(&demand, later);

    assert!(changes(&without_limit).is_empty(), "one engine is enough");
    assert_eq!(changes(&with_limit), ["e-2: - +a from disk"]);
}

#[test]
fn model_whose_engine_takes_all_its_requests_stays_as_it_is() {
    let now = Instant::now();
    let engines = vec![engine("e-1", &["a", "b"], &["a", "b"]), engine("e-2", &["c"], &["a", "c"])];
    let mut planner = planner(engines, now);
    planner.set_limits(limited(&["e-1"], 40.0));

    let outcome = planner.plan(&fresh_demand(&[("a", "e-1", 6)], now), now);

    assert!(changes(&outcome).is_empty(), "{:?}", changes(&outcome));
}

#[test]
fn waiting_model_is_loaded_at_an_engine_without_a_limit() {
    let now = Instant::now();
    let engines = vec![engine("e-1", &["a"], &["a", "h"]), engine("e-2", &["b"], &["b", "h"])];
    let mut planner = planner(engines, now);
    planner.set_limits(limited(&["e-1"], 1.0));

    let outcome = planner.plan(&tracker(vec![waiting("h", 2)], now), now);

    assert_eq!(changes(&outcome), ["e-2: - +h from disk"]);
}

/// The only engine without a limit has never held the model; a limited one could load it faster.
#[test]
fn model_of_limited_engines_is_loaded_from_the_store_at_one_without_a_limit() {
    let now = Instant::now();
    let engines = vec![
        engine("e-1", &["a"], &["a"]),
        engine("e-2", &["b"], &["a", "b"]),
        engine("e-3", &["c"], &["c"]),
    ];
    let mut planner = planner(engines, now);
    planner.set_limits(limited(&["e-1", "e-2"], 1.0));

    let outcome = planner.plan(&fresh_demand(&[("a", "e-1", 10), ("c", "e-3", 2)], now), now);

    assert_eq!(changes(&outcome), ["e-3: - +a from store"]);
}
