//! Cost of connections between processes: memory of each, and the pace of heartbeats when idle.
//!
//! Both ends stand in this process, so memory is that of two ends.

use std::{net::SocketAddr, time::Duration};

use base::prelude::ProcessIncarnation;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};
use tokio::{net::TcpListener, time};
use wire::{FleetSecret, LinkOptions, PeerIdentity, PeerLink, PeerRole};

/// Connections opened one after the other, with a reading of memory after each.
const STEPS: [usize; 3] = [500, 1_000, 2_000];
/// Time after which connections keep to the pace of idle ones.
const SETTLE: Duration = Duration::from_secs(14);
/// Time for which heartbeats of busy connections are counted.
const BUSY_WATCH: Duration = Duration::from_secs(5);
/// Time for which heartbeats of idle connections are counted.
const IDLE_WATCH: Duration = Duration::from_secs(20);
/// Bytes of one heartbeat on the network: its frame's head, those of TCP and IP, and the
/// acknowledgement that it causes.
const HEARTBEAT_BYTES: f64 = 4.0 + 52.0 + 52.0;
/// Time for which an unused connection is kept by an entry, in seconds.
const LINK_LIFE: f64 = 30.0;
/// Time after its last message for which a connection keeps to the busy pace, in seconds.
const BUSY_LIFE: f64 = 12.0;
/// Connections that an entry holds at the size of the design: 11.2 requests a second, each to
/// another side process.
const DESIGN_LINKS: f64 = 11.2 * LINK_LIFE;
/// Bytes a second that a node may spend on control.
const NODE_BYTES: f64 = 21_504.0;

fn identity() -> PeerIdentity {
    PeerIdentity {
        vm: "bench".parse().expect("a valid name"),
        zone: "z1".parse().expect("a valid name"),
        incarnation: ProcessIncarnation(1),
        role: PeerRole::Entry,
    }
}

fn secret() -> FleetSecret {
    "bench-secret".parse().expect("long enough")
}

/// Accepts connections and reads from them for ever.
async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let options = LinkOptions::default();
            let link = PeerLink::accept(stream, &secret(), &identity(), options).await;
            let mut link = link.expect("the secret is right");
            while link.receiver.next().await.is_ok() {}
        });
    }
}

async fn dial(address: SocketAddr) -> PeerLink {
    let options = LinkOptions::default();
    PeerLink::dial(address, &secret(), &identity(), options).await.expect("the listener accepts")
}

fn resident() -> f64 {
    ProcessUsage::of(std::process::id()).expect("this process runs").resident.0 as f64
}

fn frames(links: &[PeerLink]) -> f64 {
    let sent = links
        .iter()
        .map(|link| link.traffic.sent_frames.load(std::sync::atomic::Ordering::Relaxed));
    sent.sum::<u64>() as f64
}

/// Heartbeats a second of one connection, in one direction.
async fn pace(links: &[PeerLink], watch: Duration) -> f64 {
    let before = frames(links);
    time::sleep(watch).await;
    (frames(links) - before) / links.len() as f64 / watch.as_secs_f64()
}

fn print(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

#[tokio::main]
async fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is there");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(accept(listener));
    let mut links = vec![dial(address).await];
    let empty = resident();
    println!("links  resident bytes");
    for count in STEPS {
        while links.len() < count {
            links.push(dial(address).await);
        }
        println!("{count:5}  {:14}", resident());
    }
    let each = (resident() - empty) / links.len() as f64;
    let busy = pace(&links, BUSY_WATCH).await;
    time::sleep(SETTLE).await;
    let idle = pace(&links, IDLE_WATCH).await;
    let mean = (busy * BUSY_LIFE + idle * (LINK_LIFE - BUSY_LIFE)) / LINK_LIFE;
    let bytes = DESIGN_LINKS * 2.0 * mean * HEARTBEAT_BYTES;
    print("links-bytes-of-two-ends", each, FigureTarget::Baseline);
    print("links-busy-heartbeats-per-second", busy, FigureTarget::Baseline);
    print("links-idle-heartbeats-per-second", idle, FigureTarget::Baseline);
    print("links-entry-bytes-per-second", bytes, FigureTarget::AtMost(NODE_BYTES));
}
