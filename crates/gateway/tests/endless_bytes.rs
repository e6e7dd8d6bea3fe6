//! Backend servers and callers that send bytes without end: each request ends truthfully and in
//! time, memory stays within what a VM has, and other requests are not slowed.

mod support;

use std::{fs, net::SocketAddr};

use base::prelude::*;
use rstest::rstest;
use support::{CallOutcome, TestFleet, plain};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// Timeout that the callers of the fleet state, with some time for the answer to reach them.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Requests in flight at servers that send without end.
const ENDLESS_SERVERS: usize = 40;
/// Memory of the smallest VM that runs a gateway, less what the process needs without requests.
const MEMORY_LIMIT: ByteSize = ByteSize::mib(150);
/// Requests of which some reach a server that refuses them.
const REFUSED_REQUESTS: usize = 8;
/// Longest time of an undisturbed request on a loaded machine; the goal of plain calls is 100 ms.
const UNDISTURBED_TIME: Duration = Duration::from_millis(500);

/// Sends `prefix` and then `repeated` without end on each connection, after it has received bytes.
async fn start_endless_server(prefix: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_without_end(stream, prefix, repeated));
        }
    });
    address
}

async fn send_without_end(mut stream: TcpStream, prefix: &str, repeated: &str) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_err()
        || stream.write_all(prefix.as_bytes()).await.is_err()
    {
        return;
    }
    let block = repeated.repeat(16_384 / repeated.len() + 1);
    while stream.write_all(block.as_bytes()).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux shows it");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("it has the line");
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kib.expect("a number of KiB") * 1_024
}

#[rstest]
#[case::status_line("HTTP/1.1 200 ", "a")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-long: ", "a")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-many: a\r\n")]
#[case::interim_answers("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n1;",
    "a"
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-more: a\r\n"
)]
#[case::body("HTTP/1.1 200 OK\r\nserver-seal: s\r\n\r\n", "abcdefgh")]
#[case::no_answer("", "abcdefgh")]
#[tokio::test]
async fn request_at_a_server_without_end_is_answered_in_time(
    #[case] prefix: &'static str,
    #[case] repeated: &'static str,
) {
    let mut fleet = TestFleet::start().await;
    fleet.register_service("i-1", start_endless_server(prefix, repeated).await);
    fleet.add_gateway().await;
    let started = Instant::now();

    let outcome =
        time::timeout(OUTCOME_TIMEOUT, fleet.call(plain("POST", "/order/a", "c-1"))).await;

    let outcome = outcome.expect("an outcome in time");
    assert!(
        matches!(outcome.status(), 502 | 504),
        "it may have run: {outcome:?} after {:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn answer_is_not_extended_by_bytes_beyond_its_length() {
    let mut fleet = TestFleet::start().await;
    let prefix = "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 3\r\n\r\nabc";
    fleet.register_service("i-1", start_endless_server(prefix, "HTTP/1.1 200 OK\r\n\r\n").await);
    fleet.add_gateway().await;

    for call in ["c-1", "c-2", "c-3"] {
        let outcome = fleet.call(plain("POST", "/order/a", call)).await;
        assert_eq!((outcome.status(), outcome.body()), (200, "abc"), "{call}");
    }
}

#[tokio::test]
async fn memory_is_bounded_while_many_servers_send_without_end() {
    let mut fleet = TestFleet::start().await;
    for index in 0..ENDLESS_SERVERS {
        let address =
            start_endless_server("HTTP/1.1 200 OK\r\nserver-seal: s\r\n\r\n", "abcdefgh").await;
        fleet.register_service(&format!("i-{index}"), address);
    }
    fleet.add_gateway().await;
    let before = resident_bytes();
    let callers = fleet.callers(0);
    let calls = (0..ENDLESS_SERVERS).map(|index| {
        tokio::spawn(support::call(callers, plain("POST", "/order/a", &format!("c-{index}"))))
    });
    let calls: Vec<_> = calls.collect();

    let mut peak = before;
    while calls.iter().any(|call| !call.is_finished()) {
        peak = peak.max(resident_bytes());
        time::sleep(Duration::from_millis(2)).await;
    }

    for call in futures::future::join_all(calls).await {
        let outcome = call.expect("the caller does not panic");
        assert!(!matches!(outcome, CallOutcome::Complete { status: 200, .. }), "{outcome:?}");
    }
    let growth = ByteSize(peak.saturating_sub(before));
    assert!(growth.0 < MEMORY_LIMIT.0, "{growth} more than before");
}

#[rstest]
#[case::body("HTTP/1.1 200 OK\r\nserver-seal: s\r\n\r\n", "abcdefgh")]
#[case::interim_answers("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[tokio::test]
async fn other_requests_are_not_slowed_by_a_server_without_end(
    #[case] prefix: &'static str,
    #[case] repeated: &'static str,
) {
    let mut fleet = TestFleet::start().await;
    fleet.register_service("i-1", start_endless_server(prefix, repeated).await);
    fleet.add_gateway().await;
    let disturbed =
        tokio::spawn(support::call(fleet.callers(0), plain("POST", "/order/a", "c-endless")));
    time::sleep(Duration::from_millis(20)).await;
    fleet.store.remove("servers", "i-1");
    fleet.add_service("i-2").await;
    time::sleep(Duration::from_millis(450)).await;

    let started = Instant::now();
    let outcome = fleet.call(plain("GET", "/read/a", "c-2")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert!(started.elapsed() < UNDISTURBED_TIME, "{:?}", started.elapsed());
    disturbed.abort();
}

/// Guards against requests that wait for the end of a refusal although another server has room.
#[rstest]
#[case::plain("HTTP/1.1 503 Busy\r\nnot-executed: 1\r\n\r\n", "abcdefgh")]
#[case::chunked(
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    "8\r\nabcdefgh\r\n"
)]
#[case::misdirected("HTTP/1.1 421 Elsewhere\r\n\r\n", "abcdefgh")]
#[tokio::test]
async fn refusal_without_end_does_not_keep_a_request_from_another_server(
    #[case] prefix: &'static str,
    #[case] repeated: &'static str,
) {
    let mut fleet = TestFleet::start().await;
    fleet.register_service("i-1", start_endless_server(prefix, repeated).await);
    fleet.add_service("i-2").await;
    fleet.add_gateway().await;

    for number in 0..REFUSED_REQUESTS {
        let started = Instant::now();
        let outcome = fleet.call(plain("GET", "/read/a", &format!("c-{number}"))).await;
        assert_eq!(outcome.status(), 200, "{outcome:?}");
        assert!(started.elapsed() < UNDISTURBED_TIME, "{:?}", started.elapsed());
    }
}

#[tokio::test]
async fn caller_that_sends_its_body_byte_by_byte_is_refused_in_time() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("i-1").await;
    fleet.add_gateway().await;
    let mut stream = TcpStream::connect(fleet.callers(0)).await.expect("it listens");
    let head = format!(
        "POST /order/a HTTP/1.1\r\nhost: {}\r\ndeadline-ms: 1000\r\ncontent-length: 1000\r\n\r\n",
        support::HOST
    );
    stream.write_all(head.as_bytes()).await.expect("it is read");
    let (mut reader, mut writer) = stream.into_split();
    tokio::spawn(async move {
        while writer.write_all(b"a").await.is_ok() {
            time::sleep(Duration::from_millis(50)).await;
        }
    });

    let mut answer = [0; 12];
    let read = time::timeout(OUTCOME_TIMEOUT, reader.read_exact(&mut answer)).await;

    read.expect("an answer in time").expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
}
