//! A few hundred processes' drivers as tasks over loopback TCP, in real time.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use lists::{
    ListSet,
    spread::{
        NodeIdentity, SharedLinks, SpreadDriver, SpreadInput, SpreadNode, SpreadSettings, WireLinks,
    },
    store::{EditOrder, ListTexts, apply_edit},
};
use object_api::{MemoryStore, VmEntry, VmState, vms::VmRole};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use wire::{FleetSecret, LinkOptions, Message, PeerIdentity, PeerLink, PeerRole};

/// Edits timed.
const EDITS: u64 = 10;
/// Pause between edits, at the target's rate.
const EDIT_PAUSE: Duration = Duration::from_millis(2_274);

/// Times of one run.
pub struct LoopbackTimes {
    pub nodes: usize,
    pub mean: Duration,
    pub slowest: Duration,
}

type ListReceiver = watch::Receiver<Option<ListSet>>;

/// Starts one zone and times edits from before `apply` to the last process.
pub async fn measure(entries: usize, sides: usize, fan_out: usize) -> LoopbackTimes {
    let store = MemoryStore::new();
    accept(&store, 0).await;
    let mut receivers = start_zone(&store, entries, sides, fan_out).await;
    wait_for(&mut receivers, 1).await;
    tokio::time::sleep(EDIT_PAUSE * 2).await;
    let mut times = Vec::new();
    for version in 1..=EDITS {
        let started = Instant::now();
        accept(&store, version).await;
        wait_for(&mut receivers, version + 1).await;
        times.push(started.elapsed());
        tokio::time::sleep(EDIT_PAUSE).await;
    }
    let slowest = times.iter().max().copied().unwrap_or_default();
    let mean = times.iter().sum::<Duration>() / EDITS as u32;
    LoopbackTimes { nodes: entries + sides, mean, slowest }
}

async fn accept(store: &MemoryStore, read_at: u64) {
    let rights = format!("[plan gold]\npriority = 1\nshare = {}\nmodels = *\n", read_at + 1);
    let order = EditOrder {
        texts: ListTexts { plans: String::new(), rights },
        read_at: ListVersion(read_at),
        operator: OperatorName::new("bench").expect("a valid name"),
        note: String::new(),
    };
    apply_edit(store, &order).await.expect("the store accepts edits");
}

async fn wait_for(receivers: &mut [ListReceiver], version: u64) {
    for receiver in receivers {
        let has = |lists: &Option<ListSet>| {
            lists.as_ref().is_some_and(|lists| lists.version() >= ListVersion(version))
        };
        receiver.wait_for(has).await.expect("drivers run");
    }
}

async fn start_zone(
    store: &MemoryStore,
    entries: usize,
    sides: usize,
    fan_out: usize,
) -> Vec<ListReceiver> {
    let mut places = Vec::new();
    for (role, kind, count) in [(VmRole::Entry, "entry", entries), (VmRole::Backend, "back", sides)]
    {
        for number in 0..count {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(any).await.expect("a free port");
            let entry = VmEntry {
                id: VmId::new(format!("{kind}-{number}")).expect("a valid name"),
                role,
                service: None,
                zone: ZoneName::new("zone-0").expect("a valid name"),
                address: listener.local_addr().expect("a bound address"),
                state: VmState::Live,
            };
            places.push((entry, listener));
        }
    }
    store.set_vms(places.iter().map(|(entry, _)| entry.clone()).collect());
    let settings = SpreadSettings { fan_out, ..SpreadSettings::default() };
    let start = |(entry, listener)| start_node(entry, listener, store, settings);
    places.into_iter().map(start).collect()
}

fn start_node(
    entry: VmEntry,
    listener: TcpListener,
    store: &MemoryStore,
    settings: SpreadSettings,
) -> ListReceiver {
    let secret: FleetSecret = "a shared secret".parse().expect("long enough");
    let incarnation = ProcessIncarnation::random();
    let VmEntry { id: vm, zone, .. } = entry;
    let role = PeerRole::Entry;
    let identity = PeerIdentity { vm: vm.clone(), zone: zone.clone(), incarnation, role };
    let node = NodeIdentity { vm, zone, incarnation };
    let node = SpreadNode::new(node, settings, Vec::new(), Instant::now());
    let (sender, inbox) = mpsc::channel::<SpreadInput>(256);
    let links = WireLinks::new(secret.clone(), identity.clone(), LinkOptions::default(), sender);
    let shared = Arc::new(SharedLinks(Arc::clone(&links)));
    let store = Arc::new(store.clone());
    let (driver, lists) = SpreadDriver::new(node, shared, store.clone(), store, inbox);
    tokio::spawn(driver.run());
    tokio::spawn(serve(listener, secret, identity, links));
    lists
}

async fn serve(
    listener: TcpListener,
    secret: FleetSecret,
    identity: PeerIdentity,
    links: Arc<WireLinks>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let options = LinkOptions::default();
        let Ok(mut link) = PeerLink::accept(stream, &secret, &identity, options).await else {
            continue;
        };
        let links = Arc::clone(&links);
        tokio::spawn(async move {
            while let Ok(Message::ListSpread(frame)) = link.receiver.next().await {
                links.accept(&link.peer, &link.sender, frame).await;
            }
        });
    }
}
