//! Tests of drivers that exchange frames over loopback connections, with an in-memory store.

use std::{net::SocketAddr, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use lists::{
    spread::{
        NodeIdentity, SharedLinks, SpreadDriver, SpreadHandle, SpreadNode, SpreadSettings,
        WireLinks,
    },
    store::{
        EditOrder, HeadObject, ListTexts, apply_edit,
        objects::{encode_object, head_key},
        read_head, read_statuses,
    },
};
use object_api::{
    MemoryStore, ObjectKey, ObjectStore, StoreFault, VmEntry, VmState, WriteCondition, vms::VmRole,
};
use tokio::{net::TcpListener, sync::mpsc, time};
use wire::{FleetSecret, LinkOptions, Message, PeerIdentity, PeerLink, PeerRole};

const TIMEOUT: Duration = Duration::from_secs(10);

fn texts(share: u32) -> ListTexts {
    let rights = format!("[plan gold]\npriority = 1\nshare = {share}\nmodels = *\n");
    ListTexts { plans: String::new(), rights }
}

async fn accept(store: &MemoryStore, share: u32, read_at: u64) {
    let order = EditOrder {
        texts: texts(share),
        read_at: ListVersion(read_at),
        operator: OperatorName::new("jana").unwrap(),
        note: String::new(),
    };
    apply_edit(store, &order).await.unwrap();
}

struct TestVm {
    entry: VmEntry,
    listener: TcpListener,
}

async fn test_vm(name: &str, role: VmRole) -> TestVm {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let entry = VmEntry {
        id: VmId::new(name).unwrap(),
        role,
        service: None,
        zone: ZoneName::new("z0").unwrap(),
        address: listener.local_addr().unwrap(),
        state: VmState::Live,
    };
    TestVm { entry, listener }
}

fn start(test_vm: TestVm, store: &MemoryStore) -> SpreadHandle {
    let secret: FleetSecret = "a shared secret".parse().unwrap();
    let incarnation = ProcessIncarnation::random();
    let VmEntry { id: vm, zone, .. } = test_vm.entry;
    let identity =
        PeerIdentity { vm: vm.clone(), zone: zone.clone(), incarnation, role: PeerRole::Entry };
    let node = NodeIdentity { vm, zone, incarnation };
    let node = SpreadNode::new(node, SpreadSettings::default(), Vec::new(), Instant::now());
    let (sender, inbox) = mpsc::channel(64);
    let options = LinkOptions::default();
    let links = WireLinks::new(secret.clone(), identity.clone(), options, sender.clone());
    let store = Arc::new(store.clone());
    let shared = Arc::new(SharedLinks(Arc::clone(&links)));
    let (driver, lists) = SpreadDriver::new(node, shared, store.clone(), store, inbox);
    tokio::spawn(driver.run());
    tokio::spawn(serve(test_vm.listener, secret, identity, links));
    SpreadHandle { inbox: sender, lists }
}

async fn serve(
    listener: TcpListener,
    secret: FleetSecret,
    identity: PeerIdentity,
    links: Arc<WireLinks>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let link = PeerLink::accept(stream, &secret, &identity, LinkOptions::default()).await;
        let mut link = link.unwrap();
        let links = Arc::clone(&links);
        tokio::spawn(async move {
            while let Ok(Message::ListSpread(frame)) = link.receiver.next().await {
                links.accept(&link.peer, &link.sender, frame).await;
            }
        });
    }
}

async fn wait_for(handles: &mut [SpreadHandle], version: u64) {
    for handle in handles {
        let is_current = |lists: &Option<lists::ListSet>| {
            lists.as_ref().is_some_and(|lists| lists.version() >= ListVersion(version))
        };
        time::timeout(TIMEOUT, handle.lists.wait_for(is_current)).await.unwrap().unwrap();
    }
}

async fn small_fleet(store: &MemoryStore) -> Vec<SpreadHandle> {
    let mut test_vms = Vec::new();
    for number in 0..4 {
        test_vms.push(test_vm(&format!("entry-{number}"), VmRole::Entry).await);
    }
    for number in 0..3 {
        test_vms.push(test_vm(&format!("back-{number}"), VmRole::Backend).await);
    }
    store.set_vms(test_vms.iter().map(|test_vm| test_vm.entry.clone()).collect());
    test_vms.into_iter().map(|test_vm| start(test_vm, store)).collect()
}

#[tokio::test]
async fn edits_reach_all_processes_and_status() {
    let store = MemoryStore::new();
    accept(&store, 1, 0).await;
    let mut handles = small_fleet(&store).await;
    wait_for(&mut handles, 1).await;

    accept(&store, 2, 1).await;
    wait_for(&mut handles, 2).await;

    let deadline = Instant::now() + TIMEOUT;
    loop {
        let statuses = read_statuses(&store).await.unwrap();
        let is_active = statuses.iter().any(|status| {
            status.in_force == ListVersion(2) && status.nodes == 7 && status.lacking.is_empty()
        });
        if is_active {
            break;
        }
        assert!(Instant::now() < deadline, "{statuses:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn process_started_in_store_outage_gets_lists_from_peers() {
    let store = MemoryStore::new();
    accept(&store, 1, 0).await;
    let mut handles = small_fleet(&store).await;
    wait_for(&mut handles, 1).await;

    // The late process reads the VM list from its store, but finds no lists there.
    let late_store = MemoryStore::new();
    late_store.set_vms(object_api::VmList::vms(&store).await.unwrap());
    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    let late = start(test_vm("back-9", VmRole::Backend).await, &late_store);

    wait_for(&mut [late], 1).await;
}

/// Reads at the store in two seconds, after a small fleet has the lists and `others` were stored.
async fn reads_of_a_fleet_beside(others: &[(&ObjectKey, Bytes)]) -> u64 {
    let store = MemoryStore::new();
    accept(&store, 1, 0).await;
    let mut handles = small_fleet(&store).await;
    wait_for(&mut handles, 1).await;
    for (key, body) in others {
        store.put(key, body.clone(), WriteCondition::Absent).await.unwrap();
    }
    let before = store.calls().reads;
    time::sleep(Duration::from_secs(2)).await;
    store.calls().reads - before
}

/// Guards against relays that read the lists again and again because another object, whose name
/// begins like the head's, has a higher version.
#[tokio::test]
async fn object_named_like_the_head_is_not_taken_for_it() {
    let head = HeadObject { version: ListVersion(1_000), ..HeadObject::default() };
    let key = ObjectKey::new(format!("{}-old", head_key()));
    let body = encode_object(&key, &head).unwrap();

    let expected = reads_of_a_fleet_beside(&[]).await;
    let reads = reads_of_a_fleet_beside(&[(&key, body)]).await;

    assert!(reads <= 2 * expected, "{reads} reads instead of {expected}");
}

/// Stores the second version of `other` in `store`, with a malformed record of its edit.
async fn copy_edit_without_record(store: &MemoryStore, other: &MemoryStore) {
    let (_, head) = read_head(other).await.unwrap().unwrap();
    for part in other.list("lists/part/").await.unwrap() {
        store.put(&part.key, part.body, WriteCondition::Absent).await.unwrap();
    }
    let record = ObjectKey::new(&head.edit);
    store.put(&record, Bytes::from("{}"), WriteCondition::Absent).await.unwrap();
    let (version, _) = read_head(store).await.unwrap().unwrap();
    let body = encode_object(&head_key(), &head).unwrap();
    store.put(&head_key(), body, WriteCondition::Version(version)).await.unwrap();
}

/// Guards against a fleet that stays on its version because the record of one edit is malformed.
#[tokio::test]
async fn malformed_record_does_not_stop_the_spread() {
    let (store, other) = (MemoryStore::new(), MemoryStore::new());
    accept(&store, 1, 0).await;
    accept(&other, 1, 0).await;
    accept(&other, 2, 1).await;
    let mut handles = small_fleet(&store).await;
    wait_for(&mut handles, 1).await;

    copy_edit_without_record(&store, &other).await;

    wait_for(&mut handles, 2).await;
}
