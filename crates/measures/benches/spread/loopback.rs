//! Spread drivers of up to a few hundred nodes, as tasks of one process over loopback TCP, in real
//! time.

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

/// Edits timed in each run.
const EDITS: u64 = 10;
/// Time between edits at the design rate of 38,000 a day.
const EDIT_PAUSE: Duration = Duration::from_millis(2_274);

/// Times until an edit is active at all nodes, in one run.
pub struct LoopbackTimes {
    pub nodes: usize,
    pub mean: Duration,
    pub slowest: Duration,
}

type ListReceiver = watch::Receiver<Option<ListSet>>;

/// Starts one zone and times each edit from before it is written until the last node has it.
pub async fn measure(entries: usize, sides: usize, fan_out: usize) -> LoopbackTimes {
    let store = MemoryStore::new();
    write_edit(&store, 0).await;
    let mut receivers = start_zone(&store, entries, sides, fan_out).await;
    wait_for_version(&mut receivers, 1).await;
    tokio::time::sleep(EDIT_PAUSE * 2).await;
    let mut times = Vec::new();
    for version in 1..=EDITS {
        let started = Instant::now();
        write_edit(&store, version).await;
        wait_for_version(&mut receivers, version + 1).await;
        times.push(started.elapsed());
        tokio::time::sleep(EDIT_PAUSE).await;
    }
    let slowest = times.iter().max().copied().unwrap_or_default();
    let mean = times.iter().sum::<Duration>() / EDITS as u32;
    LoopbackTimes { nodes: entries + sides, mean, slowest }
}

async fn write_edit(store: &MemoryStore, read_at: u64) {
    let rights = format!("[plan gold]\npriority = 1\nshare = {}\nmodels = *\n", read_at + 1);
    let order = EditOrder {
        texts: ListTexts { plans: String::new(), rights },
        read_at: ListVersion(read_at),
        operator: OperatorName::new("bench").expect("a valid name"),
        note: String::new(),
    };
    apply_edit(store, &order).await.expect("the store accepts edits");
}

async fn wait_for_version(receivers: &mut [ListReceiver], version: u64) {
    for receiver in receivers {
        let is_current = |lists: &Option<ListSet>| {
            lists.as_ref().is_some_and(|lists| lists.version() >= ListVersion(version))
        };
        receiver.wait_for(is_current).await.expect("drivers run");
    }
}

async fn start_zone(
    store: &MemoryStore,
    entries: usize,
    sides: usize,
    fan_out: usize,
) -> Vec<ListReceiver> {
    let mut processes = Vec::new();
    for (role, kind, count) in [(VmRole::Entry, "entry", entries), (VmRole::Backend, "back", sides)]
    {
        for number in 0..count {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(any_port).await.expect("a free port");
            let entry = VmEntry {
                id: VmId::new(format!("{kind}-{number}")).expect("a valid name"),
                role,
                service: None,
                zone: ZoneName::new("zone-0").expect("a valid name"),
                address: listener.local_addr().expect("a bound address"),
                state: VmState::Live,
            };
            processes.push((entry, listener));
        }
    }
    store.set_vms(processes.iter().map(|(entry, _)| entry.clone()).collect());
    let settings = SpreadSettings { fan_out, ..SpreadSettings::default() };
    let start = |(entry, listener)| start_node(entry, listener, store, settings);
    processes.into_iter().map(start).collect()
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
    tokio::spawn(accept_links(listener, secret, identity, links));
    lists
}

async fn accept_links(
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
