//! Callers that do not read their answers, or read them slowly, from an entry that runs as a process
//! of its own: it lives on within its bounds and still answers ordinary requests.
//!
//! Guards against answers that are kept without bound. Checked are only that the process lives, its
//! peak memory, its open descriptors and one ordinary request. The client load and the bounds were
//! fixed before the product bounded its answers.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use support::{
    entry_memory::{ANSWER_TIMEOUT, assert_holds, wait_until_read},
    fleet::{FleetSetup, client, start_fleet_with},
    large_answers::{LARGE_ANSWER, start_large_answers},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    task::JoinSet,
    time,
};

/// One such test at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Callers at a time; their answers are 4 MiB each.
const CALLERS: usize = 60;
/// Requests on each HTTP/2 connection.
const HTTP2_REQUESTS: u32 = 4;
/// Limits in the settings of the entries.
const SETTINGS: &str = "[limits]\nbody = 1MiB\nbodies = 16MiB\nanswer = 4MiB\nconnections = 100\n";
/// Receive buffer of a caller's socket, so that the answer stays at the process.
const RECEIVE_BUFFER: u32 = 4_096;
/// What a slow caller reads every [`READ_PAUSE`].
const READ_SIZE: usize = 1_024;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time in which the backend servers answer all callers.
const ANSWERING_TIME: Duration = Duration::from_secs(5);
/// Body of a request for a streamed answer.
const CHAT: &str = r#"{"model":"dam-check","stream":true,"messages":[]}"#;
/// Magic text and empty settings with which an HTTP/2 connection begins.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// What a caller requests.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// One that the entry keeps until it is complete.
    Buffered,
    /// One that is sent on as it arrives.
    Streamed,
    /// Several buffered ones over an HTTP/2 connection whose windows are never opened.
    OverHttp2,
}

/// How a caller reads it.
#[derive(Debug, Clone, Copy)]
enum Reading {
    Nothing,
    Slowly,
}

fn http1_request(line: &str, body: &str) -> Vec<u8> {
    format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer crew-key\r\n\
         x-deadline-ms: 30000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A `HEADERS` frame with literal fields, which ends its stream.
fn http2_request(stream: u32) -> Vec<u8> {
    let mut fields = vec![0x82, 0x86];
    for (index, value) in [
        (&[0x04][..], "/services/vrbovka/file"),
        (&[0x01], "entry"),
        (&[0x0f, 0x08], "Bearer crew-key"),
    ] {
        fields.extend_from_slice(index);
        fields.push(value.len() as u8);
        fields.extend_from_slice(value.as_bytes());
    }
    let mut frame = (fields.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend_from_slice(&[0x01, 0x05]);
    frame.extend_from_slice(&stream.to_be_bytes());
    frame.extend(fields);
    frame
}

impl Answer {
    fn request(self) -> Vec<u8> {
        match self {
            Answer::Buffered => http1_request("GET /services/vrbovka/file", ""),
            Answer::Streamed => http1_request("POST /v1/chat/completions", CHAT),
            Answer::OverHttp2 => {
                let requests = (0..HTTP2_REQUESTS).flat_map(|number| http2_request(2 * number + 1));
                [HTTP2_PREFACE.to_vec(), requests.collect()].concat()
            }
        }
    }
}

/// Waits until the entry has an engine for the model of [`CHAT`].
async fn wait_for_model(address: SocketAddr) {
    let request = http1_request("POST /v1/chat/completions", r#"{"model":"dam-check"}"#);
    let answered = async {
        loop {
            let mut answer = [0; 12];
            let mut stream = TcpStream::connect(address).await.expect("the entry listens");
            stream.write_all(&request).await.expect("the entry reads");
            if stream.read_exact(&mut answer).await.is_ok() && answer.ends_with(b"200") {
                return;
            }
            time::sleep(READ_PAUSE).await;
        }
    };
    time::timeout(ANSWER_TIMEOUT, answered).await.expect("the model is loaded in time");
}

/// Requests the answer; the connection stays open as long as the stream.
async fn send(address: SocketAddr, answer: Answer) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let mut stream = socket.connect(address).await?;
    stream.write_all(&answer.request()).await?;
    Ok(stream)
}

async fn read_slowly(mut stream: TcpStream) {
    let mut piece = [0; READ_SIZE];
    while stream.read(&mut piece).await.is_ok_and(|length| length > 0) {
        time::sleep(READ_PAUSE).await;
    }
}

#[rstest]
#[case::buffered_and_not_read(Answer::Buffered, Reading::Nothing)]
#[case::buffered_and_read_slowly(Answer::Buffered, Reading::Slowly)]
#[case::streamed_and_not_read(Answer::Streamed, Reading::Nothing)]
#[case::streamed_and_read_slowly(Answer::Streamed, Reading::Slowly)]
#[case::over_http2_and_not_read(Answer::OverHttp2, Reading::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_not_read_stay_within_the_memory(
    #[case] answer: Answer,
    #[case] reading: Reading,
) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let backend = Some(start_large_answers().await);
    let setup = FleetSetup {
        service: backend,
        engine: backend,
        entry_settings: SETTINGS.to_owned(),
        ..FleetSetup::default()
    };
    let fleet = start_fleet_with(&setup).await;
    let address = fleet.addresses()[0];
    wait_for_model(address).await;

    let mut open = Vec::new();
    let mut readers = JoinSet::new();
    for _ in 0..CALLERS {
        // The process may refuse or close a connection.
        let Ok(stream) = send(address, answer).await else { continue };
        match reading {
            Reading::Nothing => open.push(stream),
            Reading::Slowly => drop(readers.spawn(read_slowly(stream))),
        }
    }
    time::sleep(ANSWERING_TIME).await;
    wait_until_read(fleet.entries[0].id()).await;

    assert_holds(&fleet).await;
    drop(open);
}

/// Guards against a limit that cuts a single answer of legal size while nothing else is kept, and
/// against an answer that loses its announced length.
#[tokio::test]
async fn answer_of_the_largest_size_is_whole_without_pressure() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let backend = Some(start_large_answers().await);
    let setup = FleetSetup {
        service: backend,
        engine: backend,
        entry_settings: SETTINGS.to_owned(),
        ..FleetSetup::default()
    };
    let fleet = start_fleet_with(&setup).await;
    let request = Request::get(format!("http://{}/services/vrbovka/file", fleet.addresses()[0]))
        .header("authorization", "Bearer crew-key")
        .body(Full::default())
        .unwrap();

    let answer = client().request(request).await.expect("an answer");
    let announced = answer.headers().get("content-length").cloned();
    let body = answer.into_body().collect().await.expect("a whole answer").to_bytes();

    assert_eq!(announced, Some(LARGE_ANSWER.into()));
    assert_eq!(body.len(), LARGE_ANSWER);
}
