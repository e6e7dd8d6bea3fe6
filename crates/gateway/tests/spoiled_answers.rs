//! Backend servers that hand out bytes which are not their answers: none of these reaches a caller
//! as an answer, and none is taken for a refusal of a request that may have run.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use rstest::rstest;
use serde_json::json;
use support::{CallOutcome, ENGINE_SERVICE, TestFleet, plain, stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const SOUND: &str = "HTTP/1.1 200 OK\r\nattempt-id: c-1\r\nserver-seal: seal\r\n\
    content-length: 3\r\n\r\nabc";
/// Longest time until a gateway knows its configuration and servers, on a loaded machine.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A server that sends `answer` for each request, and closes the connection.
async fn start_server(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_answer(stream, answer.clone()));
        }
    });
    address
}

async fn send_answer(mut stream: TcpStream, answer: String) {
    let mut request = [0; 4_096];
    // The caller of this server may close the connection first.
    if stream.read(&mut request).await.is_ok() {
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

async fn start_fleet(service: &str, answer: String) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    let address = start_server(answer).await;
    let models = json!([{ "name": "m1", "version": 1, "adapters": [] }]);
    let entry = json!({ "service": service, "zone": "zone-a", "version": "v1",
        "address": address.to_string(), "slots": 64, "state": "ready", "models": models,
        "cold-left-ms": 0, "sequence": 1, "born": 1 });
    fleet.store.write("servers", "i-1", &entry);
    fleet.add_gateway().await;
    fleet
}

/// Outcome of a request at a fleet whose only server sends `answer`. Asks again while the gateway
/// does not know the server yet.
async fn call_spoiled(answer: &str) -> CallOutcome {
    let fleet = start_fleet(support::PLAIN_SERVICE, answer.to_owned()).await;
    let ready_by = Instant::now() + READY_TIMEOUT;
    loop {
        let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            return outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// The same for a stream on `path`.
async fn stream_spoiled(path: &str, answer: String) -> CallOutcome {
    let fleet = start_fleet(ENGINE_SERVICE, answer).await;
    let ready_by = Instant::now() + READY_TIMEOUT;
    loop {
        let outcome = fleet.call(stream(path, "m1", "c-1")).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            return outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn assert_is_unknown(outcome: &CallOutcome) {
    assert!(matches!(outcome.status(), 502 | 504), "the request may have run: {outcome:?}");
    assert_eq!(outcome.header("server-seal"), None, "not a backend server's answer: {outcome:?}");
}

/// Guards against answers without a signature that were passed on as a backend server's own.
#[rstest]
#[case::success("200 OK", "")]
#[case::success_with_empty_signature("200 OK", "server-seal:\r\n")]
#[case::created("201 Created", "")]
#[case::partial_content("206 Partial Content", "")]
#[case::redirection("302 Found", "location: /elsewhere\r\n")]
#[case::bad_request("400 Bad Request", "")]
#[case::unknown_path("404 Not Found", "")]
#[case::too_large("413 Content Too Large", "")]
#[case::timeout("408 Request Timeout", "")]
#[case::too_many("429 Too Many Requests", "retry-after: 1\r\n")]
#[case::failure("500 Internal Server Error", "")]
#[case::overload("503 Service Unavailable", "retry-after: 1\r\n")]
#[case::success_that_was_not_run("200 OK", "server-seal: seal\r\nnot-executed: 1\r\n")]
#[case::unsigned_success_that_was_not_run("200 OK", "not-executed: 1\r\n")]
#[tokio::test]
async fn answer_without_a_signature_is_not_passed_on(#[case] status: &str, #[case] headers: &str) {
    let answer =
        format!("HTTP/1.1 {status}\r\nattempt-id: c-1\r\n{headers}content-length: 5\r\n\r\nwrong");

    let outcome = call_spoiled(&answer).await;

    assert_is_unknown(&outcome);
    assert!(!outcome.body().contains("wrong"), "bytes that are no answer: {outcome:?}");
}

/// Guards against a status line alone, with wrong bytes behind it, that was taken for an answer.
#[tokio::test]
async fn bytes_behind_a_status_line_alone_are_not_passed_on() {
    let outcome = call_spoiled("HTTP/1.1 200 OK\r\n\r\nwrong").await;

    assert_is_unknown(&outcome);
}

/// Guards against an upgrade that no caller asked for and that counted as a success.
#[rstest]
#[case::unsigned("")]
#[case::signed("server-seal: seal\r\n")]
#[tokio::test]
async fn change_of_protocol_is_not_passed_on(#[case] headers: &str) {
    let answer = format!(
        "HTTP/1.1 101 Switching Protocols\r\nattempt-id: c-1\r\nconnection: upgrade\r\n\
         upgrade: other\r\n{headers}\r\n"
    );

    let outcome = call_spoiled(&answer).await;

    assert_is_unknown(&outcome);
}

/// Guards against an encoded body that was passed on as the backend server's own.
#[rstest]
#[case::content("content-encoding: gzip\r\ncontent-length: 5\r\n", "wrong")]
#[case::two_codings("content-encoding: identity, br\r\ncontent-length: 5\r\n", "wrong")]
#[case::transfer("transfer-encoding: gzip, chunked\r\n", "5\r\nwrong\r\n0\r\n\r\n")]
#[tokio::test]
async fn encoded_body_is_not_passed_on(#[case] headers: &str, #[case] body: &str) {
    let answer =
        format!("HTTP/1.1 200 OK\r\nattempt-id: c-1\r\nserver-seal: seal\r\n{headers}\r\n{body}");

    let outcome = call_spoiled(&answer).await;

    assert_is_unknown(&outcome);
}

#[rstest]
#[case::plain(SOUND)]
#[case::identity(
    "HTTP/1.1 200 OK\r\nattempt-id: c-1\r\nserver-seal: seal\r\ncontent-encoding: identity\r\n\
     content-length: 3\r\n\r\nabc"
)]
#[tokio::test]
async fn signed_answer_is_passed_on(#[case] answer: &str) {
    let outcome = call_spoiled(answer).await;

    assert_eq!((outcome.status(), outcome.body()), (200, "abc"));
    assert_eq!(outcome.header("server-seal"), Some("seal"));
}

#[rstest]
#[case::client_error("404 Not Found")]
#[case::server_error("500 Internal Server Error")]
#[tokio::test]
async fn signed_failure_is_passed_on_unchanged(#[case] status: &str) {
    let answer = format!(
        "HTTP/1.1 {status}\r\nattempt-id: c-1\r\nserver-seal: seal\r\ncontent-length: 3\r\n\r\nabc"
    );

    let outcome = call_spoiled(&answer).await;

    assert!(status.starts_with(&outcome.status().to_string()), "{outcome:?}");
    assert_eq!((outcome.body(), outcome.header("server-seal")), ("abc", Some("seal")));
}

/// Guards against a stream without a signature that was passed on.
#[rstest]
#[case::that_may_not_be_resumed("/chat/a", "200 OK")]
#[case::that_may_be_resumed("/report/a", "200 OK")]
#[case::created("/chat/a", "201 Created")]
#[tokio::test]
async fn stream_without_a_signature_is_not_passed_on(#[case] path: &str, #[case] status: &str) {
    let answer = format!(
        "HTTP/1.1 {status}\r\nattempt-id: c-1\r\ncontent-type: text/event-stream\r\n\
         connection: close\r\n\r\nid: 1\ndata: wrong\n\n"
    );

    let outcome = stream_spoiled(path, answer).await;

    assert_is_unknown(&outcome);
}
