//! Tests of stored zone statuses over many versions and several relays.

use base::prelude::*;
use lists::{
    spread::{StatusReport, status::ActivationInstant},
    store::{activation_times, read_statuses, write_status},
};
use object_api::MemoryStore;

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
