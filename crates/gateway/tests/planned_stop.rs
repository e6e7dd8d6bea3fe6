//! Requests that reach a gateway around the end of a planned stop: each gets an answer, or its
//! connection is closed before it is sent.

mod support;

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
};

use base::prelude::*;
use platform_standin::{EngineOptions, ServiceFault, ServiceStandin};
use rstest::rstest;
use socket2::SockRef;
use support::TestFleet;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// When a gateway without requests in flight begins to close the connections of callers, counted
/// from the start of its planned stop.
const CONNECTIONS_CLOSE_AFTER: Duration = Duration::from_millis(2_600);
/// When a planned stop of the fleet's gateways ends at the latest: its grace less the margin for
/// the shutdown of the process.
const STOP_LIMIT: Duration = Duration::from_millis(4_300);
/// Longest wait of a caller for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What a caller on a raw connection has received.
#[derive(Debug, PartialEq, Eq)]
enum RawOutcome {
    /// An answer that begins with this status line.
    Answered(String),
    /// The connection was closed before the request was sent.
    ClosedBefore,
    /// The connection ended after the request was sent, without an answer.
    Unanswered(String),
}

impl RawOutcome {
    fn is_unanswered(&self) -> bool {
        matches!(self, RawOutcome::Unanswered(_))
    }
}

async fn fleet_with_service() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("i-1").await;
    fleet.add_gateway().await;
    fleet
}

fn raw_request(call: &str) -> String {
    raw_head("GET", "/read/a", call) + "\r\n"
}

/// A request that may not be repeated.
fn raw_order(call: &str) -> String {
    raw_head("POST", "/order/a", call) + "content-length: 5\r\n\r\nboard"
}

fn raw_head(method: &str, path: &str, call: &str) -> String {
    let request = support::plain(method, path, call);
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\n", support::HOST);
    for (name, value) in request.headers().iter().filter(|(name, _)| *name != "host") {
        text += &format!("{name}: {}\r\n", value.to_str().expect("a text"));
    }
    text
}

/// Whether the other side has closed the connection before the caller sends. Asks the kernel: the
/// runtime learns of a close only when it polls for events.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok()
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut received = Vec::new();
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut received).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

/// Sends a request at `at`, unless the connection is closed by then, and reads the answer.
async fn send_at(stream: TcpStream, call: &str, at: Instant) -> RawOutcome {
    send_text_at(stream, &raw_request(call), at).await
}

async fn send_text_at(mut stream: TcpStream, request: &str, at: Instant) -> RawOutcome {
    time::sleep_until(at).await;
    if is_closed(&stream) {
        return RawOutcome::ClosedBefore;
    }
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        read_head(&mut stream).await
    };
    match time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(status)) => RawOutcome::Answered(status),
        Ok(Err(error)) => RawOutcome::Unanswered(error.to_string()),
        Err(elapsed) => RawOutcome::Unanswered(elapsed.to_string()),
    }
}

async fn open(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the gateway listens")
}

/// Moments from `from` to `to` after `start`, `step` apart.
fn moments(start: Instant, from: Duration, to: Duration, step: Duration) -> Vec<Instant> {
    let count = (to - from).as_micros() / step.as_micros();
    (0..=count as u32).map(|index| start + from + step * index).collect()
}

#[tokio::test]
async fn connection_without_a_request_is_answered_until_the_limit_of_a_planned_stop() {
    let fleet = fleet_with_service().await;
    let (handle, callers) = &fleet.gateways[0];
    let start = Instant::now();
    let last = STOP_LIMIT - Duration::from_millis(100);
    let from = CONNECTIONS_CLOSE_AFTER - Duration::from_millis(100);
    let mut callers_open = Vec::new();
    for (index, at) in moments(start, from, last, Duration::from_millis(20)).into_iter().enumerate()
    {
        let stream = open(*callers).await;
        let call = format!("c-{index}");
        callers_open.push(tokio::spawn(async move { send_at(stream, &call, at).await }));
    }

    handle.stop().await;
    let outcomes = futures::future::join_all(callers_open).await;

    for (index, outcome) in outcomes.into_iter().enumerate() {
        let outcome = outcome.expect("the caller does not panic");
        assert!(matches!(outcome, RawOutcome::Answered(_)), "caller {index}: {outcome:?}");
    }
    assert!(start.elapsed() < STOP_LIMIT + Duration::from_millis(300), "the stop ends in time");
}

#[tokio::test]
async fn connection_that_is_opened_as_the_listener_closes_is_answered() {
    let fleet = fleet_with_service().await;
    let (handle, callers) = &fleet.gateways[0];
    let callers = *callers;

    let connects = tokio::spawn(async move {
        let mut sends = Vec::new();
        time::sleep(CONNECTIONS_CLOSE_AFTER - Duration::from_millis(100)).await;
        while let Ok(stream) = TcpStream::connect(callers).await {
            let at = Instant::now() + Duration::from_millis(150);
            let call = format!("c-{}", sends.len());
            sends.push(tokio::spawn(async move { send_at(stream, &call, at).await }));
            time::sleep(Duration::from_millis(2)).await;
        }
        futures::future::join_all(sends).await
    });
    handle.stop().await;
    let outcomes = connects.await.expect("the callers do not panic");

    assert!(outcomes.len() > 10, "connections were opened until the listener closed");
    for (index, outcome) in outcomes.into_iter().enumerate() {
        let outcome = outcome.expect("the caller does not panic");
        assert!(matches!(outcome, RawOutcome::Answered(_)), "caller {index}: {outcome:?}");
    }
}

/// Opens a connection on which one request has been answered.
async fn open_kept(address: SocketAddr, call: &str) -> TcpStream {
    let mut stream = open(address).await;
    stream.write_all(raw_request(call).as_bytes()).await.expect("it is read");
    read_head(&mut stream).await.expect("it is served");
    stream
}

/// Drops what has been received of the body of an answer.
fn discard_received(stream: &TcpStream) {
    let mut body = [0; 4_096];
    while stream.try_read(&mut body).is_ok_and(|length| length > 0) {}
}

#[tokio::test]
async fn request_on_a_kept_connection_is_answered_unless_it_was_closed_before() {
    let fleet = fleet_with_service().await;
    let (handle, callers) = &fleet.gateways[0];
    let mut kept = Vec::new();
    for index in 0..240 {
        kept.push(open_kept(*callers, &format!("first-{index}")).await);
    }
    time::sleep(Duration::from_millis(50)).await;
    kept.iter().for_each(discard_received);
    let margin = Duration::from_millis(30);
    let (from, to) = (CONNECTIONS_CLOSE_AFTER - margin, CONNECTIONS_CLOSE_AFTER + margin);
    let sends = moments(Instant::now(), from, to, Duration::from_micros(250));
    let sends = kept.into_iter().zip(sends).enumerate().map(|(index, (stream, at))| {
        tokio::spawn(async move { send_at(stream, &format!("c-{index}"), at).await })
    });
    let sends: Vec<_> = sends.collect();

    handle.stop().await;
    let outcomes = futures::future::join_all(sends).await;

    let outcomes: Vec<_> = outcomes.into_iter().map(|outcome| outcome.expect("no panic")).collect();
    let unanswered: Vec<_> = outcomes.iter().filter(|outcome| outcome.is_unanswered()).collect();
    assert!(unanswered.is_empty(), "{} of {}: {unanswered:?}", unanswered.len(), outcomes.len());
    assert!(outcomes.contains(&RawOutcome::ClosedBefore), "idle connections are closed");
}

/// How long a backend server works on an order.
#[derive(Debug, Clone, Copy)]
enum Work {
    Takes(Duration),
    NeverEnds,
}

/// Orders that come throughout the grace, each on a connection that was opened before the stop.
#[rstest]
#[case::short(Work::Takes(Duration::from_millis(30)))]
#[case::long(Work::Takes(Duration::from_millis(1_500)))]
#[case::endless(Work::NeverEnds)]
#[tokio::test]
async fn order_that_comes_late_in_the_grace_gets_an_answer_and_a_refused_one_did_not_run(
    #[case] work: Work,
) {
    let mut fleet = TestFleet::start().await;
    let (duration, is_unresponsive) = match work {
        Work::Takes(duration) => (duration, false),
        Work::NeverEnds => (Duration::ZERO, true),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let service = ServiceStandin::start(listener, "i-1", duration).expect("it listens");
    service.set_fault(ServiceFault { is_unresponsive, ..ServiceFault::default() });
    fleet.register_service("i-1", service.address());
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];
    let last = STOP_LIMIT - Duration::from_millis(50);
    let mut open_connections = Vec::new();
    for _ in 0..170 {
        open_connections.push(open(*callers).await);
    }
    let sends = moments(Instant::now(), Duration::ZERO, last, Duration::from_millis(25));
    let sends = open_connections.into_iter().zip(sends).enumerate().map(|(index, (stream, at))| {
        let order = raw_order(&format!("c-{index}"));
        tokio::spawn(async move { send_text_at(stream, &order, at).await })
    });
    let sends: Vec<_> = sends.collect();

    handle.stop().await;
    let outcomes = futures::future::join_all(sends).await;

    let ran: Vec<String> = service.records().into_iter().map(|record| record.call).collect();
    for (index, outcome) in outcomes.into_iter().enumerate() {
        let call = format!("c-{index}");
        match outcome.expect("the caller does not panic") {
            RawOutcome::Answered(status) if status.contains(" 503 ") => {
                assert!(!ran.contains(&call), "order {index} was refused and ran");
            }
            RawOutcome::Answered(_) => {}
            RawOutcome::ClosedBefore => {
                assert!(!ran.contains(&call), "order {index} was not sent and ran");
            }
            RawOutcome::Unanswered(reason) => panic!("order {index}: {reason}"),
        }
    }
}

#[tokio::test]
async fn request_whose_body_is_still_on_its_way_at_the_end_of_a_stop_is_refused() {
    let fleet = fleet_with_service().await;
    let (handle, callers) = &fleet.gateways[0];
    let half = raw_head("POST", "/report/a", "c-1") + "content-length: 5\r\n\r\nbo";
    let stream = open(*callers).await;
    let at = Instant::now() + Duration::from_millis(1_500);
    let call = tokio::spawn(async move { send_text_at(stream, &half, at).await });

    handle.stop().await;
    let outcome = call.await.expect("the caller does not panic");

    let RawOutcome::Answered(status) = outcome else { panic!("{outcome:?}") };
    assert!(status.contains(" 503 "), "{status}");
}

/// A request that is sent so late counts as cut off if it is accepted and not finished.
#[tokio::test]
async fn request_three_seconds_after_a_signal_that_was_noticed_late_is_refused() {
    let mut fleet = TestFleet::start().await;
    let options = EngineOptions {
        residents: vec!["m1".to_owned()],
        event_gap: Duration::from_millis(100),
        events: 1_000,
        ..EngineOptions::new("i-1")
    };
    fleet.add_engine(options).await;
    fleet.add_gateway().await;
    let (handle, callers) = &fleet.gateways[0];
    let signalled = Instant::now();
    let mut connection = support::connect(*callers).await.expect("the gateway listens");
    let patience = Duration::from_secs(12);
    let request = support::stream_with_timeout("/report/", "m1", "c-1", patience);
    let call = tokio::spawn(async move {
        time::sleep_until(signalled + Duration::from_millis(3_020)).await;
        support::read(connection.send(request).await.expect("an answer")).await
    });
    time::sleep(Duration::from_millis(500)).await;

    handle.stop_since(signalled).await;
    let outcome = call.await.expect("the caller does not panic");

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(signalled.elapsed() < STOP_LIMIT + Duration::from_millis(300), "the stop ends in time");
}

#[rstest]
#[case::one_second(1)]
#[case::three_seconds(3)]
#[case::eight_seconds(8)]
#[case::a_minute(60)]
fn requests_are_aborted_in_the_last_sixth_of_the_grace(#[case] seconds: u64) {
    let grace = Duration::from_secs(seconds);

    let aborted = gateway::process::time_to_abort(grace);

    assert!(aborted > grace * 5 / 6 && aborted < grace, "{aborted:?}");
}
