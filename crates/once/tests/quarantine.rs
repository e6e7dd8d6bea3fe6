//! Requests that crash engines are stopped after two crashes, and others are not.

use std::{collections::BTreeSet, sync::Arc};

use base::prelude::*;
use bytes::Bytes;
use object_api::{MemoryStore, ObjectStore, StoreFault};
use once::{
    CrashMark, CrashNote, CrashRecord, CrashVerdict, QuarantineKeeper, QuarantineLimits,
    RequestFingerprint, quarantine::operate,
};
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

const CRASHER: RequestFingerprint = RequestFingerprint([0xff; 32]);

fn note(fingerprint: RequestFingerprint, crash: u64) -> CrashNote {
    let mark = CrashMark { incarnation: ProcessIncarnation(1), crash };
    CrashNote { fingerprint, customer: "slatina".into(), model: "reports-7b".into(), mark }
}

fn keeper(store: &MemoryStore) -> QuarantineKeeper {
    QuarantineKeeper::start(Arc::new(store.clone()), QuarantineLimits::default())
}

async fn settle() {
    time::sleep(Duration::from_secs(30)).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_at_two_crashes_is_barred_everywhere_until_lifted() {
    let store = MemoryStore::new();
    let (first, second) = (keeper(&store), keeper(&store));

    first.crashed(note(CRASHER, 1));
    settle().await;
    let suspected = second.verdict(CRASHER);
    second.crashed(note(CRASHER, 2));
    settle().await;
    let barred = [first.verdict(CRASHER), keeper_after_restart(&store).await];
    let lifted = operate::lift_record(&store, CRASHER).await.unwrap();
    settle().await;

    assert_eq!(suspected, CrashVerdict::Suspect);
    assert_eq!(barred, [CrashVerdict::Quarantined; 2]);
    assert!(lifted);
    assert_eq!(first.verdict(CRASHER), CrashVerdict::Clear);
}

async fn keeper_after_restart(store: &MemoryStore) -> CrashVerdict {
    let keeper = keeper(store);
    settle().await;
    keeper.verdict(CRASHER)
}

#[tokio::test(start_paused = true)]
async fn one_crash_reported_twice_counts_once() {
    let store = MemoryStore::new();
    let (first, second) = (keeper(&store), keeper(&store));

    first.crashed(note(CRASHER, 1));
    second.crashed(note(CRASHER, 1));
    settle().await;

    assert_eq!(first.verdict(CRASHER), CrashVerdict::Suspect);
    assert_eq!(operate::list_records(&store).await.unwrap()[0].record.marks.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn crashes_noted_while_the_store_is_down_count_here_and_are_saved_later() {
    let store = MemoryStore::new();
    let (first, second) = (keeper(&store), keeper(&store));
    settle().await;

    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    first.crashed(note(CRASHER, 1));
    first.crashed(note(CRASHER, 2));
    settle().await;
    let (here, there) = (first.verdict(CRASHER), second.verdict(CRASHER));
    store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });
    settle().await;
    time::sleep(Duration::from_secs(60)).await;

    assert_eq!((here, there), (CrashVerdict::Quarantined, CrashVerdict::Clear));
    assert_eq!(second.verdict(CRASHER), CrashVerdict::Quarantined);
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_cleared_by_a_good_end_or_by_time() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    let innocent = RequestFingerprint([1; 32]);
    keeper.set_cleaner(true);
    keeper.crashed(note(CRASHER, 1));
    keeper.crashed(note(innocent, 1));
    settle().await;

    keeper.ended_well(innocent);
    settle().await;
    let cleared = keeper.verdict(innocent);
    time::sleep(Duration::from_secs(3_700)).await;

    assert_eq!(cleared, CrashVerdict::Clear);
    assert_eq!(keeper.verdict(CRASHER), CrashVerdict::Clear);
    assert_eq!(store.list("quarantine/").await.unwrap(), []);
}

/// Crashes until a crasher sent 50 times, among others in flight, is stopped; and those barred.
async fn crashes_of_a_crasher(seed: u64, obeyed: bool) -> (u64, BTreeSet<RequestFingerprint>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let store = MemoryStore::new();
    let entries = (0..4).map(|_| keeper(&store)).collect::<Vec<_>>();
    let mut crashes = 0;
    for _ in 0..50 {
        let verdict = entries[rng.random_range(0..4)].verdict(CRASHER);
        if obeyed && verdict == CrashVerdict::Quarantined {
            continue;
        }
        crashes += 1;
        let alone = obeyed && verdict == CrashVerdict::Suspect;
        let others = if alone { 0 } else { 10 };
        let beside = (0..others).map(|_| RequestFingerprint([rng.random_range(0..40); 32]));
        for fingerprint in beside.chain([CRASHER]).collect::<Vec<_>>() {
            entries[rng.random_range(0..4)].crashed(note(fingerprint, crashes));
        }
        settle().await;
    }
    let barred = operate::list_records(&store).await.unwrap().into_iter();
    let barred = barred.filter(|stored| stored.record.marks.len() >= 2);
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
