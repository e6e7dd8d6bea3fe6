//! The keeper of one engine.

mod common;

use base::prelude::*;
use common::{adapter, instance, keeper, model, orders, report, resident};
use residency::{
    OrderAnswer, OrderCount,
    controller::{ControllerAction, DeclineReason, EngineChange},
};
use roster::IncarnationStart;

fn change(orders: u64, unload: &[&str], load: &str) -> EngineChange {
    EngineChange {
        instance: instance("i-1"),
        started: Some(IncarnationStart(1)),
        orders: OrderCount(orders),
        unload: unload.iter().map(|name| model(name)).collect(),
        load: Some(model(load)),
        load_time: Duration::from_millis(1_600),
        is_from_store: false,
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_drops_first_and_loads_when_the_engine_has_dropped() {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    let mut keeper = keeper(report(4, false, &held), now);

    keeper.request_change(change(4, &["c"], "d"), now);
    let dropping = orders(&keeper.take_actions());
    keeper.apply_answer(OrderAnswer::Accepted, now);
    keeper.apply_report(report(5, true, &held), now);
    let meanwhile = orders(&keeper.take_actions());
    keeper.apply_report(report(5, false, &held[..2]), now);
    let loading = orders(&keeper.take_actions());

    assert_eq!(dropping, ["unload c at 4"]);
    assert!(meanwhile.is_empty());
    assert_eq!(loading, ["load d at 5"]);
}

#[tokio::test(start_paused = true)]
async fn an_order_without_an_answer_is_given_again_with_the_same_number() {
    let now = Instant::now();
    let mut keeper = keeper(report(4, false, &[resident("a", &[])]), now);

    keeper.request_change(change(4, &[], "d"), now);
    let first = orders(&keeper.take_actions());
    keeper.apply_answer(OrderAnswer::Unknown, now);
    keeper.apply_report(report(4, false, &[resident("a", &[])]), now);
    let at_once = orders(&keeper.take_actions());
    let later = now + Duration::from_secs(1);
    keeper.apply_report(report(4, false, &[resident("a", &[])]), later);
    let repeated = orders(&keeper.take_actions());

    assert_eq!(first, ["load d at 4"]);
    assert!(at_once.is_empty());
    assert_eq!(repeated, ["load d at 4"]);
}

#[tokio::test(start_paused = true)]
async fn an_order_that_was_carried_out_without_an_answer_is_not_repeated() {
    let now = Instant::now();
    let mut keeper = keeper(report(4, false, &[]), now);

    keeper.request_change(change(4, &[], "d"), now);
    keeper.take_actions();
    keeper.apply_answer(OrderAnswer::Unknown, now);
    let later = now + Duration::from_secs(1);
    keeper.apply_report(report(5, true, &[]), later);
    keeper.apply_report(report(5, false, &[resident("d", &[])]), later);

    assert!(orders(&keeper.take_actions()).is_empty());
    assert!(keeper.takes_changes());
}

#[rstest::rstest]
#[case::outdated(change(3, &[], "d"), DeclineReason::Outdated)]
#[case::no_room(change(4, &[], "e"), DeclineReason::NoRoom)]
#[case::unknown_model(change(4, &["a"], "x"), DeclineReason::NotKnown)]
#[tokio::test(start_paused = true)]
async fn a_change_that_is_not_safe_is_declined(
    #[case] wanted: EngineChange,
    #[case] expected: DeclineReason,
) {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    let mut keeper = keeper(report(4, false, &held), now);
    let load = wanted.load.clone();

    keeper.request_change(wanted, now);

    assert_eq!(keeper.take_actions(), [ControllerAction::Decline(load, expected)]);
}

#[tokio::test(start_paused = true)]
async fn an_adapter_waits_until_the_engine_has_loaded_a_model() {
    let now = Instant::now();
    let held = [resident("a", &[])];
    let mut keeper = keeper(report(4, false, &held), now);
    keeper.request_change(change(4, &[], "d"), now);
    keeper.take_actions();
    keeper.apply_answer(OrderAnswer::Accepted, now);
    keeper.apply_report(report(5, true, &held), now);

    keeper.request_adapter(instance("i-1"), model("a"), adapter("a3"), now);
    let while_busy = orders(&keeper.take_actions());
    keeper.apply_report(report(5, false, &[resident("a", &[]), resident("d", &[])]), now);
    let after = orders(&keeper.take_actions());

    assert!(while_busy.is_empty(), "the engine would refuse: {while_busy:?}");
    assert_eq!(after, ["load a/a3 at 5"]);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_is_followed_by_a_fresh_report_before_the_next_order() {
    let now = Instant::now();
    let held = [resident("a", &[])];
    let mut keeper = keeper(report(4, false, &held), now);

    keeper.request_adapter(instance("i-1"), model("a"), adapter("a3"), now);
    keeper.take_actions();
    keeper.apply_answer(OrderAnswer::Conflict, now);
    let at_once = orders(&keeper.take_actions());
    keeper.apply_report(report(6, false, &held), now);
    let after = orders(&keeper.take_actions());

    assert!(at_once.is_empty());
    assert_eq!(after, ["load a/a3 at 6"]);
}

#[tokio::test(start_paused = true)]
async fn the_adapter_that_was_asked_for_the_longest_time_ago_makes_room() {
    let now = Instant::now();
    let held = [resident("a", &["a1", "a2"])];
    let mut keeper = keeper(report(4, false, &held), now);
    keeper.request_adapter(instance("i-1"), model("a"), adapter("a1"), now);
    let later = now + Duration::from_secs(3);
    keeper.request_adapter(instance("i-1"), model("a"), adapter("a2"), later);

    keeper.request_adapter(instance("i-1"), model("a"), adapter("a3"), later);

    assert_eq!(orders(&keeper.take_actions()), ["unload a/a1 at 4"]);
}

#[tokio::test(start_paused = true)]
async fn a_new_incarnation_of_the_engine_ends_the_change() {
    let now = Instant::now();
    let mut keeper = keeper(report(4, false, &[resident("a", &[])]), now);
    keeper.request_change(change(4, &["a"], "d"), now);
    keeper.take_actions();

    let restarted =
        residency::EngineReport { started: Some(IncarnationStart(2)), ..report(0, false, &[]) };
    keeper.apply_report(restarted, now);

    assert!(orders(&keeper.take_actions()).is_empty());
    assert!(keeper.takes_changes());
    assert_eq!(keeper.loading(), None);
}

#[tokio::test(start_paused = true)]
async fn entries_are_told_when_the_sizes_of_models_become_known() {
    let now = Instant::now();
    let mut keeper = common::keeper_without_sizes();
    keeper.apply_report(report(0, false, &[]), now);
    keeper.take_actions();
    let before = keeper.takes_changes();

    keeper.set_spec(std::sync::Arc::new(common::engine_spec(&["a"])), now);

    assert!(!before);
    assert!(keeper.takes_changes());
    assert_eq!(keeper.take_actions(), [ControllerAction::StateChanged]);
}
