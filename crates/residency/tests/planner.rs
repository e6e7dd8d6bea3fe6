//! The planner of loads.

mod common;

use std::sync::Arc;

use base::prelude::*;
use common::{engine_spec, instance, model};
use residency::{
    CurrentLoad, DemandRates, DemandRow, DemandTracker, EngineSnapshot, OrderCount, Planner,
    planner::{PlanOutcome, WeightSource},
};
use roster::IncarnationStart;

const MODELS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn planner(engines: Vec<EngineSnapshot>, now: Instant) -> Planner {
    let mut planner = Planner::default();
    planner.set_spec(Arc::new(engine_spec(&MODELS)));
    for facts in engines {
        planner.update_engine(facts, now);
    }
    planner
}

/// An engine that holds `held` and has copies of `on_disk`.
fn engine(name: &str, held: &[&str], on_disk: &[&str]) -> EngineSnapshot {
    EngineSnapshot {
        instance: instance(name),
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

fn book(rows: Vec<DemandRow>, now: Instant) -> DemandTracker {
    let mut book = DemandTracker::default();
    book.apply_report("entry-1".parse().expect("a valid name"), rows, now);
    book
}

/// The changes as text: engine, unloads, load and source.
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
fn a_waiting_model_is_loaded_where_its_copy_is_in_place_of_an_idle_one() {
    let now = Instant::now();
    let engines = vec![
        engine("i-1", &["a", "b", "c"], &["a", "b", "c"]),
        engine("i-2", &["e", "f", "g"], &["d"]),
    ];
    let mut planner = planner(engines, now);
    let book = book(vec![waiting("d", 1), running("e", "i-2"), running("f", "i-2")], now);

    let outcome = planner.plan(&book, now);

    assert_eq!(changes(&outcome), ["i-2: -g +d from disk"]);
}

#[test]
fn a_burst_for_one_model_begins_one_load() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a"], &["d"]), engine("i-2", &["a"], &["d"])];
    let mut planner = planner(engines, now);
    let demand = book(vec![waiting("d", 30)], now);

    let first = planner.plan(&demand, now);
    let second = planner.plan(&demand, now + Duration::from_millis(50));

    assert_eq!(first.changes.len(), 1);
    assert!(second.changes.is_empty());
    assert!(second.load_estimates[0].1.is_some());
}

#[test]
fn two_models_with_copies_on_one_engine_are_loaded_there_one_after_the_other() {
    let now = Instant::now();
    let engines = vec![
        engine("i-1", &["a", "b", "c"], &["d", "e"]),
        engine("i-2", &["a", "b", "c"], &[]),
        engine("i-3", &["a", "b", "c"], &[]),
    ];
    let mut planner = planner(engines, now);

    let outcome = planner.plan(&book(vec![waiting("d", 2), waiting("e", 1)], now), now);

    assert_eq!(outcome.changes.len(), 1, "the weight store takes four times as long");
    assert_eq!(outcome.changes[0].source, WeightSource::Disk);
    let soon = now + Duration::from_secs(6);
    assert!(outcome.load_estimates.iter().all(|(_, at)| at.is_some_and(|at| at < soon)));
}

#[test]
fn a_model_without_any_copy_is_read_from_the_weight_store() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a", "b"], &["a", "b"])];
    let mut planner = planner(engines, now);

    let outcome = planner.plan(&book(vec![waiting("d", 1)], now), now);

    assert_eq!(changes(&outcome), ["i-1: - +d from store"]);
}

#[test]
fn a_running_model_makes_room_only_if_no_idle_one_can() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &["a", "b", "c"], &["d"])];
    let mut planner = planner(engines, now);
    let rows = vec![waiting("d", 1), running("a", "i-1"), running("c", "i-1")];

    let outcome = planner.plan(&book(rows, now), now);

    assert_eq!(changes(&outcome), ["i-1: -b +d from disk"]);
}

#[test]
fn a_model_that_is_loaded_now_is_not_dropped_before_it_was_used() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b"], &["d", "e"])], now);
    let later = now + Duration::from_secs(2);
    let mut facts = engine("i-1", &["a", "b", "d"], &["d", "e"]);
    facts.orders = OrderCount(1);
    planner.update_engine(facts, later);

    let outcome = planner.plan(&book(vec![waiting("e", 1)], later), later);

    assert!(!changes(&outcome)[0].contains("-d"), "{:?}", changes(&outcome));
}

#[test]
fn the_time_of_a_load_under_way_is_told() {
    let now = Instant::now();
    let ready_at = now + Duration::from_secs(1);
    let mut facts = engine("i-1", &["a"], &["d"]);
    facts.takes_changes = false;
    facts.loading = Some(CurrentLoad { model: model("d"), ready_at, is_from_store: false });
    let mut planner = planner(vec![facts], now);

    let outcome = planner.plan(&book(vec![waiting("d", 1)], now), now);

    assert!(outcome.changes.is_empty());
    assert_eq!(outcome.load_estimates, [(model("d"), Some(ready_at))]);
}

/// Load pattern: demand moves to a model that no engine holds, while requests wait for rare ones.
/// Its first requests are late whatever is done, but those that follow each 200 ms are not.
#[test]
fn a_model_that_is_asked_for_again_and_again_is_loaded_before_rare_ones() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &["d", "e", "f"])], now);
    let mut book = DemandTracker::default();
    let entry: VmId = "entry-1".parse().expect("a valid name");
    let busy = |arrivals: u64, count: u32| DemandRow {
        arrivals,
        slack: Duration::ZERO,
        ..waiting("f", count)
    };
    book.apply_report(entry.clone(), vec![busy(1, 1)], now - Duration::from_millis(800));
    let rows = vec![waiting("d", 1), waiting("e", 1), busy(5, 5)];
    book.apply_report(entry, rows, now);

    let outcome = planner.plan(&book, now);

    assert_eq!(changes(&outcome), ["i-1: - +f from disk"]);
}

/// Load pattern: all processes and engines start anew. The engine that is heard first has no copy
/// of the busiest model; others, heard a moment later, have one on disk.
#[test]
fn the_weight_store_is_not_used_before_most_engines_are_heard() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &[], &[])], now);
    planner.set_listed(4);
    let demand = book(vec![waiting("d", 3)], now);

    let early = planner.plan(&demand, now);
    for name in ["i-2", "i-3", "i-4"] {
        planner.update_engine(engine(name, &[], &["d"]), now);
    }
    let later = planner.plan(&demand, now);

    assert!(early.changes.is_empty(), "{:?}", changes(&early));
    assert_eq!(changes(&later), ["i-2: - +d from disk"]);
}

#[test]
fn a_load_from_the_weight_store_does_not_keep_a_model_from_a_faster_one() {
    let now = Instant::now();
    let mut slow = engine("i-1", &[], &[]);
    slow.takes_changes = false;
    let ready_at = now + Duration::from_secs(20);
    slow.loading = Some(CurrentLoad { model: model("d"), ready_at, is_from_store: true });
    let mut planner = planner(vec![slow, engine("i-2", &["a"], &["d"])], now);

    let outcome = planner.plan(&book(vec![waiting("d", 3)], now), now);

    assert_eq!(changes(&outcome), ["i-2: - +d from disk"]);
    let (_, outlook) = &outcome.load_estimates[0];
    assert!(outlook.is_some_and(|at| at < now + Duration::from_secs(3)));
}

#[test]
fn few_loads_read_from_the_weight_store_at_once() {
    let now = Instant::now();
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let mut planner = planner(names.map(|name| engine(name, &[], &[])).to_vec(), now);
    let rows = MODELS.iter().map(|name| waiting(name, 1)).collect();

    let outcome = planner.plan(&book(rows, now), now);

    assert_eq!(outcome.changes.len(), 3, "{:?}", changes(&outcome));
}

/// Load pattern: rare models wait at two engines that hold the same busy model. Each engine alone
/// could spare it.
#[test]
fn two_engines_do_not_drop_the_same_busy_model_for_two_rare_ones() {
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
    let mut demand = book(before, now - Duration::from_secs(1));
    demand.apply_report("entry-1".parse().expect("a valid name"), rows, now);

    let first = planner.plan(&demand, now);
    let second = planner.plan(&demand, now + Duration::from_millis(60));

    let dropping = |outcome: &PlanOutcome| {
        changes(outcome).iter().filter(|change| change.contains("-f")).count()
    };
    assert!(dropping(&first) + dropping(&second) <= 1, "{:?}", changes(&first));
}

/// Load pattern: half of the short requests ask for adapters of busy models, and an engine takes no
/// order for an adapter while it loads a rare model.
#[test]
fn a_rare_model_is_loaded_away_from_busy_ones() {
    let now = Instant::now();
    let engines =
        vec![engine("i-1", &["f", "a", "b"], &["d"]), engine("i-2", &["c", "g", "h"], &["d"])];
    let mut planner = planner(engines, now);
    let busy = |arrivals| DemandRow { arrivals, ..running("f", "i-1") };
    let mut demand = book(vec![busy(1)], now - Duration::from_secs(1));
    let rows = vec![busy(20), waiting("d", 1)];
    demand.apply_report("entry-1".parse().expect("a valid name"), rows, now);

    let outcome = planner.plan(&demand, now);

    assert!(changes(&outcome)[0].starts_with("i-2"), "{:?}", changes(&outcome));
}

/// Demand of `entry-1` for models that run at one engine each: name, engine, and the requests of
/// the last second, a fifth of which is their rate over the planner's span.
fn fresh_demand(models: &[(&str, &str, u64)], now: Instant) -> DemandTracker {
    let rows = |is_later: bool| -> Vec<DemandRow> {
        let row = |(name, engine, arrivals): &(&str, &str, u64)| DemandRow {
            arrivals: 1 + if is_later { *arrivals } else { 0 },
            ..running(name, engine)
        };
        models.iter().map(row).collect()
    };
    let mut demand = book(rows(false), now - Duration::from_secs(1));
    demand.apply_report("entry-1".parse().expect("a valid name"), rows(true), now);
    demand
}

/// Load pattern: two engines are full, and every model that they hold is asked for. One of the
/// models is asked for so much that another engine should hold it, or has to.
#[rstest::rstest]
#[case::should_and_is_as_busy(8, 8)]
#[case::should_and_is_busier(8, 4)]
#[case::has_to_and_is_as_busy(30, 30)]
#[case::has_to_and_is_busier(30, 10)]
#[case::has_to_several_times(120, 60)]
fn a_busy_model_does_not_push_out_the_only_holder_of_one_that_is_asked_for(
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
fn a_busy_model_takes_the_place_of_one_that_is_not_asked_for() {
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

/// Load pattern: after a power loss each engine holds what was asked for first. One request waits
/// for a rare model whose only copy is beside the only holder of the busiest one.
#[test]
fn a_rare_model_does_not_push_out_the_only_holder_of_a_busy_one() {
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
fn many_requests_for_a_model_push_out_the_only_holder_of_one_that_is_asked_for_less() {
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

    assert!(first.changes.is_empty(), "a model may become idle: {:?}", changes(&first));
    assert_eq!(changes(&second), ["i-1: -c +d from disk"]);
}

/// Load pattern: demand moves to a model that no engine holds while loads for others are planned
/// for seconds ahead. Its requests are refused with a time to come back, so none waits.
#[test]
fn a_model_whose_requests_are_all_refused_is_loaded_for_those_that_come_back() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let entry: VmId = "entry-1".parse().expect("a valid name");
    let row = |arrivals| DemandRow { arrivals, ..waiting("d", 0) };
    let mut demand = book(vec![row(1)], now - Duration::from_secs(1));
    demand.apply_report(entry, vec![row(9)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -a +d from disk"]);
}

#[test]
fn a_model_that_was_asked_for_once_is_not_loaded_if_nobody_waits() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b", "c"], &["d"])], now);
    let demand = book(vec![DemandRow { arrivals: 1, ..waiting("d", 0) }], now);

    let outcome = planner.plan(&demand, now);

    assert!(outcome.changes.is_empty(), "{:?}", changes(&outcome));
}

/// Load pattern: demand moves between a few models every few seconds, and comes back. A rare model
/// that was asked for once just now is missed less than one that many asked for a while ago.
#[test]
fn a_model_whose_demand_moved_away_stays_rather_than_one_that_was_asked_for_once() {
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

/// Load pattern: at a crest each model that an engine holds has streams of many seconds. An engine
/// that is told to drop one of those carries out no other order until they have ended, while models
/// elsewhere become idle one after the other.
#[test]
fn a_load_waits_for_a_model_that_becomes_idle_rather_than_for_the_streams_of_one() {
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

    let busy = planner.plan(&book(all, now), now);
    let freed = planner.plan(&book(idle, later), later);

    assert!(busy.changes.is_empty(), "{:?}", changes(&busy));
    assert!(busy.load_estimates[0].1.is_some());
    assert_eq!(changes(&freed), ["i-2: -f +d from disk"]);
}

#[test]
fn a_load_does_not_wait_for_ever_for_an_idle_model() {
    let now = Instant::now();
    let held = ["a", "b", "c"];
    let mut planner = planner(vec![engine("i-1", &held, &["d"])], now);
    let rows = |now| {
        let mut rows = held.map(|name| running(name, "i-1")).to_vec();
        rows.push(waiting("d", 1));
        book(rows, now)
    };

    let looks: Vec<usize> = (0..40)
        .map(|look| now + Duration::from_millis(100) * look)
        .map(|now| planner.plan(&rows(now), now).changes.len())
        .collect();

    let first = looks.iter().position(|changes| *changes > 0);
    assert_eq!(first, Some(30), "{looks:?}");
}

/// Load pattern: engines are replaced by fresh ones without any copy, or such ones are added, while
/// one engine reads all prompts of a busy model.
#[test]
fn a_fresh_engine_loads_a_busy_model_from_the_weight_store() {
    let now = Instant::now();
    let mut planner =
        planner(vec![engine("i-1", &["a", "b", "c"], &["a"]), engine("i-2", &[], &[])], now);

    let outcome = planner.plan(&fresh_demand(&[("a", "i-1", 10), ("b", "i-1", 2)], now), now);

    assert_eq!(changes(&outcome), ["i-2: - +a from store"]);
}

#[test]
fn fresh_engines_leave_a_load_from_the_weight_store_to_those_that_wait() {
    let now = Instant::now();
    let names = ["i-2", "i-3", "i-4", "i-5"];
    let mut engines = vec![engine("i-1", &["a", "b", "c"], &["a"])];
    engines.extend(names.map(|name| engine(name, &[], &[])));
    let mut planner = planner(engines, now);
    let demand = [("a", "i-1", 10), ("b", "i-1", 10), ("c", "i-1", 10)];

    let outcome = planner.plan(&fresh_demand(&demand, now), now);

    assert_eq!(outcome.changes.len(), 2, "{:?}", changes(&outcome));
}

/// Load pattern: each engine gets many short requests for each model that it holds, more than one
/// engine should bear. A model with two holders is missed less than one with a single holder.
#[test]
fn one_of_two_holders_goes_rather_than_the_only_one() {
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

/// Load pattern: the entry that plans is killed, and another one takes over while requests wait.
#[test]
fn a_planner_that_takes_over_spares_what_was_asked_for_before() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["f", "g", "h"], &["d"])], now);
    let past = DemandRates { recent: EventRate(4.0), long: EventRate(4.0) };
    let busy = DemandRow {
        model: Some(model("f")),
        arrivals: 900,
        past_rates: Some(past),
        ..DemandRow::default()
    };
    let rare = |name| DemandRow { model: Some(model(name)), arrivals: 1, ..DemandRow::default() };
    let demand = book(vec![busy, rare("g"), rare("h"), waiting("d", 1)], now);

    let outcome = planner.plan(&demand, now);

    assert_eq!(changes(&outcome), ["i-1: -g +d from disk"]);
}

#[test]
fn the_past_of_an_entry_counts_once() {
    let now = Instant::now();
    let past = DemandRates { recent: EventRate(2.0), long: EventRate(1.0) };
    let row = |arrivals| DemandRow { arrivals, past_rates: Some(past), ..waiting("d", 0) };
    let mut demand = book(vec![row(50)], now);

    demand.apply_report("entry-1".parse().expect("a valid name"), vec![row(50)], now);

    assert_eq!(demand.rates(&model("d"), now), past);
}

/// Load pattern: all VMs lose power and come back with empty engines, while callers go on.
#[test]
fn empty_engines_wait_for_the_first_requests_to_tell_what_is_asked_for() {
    let now = Instant::now();
    let engines = vec![engine("i-1", &[], &MODELS), engine("i-2", &[], &MODELS)];
    let mut planner = planner(engines, now);
    let nothing = DemandTracker::default();

    let at_once = planner.plan(&nothing, now);
    let asked = book(vec![waiting("g", 9)], now);
    let first_request = planner.plan(&asked, now + Duration::from_millis(100));
    let later = planner.plan(&nothing, now + Duration::from_millis(400));

    assert_eq!(changes(&at_once), [""; 0]);
    assert_eq!(changes(&first_request), ["i-1: - +g from disk"]);
    assert_eq!(changes(&later), ["i-2: - +a from disk"], "the rest is filled with what there is");
}

#[test]
fn free_memory_is_filled_first_with_what_was_asked_for_most() {
    let now = Instant::now();
    let mut planner = planner(vec![engine("i-1", &["a", "b"], &MODELS)], now);
    let past = DemandRates { recent: EventRate(0.0), long: EventRate(0.4) };
    let row = DemandRow {
        model: Some(model("e")),
        arrivals: 40,
        past_rates: Some(past),
        ..DemandRow::default()
    };

    let outcome = planner.plan(&book(vec![row], now), now);

    assert_eq!(changes(&outcome), ["i-1: - +e from disk"]);
}
