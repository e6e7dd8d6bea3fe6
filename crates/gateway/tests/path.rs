//! The way of a request through a whole fleet.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use platform_standin::{EngineFault, EngineOptions, ServiceFault, StoreFault, caller};
use support::{
    CallOutcome, TestFleet, catalog, eventually, patient_stream, plain, stream, whole_stream,
};
use tokio::time;

fn engine(instance: &str, residents: &[&str], on_disk: &[&str]) -> EngineOptions {
    EngineOptions {
        residents: residents.iter().map(ToString::to_string).collect(),
        on_disk: on_disk.iter().map(ToString::to_string).collect(),
        ..EngineOptions::new(instance)
    }
}

async fn plain_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-1").await;
    fleet.add_service("s-2").await;
    fleet.add_gateway().await;
    fleet
}

fn runs(fleet: &TestFleet, call: &str) -> usize {
    let records = fleet.services.iter().flat_map(|service| service.records());
    records.filter(|record| record.call == call).count()
}

#[tokio::test]
async fn a_plain_request_reaches_a_backend_server_unchanged() {
    let fleet = plain_fleet().await;

    let outcome = fleet.call(plain("POST", "/order/dam/7?urgent=1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(outcome.headers().and_then(caller::answer_call_id), Some("c-1"));
    assert!(outcome.headers().and_then(caller::answer_signature).is_some());
    let records: Vec<_> = fleet.services.iter().flat_map(|service| service.records()).collect();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].request_line, "POST /order/dam/7?urgent=1");
    assert_eq!(records[0].body, "a dam check");
    assert!(records[0].timeout_ms.is_some_and(|patience| patience <= 1_000));
}

#[tokio::test]
async fn a_request_without_a_route_is_refused_and_runs_nowhere() {
    let fleet = plain_fleet().await;

    let outcome = fleet.call(plain("POST", "/nowhere/", "c-1")).await;

    assert_eq!(outcome.status(), 404);
    assert_eq!(runs(&fleet, "c-1"), 0);
}

#[tokio::test]
async fn a_request_that_may_be_repeated_is_sent_to_another_server_when_its_answer_is_lost() {
    let fleet = plain_fleet().await;
    let fault = ServiceFault { dropped_answers: 1, ..ServiceFault::default() };
    fleet.services[0].set_fault(fault);
    fleet.services[1].set_fault(fault);
    for call in ["c-1", "c-2", "c-3"] {
        fleet.call(plain("GET", "/read/a", call)).await;
    }

    let outcome = fleet.call(plain("GET", "/read/a", "c-4")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_runs_once_and_its_loss_is_told_as_unknown() {
    let fleet = plain_fleet().await;
    let fault = ServiceFault { dropped_answers: 1, ..ServiceFault::default() };
    fleet.services[0].set_fault(fault);
    fleet.services[1].set_fault(fault);

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
    assert_eq!(outcome.header("retry-after"), None);
    assert_eq!(runs(&fleet, "c-1"), 1);
}

#[tokio::test]
async fn a_request_that_a_server_refused_is_sent_to_another_and_runs_once() {
    let fleet = plain_fleet().await;
    fleet.services[0].set_fault(ServiceFault { refusals: 1, ..ServiceFault::default() });
    fleet.services[1].set_fault(ServiceFault { refusals: 1, ..ServiceFault::default() });
    let first = fleet.call(plain("POST", "/order/a", "c-1")).await;

    let second = fleet.call(plain("POST", "/order/a", "c-2")).await;

    assert_eq!(first.status(), 503, "both refused it: {first:?}");
    assert!(first.header("retry-after").is_some());
    assert_eq!(second.status(), 200);
    assert_eq!((runs(&fleet, "c-1"), runs(&fleet, "c-2")), (0, 1));
}

#[tokio::test]
async fn the_answer_to_another_request_is_not_passed_on() {
    let fleet = plain_fleet().await;
    fleet.services[0].set_fault(ServiceFault { mismatched_ids: 1, ..ServiceFault::default() });
    fleet.services[1].set_fault(ServiceFault { mismatched_ids: 1, ..ServiceFault::default() });

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
}

#[tokio::test]
async fn a_stream_is_passed_on_whole() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &[])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;

    let outcome = fleet.call(stream("/chat/", "m1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(outcome.body(), whole_stream("c-1", 12));
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_off_goes_on_at_another_engine() {
    let mut fleet = TestFleet::start().await;
    for (index, name) in ["i-1", "i-2"].into_iter().enumerate() {
        fleet.add_engine(engine(name, &["m1"], &[])).await;
        fleet.add_agent(index).await;
        let fault = EngineFault { broken_streams: 1, ..EngineFault::default() };
        fleet.engines[0].set_fault(fault);
    }
    fleet.add_gateway().await;

    let first = fleet.call(stream("/report/", "m1", "c-1")).await;
    let second = fleet.call(stream("/report/", "m1", "c-2")).await;

    assert_eq!(first.body(), whole_stream("c-1", 12));
    assert_eq!(second.body(), whole_stream("c-2", 12));
    let runs: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.streams()).collect();
    assert_eq!(runs.iter().filter(|run| run.after == Some(3)).count(), 1, "{runs:?}");
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &[])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    fleet.engines[0].set_fault(EngineFault { broken_streams: 1, ..EngineFault::default() });

    let outcome = fleet.call(stream("/chat/", "m1", "c-1")).await;

    assert!(matches!(outcome, CallOutcome::Cut(_)), "{outcome:?}");
    assert_eq!(fleet.engines[0].streams().len(), 1);
}

#[tokio::test]
async fn a_stream_that_breaks_off_before_its_first_event_is_answered_with_a_failure() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &[])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    fleet.engines[0].set_fault(EngineFault { broken_heads: 1, ..EngineFault::default() });

    let outcome = fleet.call(stream("/chat/", "m1", "c-1")).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
    assert_eq!(outcome.header("retry-after"), None);
    assert_eq!(fleet.engines[0].streams().len(), 1);
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_off_before_its_first_event_runs_elsewhere() {
    let mut fleet = TestFleet::start().await;
    for (index, name) in ["i-1", "i-2"].into_iter().enumerate() {
        fleet.add_engine(engine(name, &["m1"], &[])).await;
        fleet.add_agent(index).await;
    }
    let fault = EngineFault { broken_heads: 1, ..EngineFault::default() };
    fleet.engines[0].set_fault(fault);
    fleet.add_gateway().await;

    let first = fleet.call(stream("/report/", "m1", "c-1")).await;
    let second = fleet.call(stream("/report/", "m1", "c-2")).await;

    assert_eq!((first.status(), second.status()), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.body(), whole_stream("c-1", 12));
    assert_eq!(second.body(), whole_stream("c-2", 12));
}

#[tokio::test]
async fn a_stream_that_cannot_begin_is_refused_while_its_caller_still_waits() {
    let mut fleet = TestFleet::start().await;
    let full = EngineOptions { adapter_slots: 0, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(full).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    let patience = Duration::from_secs(1);
    let began = Instant::now();

    let outcome = fleet.call(patient_stream("/report/", "m1/a1", "c-1", patience)).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(outcome.header("retry-after").is_some());
    assert!(began.elapsed() < patience - Duration::from_millis(100), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_missing_model_is_loaded_once_for_all_that_wait() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1", "m2", "m3"], &["m4"])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;

    let calls = ["c-1", "c-2", "c-3"].map(|call| fleet.call(stream("/report/", "m4", call)));
    let outcomes = futures::future::join_all(calls).await;

    assert!(outcomes.iter().all(|outcome| outcome.status() == 200), "{outcomes:?}");
    assert!(fleet.engines[0].models().contains(&"m4".to_owned()));
    assert_eq!(fleet.engines[0].orders(), 2, "one drop and one load");
    assert!(fleet.engines[0].violations().is_empty());
}

#[tokio::test]
async fn a_gateway_that_has_just_started_plans_loads_at_once() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1", "m2", "m3"], &["m4"])).await;
    fleet.add_agent(0).await;
    time::sleep(Duration::from_millis(300)).await;
    fleet.start_gateway().await;
    time::sleep(Duration::from_millis(150)).await;

    let outcome = fleet.call(stream("/chat/", "m4", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_is_carried_out_once() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &["m4"])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    eventually("spare room is filled", || fleet.engines[0].models().len() >= 2).await;
    fleet.engines[0].set_fault(EngineFault { dropped_order_answers: 2, ..EngineFault::default() });

    let outcome = fleet.call(stream("/report/", "m1/a1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(fleet.engines[0].adapters("m1"), ["a1"]);
    assert!(fleet.engines[0].violations().is_empty());
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_engine() {
    let mut fleet = TestFleet::start().await;
    let slow = EngineOptions { events: 1_000, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(slow).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;

    let sent = support::send(fleet.callers(0), stream("/chat/", "m1", "c-1")).await;
    let (connection, response) = sent.expect("it is answered");
    drop(response);
    drop(connection);
    time::sleep(Duration::from_millis(400)).await;
    let events = fleet.engines[0].streams()[0].events;
    time::sleep(Duration::from_millis(300)).await;

    assert_eq!(fleet.engines[0].streams()[0].events, events);
    assert!(events < 500);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_away() {
    let fleet = plain_fleet().await;

    fleet.store.set_fault(StoreFault::Busy);
    time::sleep(Duration::from_millis(600)).await;
    let during = fleet.call(plain("POST", "/order/a", "c-1")).await;
    fleet.store.set_fault(StoreFault::None);
    let after = fleet.call(plain("POST", "/order/a", "c-2")).await;

    assert_eq!((during.status(), after.status()), (200, 200));
}

#[tokio::test]
async fn a_new_configuration_is_in_force_soon_and_an_older_one_never_again() {
    let fleet = plain_fleet().await;
    let more = platform_standin::RouteSpec::non_idempotent("/new/", support::PLAIN);
    fleet.store.write("config", "main", &catalog().route(more).build(9));
    time::sleep(Duration::from_millis(500)).await;
    let new = fleet.call(plain("POST", "/new/a", "c-1")).await;

    fleet.store.write("config", "main", &catalog().build(5));
    time::sleep(Duration::from_millis(500)).await;
    let still = fleet.call(plain("POST", "/new/a", "c-2")).await;

    assert_eq!((new.status(), still.status()), (200, 200));
}

#[tokio::test]
async fn a_leaving_server_gets_nothing_new() {
    let fleet = plain_fleet().await;
    let address = fleet.services[0].address().to_string();
    let leaving = serde_json::json!({ "service": support::PLAIN, "zone": "zone-a",
        "address": address, "slots": 6, "state": "draining", "born": 1 });
    fleet.store.write("servers", "s-1", &leaving);
    time::sleep(Duration::from_millis(400)).await;
    let before = fleet.services[0].records().len();

    for number in 0..10 {
        fleet.call(plain("POST", "/order/a", &format!("c-{number}"))).await;
    }

    assert_eq!(fleet.services[0].records().len(), before);
    assert_eq!(fleet.services[1].records().len(), 10);
}

#[tokio::test]
async fn entries_of_other_writers_are_passed_over() {
    let fleet = plain_fleet().await;
    fleet.store.write("servers", "s-9", &serde_json::json!({ "service": 7, "state": [] }));
    fleet.store.write("servers", "s-8", &serde_json::json!("no object"));
    fleet.store.compact();
    time::sleep(Duration::from_millis(600)).await;

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
}

#[tokio::test]
async fn requests_before_the_first_configuration_are_refused_as_not_run() {
    let mut fleet = TestFleet::start().await;
    fleet.store.set_fault(StoreFault::Busy);
    fleet.start_gateway().await;

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(outcome.header("retry-after").is_some());
}

#[tokio::test]
async fn a_planned_stop_ends_streams_whole_and_refuses_what_waits() {
    let mut fleet = TestFleet::start().await;
    let long = EngineOptions { events: 100, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(long).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];

    let running = support::call(*callers, stream("/chat/", "m1", "c-1"));
    let waiting = support::call(*callers, stream("/report/", "unknown-to-engines", "c-2"));
    let stop = async {
        time::sleep(Duration::from_millis(150)).await;
        handle.stop().await;
    };
    let (running, waiting, ()) = tokio::join!(running, waiting, stop);

    assert_eq!(running.body(), whole_stream("c-1", 100));
    assert_eq!(waiting.status(), 503, "{waiting:?}");
}

#[tokio::test]
async fn connections_are_served_until_the_balancer_has_noticed_a_planned_stop() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("i-1").await;
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];
    let (mut kept, first) =
        support::send(*callers, plain("GET", "/read/a", "c-1")).await.expect("it is served");
    support::read(first).await;

    let calls = async {
        time::sleep(Duration::from_millis(300)).await;
        let new = support::call(*callers, plain("GET", "/read/a", "c-2")).await;
        let again = kept.send(plain("GET", "/read/a", "c-3")).await.expect("it is served");
        (new, support::read(again).await)
    };
    let ((new, again), ()) = tokio::join!(calls, handle.stop());

    for outcome in [new, again] {
        assert_eq!(outcome.status(), 200, "{outcome:?}");
        assert_eq!(outcome.header("connection"), Some("close"), "callers go elsewhere next");
    }
    let late = support::call(*callers, plain("GET", "/read/a", "c-4")).await;
    assert!(matches!(&late, CallOutcome::None(reason) if reason.contains("refused")), "{late:?}");
}

/// Stops a gateway while it relays a stream of `events`; returns what `meanwhile` does with the
/// gateway's address.
async fn stop_beside_a_stream<T>(events: u64, meanwhile: impl AsyncFnOnce(SocketAddr) -> T) -> T {
    let mut fleet = TestFleet::start().await;
    let long = EngineOptions { events, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(long).await;
    fleet.add_agent(0).await;
    fleet.add_service("i-2").await;
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];

    let patience = Duration::from_secs(10);
    let running = support::call(*callers, support::patient_stream("/chat/", "m1", "c-1", patience));
    let stop = async {
        time::sleep(Duration::from_millis(150)).await;
        handle.stop().await;
    };
    let (_, seen, ()) = tokio::join!(running, meanwhile(*callers), stop);
    seen
}

/// All entries are stopped within a few seconds: the balancer has no other to send requests to.
#[tokio::test]
async fn requests_that_end_before_a_planned_stop_does_are_served_to_the_end() {
    let (short, long) = stop_beside_a_stream(2_000, async |callers| {
        time::sleep(Duration::from_millis(3_000)).await;
        let short = support::call(callers, plain("GET", "/read/a", "c-2")).await;
        let long = support::call(callers, stream("/chat/", "m1", "c-3")).await;
        (short, long)
    })
    .await;

    assert_eq!(short.status(), 200, "{short:?}");
    assert_eq!(long.status(), 503, "{long:?}");
    let wait: f64 = long.header("retry-after").and_then(|wait| wait.parse().ok()).expect("a time");
    assert!((0.5..1.6).contains(&wait), "callers come back when the process has ended: {wait}");
}

/// The connection is accepted before the listener closes, its request comes after.
#[tokio::test]
async fn requests_that_come_when_a_planned_stop_has_ended_are_refused_as_not_run() {
    let late = stop_beside_a_stream(285, async |callers| {
        time::sleep(Duration::from_millis(2_850)).await;
        let mut accepted = Vec::new();
        while let Ok(connection) = support::connect(callers).await {
            accepted.push(connection);
            time::sleep(Duration::from_millis(10)).await;
        }
        // The last one may not have been accepted.
        let mut connection = accepted.swap_remove(accepted.len() - 2);
        let answer = connection.send(plain("GET", "/read/a", "c-2")).await.expect("an answer");
        support::read(answer).await
    })
    .await;

    assert_eq!(late.status(), 503, "{late:?}");
}
