//! `fescuewalk gateway` under clients whose request heads, connections and unread bytes use up memory:
//! the process stays alive within the memory and descriptors of its VM and answers other callers.
//!
//! The cases check no times and no share of requests served; time-outs only end a case in which the
//! process hangs.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    memory::{GatewayFixture, OrdinaryCall},
    memory_held::{HeldMemory, HeldSampler},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time,
};

/// One case at a time: each has its own process, and its clients use up the cores.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Limits in the settings of these tests.
const LIMITS: &str = "memory = 64MiB\ndescriptors = 1400\n";
/// The memory in these settings, in bytes.
const VM_MEMORY: u64 = 64 * 1024 * 1024;
/// The descriptors in these settings.
const VM_DESCRIPTORS: usize = 1_400;
/// Clients that are held open; the settings allow 512 connections.
const CLIENTS: usize = 480;
/// Clients that send at a time.
const SENDING: usize = 48;
/// Ends the sending of a client that the process does not read from.
const SEND_TIME: Duration = Duration::from_millis(500);
/// Ends the reading of a client that the process does not answer.
const READ_TIME: Duration = Duration::from_secs(5);
/// Sizes of the bodies that stop one byte short of their end.
const BODY_SIZES: [usize; 6] = [44_000, 44_000, 44_000, 44_000, 44_000, 16_000];
/// Bytes that a client sends after a complete request.
const SENT_ON: usize = 256 * 1024;
/// Bytes of a chunk extension or of trailers without end.
const ENDLESS_BYTES: usize = 64 * 1024;
/// Chunks of one byte that a client sends.
const ONE_BYTE_CHUNKS: usize = 4_000;

/// What the clients of one case send.
#[derive(Debug, Clone, Copy)]
enum Attack {
    /// Heads just below the limit of 16 KiB, bodies without their last byte.
    LargeHeads,
    /// Heads of many short headers, bodies without their last byte.
    ManyHeaders,
    /// Heads just below the limit without their last line.
    HeadsWithoutEnd,
    /// Complete requests that wait at a server, and further bytes behind them.
    SentOn,
    /// Complete requests that wait at a server, and further requests behind them.
    Pipelined,
    /// Large heads and bodies in chunks of one byte.
    OneByteChunks,
    /// Chunk extensions without end.
    Extensions,
    /// Trailers without end.
    Trailers,
    /// Connections that are kept open after a large answer.
    KeptAfterAnswers,
}

/// A head whose header lines follow `first` and `framing`.
fn head(first: &str, framing: &str, headers: usize, value_length: usize) -> Vec<u8> {
    let mut text =
        format!("{first} HTTP/1.1\r\nhost: memory.example\r\nattempt-id: c-1\r\n{framing}");
    for header in 0..headers {
        text += &format!("x{header:02}: {}\r\n", "v".repeat(value_length));
    }
    (text + "\r\n").into_bytes()
}

fn large_head(path: &str, framing: &str) -> Vec<u8> {
    head(&format!("POST {path}"), framing, 96, 154)
}

impl Attack {
    /// What the client of this number sends.
    fn bytes(self, number: usize) -> Vec<u8> {
        let size = BODY_SIZES[number % BODY_SIZES.len()];
        let length = format!("content-length: {size}\r\n");
        let chunked = "transfer-encoding: chunked\r\n";
        let short_body = || vec![b'a'; size - 1];
        match self {
            Attack::LargeHeads => [large_head("/order/a", &length), short_body()].concat(),
            Attack::ManyHeaders => [head("POST /order/a", &length, 96, 1), short_body()].concat(),
            Attack::HeadsWithoutEnd => {
                let mut bytes = large_head("/order/a", &length);
                bytes.truncate(bytes.len() - 2);
                bytes
            }
            Attack::SentOn => {
                let head = large_head("/mute/a", "content-length: 200\r\n");
                [head, vec![b'a'; 200 + SENT_ON]].concat()
            }
            Attack::Pipelined => {
                let request =
                    [large_head("/mute/a", "content-length: 200\r\n"), vec![b'a'; 200]].concat();
                request.repeat(SENT_ON / request.len())
            }
            Attack::OneByteChunks => {
                let chunks = b"1\r\na\r\n".repeat(ONE_BYTE_CHUNKS);
                [large_head("/order/a", chunked), chunks].concat()
            }
            Attack::Extensions => {
                let extension = [b"1;a=".to_vec(), vec![b'a'; ENDLESS_BYTES]].concat();
                [large_head("/order/a", chunked), extension].concat()
            }
            Attack::Trailers => {
                let trailers = [b"1\r\na\r\n0\r\nx: ".to_vec(), vec![b'a'; ENDLESS_BYTES]].concat();
                [large_head("/order/a", chunked), trailers].concat()
            }
            Attack::KeptAfterAnswers => head("GET /file/a", "", 96, 154),
        }
    }
}

/// One client; its connection stays open, unless the process has closed it.
async fn run_client(
    gateway: std::net::SocketAddr,
    attack: Attack,
    number: usize,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(gateway).await.ok()?;
    // Both a refusal and a connection that is no longer read are allowed.
    let _ = time::timeout(SEND_TIME, stream.write_all(&attack.bytes(number))).await;
    if matches!(attack, Attack::KeptAfterAnswers) {
        let _ = time::timeout(READ_TIME, read_answer(&mut stream)).await;
    }
    Some(stream)
}

/// Reads as much as a large answer has.
async fn read_answer(stream: &mut TcpStream) -> std::io::Result<u64> {
    let answer = stream.take(2 * 1024 * 1024);
    tokio::io::copy(&mut { answer }, &mut tokio::io::sink()).await
}

/// Connects all clients, some of them at a time; returns their open connections.
async fn hold_open(gateway: &GatewayFixture, attack: Attack) -> Vec<TcpStream> {
    let mut open = Vec::new();
    let mut sending = JoinSet::new();
    for number in 0..CLIENTS {
        if sending.len() >= SENDING {
            let client = sending.join_next().await.expect("some send");
            open.extend(client.expect("a client does not panic"));
        }
        sending.spawn(run_client(gateway.callers, attack, number));
    }
    while let Some(client) = sending.join_next().await {
        open.extend(client.expect("a client does not panic"));
    }
    open
}

/// Guards against a process that is killed for its memory by heads and connections that are not charged.
#[rstest]
#[case::large_heads(Attack::LargeHeads)]
#[case::many_headers(Attack::ManyHeaders)]
#[case::heads_without_end(Attack::HeadsWithoutEnd)]
#[case::sent_on(Attack::SentOn)]
#[case::pipelined(Attack::Pipelined)]
#[case::one_byte_chunks(Attack::OneByteChunks)]
#[case::extensions(Attack::Extensions)]
#[case::trailers(Attack::Trailers)]
#[case::kept_after_answers(Attack::KeptAfterAnswers)]
#[tokio::test]
async fn heads_and_connections_leave_the_process_alive(#[case] attack: Attack) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut gateway = GatewayFixture::start_with(LIMITS).await;
    let before = HeldMemory::read(gateway.process_id(), gateway.callers);
    let sampler = HeldSampler::start(gateway.process_id(), gateway.callers);

    let open = hold_open(&gateway, attack).await;
    let outcome = gateway.call_ordinary().await;
    gateway.wait_until_settled().await;

    let (peaks, descriptors) = (sampler.stop(), gateway.open_descriptors());
    let after = HeldMemory::read(gateway.process_id(), gateway.callers);
    let resident = gateway.peak_resident_bytes();
    println!(
        "{attack:?}: before {before:?}, {peaks:?}, {resident:?}, after {after:?}, {descriptors:?}"
    );
    assert!(gateway.is_alive(), "the process ended");
    assert_eq!(outcome, OrdinaryCall::Served);
    let descriptors = descriptors.expect("Linux shows the descriptors of a process that lives");
    assert!(descriptors < VM_DESCRIPTORS, "{descriptors} descriptors");
    let resident = resident.expect("Linux shows the peak of a process that lives");
    assert!(resident < VM_MEMORY, "{resident} bytes resident at the peak");
    assert!(peaks.total < VM_MEMORY, "{} bytes held at the peak", peaks.total);
    drop(open);
}
