//! Cost of the links between processes: memory and heartbeat rate of each link, busy and idle.
//!
//! Both ends of each link are in this process, so the memory is that of two ends.

use std::{net::SocketAddr, time::Duration};

use base::prelude::ProcessIncarnation;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};
use tokio::{net::TcpListener, time};
use wire::{FleetSecret, LinkOptions, PeerIdentity, PeerLink, PeerRole};

/// Numbers of open links at which memory is read.
const LINK_COUNTS: [usize; 3] = [500, 1_000, 2_000];
/// Time after which all links send heartbeats at the idle rate.
const IDLE_DELAY: Duration = Duration::from_secs(14);
/// Time for which heartbeats of busy links are counted.
const BUSY_PERIOD: Duration = Duration::from_secs(5);
/// Time for which heartbeats of idle links are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(20);
/// Bytes of one heartbeat on the network: its 4-byte frame header, the TCP and IP headers, and the
/// TCP acknowledgement.
const HEARTBEAT_BYTES: f64 = 4.0 + 52.0 + 52.0;
/// Time for which an entry keeps an unused link, in seconds.
const LINK_LIFETIME_SECONDS: f64 = 30.0;
/// Time after its last message for which a link sends heartbeats at the busy rate, in seconds.
const BUSY_SECONDS: f64 = 12.0;
/// Links that an entry holds at the design size: 11.2 requests a second, each to another side
/// process.
const DESIGN_LINKS: f64 = 11.2 * LINK_LIFETIME_SECONDS;
/// Most bytes a second of control traffic at a node.
const MAX_BYTES_PER_SECOND: f64 = 21_504.0;

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

/// Accepts links and reads from each until it fails.
async fn accept_links(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let options = LinkOptions::default();
            let link = PeerLink::accept(stream, &secret(), &identity(), options).await;
            let mut link = link.expect("both ends use the same secret");
            while link.receiver.next().await.is_ok() {}
        });
    }
}

async fn dial(address: SocketAddr) -> PeerLink {
    let options = LinkOptions::default();
    PeerLink::dial(address, &secret(), &identity(), options).await.expect("the listener accepts")
}

fn resident_bytes() -> f64 {
    ProcessUsage::read(std::process::id()).expect("this process runs").resident.0 as f64
}

fn sent_frames(links: &[PeerLink]) -> f64 {
    let sent = links
        .iter()
        .map(|link| link.traffic.sent_frames.load(std::sync::atomic::Ordering::Relaxed));
    sent.sum::<u64>() as f64
}

/// Mean heartbeats a second of one link, in one direction, counted for `period`.
async fn heartbeat_rate(links: &[PeerLink], period: Duration) -> f64 {
    let before = sent_frames(links);
    time::sleep(period).await;
    (sent_frames(links) - before) / links.len() as f64 / period.as_secs_f64()
}

fn print(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

#[tokio::main]
async fn main() {
    let listener =
        TcpListener::bind("127.0.0.1:0").await.expect("binding to a loopback port succeeds");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(accept_links(listener));
    let mut links = vec![dial(address).await];
    let initial_bytes = resident_bytes();
    println!("links  resident bytes");
    for count in LINK_COUNTS {
        while links.len() < count {
            links.push(dial(address).await);
        }
        println!("{count:5}  {:14}", resident_bytes());
    }
    let bytes_per_link = (resident_bytes() - initial_bytes) / links.len() as f64;
    let busy = heartbeat_rate(&links, BUSY_PERIOD).await;
    time::sleep(IDLE_DELAY).await;
    let idle = heartbeat_rate(&links, IDLE_PERIOD).await;
    let mean = (busy * BUSY_SECONDS + idle * (LINK_LIFETIME_SECONDS - BUSY_SECONDS))
        / LINK_LIFETIME_SECONDS;
    let bytes = DESIGN_LINKS * 2.0 * mean * HEARTBEAT_BYTES;
    print("links-bytes-of-two-ends", bytes_per_link, FigureTarget::Baseline);
    print("links-busy-heartbeats-per-second", busy, FigureTarget::Baseline);
    print("links-idle-heartbeats-per-second", idle, FigureTarget::Baseline);
    print("links-entry-bytes-per-second", bytes, FigureTarget::AtMost(MAX_BYTES_PER_SECOND));
}
