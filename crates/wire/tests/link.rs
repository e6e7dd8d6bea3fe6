//! Connections between processes: proofs, limits, garbage, silence and cuts.

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

fn quick() -> LinkOptions {
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

fn ask() -> Message {
    let target = CreditTarget { model: "summary".to_owned(), ..CreditTarget::default() };
    Message::Ask(CreditRequest { request: vec![1; 16], target, ..CreditRequest::default() })
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Opens a link whose ends know the given secrets.
async fn connect(dialler: &str, acceptor: &str) -> (Result<PeerLink>, Result<PeerLink>) {
    let (listener, address) = listener().await;
    let acceptor = secret(acceptor);
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &acceptor, &identity("acceptor"), quick()).await
    });
    let dialled = PeerLink::dial(address, &secret(dialler), &identity("dialler"), quick()).await;
    (dialled, accepting.await.unwrap())
}

/// Opens a link and returns its accepting end with the raw stream of the other.
async fn raw_peer() -> (PeerLink, TcpStream) {
    let (listener, address) = listener().await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &secret("long secret"), &identity("a"), quick()).await.unwrap()
    });
    let dialling = tokio::spawn(async move {
        PeerLink::dial(relay_address, &secret("long secret"), &identity("d"), quick()).await
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
async fn peers_with_the_same_secret_learn_who_the_other_is() {
    let (dialled, accepted) = connect("long secret", "long secret").await;

    assert_eq!(dialled.unwrap().peer, identity("acceptor"));
    assert_eq!(accepted.unwrap().peer, identity("dialler"));
}

#[tokio::test]
async fn a_peer_with_another_secret_is_refused() {
    let (dialled, accepted) = connect("other secret", "long secret").await;

    assert!(matches!(accepted, Err(LinkError::Handshake { .. })), "{accepted:?}");
    assert!(dialled.is_err());
}

#[tokio::test]
async fn messages_arrive_in_order_and_heartbeats_are_passed_over() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());

    time::sleep(Duration::from_millis(100)).await;
    dialled.sender.send(ask()).await.unwrap();
    let received = accepted.receiver.next().await.unwrap();

    assert_eq!(received, ask());
}

#[tokio::test]
async fn a_silent_peer_counts_as_lost() {
    let (mut link, _stream) = raw_peer().await;

    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::HeartbeatTimeout)), "{received:?}");
}

#[tokio::test]
async fn an_idle_link_outlives_many_silence_limits_at_a_slower_pace() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());
    let receiving = tokio::spawn(async move { accepted.receiver.next().await });

    time::sleep(Duration::from_millis(700)).await;
    let busy_bytes = dialled.traffic.sent_bytes.load(Ordering::Relaxed);
    let busy_frames = dialled.traffic.sent_frames.load(Ordering::Relaxed);
    time::sleep(Duration::from_millis(1500)).await;
    let idle_frames = dialled.traffic.sent_frames.load(Ordering::Relaxed) - busy_frames;
    dialled.sender.send(ask()).await.unwrap();

    assert_eq!(busy_bytes, 0, "a heartbeat is an empty frame");
    assert!(idle_frames < busy_frames, "{idle_frames} idle, {busy_frames} busy");
    assert_eq!(receiving.await.unwrap().unwrap(), ask());
}

#[tokio::test]
async fn a_link_that_is_closed_delivers_what_was_queued() {
    let (dialled, accepted) = connect("long secret", "long secret").await;
    let (dialled, mut accepted) = (dialled.unwrap(), accepted.unwrap());

    dialled.sender.send(ask()).await.unwrap();
    dialled.sender.close();
    let first = accepted.receiver.next().await;
    let second = accepted.receiver.next().await;

    assert_eq!(first.unwrap(), ask());
    assert!(matches!(second, Err(LinkError::Frame { .. })), "{second:?}");
}

#[tokio::test]
async fn a_closed_connection_ends_both_halves() {
    let (mut link, stream) = raw_peer().await;
    drop(stream);

    let received = link.receiver.next().await;
    drop(link.receiver);
    time::sleep(Duration::from_millis(100)).await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
    assert!(link.sender.is_closed());
}

#[tokio::test]
async fn a_frame_that_is_too_long_ends_the_connection() {
    let (mut link, mut stream) = raw_peer().await;

    stream.write_u32(MAX_FRAME_BYTES as u32 + 1).await.unwrap();
    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
}

#[tokio::test]
async fn a_frame_of_garbage_ends_the_connection() {
    let (mut link, mut stream) = raw_peer().await;

    stream.write_u32(4).await.unwrap();
    stream.write_all(&[0xff; 4]).await.unwrap();
    let received = link.receiver.next().await;

    assert!(matches!(received, Err(LinkError::Frame { .. })), "{received:?}");
}

#[tokio::test]
async fn garbage_instead_of_a_handshake_is_refused() {
    let (listener, address) = listener().await;
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        PeerLink::accept(stream, &secret("long secret"), &identity("a"), quick()).await
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
fn a_short_secret_is_refused() {
    assert!("short".parse::<FleetSecret>().is_err());
}
