//! Entries that cannot read the store get new versions of the configuration from other entries.

mod support;

use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use peers::{DatagramBody, EntryHeartbeat, PeerSocket};
use rstest::rstest;
use support::{
    CallOutcome, TestFleet, call, plain,
    store_path::StorePath,
    workspaces::{catalog_with, with_key},
};
use tokio::time;

/// Time after its acknowledgement by the store within which a change is in force at all entries.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Time in which the entries of a fleet learn of each other.
const CONTACT: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A service and gateways, of which the first `on_path` reach the store by the path.
async fn start_fleet(on_path: usize, others: usize) -> (TestFleet, StorePath) {
    let mut fleet = TestFleet::start().await;
    fleet.known_within = IN_FORCE_WITHIN;
    fleet.write_catalog(&catalog_with(&[("north", &["k1"]), ("south", &["k2"])]), 2);
    fleet.add_service("s-0").await;
    let path = StorePath::start(fleet.store.address()).await;
    fleet.store_address = path.address();
    for _ in 0..on_path {
        fleet.add_gateway().await;
    }
    fleet.store_address = fleet.store.address();
    for _ in 0..others {
        fleet.add_gateway().await;
    }
    time::sleep(CONTACT).await;
    (fleet, path)
}

async fn read_with(callers: SocketAddr, path: &str, key: &str) -> CallOutcome {
    call(callers, with_key(plain("GET", path, "c-1"), key)).await
}

/// Waits until a read with `key` has this status at the entry; returns the statuses before.
async fn wait_for_status(callers: SocketAddr, key: &str, status: u16) -> Vec<u16> {
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    let mut others = Vec::new();
    loop {
        let found = read_with(callers, "/read/a", key).await.status();
        if found == status {
            return others;
        }
        others.push(found);
        assert!(Instant::now() < deadline, "{status} not in time with {key}: {others:?}");
        time::sleep(POLL_INTERVAL).await;
    }
}

/// A change never came into force at an entry that had lost the store.
#[rstest]
#[case::one(1, 2)]
#[case::most(3, 1)]
#[tokio::test]
async fn entries_without_the_store_apply_a_change_in_time(
    #[case] on_path: usize,
    #[case] others: usize,
) {
    let (fleet, path) = start_fleet(on_path, others).await;
    path.cut();

    fleet.write_catalog(&catalog_with(&[("north", &["k1", "k3"])]), 9);
    let written = Instant::now();
    for gateway in 0..on_path + others {
        let callers = fleet.callers(gateway);
        // Until it is in force, an entry that knows of it asks the caller to return.
        wait_for_status(callers, "k3", 200).await;
        wait_for_status(callers, "k2", 401).await;
    }

    assert!(written.elapsed() <= IN_FORCE_WITHIN, "{:?}", written.elapsed());
    let last = fleet.services[0].records().pop().expect("some requests ran");
    assert_eq!((last.header("tenant"), last.header("authorization")), (Some("north"), None));
}

/// The store comes back from a copy with an older version than the one that a peer has delivered.
#[tokio::test]
async fn older_version_in_a_restored_store_changes_nothing() {
    let (fleet, path) = start_fleet(1, 1).await;
    fleet.store.back_up();
    path.cut();
    fleet.write_catalog(&catalog_with(&[("north", &["k3"])]), 9);
    wait_for_status(fleet.callers(0), "k3", 200).await;

    fleet.store.restore();
    path.heal();

    let end = Instant::now() + IN_FORCE_WITHIN;
    while Instant::now() < end {
        for gateway in 0..2 {
            let callers = fleet.callers(gateway);
            assert_eq!(read_with(callers, "/read/a", "k3").await.status(), 200, "at {gateway}");
            assert_eq!(read_with(callers, "/read/a", "k1").await.status(), 401, "at {gateway}");
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// An entry that restarted while it could not reach the store served nothing until it could.
#[tokio::test]
async fn entry_that_restarts_without_the_store_gets_the_configuration_from_another() {
    let (mut fleet, path) = start_fleet(0, 1).await;
    fleet.store_address = path.address();
    let before = fleet.add_gateway_process(1).await;
    time::sleep(CONTACT).await;
    before.kill().await;
    path.cut();

    let restarted = fleet.add_gateway_process(1).await;

    // It knows no backend server, but whose keys are valid.
    wait_for_status(restarted.callers, "k9", 401).await;
}

/// Another entry that says it has a version which it does not deliver.
async fn announce_version(fleet: &TestFleet, version: u64) -> PeerSocket {
    let own: IpAddr = fleet.callers(0).ip();
    let address = SocketAddr::new(own, 0);
    let vm = "entry-silent".parse().expect("a valid name");
    let socket = PeerSocket::bind(address, vm, ProcessIncarnation(1)).await;
    let heartbeat = EntryHeartbeat {
        core_share: 1,
        is_draining: false,
        known: Vec::new(),
        store: None,
        block_digest: 0,
        catalog_version: version,
    };
    // A new socket may not be ready for the first one.
    for _ in 0..5 {
        socket.send(fleet.peer_address(0), DatagramBody::EntryHeartbeat(heartbeat.clone()));
        time::sleep(POLL_INTERVAL).await;
    }
    socket
}

/// A key of the newer version was refused for good, and its caller did not return.
#[tokio::test]
async fn unknown_keys_and_routes_are_asked_to_return_while_a_newer_version_is_known() {
    let (fleet, _path) = start_fleet(0, 1).await;
    let callers = fleet.callers(0);
    let before = (
        read_with(callers, "/read/a", "k9").await.status(),
        read_with(callers, "/none/a", "k1").await.status(),
    );

    let _socket = announce_version(&fleet, 99).await;
    time::sleep(Duration::from_millis(300)).await;

    assert_eq!(before, (401, 404));
    for (path, key) in [("/read/a", "k9"), ("/none/a", "k1"), ("/none/a", "k9")] {
        let refused = read_with(callers, path, key).await;
        assert_eq!(refused.status(), 503, "{path} with {key}: {refused:?}");
        let wait = refused.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(wait.is_some_and(|wait| wait > 0.0 && wait < 1.0), "{refused:?}");
    }
    assert_eq!(read_with(callers, "/read/a", "k1").await.status(), 200);
    assert_eq!(call(callers, plain("GET", "/open/a", "c-2")).await.status(), 200);
    // A version that comes by the store ends that.
    fleet.write_catalog(&catalog_with(&[("north", &["k1"])]), 100);
    wait_for_status(callers, "k9", 401).await;
}
