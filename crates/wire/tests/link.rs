//! Connections between processes: handshake proofs, frame limits, malformed input, missing
//! heartbeats and closed connections.

use std::{net::SocketAddr, sync::atomic::Ordering};

use base::prelude::*;
use proptest::{prelude::*, test_runner::TestRunner};
use prost::Message as _;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};
use wire::{
    Envelope, FleetSecret, HeartbeatTiming, LinkOptions, Message, PeerIdentity, PeerLink, PeerRole,
    codec::MAX_FRAME_BYTES,
    credit::{CreditRequest, CreditTarget},
    link::{LinkError, Result},
};

fn secret(text: &str) -> FleetSecret {
    text.parse().unwrap()
}

fn identity(vm: &str) -> PeerIdentity {
    PeerIdentity {
        vm: vm.parse().unwrap(),
        zone: "cz-central-1".parse().unwrap(),
        incarnation: ProcessIncarnation(7),
        role: PeerRole::Entry,
    }
}

fn short_timings() -> LinkOptions {
    LinkOptions {
        connect_timeout: Duration::from_millis(500),
        busy: HeartbeatTiming {
            interval: Duration::from_millis(20),
            timeout: Duration::from_millis(200),
        },
        idle: HeartbeatTiming {
            interval: Duration::from_millis(100),
            timeout: Duration::from_millis(800),
        },
        busy_duration: Duration::from_millis(600),
    }
}

fn credit_request() -> Message {
    let target = CreditTarget { model: "summary".to_owned(), ..CreditTarget::default() };
    Message::Ask(CreditRequest { request: vec![1; 16], target, ..CreditRequest::default() })
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Opens a link between two ends with the given secrets, and returns the results of both ends.
async fn connect(dialler: &str, acceptor: &str) -> (Result<PeerLink>, Result<PeerLink>) {
    let (listener, address) = listener().await;
    let acceptor = secret(acceptor);
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &acceptor, &identity("acceptor"), short_timings()).await
    });
    let dialled =
        PeerLink::dial(address, &secret(dialler), &identity("dialler"), short_timings()).await;
    (dialled, accepting.await.unwrap())
}

/// Opens a link and returns its accepting end, with the raw stream on which the test acts as the
/// peer.
async fn raw_peer() -> (PeerLink, TcpStream) {
    let (listener, address) = listener().await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &secret("long secret"), &identity("a"), short_timings())
            .await
            .unwrap()
    });
    let dialling = tokio::spawn(async move {
        PeerLink::dial(relay_address, &secret("long secret"), &identity("d"), short_timings()).await
    });
    let (mut near, _) = relay.accept().await.unwrap();
    let mut far = TcpStream::connect(address).await.unwrap();
    // Relays the three messages of the handshake, then keeps the stream to the accepting end.
    for from_far in [true, false, true] {
        let (from, to) = if from_far { (&mut far, &mut near) } else { (&mut near, &mut far) };
        let length = from.read_u32().await.unwrap();
        let mut frame = vec![0; length as usize];
        from.read_exact(&mut frame).await.unwrap();
        to.write_u32(length).await.unwrap();
        to.write_all(&frame).await.unwrap();
    }
    drop(dialling.await.unwrap());
    (accepting.await.unwrap(), far)
}

#[tokio::test]
async fn handshake_returns_identity_of_each_peer() {
    let (dialled, accepted) = connect("long secret", "long secret").await;

    assert_eq!(dialled.unwrap().peer, identity("acceptor"));
    assert_eq!(accepted.unwrap().peer, identity("dialler"));
}

#[tokio::test]
async fn refuses_peer_with_wrong_secret() {
    let (dialled, accepted) = connect("other secret", "long secret").await;

    assert!(matches!(accepted, Err(LinkError::Handshake { .. })), "{accepted:?}");
    assert!(dialled.is_err());
}

#[tokio::test]
async fn receiver_skips_heartbeats() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());

    time::sleep(Duration::from_millis(100)).await;
    dialled.sender.send(credit_request()).await.unwrap();
    let received = accepted.receiver.next().await.unwrap();

    assert_eq!(received, credit_request());
}

#[tokio::test]
async fn peer_without_heartbeats_is_lost() {
    let (mut link, _stream) = raw_peer().await;

    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::HeartbeatTimeout)), "{received:?}");
}

#[tokio::test]
async fn idle_link_stays_open_with_fewer_heartbeats() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());
    let receiving = tokio::spawn(async move { accepted.receiver.next().await });

    time::sleep(Duration::from_millis(700)).await;
    let busy_bytes = dialled.traffic.sent_bytes.load(Ordering::Relaxed);
    let busy_frames = dialled.traffic.sent_frames.load(Ordering::Relaxed);
    time::sleep(Duration::from_millis(1500)).await;
    let idle_frames = dialled.traffic.sent_frames.load(Ordering::Relaxed) - busy_frames;
    dialled.sender.send(credit_request()).await.unwrap();

    assert_eq!(busy_bytes, 0, "a heartbeat is an empty frame");
    assert!(idle_frames < busy_frames, "{idle_frames} idle, {busy_frames} busy");
    assert_eq!(receiving.await.unwrap().unwrap(), credit_request());
}

#[tokio::test]
async fn close_delivers_queued_messages() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());

    dialled.sender.send(credit_request()).await.unwrap();
    dialled.sender.close();
    let first = accepted.receiver.next().await;
    let second = accepted.receiver.next().await;

    assert_eq!(first.unwrap(), credit_request());
    assert!(matches!(second, Err(LinkError::Frame { .. })), "{second:?}");
}

#[tokio::test]
async fn closed_connection_ends_both_halves() {
    let (mut link, stream) = raw_peer().await;
    drop(stream);

    let received = link.receiver.next().await;
    drop(link.receiver);
    time::sleep(Duration::from_millis(100)).await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
    assert!(link.sender.is_closed());
}

#[tokio::test]
async fn oversized_frame_ends_connection() {
    let (mut link, mut stream) = raw_peer().await;

    stream.write_u32(MAX_FRAME_BYTES as u32 + 1).await.unwrap();
    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
}

#[tokio::test]
async fn malformed_frame_ends_connection() {
    let (mut link, mut stream) = raw_peer().await;

    stream.write_u32(4).await.unwrap();
    stream.write_all(&[0xff; 4]).await.unwrap();
    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
}

#[tokio::test]
async fn refuses_malformed_handshake() {
    let (listener, address) = listener().await;
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &secret("long secret"), &identity("a"), short_timings()).await
    });
    let mut stream = TcpStream::connect(address).await.unwrap();

    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let accepted = accepting.await.unwrap();

    assert!(matches!(accepted, Err(LinkError::Handshake { .. })), "{accepted:?}");
}

#[test]
fn decoding_never_panics() {
    let mut runner = TestRunner::deterministic();

    runner
        .run(&proptest::collection::vec(any::<u8>(), 0..512), |bytes| {
            let _ = Envelope::decode(bytes.as_slice());
            Ok(())
        })
        .unwrap();
}

#[test]
fn refuses_short_secret() {
    assert!("short".parse::<FleetSecret>().is_err());
}
