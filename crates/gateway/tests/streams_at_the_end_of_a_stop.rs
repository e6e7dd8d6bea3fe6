//! Streams that no backend server serves yet when the grace of a planned stop is over: each is
//! answered before the process ends.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use platform_standin::{EngineOptions, RouteSpec, ServiceFault};
use rstest::rstest;
use support::{
    CallOutcome, PLAIN_SERVICE, TestFleet, catalog,
    gateway_process::{GatewayProcess, StopLoad},
    plain_with_timeout, stream_with_timeout,
};
use tokio::{task::JoinHandle, time};

/// Longer than the grace of the gateway, which is five seconds.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time in which an engine does not begin an answer.
const NEVER: Duration = Duration::from_secs(60);

/// A fleet whose engines hold the same model and do not begin an answer. Their agents admit few
/// prompts at a time, so that most requests wait for a permit.
async fn fleet_of_busy_engines(engines: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    for index in 0..engines {
        let options = EngineOptions {
            residents: vec!["m1".to_owned()],
            first_event: NEVER,
            ..EngineOptions::new(&format!("i-{index}"))
        };
        let engine = fleet.add_engine(options).await;
        fleet.add_agent(engine).await;
    }
    fleet
}

/// Sends `count` requests to `path` one after the other, within a second.
async fn send_streams(
    gateway: SocketAddr,
    path: &'static str,
    count: u32,
) -> Vec<JoinHandle<CallOutcome>> {
    let mut calls = Vec::new();
    for number in 0..count {
        let call = format!("{}-{number}", gateway.ip());
        let request = stream_with_timeout(path, "m1", &call, CALLER_TIMEOUT);
        calls.push(tokio::spawn(support::call(gateway, request)));
        time::sleep(Duration::from_secs(1) / count).await;
    }
    calls
}

/// Callers wait longer for the first event of a stream that may be resumed than a stop takes.
#[rstest]
#[case::resumable(1, "/report/")]
#[case::resumable_at_two_engines(2, "/report/")]
#[case::once_only(2, "/chat/")]
#[tokio::test]
async fn stream_without_an_event_is_answered_before_the_end_of_a_planned_stop(
    #[case] engines: usize,
    #[case] path: &'static str,
) {
    let mut fleet = fleet_of_busy_engines(engines).await;
    fleet.add_gateway().await;
    let gateway = fleet.add_gateway_process(1).await;
    // These prompts are admitted first, so that permits stay rare when the other gateway ends.
    let _others = send_streams(fleet.callers(0), "/report/", 80).await;
    let calls = send_streams(gateway.callers, path, 40).await;

    let log = gateway.stop().await;
    let outcomes = futures::future::join_all(calls).await;

    let outcomes = outcomes.into_iter().map(|outcome| outcome.expect("no caller panics"));
    let unanswered = outcomes.enumerate().filter(|(_, outcome)| outcome.status() == 0);
    let unanswered: Vec<_> = unanswered.collect();
    let unfinished = log.iter().filter(|line| line["event"] == "call-unanswered").count();
    assert!(
        unanswered.is_empty(),
        "{} of 40 ({unfinished} by the log): {unanswered:?}",
        unanswered.len()
    );
}

/// When a gateway of these tests aborts its requests, counted from the stop: its grace less the
/// margin for the shutdown of the process.
const ABORT_AFTER: Duration = Duration::from_millis(4_300);

/// A fleet of plain servers that never answer, and a gateway with `count` requests at them.
async fn fleet_with_requests_at_servers(
    count: u32,
) -> (TestFleet, GatewayProcess, Vec<JoinHandle<CallOutcome>>) {
    let mut fleet = TestFleet::start().await;
    let route = RouteSpec::streaming("/watch/", PLAIN_SERVICE, true);
    fleet.store.write("config", "main", &catalog().route(route).build(2));
    // A gateway opens at most 76 connections to one of them.
    for index in 0..count.div_ceil(60) {
        let service = fleet.add_service(&format!("s-{index}")).await;
        let fault = ServiceFault { is_unresponsive: true, ..ServiceFault::default() };
        fleet.services[service].set_fault(fault);
    }
    let gateway = fleet.add_gateway_process(0).await;
    let calls = (0..count).map(|number| {
        let call = format!("w-{number}");
        let request = plain_with_timeout("GET", "/watch/a", &call, CALLER_TIMEOUT);
        tokio::spawn(support::call(gateway.callers, request))
    });
    let calls = calls.collect();
    time::sleep(Duration::from_millis(500)).await;
    (fleet, gateway, calls)
}

#[tokio::test]
async fn request_at_a_server_is_answered_at_the_end_of_a_stop_on_a_busy_vm() {
    let (_fleet, gateway, calls) = fleet_with_requests_at_servers(240).await;
    let load = StopLoad {
        from: ABORT_AFTER - Duration::from_millis(200),
        tasks: 40,
        slice: Duration::from_millis(5),
    };

    gateway.stop_with(load).await;
    let outcomes = futures::future::join_all(calls).await;

    let outcomes = outcomes.into_iter().map(|outcome| outcome.expect("no caller panics"));
    let unanswered = outcomes.filter(|outcome| outcome.status() == 0).count();
    assert_eq!(unanswered, 0, "of 240");
}
