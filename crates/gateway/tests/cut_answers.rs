//! Answers that break off after each of their bytes: none reaches the caller as a success.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::prelude::Instant;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use support::{CallOutcome, ENGINE_SERVICE, TestFleet, plain, stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nserver-seal: seal\r\ncontent-length: 10\r\n\r\n0123456789";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nserver-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";
const UNTIL_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nserver-seal: seal\r\nconnection: close\r\n\r\n0123456789";
const BODY: &str = "0123456789";
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nattempt-id: c-1\r\n\
    server-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n14\r\nid: 1\ndata: first\n\n\n\r\n0\r\n\r\n";
const STREAM_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    attempt-id: c-1\r\nserver-seal: seal\r\nconnection: close\r\n\r\nid: 1\ndata: first\n\n";
/// Number of fleets at a time.
const PARALLEL_FLEETS: usize = 8;
/// Longest time until a gateway knows its configuration and servers, on a loaded machine.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How a backend server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

async fn start_cut_server(answer: &'static str, length: usize, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_cut(stream, &answer[..length], end));
        }
    });
    address
}

async fn send_cut(mut stream: TcpStream, answer: &str, end: ConnectionEnd) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_err()
        || stream.write_all(answer.as_bytes()).await.is_err()
    {
        return;
    }
    if end == ConnectionEnd::Reset {
        // The bytes arrive before the reset discards what is not read.
        time::sleep(Duration::from_millis(20)).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket option");
    }
}

/// Outcome of a request that may not be repeated, at a server that sends `length` bytes of
/// `answer`. Asks again while the gateway does not know the server yet.
async fn call_cut(answer: &'static str, length: usize, end: ConnectionEnd) -> CallOutcome {
    let mut fleet = TestFleet::start().await;
    fleet.register_service("i-1", start_cut_server(answer, length, end).await);
    fleet.add_gateway().await;
    let ready_by = Instant::now() + READY_TIMEOUT;
    loop {
        let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            return outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// The same for a stream.
async fn stream_cut(answer: &'static str, length: usize, end: ConnectionEnd) -> CallOutcome {
    let mut fleet = TestFleet::start().await;
    let address = start_cut_server(answer, length, end).await;
    let models = json!([{ "name": "m1", "version": 1, "adapters": [] }]);
    let entry = json!({ "service": ENGINE_SERVICE, "zone": "zone-a", "version": "v1",
        "address": address.to_string(), "slots": 64, "state": "ready", "cold-left-ms": 0, "models": models,
        "sequence": 1, "born": 1 });
    fleet.store.write("servers", "i-1", &entry);
    fleet.add_gateway().await;
    let ready_by = Instant::now() + READY_TIMEOUT;
    loop {
        let outcome = fleet.call(stream("/chat/a", "m1", "c-1")).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            return outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn call_all(
    answer: &'static str,
    lengths: impl Iterator<Item = usize>,
    end: ConnectionEnd,
) -> Vec<(usize, CallOutcome)> {
    let calls = lengths.map(async |length| (length, call_cut(answer, length, end).await));
    let calls = futures::stream::iter(calls);
    futures::StreamExt::collect(futures::StreamExt::buffer_unordered(calls, PARALLEL_FLEETS)).await
}

#[rstest]
#[case::with_length(WITH_LENGTH, ConnectionEnd::Close)]
#[case::with_length_reset(WITH_LENGTH, ConnectionEnd::Reset)]
#[case::chunked(CHUNKED, ConnectionEnd::Close)]
#[case::until_close_reset(UNTIL_CLOSE, ConnectionEnd::Reset)]
#[tokio::test]
async fn cut_answer_is_not_a_success(#[case] answer: &'static str, #[case] end: ConnectionEnd) {
    let outcomes = call_all(answer, 0..answer.len(), end).await;

    for (length, outcome) in outcomes {
        assert_eq!(outcome.status(), 502, "after {length} bytes: {outcome:?}");
    }
}

#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
#[case::until_close(UNTIL_CLOSE)]
#[tokio::test]
async fn whole_answer_is_a_success(#[case] answer: &'static str) {
    let outcome = call_cut(answer, answer.len(), ConnectionEnd::Close).await;

    assert_eq!((outcome.status(), outcome.body()), (200, BODY));
}

#[tokio::test]
async fn answer_without_a_length_is_not_a_success_if_it_ends_with_a_reset() {
    let outcome = call_cut(UNTIL_CLOSE, UNTIL_CLOSE.len(), ConnectionEnd::Reset).await;

    assert_eq!(outcome.status(), 502, "{outcome:?}");
}

/// Where the head of an answer ends.
fn head_length(answer: &str) -> usize {
    answer.find("\r\n\r\n").expect("the head is complete") + 4
}

#[rstest]
#[case::chunked(STREAM, ConnectionEnd::Close)]
#[case::chunked_reset(STREAM, ConnectionEnd::Reset)]
#[case::until_close(STREAM_UNTIL_CLOSE, ConnectionEnd::Close)]
#[tokio::test]
async fn stream_that_ends_within_its_head_is_not_a_success(
    #[case] answer: &'static str,
    #[case] end: ConnectionEnd,
) {
    let lengths = 0..=head_length(answer);
    let calls = lengths.map(async |length| (length, stream_cut(answer, length, end).await));
    let calls = futures::stream::iter(calls);
    let outcomes: Vec<_> =
        futures::StreamExt::collect(futures::StreamExt::buffer_unordered(calls, PARALLEL_FLEETS))
            .await;

    for (length, outcome) in outcomes {
        assert_eq!(outcome.status(), 502, "after {length} bytes: {outcome:?}");
    }
}

#[tokio::test]
async fn whole_stream_is_a_success() {
    let outcome =
        stream_cut(STREAM_UNTIL_CLOSE, STREAM_UNTIL_CLOSE.len(), ConnectionEnd::Close).await;

    assert_eq!((outcome.status(), outcome.body()), (200, "id: 1\ndata: first\n\n"));
}
