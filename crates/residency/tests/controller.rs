//! The controller of one engine.

mod common;

use base::prelude::*;
use common::{adapter, controller, instance, model, orders, report, resident};
use residency::{
    OrderAnswer, OrderCount,
    change::{ControllerAction, DeclineReason, EngineChange},
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
async fn change_loads_after_unload_completes() {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    let mut controller = controller(report(4, false, &held), now);

    controller.request_change(change(4, &["c"], "d"), now);
    let unloading = orders(&controller.take_actions());
    controller.apply_answer(OrderAnswer::Accepted, now);
    controller.apply_report(report(5, true, &held), now);
    let meanwhile = orders(&controller.take_actions());
    controller.apply_report(report(5, false, &held[..2]), now);
    let loading = orders(&controller.take_actions());

    assert_eq!(unloading, ["unload c at 4"]);
    assert!(meanwhile.is_empty());
    assert_eq!(loading, ["load d at 5"]);
}

#[tokio::test(start_paused = true)]
async fn unanswered_order_is_retried_with_same_count() {
    let now = Instant::now();
    let mut controller = controller(report(4, false, &[resident("a", &[])]), now);

    controller.request_change(change(4, &[], "d"), now);
    let first = orders(&controller.take_actions());
    controller.apply_answer(OrderAnswer::Unknown, now);
    controller.apply_report(report(4, false, &[resident("a", &[])]), now);
    let at_once = orders(&controller.take_actions());
    let later = now + Duration::from_secs(1);
    controller.apply_report(report(4, false, &[resident("a", &[])]), later);
    let repeated = orders(&controller.take_actions());

    assert_eq!(first, ["load d at 4"]);
    assert!(at_once.is_empty());
    assert_eq!(repeated, ["load d at 4"]);
}

#[tokio::test(start_paused = true)]
async fn executed_order_is_not_retried() {
    let now = Instant::now();
    let mut controller = controller(report(4, false, &[]), now);

    controller.request_change(change(4, &[], "d"), now);
    controller.take_actions();
    controller.apply_answer(OrderAnswer::Unknown, now);
    let later = now + Duration::from_secs(1);
    controller.apply_report(report(5, true, &[]), later);
    controller.apply_report(report(5, false, &[resident("d", &[])]), later);

    assert!(orders(&controller.take_actions()).is_empty());
    assert!(controller.takes_changes());
}

#[rstest::rstest]
#[case::outdated(change(3, &[], "d"), DeclineReason::Outdated)]
#[case::insufficient_memory(change(4, &[], "e"), DeclineReason::InsufficientMemory)]
#[case::unknown_model(change(4, &["a"], "x"), DeclineReason::NotKnown)]
#[tokio::test(start_paused = true)]
async fn unsafe_change_is_declined(#[case] request: EngineChange, #[case] expected: DeclineReason) {
    let now = Instant::now();
    let held = [resident("a", &[]), resident("b", &[]), resident("c", &[])];
    let mut controller = controller(report(4, false, &held), now);
    let load = request.load.clone();

    controller.request_change(request, now);

    assert_eq!(controller.take_actions(), [ControllerAction::Decline(load, expected)]);
}

#[tokio::test(start_paused = true)]
async fn adapter_load_waits_for_model_load() {
    let now = Instant::now();
    let held = [resident("a", &[])];
    let mut controller = controller(report(4, false, &held), now);
    controller.request_change(change(4, &[], "d"), now);
    controller.take_actions();
    controller.apply_answer(OrderAnswer::Accepted, now);
    controller.apply_report(report(5, true, &held), now);

    controller.request_adapter(instance("i-1"), model("a"), adapter("a3"), now);
    let while_busy = orders(&controller.take_actions());
    controller.apply_report(report(5, false, &[resident("a", &[]), resident("d", &[])]), now);
    let after = orders(&controller.take_actions());

    assert!(while_busy.is_empty(), "the engine would refuse an order while busy: {while_busy:?}");
    assert_eq!(after, ["load a/a3 at 5"]);
}

#[tokio::test(start_paused = true)]
async fn conflict_awaits_new_report() {
    let now = Instant::now();
    let held = [resident("a", &[])];
    let mut controller = controller(report(4, false, &held), now);

    controller.request_adapter(instance("i-1"), model("a"), adapter("a3"), now);
    controller.take_actions();
    controller.apply_answer(OrderAnswer::Conflict, now);
    let at_once = orders(&controller.take_actions());
    controller.apply_report(report(6, false, &held), now);
    let after = orders(&controller.take_actions());

    assert!(at_once.is_empty());
    assert_eq!(after, ["load a/a3 at 6"]);
}

#[tokio::test(start_paused = true)]
async fn least_recently_requested_adapter_is_unloaded() {
    let now = Instant::now();
    let held = [resident("a", &["a1", "a2"])];
    let mut controller = controller(report(4, false, &held), now);
    controller.request_adapter(instance("i-1"), model("a"), adapter("a1"), now);
    let later = now + Duration::from_secs(3);
    controller.request_adapter(instance("i-1"), model("a"), adapter("a2"), later);

    controller.request_adapter(instance("i-1"), model("a"), adapter("a3"), later);

    assert_eq!(orders(&controller.take_actions()), ["unload a/a1 at 4"]);
}

#[tokio::test(start_paused = true)]
async fn adapter_that_waits_longest_is_loaded_first() {
    let now = Instant::now();
    let mut controller = controller(report(4, false, &[resident("a", &["a1", "a2"])]), now);
    let ask =
        |controller: &mut residency::controller::EngineController, name: &str, after_ms: u64| {
            let at = now + Duration::from_millis(after_ms);
            controller.request_adapter(instance("i-1"), model("a"), adapter(name), at);
        };
    ask(&mut controller, "a1", 0);
    ask(&mut controller, "a2", 0);
    ask(&mut controller, "a4", 100);
    ask(&mut controller, "a3", 300);
    // The request that waits asks once more.
    ask(&mut controller, "a4", 600);

    let later = now + Duration::from_millis(1_600);
    controller.apply_report(report(4, false, &[resident("a", &["a1", "a2"])]), later);
    let unloading = orders(&controller.take_actions());
    controller.apply_answer(OrderAnswer::Accepted, later);
    controller.apply_report(report(5, false, &[resident("a", &["a2"])]), later);

    assert_eq!(unloading, ["unload a/a1 at 4"]);
    assert_eq!(orders(&controller.take_actions()), ["load a/a4 at 5"]);
}

#[tokio::test(start_paused = true)]
async fn engine_restart_ends_change() {
    let now = Instant::now();
    let mut controller = controller(report(4, false, &[resident("a", &[])]), now);
    controller.request_change(change(4, &["a"], "d"), now);
    controller.take_actions();

    let restarted =
        residency::EngineReport { started: Some(IncarnationStart(2)), ..report(0, false, &[]) };
    controller.apply_report(restarted, now);

    assert!(orders(&controller.take_actions()).is_empty());
    assert!(controller.takes_changes());
    assert_eq!(controller.loading(), None);
}

#[tokio::test(start_paused = true)]
async fn new_spec_publishes_state() {
    let now = Instant::now();
    let mut controller = common::controller_without_spec();
    controller.apply_report(report(0, false, &[]), now);
    controller.take_actions();
    let before = controller.takes_changes();

    controller.set_spec(std::sync::Arc::new(common::engine_spec(&["a"])), now);

    assert!(!before);
    assert!(controller.takes_changes());
    assert_eq!(controller.take_actions(), [ControllerAction::StateChanged]);
}
