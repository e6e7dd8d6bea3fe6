//! A faulty backend server writes an earlier refusal once more on a kept connection, where the
//! answer to the next request is due.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::prelude::*;
use rstest::rstest;
use support::{TestFleet, plain};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that the server runs: all on a connection but the first, which it refuses.
type RunCount = Arc<AtomicUsize>;

async fn start_server(refusal: &'static str) -> (SocketAddr, RunCount) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let runs = RunCount::default();
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse_each(stream, refusal, Arc::clone(&counted)));
        }
    });
    (address, runs)
}

async fn refuse_each(mut stream: TcpStream, refusal: &str, runs: RunCount) {
    for number in 0.. {
        let mut request = [0; 4_096];
        if !stream.read(&mut request).await.is_ok_and(|length| length > 0) {
            return;
        }
        if number > 0 {
            runs.fetch_add(1, Ordering::Relaxed);
        }
        if stream.write_all(refusal.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[rstest]
#[case::full_with_its_id(
    "HTTP/1.1 503 x\r\nattempt-id: c-1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[case::full_without_id("HTTP/1.1 503 x\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n")]
#[case::misdirected_with_its_id("HTTP/1.1 421 x\r\nattempt-id: c-1\r\ncontent-length: 0\r\n\r\n")]
#[case::misdirected_without_id("HTTP/1.1 421 x\r\ncontent-length: 0\r\n\r\n")]
#[case::too_many_without_id("HTTP/1.1 429 x\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn repeated_refusal_is_not_taken_for_that_of_the_next_request(#[case] refusal: &'static str) {
    let mut fleet = TestFleet::start().await;
    let (address, runs) = start_server(refusal).await;
    fleet.register_service("i-1", address);
    fleet.add_gateway().await;
    let first = fleet.call(plain("POST", "/order/a", "c-1")).await;
    assert_eq!(first.status(), 503, "a refusal of its own: {first:?}");

    let ready_by = Instant::now() + READY_TIMEOUT;
    while runs.load(Ordering::Relaxed) == 0 {
        assert!(Instant::now() < ready_by, "no request on the kept connection");
        time::sleep(Duration::from_millis(150)).await;
        let outcome = fleet.call(plain("POST", "/order/b", "c-2")).await;
        let has_run = runs.load(Ordering::Relaxed) > 0;
        assert!(!has_run || outcome.status() == 502, "said not to have run: {outcome:?}");
    }
    assert_eq!(runs.load(Ordering::Relaxed), 1, "it ran once");
}
