//! Requests that crash engines are stopped after two crashes, and others are not.

use std::{collections::BTreeSet, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use object_api::{MemoryStore, ObjectStore, StoreFault};
use once::{
    CrashId, CrashRecord, CrashedRequest, QuarantineLimits, QuarantineService, QuarantineStatus,
    RequestFingerprint, quarantine::admin,
};
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

const CRASHER: RequestFingerprint = RequestFingerprint([0xff; 32]);

fn crashed_request(fingerprint: RequestFingerprint, crash: u64) -> CrashedRequest {
    let crash = CrashId { incarnation: ProcessIncarnation(1), number: crash };
    CrashedRequest { fingerprint, customer: "slatina".into(), model: "reports-7b".into(), crash }
}

fn service(store: &MemoryStore) -> QuarantineService {
    QuarantineService::start(Arc::new(store.clone()), QuarantineLimits::default())
}

async fn settle() {
    time::sleep(Duration::from_secs(30)).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_at_two_crashes_is_barred_everywhere_until_lifted() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));

    first.record_crash(crashed_request(CRASHER, 1));
    settle().await;
    let suspected = second.status(CRASHER);
    second.record_crash(crashed_request(CRASHER, 2));
    settle().await;
    let barred = [first.status(CRASHER), keeper_after_restart(&store).await];
    let lifted = admin::lift_record(&store, CRASHER).await.unwrap();
    settle().await;

    assert_eq!(suspected, QuarantineStatus::Suspect);
    assert_eq!(barred, [QuarantineStatus::Quarantined; 2]);
    assert!(lifted);
    assert_eq!(first.status(CRASHER), QuarantineStatus::Clear);
}

async fn keeper_after_restart(store: &MemoryStore) -> QuarantineStatus {
    let service = service(store);
    settle().await;
    service.status(CRASHER)
}

#[tokio::test(start_paused = true)]
async fn one_crash_reported_twice_counts_once() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));

    first.record_crash(crashed_request(CRASHER, 1));
    second.record_crash(crashed_request(CRASHER, 1));
    settle().await;

    assert_eq!(first.status(CRASHER), QuarantineStatus::Suspect);
    assert_eq!(admin::list_records(&store).await.unwrap()[0].record.crashes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn crashes_noted_while_the_store_is_down_count_here_and_are_saved_later() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));
    settle().await;

    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    first.record_crash(crashed_request(CRASHER, 1));
    first.record_crash(crashed_request(CRASHER, 2));
    settle().await;
    let (here, there) = (first.status(CRASHER), second.status(CRASHER));
    store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });
    settle().await;
    time::sleep(Duration::from_secs(60)).await;

    assert_eq!((here, there), (QuarantineStatus::Quarantined, QuarantineStatus::Clear));
    assert_eq!(second.status(CRASHER), QuarantineStatus::Quarantined);
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_cleared_by_a_good_end_or_by_time() {
    let store = MemoryStore::new();
    let service = service(&store);
    let innocent = RequestFingerprint([1; 32]);
    service.set_cleaner(true);
    service.record_crash(crashed_request(CRASHER, 1));
    service.record_crash(crashed_request(innocent, 1));
    settle().await;

    service.clear_suspect(innocent);
    settle().await;
    let cleared = service.status(innocent);
    time::sleep(Duration::from_secs(3_700)).await;

    assert_eq!(cleared, QuarantineStatus::Clear);
    assert_eq!(service.status(CRASHER), QuarantineStatus::Clear);
    assert_eq!(store.list("quarantine/").await.unwrap(), []);
}

/// Crashes until a crasher sent 50 times, among others in flight, is stopped; and those barred.
async fn crashes_of_a_crasher(seed: u64, obeyed: bool) -> (u64, BTreeSet<RequestFingerprint>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = MemoryStore::new();
    let entries = (0..4).map(|_| service(&store)).collect::<Vec<_>>();
    let mut crashes = 0;
    for _ in 0..50 {
        let status = entries[rng.random_range(0..4)].status(CRASHER);
        if obeyed && status == QuarantineStatus::Quarantined {
            continue;
        }
        crashes += 1;
        let alone = obeyed && status == QuarantineStatus::Suspect;
        let others = if alone { 0 } else { 10 };
        let beside = (0..others).map(|_| RequestFingerprint([rng.random_range(0..40); 32]));
        for fingerprint in beside.chain([CRASHER]).collect::<Vec<_>>() {
            entries[rng.random_range(0..4)].record_crash(crashed_request(fingerprint, crashes));
        }
        settle().await;
    }
    let barred = admin::list_records(&store).await.unwrap().into_iter();
    let barred = barred.filter(|stored| stored.record.crashes.len() >= 2);
    (crashes, barred.map(|stored| stored.fingerprint).collect())
}

#[tokio::test(start_paused = true)]
async fn a_crasher_takes_two_servers_down_and_nobody_else_is_barred() {
    for seed in 0..5 {
        let (crashes, barred) = crashes_of_a_crasher(seed, true).await;

        assert_eq!(crashes, 2, "seed {seed}");
        assert_eq!(barred, BTreeSet::from([CRASHER]), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn without_the_verdict_a_crasher_goes_on_and_bars_others() {
    let (crashes, barred) = crashes_of_a_crasher(0, false).await;

    assert_eq!(crashes, 50);
    assert!(barred.len() > 1);
}

#[test]
fn garbage_records_are_refused_without_a_panic() {
    TestRunner::deterministic()
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            if let Ok(record) = CrashRecord::decode(Bytes::from(bytes)) {
                prop_assert_eq!(&CrashRecord::decode(record.encode()).unwrap(), &record);
            }
            Ok(())
        })
        .unwrap();
}
