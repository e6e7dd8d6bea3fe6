//! Engines whose streams never end, or whose events never do: memory stays within what a VM has, no
//! stream looks complete, and other requests are not slowed.

mod support;

use std::{fs, net::SocketAddr};

use base::prelude::*;
use bytes::Bytes;
use gateway::sse::EventSplitter;
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use serde_json::json;
use support::{ENGINE_SERVICE, TestFleet, plain, stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
/// Streams at one gateway: a share of what the engines of a small site run at once.
const STREAMS: usize = 200;
/// Memory of the smallest VM that runs a gateway, less what the process needs without requests.
const MEMORY_LIMIT: ByteSize = ByteSize::mib(150);
/// Timeout that the callers of the fleet state, with some time for the end to reach them.
const ENDED_WITHIN: Duration = Duration::from_millis(4_000);
/// Longest time of an undisturbed request on a loaded machine; the goal of plain calls is 100 ms.
const UNDISTURBED_TIME: Duration = Duration::from_millis(500);
/// Time between two blocks of a stream, so that many streams fit on a test machine.
const BLOCK_INTERVAL: Duration = Duration::from_millis(4);

/// Sends the head of a stream and then `repeated` without end, about `block_size` bytes at a time.
async fn start_engine(repeated: &'static str, block_size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_without_end(stream, repeated, block_size));
        }
    });
    address
}

async fn send_without_end(mut stream: TcpStream, repeated: &str, block_size: usize) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_err() || stream.write_all(HEAD.as_bytes()).await.is_err()
    {
        return;
    }
    let block = repeated.repeat(block_size / repeated.len() + 1);
    while stream.write_all(block.as_bytes()).await.is_ok() {
        time::sleep(BLOCK_INTERVAL).await;
    }
}

async fn start_fleet(repeated: &'static str, block_size: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("i-1").await;
    let models = json!([{ "name": "m1", "version": 1, "adapters": [] }]);
    for name in ["e-1", "e-2", "e-3", "e-4"] {
        let address = start_engine(repeated, block_size).await;
        let entry = json!({ "service": ENGINE_SERVICE, "zone": "zone-a", "version": "v1",
            "address": address.to_string(), "slots": 64, "state": "ready", "cold-left-ms": 0,
            "models": models, "sequence": 1, "born": 1 });
        fleet.store.write("servers", name, &entry);
    }
    fleet.add_gateway().await;
    time::sleep(Duration::from_millis(400)).await;
    fleet
}

/// Reads an answer without keeping it; returns its status, and whether it ended as complete.
async fn discard(callers: SocketAddr, request: Request<Full<Bytes>>) -> (u16, bool) {
    let Ok((_connection, response)) = support::send(callers, request).await else {
        return (0, false);
    };
    let status = response.status().as_u16();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (status, false);
        }
    }
    (status, true)
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux shows it");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("it has the line");
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kib.expect("a number of KiB") * 1_024
}

#[tokio::test]
async fn memory_is_bounded_while_many_streams_send_events_without_end() {
    let fleet = start_fleet("data: a\n", 32_768).await;
    let before = resident_bytes();
    let callers = fleet.callers(0);
    let calls = (0..STREAMS).map(|index| {
        tokio::spawn(discard(callers, stream("/report/a", "m1", &format!("c-{index}"))))
    });
    let calls: Vec<_> = calls.collect();

    let mut peak = before;
    while calls.iter().any(|call| !call.is_finished()) {
        peak = peak.max(resident_bytes());
        time::sleep(Duration::from_millis(2)).await;
    }

    for call in futures::future::join_all(calls).await {
        let (status, is_complete) = call.expect("the caller does not panic");
        assert!(status != 200 || !is_complete, "a stream without end looks complete");
    }
    let growth = ByteSize(peak.saturating_sub(before));
    assert!(growth.0 < MEMORY_LIMIT.0, "{growth} more than before");
}

#[rstest]
#[case::bytes("/chat/a", "abcdefgh", 4_096)]
#[case::bytes_to_resume("/report/a", "abcdefgh", 4_096)]
#[case::lines_to_resume("/report/a", "data: a\n", 4_096)]
#[case::events("/chat/a", "id: 1\ndata: a\n\n", 4_096)]
#[case::events_to_resume("/report/a", "id: 1\ndata: a\n\n", 4_096)]
#[case::byte_by_byte("/report/a", "a", 0)]
#[tokio::test]
async fn stream_without_end_is_broken_off_in_time_and_slows_no_other_request(
    #[case] path: &str,
    #[case] repeated: &'static str,
    #[case] block_size: usize,
) {
    let fleet = start_fleet(repeated, block_size).await;
    let (callers, request) = (fleet.callers(0), stream(path, "m1", "c-endless"));
    let endless = tokio::spawn(time::timeout(ENDED_WITHIN, discard(callers, request)));
    time::sleep(Duration::from_secs(1)).await;

    let started = Instant::now();
    let other = fleet.call(plain("GET", "/read/a", "c-2")).await;
    let elapsed = started.elapsed();
    let ended = endless.await.expect("the caller does not panic");

    assert_eq!(other.status(), 200, "{other:?}");
    assert!(elapsed < UNDISTURBED_TIME, "{elapsed:?}");
    let (status, is_complete) = ended.expect("an end in time");
    assert!(status != 200 || !is_complete, "a stream without end looks complete");
}

/// Guards against a search that began anew with each byte of an event.
#[test]
fn long_event_in_small_pieces_is_split_in_linear_time() {
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(60_000));
    let started = Instant::now();

    for _ in 0..4 {
        let mut splitter = EventSplitter::default();
        let pieces = event.as_bytes().chunks(1).map(|piece| splitter.push(piece));
        let passed: usize = pieces.map(|complete| complete.len()).sum();
        assert_eq!(passed, event.len());
    }

    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?} for 240,000 pieces");
}
