//! Streams with neither a length nor chunks, which end with their connection: one that ends inside
//! an event has been broken off.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use platform_standin::EngineOptions;
use rstest::rstest;
use serde_json::json;
use support::{CallOutcome, ENGINE_SERVICE, TestFleet, complete_stream, stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const EVENTS: u64 = 3;
/// Length of one event of [`complete_stream`] for a call id of one byte.
const EVENT_BYTES: usize = "id: 1\ndata: c token 1\n\n".len();
const CALL: &str = "c";
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an engine that sends the first `length` bytes of a stream and closes the connection.
async fn start_engine(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let answer = format!("{HEAD}{}", &complete_stream(CALL, EVENTS)[..length]);
                if stream.read(&mut request).await.is_ok() {
                    // The caller sees what is missing.
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

async fn start_fleet(length: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    let address = start_engine(length).await;
    let models = json!([{ "name": "m1", "version": 1, "adapters": [] }]);
    let entry = json!({ "service": ENGINE_SERVICE, "zone": "zone-a", "version": "v1",
        "address": address.to_string(), "slots": 64, "state": "ready", "cold-left-ms": 0,
        "models": models, "sequence": 1, "born": 1 });
    fleet.store.write("servers", "a-cut", &entry);
    fleet.add_gateway().await;
    fleet
}

/// Sends the request again while the gateway does not know the engine yet.
async fn call_when_ready(fleet: &TestFleet, path: &str) -> CallOutcome {
    let ready_by = Instant::now() + READY_TIMEOUT;
    loop {
        let outcome = fleet.call(stream(path, "m1", CALL)).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            return outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

#[rstest]
#[case::resumable("/report/")]
#[case::not_resumable("/chat/")]
#[tokio::test]
async fn stream_that_ends_after_an_event_is_complete(#[case] path: &str) {
    for events in 1..=EVENTS {
        let fleet = start_fleet(EVENT_BYTES * events as usize).await;

        let outcome = call_when_ready(&fleet, path).await;

        assert_eq!((outcome.status(), outcome.body()), (200, &*complete_stream(CALL, events)));
    }
}

#[rstest]
#[case::resumable("/report/")]
#[case::not_resumable("/chat/")]
#[tokio::test]
async fn stream_that_ends_inside_an_event_does_not_look_complete(#[case] path: &str) {
    for length in EVENT_BYTES + 1..EVENT_BYTES * 2 {
        let fleet = start_fleet(length).await;

        let outcome = call_when_ready(&fleet, path).await;

        assert!(matches!(outcome, CallOutcome::Truncated(_)), "{length} bytes: {outcome:?}");
    }
}

#[rstest]
#[case::resumable("/report/")]
#[case::not_resumable("/chat/")]
#[tokio::test]
async fn stream_without_an_event_is_a_failure(#[case] path: &str) {
    let fleet = start_fleet(0).await;

    let outcome = call_when_ready(&fleet, path).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
}

#[tokio::test]
async fn resumable_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    let mut fleet = start_fleet(EVENT_BYTES + 5).await;
    call_when_ready(&fleet, "/report/").await;
    let options = EngineOptions {
        residents: vec!["m1".to_owned()],
        events: EVENTS,
        ..EngineOptions::new("b-whole")
    };
    fleet.add_engine(options).await;
    time::sleep(READY_TIMEOUT / 5).await;

    let outcome = fleet.call(stream("/report/", "m1", CALL)).await;

    assert_eq!((outcome.status(), outcome.body()), (200, &*complete_stream(CALL, EVENTS)));
}
