//! Tests of stored zone statuses over many versions and several relays.

use base::prelude::*;
use bytes::Bytes;
use lists::{
    spread::{StatusReport, status::ActivationInstant},
    store::{activation_times, read_statuses, write_status},
};
use object_api::{MemoryStore, ObjectKey, ObjectStore, WriteCondition};

fn zone() -> ZoneName {
    ZoneName::new("z0").unwrap()
}

fn relay(name: &str) -> VmId {
    VmId::new(name).unwrap()
}

fn report(in_force: u64, times: std::ops::RangeInclusive<u64>) -> StatusReport {
    let now = Instant::now();
    let activation = |version| ActivationInstant { version: ListVersion(version), at: now };
    StatusReport {
        in_force: ListVersion(in_force),
        newest: ListVersion(in_force),
        nodes: 3,
        lagging: Vec::new(),
        lagging_count: 0,
        times: times.map(activation).collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn activations_are_kept_over_many_versions() {
    let store = MemoryStore::new();
    for last in (10..=1_000).step_by(10) {
        let report = report(last, last - 9..=last);
        write_status(&store, &zone(), &relay("a"), &report).await.unwrap();
    }

    let statuses = read_statuses(&store).await.unwrap();
    let records = activation_times(&store, &statuses, ListVersion(3)).await.unwrap();

    let versions: Vec<_> = records[0].times.iter().map(|time| time.version.0).collect();
    assert_eq!(versions, (4..=1_000).collect::<Vec<_>>());
    assert!(statuses[0].times.len() <= 64);
}

#[tokio::test(start_paused = true)]
async fn other_relay_keeps_version_and_times() {
    let store = MemoryStore::new();
    write_status(&store, &zone(), &relay("a"), &report(9, 1..=9)).await.unwrap();
    let before = read_statuses(&store).await.unwrap();
    tokio::time::advance(Duration::from_secs(5)).await;

    write_status(&store, &zone(), &relay("b"), &report(7, 1..=7)).await.unwrap();

    let after = read_statuses(&store).await.unwrap();
    assert_eq!(after[0].in_force, ListVersion(9));
    assert_eq!(after[0].times, before[0].times);
    assert_eq!(after[0].relay, relay("b"));
}

/// Guards against statuses and activations that cannot be read because of one object of another
/// writer, and against a zone that is reported twice.
#[tokio::test(start_paused = true)]
async fn odd_objects_leave_the_statuses_in_use() {
    let store = MemoryStore::new();
    for last in (10..=1_000).step_by(10) {
        let report = report(last, last - 9..=last);
        write_status(&store, &zone(), &relay("a"), &report).await.unwrap();
    }
    let status = store.get(&ObjectKey::new("status/z0")).await.unwrap().unwrap().body;
    put(&store, "status/z0-copy", status).await;
    put(&store, "status/x&y", Bytes::from("{}")).await;
    put(&store, "status-times/z0/000000000001-notes", Bytes::from("\u{ff}")).await;

    let statuses = read_statuses(&store).await.unwrap();
    let records = activation_times(&store, &statuses, ListVersion(3)).await.unwrap();

    assert_eq!(statuses.len(), 1);
    let versions: Vec<_> = records[0].times.iter().map(|time| time.version.0).collect();
    assert_eq!(versions, (4..=1_000).collect::<Vec<_>>());
}

async fn put(store: &MemoryStore, name: &str, body: Bytes) {
    store.put(&ObjectKey::new(name), body, WriteCondition::Absent).await.unwrap();
}
