//! Requests through gateways, agents and stand-ins of the platform.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use platform_standin::{EngineFault, EngineOptions, ServiceFault, StoreFault, caller};
use support::{
    CallOutcome, TestFleet, catalog, complete_stream, eventually, plain, stream,
    stream_with_timeout,
};
use tokio::time;

fn engine(instance: &str, residents: &[&str], on_disk: &[&str]) -> EngineOptions {
    EngineOptions {
        residents: residents.iter().map(ToString::to_string).collect(),
        on_disk: on_disk.iter().map(ToString::to_string).collect(),
        ..EngineOptions::new(instance)
    }
}

async fn start_plain_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-1").await;
    fleet.add_service("s-2").await;
    fleet.add_gateway().await;
    fleet
}

fn run_count(fleet: &TestFleet, call: &str) -> usize {
    let records = fleet.services.iter().flat_map(|service| service.records());
    records.filter(|record| record.call == call).count()
}

#[tokio::test]
async fn request_is_forwarded_unchanged() {
    let fleet = start_plain_fleet().await;

    let outcome = fleet.call(plain("POST", "/order/dam/7?urgent=1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(outcome.headers().and_then(caller::answer_call_id), Some("c-1"));
    assert!(outcome.headers().and_then(caller::answer_signature).is_some());
    let records: Vec<_> = fleet.services.iter().flat_map(|service| service.records()).collect();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].request_line, "POST /order/dam/7?urgent=1");
    assert_eq!(records[0].body, "a dam check");
    assert!(records[0].timeout_ms.is_some_and(|timeout| timeout <= 1_000));
}

#[tokio::test]
async fn request_without_route_is_refused() {
    let fleet = start_plain_fleet().await;

    let outcome = fleet.call(plain("POST", "/nowhere/", "c-1")).await;

    assert_eq!(outcome.status(), 404);
    assert_eq!(run_count(&fleet, "c-1"), 0);
}

#[tokio::test]
async fn idempotent_request_is_retried_after_lost_answer() {
    let fleet = start_plain_fleet().await;
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
async fn non_idempotent_request_is_not_retried_after_lost_answer() {
    let fleet = start_plain_fleet().await;
    let fault = ServiceFault { dropped_answers: 1, ..ServiceFault::default() };
    fleet.services[0].set_fault(fault);
    fleet.services[1].set_fault(fault);

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
    assert_eq!(outcome.header("retry-after"), None);
    assert_eq!(run_count(&fleet, "c-1"), 1);
}

#[tokio::test]
async fn refused_request_is_retried_and_runs_once() {
    let fleet = start_plain_fleet().await;
    fleet.services[0].set_fault(ServiceFault { refusals: 1, ..ServiceFault::default() });
    fleet.services[1].set_fault(ServiceFault { refusals: 1, ..ServiceFault::default() });
    let first = fleet.call(plain("POST", "/order/a", "c-1")).await;

    let second = fleet.call(plain("POST", "/order/a", "c-2")).await;

    assert_eq!(first.status(), 503, "refused by both servers: {first:?}");
    assert!(first.header("retry-after").is_some());
    assert_eq!(second.status(), 200);
    assert_eq!((run_count(&fleet, "c-1"), run_count(&fleet, "c-2")), (0, 1));
}

#[tokio::test]
async fn answer_with_wrong_call_id_is_rejected() {
    let fleet = start_plain_fleet().await;
    fleet.services[0].set_fault(ServiceFault { mismatched_ids: 1, ..ServiceFault::default() });
    fleet.services[1].set_fault(ServiceFault { mismatched_ids: 1, ..ServiceFault::default() });

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
}

#[tokio::test]
async fn stream_is_relayed_completely() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &[])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;

    let outcome = fleet.call(stream("/chat/", "m1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(outcome.body(), complete_stream("c-1", 12));
}

#[tokio::test]
async fn interrupted_stream_is_resumed_at_another_engine() {
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

    assert_eq!(first.body(), complete_stream("c-1", 12));
    assert_eq!(second.body(), complete_stream("c-2", 12));
    let streams: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.streams()).collect();
    assert_eq!(streams.iter().filter(|found| found.after == Some(3)).count(), 1, "{streams:?}");
}

#[tokio::test]
async fn interrupted_stream_does_not_look_complete() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &[])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    fleet.engines[0].set_fault(EngineFault { broken_streams: 1, ..EngineFault::default() });

    let outcome = fleet.call(stream("/chat/", "m1", "c-1")).await;

    assert!(matches!(outcome, CallOutcome::Truncated(_)), "{outcome:?}");
    assert_eq!(fleet.engines[0].streams().len(), 1);
}

#[tokio::test]
async fn stream_without_first_event_fails() {
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
async fn resumable_stream_without_first_event_is_retried() {
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
    assert_eq!(first.body(), complete_stream("c-1", 12));
    assert_eq!(second.body(), complete_stream("c-2", 12));
}

#[tokio::test]
async fn stream_that_cannot_start_is_refused_before_caller_timeout() {
    let mut fleet = TestFleet::start().await;
    let full = EngineOptions { adapter_slots: 0, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(full).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    let timeout = Duration::from_secs(1);
    let began = Instant::now();

    let outcome = fleet.call(stream_with_timeout("/report/", "m1/a1", "c-1", timeout)).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(outcome.header("retry-after").is_some());
    assert!(began.elapsed() < timeout - Duration::from_millis(100), "{:?}", began.elapsed());
}

#[tokio::test]
async fn missing_model_is_loaded_once_for_all_waiting_requests() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1", "m2", "m3"], &["m4"])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;

    let calls = ["c-1", "c-2", "c-3"].map(|call| fleet.call(stream("/report/", "m4", call)));
    let outcomes = futures::future::join_all(calls).await;

    assert!(outcomes.iter().all(|outcome| outcome.status() == 200), "{outcomes:?}");
    assert!(fleet.engines[0].models().contains(&"m4".to_owned()));
    assert_eq!(fleet.engines[0].orders(), 2, "one unload and one load");
    assert!(fleet.engines[0].violations().is_empty());
}

#[tokio::test]
async fn new_gateway_plans_loads_at_once() {
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
async fn order_with_lost_answer_runs_once() {
    let mut fleet = TestFleet::start().await;
    fleet.add_engine(engine("i-1", &["m1"], &["m4"])).await;
    fleet.add_agent(0).await;
    fleet.add_gateway().await;
    eventually("free memory is filled", || fleet.engines[0].models().len() >= 2).await;
    fleet.engines[0].set_fault(EngineFault { dropped_order_answers: 2, ..EngineFault::default() });

    let outcome = fleet.call(stream("/report/", "m1/a1", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(fleet.engines[0].adapters("m1"), ["a1"]);
    assert!(fleet.engines[0].violations().is_empty());
}

#[tokio::test]
async fn disconnect_cancels_work_at_engine() {
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
async fn requests_are_served_during_store_outage() {
    let fleet = start_plain_fleet().await;

    fleet.store.set_fault(StoreFault::Busy);
    time::sleep(Duration::from_millis(600)).await;
    let during = fleet.call(plain("POST", "/order/a", "c-1")).await;
    fleet.store.set_fault(StoreFault::None);
    let after = fleet.call(plain("POST", "/order/a", "c-2")).await;

    assert_eq!((during.status(), after.status()), (200, 200));
}

#[tokio::test]
async fn new_configuration_is_adopted_and_older_one_ignored() {
    let fleet = start_plain_fleet().await;
    let more = platform_standin::RouteSpec::non_idempotent("/new/", support::PLAIN_SERVICE);
    fleet.store.write("config", "main", &catalog().route(more).build(9));
    time::sleep(Duration::from_millis(500)).await;
    let new = fleet.call(plain("POST", "/new/a", "c-1")).await;

    fleet.store.write("config", "main", &catalog().build(5));
    time::sleep(Duration::from_millis(500)).await;
    let still = fleet.call(plain("POST", "/new/a", "c-2")).await;

    assert_eq!((new.status(), still.status()), (200, 200));
}

#[tokio::test]
async fn draining_server_gets_no_new_requests() {
    let fleet = start_plain_fleet().await;
    let address = fleet.services[0].address().to_string();
    let draining = serde_json::json!({ "service": support::PLAIN_SERVICE, "zone": "zone-a",
        "address": address, "slots": 6, "state": "draining", "born": 1 });
    fleet.store.write("servers", "s-1", &draining);
    time::sleep(Duration::from_millis(400)).await;
    let before = fleet.services[0].records().len();

    for number in 0..10 {
        fleet.call(plain("POST", "/order/a", &format!("c-{number}"))).await;
    }

    assert_eq!(fleet.services[0].records().len(), before);
    assert_eq!(fleet.services[1].records().len(), 10);
}

#[tokio::test]
async fn invalid_store_objects_are_skipped() {
    let fleet = start_plain_fleet().await;
    fleet.store.write("servers", "s-9", &serde_json::json!({ "service": 7, "state": [] }));
    fleet.store.write("servers", "s-8", &serde_json::json!("no object"));
    fleet.store.compact();
    time::sleep(Duration::from_millis(600)).await;

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
}

#[tokio::test]
async fn request_before_first_configuration_is_refused() {
    let mut fleet = TestFleet::start().await;
    fleet.store.set_fault(StoreFault::Busy);
    fleet.start_gateway().await;

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(outcome.header("retry-after").is_some());
}

#[tokio::test]
async fn planned_stop_completes_streams_and_refuses_waiting_requests() {
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

    assert_eq!(running.body(), complete_stream("c-1", 100));
    assert_eq!(waiting.status(), 503, "{waiting:?}");
}

#[tokio::test]
async fn connections_are_served_until_balancer_notices_planned_stop() {
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
        assert_eq!(outcome.header("connection"), Some("close"), "the caller is asked to reconnect");
    }
    let late = support::call(*callers, plain("GET", "/read/a", "c-4")).await;
    assert!(
        matches!(&late, CallOutcome::NoAnswer(reason) if reason.contains("refused")),
        "{late:?}"
    );
}

/// Stops a gateway while it relays a stream of `events` events, and runs `meanwhile` with the
/// gateway's address; returns the result of `meanwhile`.
async fn stop_during_stream<T>(events: u64, meanwhile: impl AsyncFnOnce(SocketAddr) -> T) -> T {
    let mut fleet = TestFleet::start().await;
    let long = EngineOptions { events, ..engine("i-1", &["m1"], &[]) };
    fleet.add_engine(long).await;
    fleet.add_agent(0).await;
    fleet.add_service("i-2").await;
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];

    let timeout = Duration::from_secs(10);
    let running =
        support::call(*callers, support::stream_with_timeout("/chat/", "m1", "c-1", timeout));
    let stop = async {
        time::sleep(Duration::from_millis(150)).await;
        handle.stop().await;
    };
    let (_, outcome, ()) = tokio::join!(running, meanwhile(*callers), stop);
    outcome
}

/// If all entries stop within a few seconds, the balancer has no other entry and still sends
/// requests here. They are lost if the stopping entry refuses them all.
#[tokio::test]
async fn requests_that_fit_into_planned_stop_are_served() {
    let (short, long) = stop_during_stream(2_000, async |callers| {
        time::sleep(Duration::from_millis(3_000)).await;
        let short = support::call(callers, plain("GET", "/read/a", "c-2")).await;
        let long = support::call(callers, stream("/chat/", "m1", "c-3")).await;
        (short, long)
    })
    .await;

    assert_eq!(short.status(), 200, "{short:?}");
    assert_eq!(long.status(), 503, "{long:?}");
    let wait: f64 = long.header("retry-after").and_then(|wait| wait.parse().ok()).expect("a time");
    assert!((0.5..1.6).contains(&wait), "callers retry when the process has ended: {wait}");
}

/// A connection that is accepted just before the listener closes can carry its request after that;
/// without an answer its caller cannot know that the request has not run.
#[tokio::test]
async fn requests_after_planned_stop_are_refused() {
    let late = stop_during_stream(285, async |callers| {
        time::sleep(Duration::from_millis(2_850)).await;
        let mut accepted = Vec::new();
        while let Ok(connection) = support::connect(callers).await {
            accepted.push(connection);
            time::sleep(Duration::from_millis(10)).await;
        }
        // The last connection may still be in the listener's backlog, not accepted.
        let mut connection = accepted.swap_remove(accepted.len() - 2);
        let answer = connection.send(plain("GET", "/read/a", "c-2")).await.expect("an answer");
        support::read(answer).await
    })
    .await;

    assert_eq!(late.status(), 503, "{late:?}");
}
