//! Requests that crash engines are quarantined after two crashes, and other requests are not.

use std::{collections::BTreeSet, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use object_api::{MemoryStore, ObjectKey, ObjectStore, StoreFault, WriteCondition};
use once::{
    CrashId, CrashRecord, CrashedRequest, QuarantineLimits, QuarantineService, QuarantineStatus,
    RequestFingerprint, quarantine::admin,
};
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

const CRASHING_REQUEST: RequestFingerprint = RequestFingerprint([0xff; 32]);

fn crashed_request(fingerprint: RequestFingerprint, crash: u64) -> CrashedRequest {
    let crash = CrashId { incarnation: ProcessIncarnation(1), number: crash };
    CrashedRequest { fingerprint, customer: "slatina".into(), model: "reports-7b".into(), crash }
}

fn service(store: &MemoryStore) -> QuarantineService {
    QuarantineService::start(Arc::new(store.clone()), QuarantineLimits::default())
}

async fn wait_for_sync() {
    time::sleep(Duration::from_secs(30)).await;
}

#[tokio::test(start_paused = true)]
async fn two_crashes_quarantine_until_lifted() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));

    first.record_crash(crashed_request(CRASHING_REQUEST, 1));
    wait_for_sync().await;
    let suspect_status = second.status(CRASHING_REQUEST);
    second.record_crash(crashed_request(CRASHING_REQUEST, 2));
    wait_for_sync().await;
    let quarantined = [first.status(CRASHING_REQUEST), status_after_restart(&store).await];
    let lifted = admin::lift_record(&store, CRASHING_REQUEST).await.unwrap();
    wait_for_sync().await;

    assert_eq!(suspect_status, QuarantineStatus::Suspect);
    assert_eq!(quarantined, [QuarantineStatus::Quarantined; 2]);
    assert!(lifted);
    assert_eq!(first.status(CRASHING_REQUEST), QuarantineStatus::Clear);
}

async fn status_after_restart(store: &MemoryStore) -> QuarantineStatus {
    let service = service(store);
    wait_for_sync().await;
    service.status(CRASHING_REQUEST)
}

#[tokio::test(start_paused = true)]
async fn one_crash_reported_twice_counts_once() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));

    first.record_crash(crashed_request(CRASHING_REQUEST, 1));
    second.record_crash(crashed_request(CRASHING_REQUEST, 1));
    wait_for_sync().await;

    assert_eq!(first.status(CRASHING_REQUEST), QuarantineStatus::Suspect);
    assert_eq!(admin::list_records(&store).await.unwrap()[0].record.crashes.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn crashes_during_store_outage_are_saved_later() {
    let store = MemoryStore::new();
    let (first, second) = (service(&store), service(&store));
    wait_for_sync().await;

    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    first.record_crash(crashed_request(CRASHING_REQUEST, 1));
    first.record_crash(crashed_request(CRASHING_REQUEST, 2));
    wait_for_sync().await;
    let (first_status, second_status) =
        (first.status(CRASHING_REQUEST), second.status(CRASHING_REQUEST));
    store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });
    wait_for_sync().await;
    time::sleep(Duration::from_secs(60)).await;

    assert_eq!(
        (first_status, second_status),
        (QuarantineStatus::Quarantined, QuarantineStatus::Clear)
    );
    assert_eq!(second.status(CRASHING_REQUEST), QuarantineStatus::Quarantined);
}

/// Guards against entries on which no quarantine is in force because one record is malformed.
#[tokio::test(start_paused = true)]
async fn malformed_record_leaves_the_others_in_force() {
    let store = MemoryStore::new();
    let first = service(&store);
    first.record_crash(crashed_request(CRASHING_REQUEST, 1));
    first.record_crash(crashed_request(CRASHING_REQUEST, 2));
    wait_for_sync().await;
    let odd = RequestFingerprint([3; 32]);
    for key in [admin::record_key(odd), ObjectKey::new("quarantine/notes")] {
        store.put(&key, Bytes::from("\u{ff}"), WriteCondition::Absent).await.unwrap();
    }

    let at_start = status_after_restart(&store).await;
    let list = admin::read_records(&store).await.unwrap();

    assert_eq!(at_start, QuarantineStatus::Quarantined);
    assert_eq!(list.records.len(), 1);
    assert_eq!(list.unreadable, BTreeSet::from([odd]));
    assert!(admin::lift_record(&store, odd).await.unwrap());
}

/// Guards against a quarantine that ends at the next full read because another writer has
/// overwritten its record.
#[tokio::test(start_paused = true)]
async fn overwritten_record_keeps_the_quarantine_that_is_known() {
    let store = MemoryStore::new();
    let service = service(&store);
    service.record_crash(crashed_request(CRASHING_REQUEST, 1));
    service.record_crash(crashed_request(CRASHING_REQUEST, 2));
    wait_for_sync().await;
    let key = admin::record_key(CRASHING_REQUEST);
    let version = store.get(&key).await.unwrap().unwrap().version;
    let condition = WriteCondition::Version(version);
    store.put(&key, Bytes::from("\u{ff}"), condition).await.unwrap();
    // A later record, from which the watch after the next full read goes on.
    service.record_crash(crashed_request(RequestFingerprint([1; 32]), 3));

    time::sleep(Duration::from_secs(1_300)).await;

    assert_eq!(service.status(CRASHING_REQUEST), QuarantineStatus::Quarantined);
}

#[tokio::test(start_paused = true)]
async fn suspect_is_cleared_by_success_or_expiry() {
    let store = MemoryStore::new();
    let service = service(&store);
    let harmless = RequestFingerprint([1; 32]);
    service.set_cleaner(true);
    service.record_crash(crashed_request(CRASHING_REQUEST, 1));
    service.record_crash(crashed_request(harmless, 1));
    wait_for_sync().await;

    service.clear_suspect(harmless);
    wait_for_sync().await;
    let cleared = service.status(harmless);
    time::sleep(Duration::from_secs(3_700)).await;

    assert_eq!(cleared, QuarantineStatus::Clear);
    assert_eq!(service.status(CRASHING_REQUEST), QuarantineStatus::Clear);
    assert_eq!(store.list("quarantine/").await.unwrap(), []);
}

/// Sends a crashing request 50 times, with other requests in flight at the same time.
///
/// Returns the number of crashes and the quarantined requests. If `is_status_respected`, the
/// request runs alone as a suspect, and is not sent when quarantined.
async fn run_crashing_request(
    seed: u64,
    is_status_respected: bool,
) -> (u64, BTreeSet<RequestFingerprint>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = MemoryStore::new();
    let entries = (0..4).map(|_| service(&store)).collect::<Vec<_>>();
    let mut crashes = 0;
    for _ in 0..50 {
        let status = entries[rng.random_range(0..4)].status(CRASHING_REQUEST);
        if is_status_respected && status == QuarantineStatus::Quarantined {
            continue;
        }
        crashes += 1;
        let alone = is_status_respected && status == QuarantineStatus::Suspect;
        let others = if alone { 0 } else { 10 };
        let in_flight = (0..others).map(|_| RequestFingerprint([rng.random_range(0..40); 32]));
        for fingerprint in in_flight.chain([CRASHING_REQUEST]).collect::<Vec<_>>() {
            entries[rng.random_range(0..4)].record_crash(crashed_request(fingerprint, crashes));
        }
        wait_for_sync().await;
    }
    let quarantined = admin::list_records(&store).await.unwrap().into_iter();
    let quarantined = quarantined.filter(|stored| stored.record.crashes.len() >= 2);
    (crashes, quarantined.map(|stored| stored.fingerprint).collect())
}

#[tokio::test(start_paused = true)]
async fn only_the_crashing_request_is_quarantined() {
    for seed in 0..5 {
        let (crashes, quarantined) = run_crashing_request(seed, true).await;

        assert_eq!(crashes, 2, "seed {seed}");
        assert_eq!(quarantined, BTreeSet::from([CRASHING_REQUEST]), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn ignored_status_quarantines_other_requests() {
    let (crashes, quarantined) = run_crashing_request(0, false).await;

    assert_eq!(crashes, 50);
    assert!(quarantined.len() > 1);
}

#[test]
fn record_decoder_does_not_panic_on_random_input() {
    TestRunner::deterministic()
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            if let Ok(record) = CrashRecord::decode(Bytes::from(bytes)) {
                prop_assert_eq!(&CrashRecord::decode(record.encode()).unwrap(), &record);
            }
            Ok(())
        })
        .unwrap();
}
