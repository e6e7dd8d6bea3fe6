//! A stream has begun and breaks off, and the next engine answers with an error: nothing of the
//! error reaches the caller within the stream, and the stream does not look complete.

mod support;

use std::net::SocketAddr;

use base::prelude::*;
use rstest::rstest;
use serde_json::json;
use support::{CallOutcome, ENGINE_SERVICE, TestFleet, complete_stream, stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

const CALL: &str = "c-1";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const SOUND_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    attempt-id: c-1\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";

/// An engine that sends one event and a half and breaks off, unless the request resumes a stream:
/// then it sends `error`.
async fn start_engine(error: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let length = connection.read(&mut request).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
                let body = complete_stream(CALL, 2);
                let half = &body[..body.len() * 3 / 4];
                let answer = match text.contains("last-event-id") {
                    true => error.to_owned(),
                    false => format!("{SOUND_HEAD}{:x}\r\n{half}\r\n", half.len()),
                };
                // The caller sees what is missing.
                let _ = connection.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

#[rstest]
#[case::server_error(
    "HTTP/1.1 500 x\r\nattempt-id: c-1\r\nserver-seal: s\r\ncontent-length: 9\r\n\r\nan error\n"
)]
#[case::server_error_until_close(
    "HTTP/1.1 500 x\r\nattempt-id: c-1\r\nserver-seal: s\r\n\r\nan error\n"
)]
#[case::refusal(
    "HTTP/1.1 503 x\r\nattempt-id: c-1\r\nnot-executed: 1\r\ncontent-length: 9\r\n\r\nan error\n"
)]
#[case::misdirected("HTTP/1.1 421 x\r\nattempt-id: c-1\r\ncontent-length: 9\r\n\r\nan error\n")]
#[case::bad_request(
    "HTTP/1.1 400 x\r\nattempt-id: c-1\r\nserver-seal: s\r\ncontent-length: 9\r\n\r\nan error\n"
)]
#[case::not_found("HTTP/1.1 404 x\r\nattempt-id: c-1\r\nserver-seal: s\r\n\r\nan error\n")]
#[case::head_as_body("an error\r\n\r\n")]
#[case::page_as_success(
    "HTTP/1.1 200 OK\r\nattempt-id: c-1\r\nserver-seal: s\r\ncontent-type: text/html\r\ncontent-length: 9\r\n\r\n\
     an error\n"
)]
#[case::page_with_blank_lines_as_success(
    "HTTP/1.1 200 OK\r\nattempt-id: c-1\r\nserver-seal: s\r\ncontent-type: text/html\r\ncontent-length: 10\r\n\r\n\
     an error\n\n"
)]
#[tokio::test]
async fn error_of_the_next_engine_stays_out_of_the_stream(#[case] error: &'static str) {
    let mut fleet = TestFleet::start().await;
    for name in ["e-1", "e-2", "e-3"] {
        let address = start_engine(error).await;
        let models = json!([{ "name": "m1", "version": 1, "adapters": [] }]);
        let entry = json!({ "service": ENGINE_SERVICE, "zone": "zone-a", "version": "v1",
            "address": address.to_string(), "slots": 64, "state": "ready", "cold-left-ms": 0,
            "models": models, "sequence": 1, "born": 1 });
        fleet.store.write("servers", name, &entry);
    }
    fleet.add_gateway().await;
    let ready_by = Instant::now() + READY_TIMEOUT;

    let outcome = loop {
        let outcome = fleet.call(stream("/report/", "m1", CALL)).await;
        if outcome.status() != 503 || Instant::now() > ready_by {
            break outcome;
        }
        time::sleep(Duration::from_millis(100)).await;
    };

    let CallOutcome::Truncated(body) = outcome else { panic!("it looks complete: {outcome:?}") };
    assert_eq!(body, complete_stream(CALL, 1), "whole events only");
}
