//! Claims by segments decide as the naive claims do, through the Object API and its faults.

use std::{collections::BTreeMap, sync::Arc};

use base::{clock, prelude::*};
use bytes::Bytes;
use futures::future::join_all;
use object_api::{
    MemoryStore, ObjectStore, StoreFault,
    budget::{BudgetedStore, CallLimits},
};
use once::{
    ClaimAsk, ClaimKeeper, ClaimKey, ClaimReply, KeyDigest, MintTime, ObjectClaims,
    RequestFingerprint, ShardId, ShardLimits, shard_ranking,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

fn region() -> RegionName {
    RegionName::new("cz-central").unwrap()
}

fn keeper(store: &MemoryStore) -> ClaimKeeper<MemoryStore> {
    let limits = ShardLimits { write_gap: Duration::from_millis(20), ..ShardLimits::default() };
    ClaimKeeper::new(Arc::new(store.clone()), &region(), ProcessIncarnation::random(), limits)
}

fn key(number: u128) -> ClaimKey {
    let minted = MintTime::before(clock::since_epoch(), Duration::ZERO);
    ClaimKey { digest: KeyDigest(number.to_be_bytes()), minted }
}

fn ask(number: u128, request: u128) -> ClaimAsk {
    ClaimAsk {
        key: key(number),
        request: RequestId(request),
        fingerprint: RequestFingerprint([1; 32]),
        deadline: Instant::now() + Duration::from_secs(2),
    }
}

fn refused(code: ResultCode) -> ClaimReply {
    ClaimReply::Refused(code)
}

#[tokio::test(start_paused = true)]
async fn random_claims_and_releases_are_decided_as_by_the_naive_version() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = MemoryStore::new();
        let naive = ObjectClaims::new(Arc::new(MemoryStore::new()));
        let mut keepers = [keeper(&store), keeper(&store)];

        let mut holders = BTreeMap::new();
        for request in 0..200 {
            let number = rng.random_range(0..20);
            let owner = usize::from(rng.random_ratio(1, 10));
            keepers[1 - owner].keep_only(|_| false);
            if rng.random_ratio(1, 50) {
                keepers[0] = keeper(&store);
            }
            store.set_fault(StoreFault {
                lost_answers: rng.random_range(0..2),
                ..StoreFault::default()
            });

            let reply = keepers[owner].claim(ask(number, request)).await;
            let expected = naive.claim(key(number).digest, RequestId(request)).await;

            assert_eq!(reply, expected, "seed {seed}, request {request}");
            if reply == ClaimReply::Granted {
                holders.insert(number, request);
            }
            if rng.random_ratio(1, 3)
                && let Some(holder) = holders.remove(&number)
            {
                let reply = keepers[owner].release(ask(number, holder)).await;
                let expected = naive.release(key(number).digest, RequestId(holder)).await;
                assert_eq!(reply, expected, "seed {seed}, release of {holder}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn many_claims_share_one_write() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    keeper.claim(ask(1, 1)).await;
    let before = store.calls().writes;

    let claims = (2..102).map(|number| keeper.claim(ask(number, number)));
    let replies = join_all(claims).await;

    assert!(replies.iter().all(|reply| *reply == ClaimReply::Granted));
    assert_eq!(store.calls().writes - before, 1);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_refuses_as_not_run_and_claims_nothing() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    keeper.claim(ask(1, 1)).await;

    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    let down = keeper.claim(ask(2, 2)).await;
    store.set_fault(StoreFault::default());
    let again = keeper.claim(ask(2, 3)).await;

    assert_eq!(down, refused(ResultCode::StoreUnavailable));
    assert_eq!(again, ClaimReply::Granted);
}

#[tokio::test(start_paused = true)]
async fn claims_over_the_budget_of_writes_wait_and_are_not_refused() {
    let limits = CallLimits { reads: EventRate(1e3), writes: EventRate(2.0) };
    let store = Arc::new(BudgetedStore::new(MemoryStore::new(), limits));
    let shard_limits = ShardLimits { write_gap: Duration::ZERO, ..ShardLimits::default() };
    let writer = ProcessIncarnation::random();
    let keeper = ClaimKeeper::new(store, &region(), writer, shard_limits);

    let mut replies = Vec::new();
    for number in 0..10 {
        replies.push(keeper.claim(ask(number, number)).await);
    }

    assert_eq!(replies, vec![ClaimReply::Granted; 10]);
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_leaves_a_claim_uncertain_until_its_release() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    keeper.claim(ask(1, 1)).await;

    store.set_fault(StoreFault { delay: Duration::from_secs(4), ..StoreFault::default() });
    let slow = keeper.claim(ask(2, 2)).await;
    store.set_fault(StoreFault::default());
    time::sleep(Duration::from_secs(10)).await;
    let held = keeper.claim(ask(2, 3)).await;
    let released = keeper.release(ask(2, 2)).await;
    let again = keeper.claim(ask(2, 4)).await;

    assert_eq!(slow, refused(ResultCode::ClaimUncertain));
    assert_eq!(held, refused(ResultCode::DuplicateKey));
    assert_eq!(released, ClaimReply::Released);
    assert_eq!(again, ClaimReply::Granted);
}

#[tokio::test(start_paused = true)]
async fn a_duplicate_gets_the_kept_answer_of_the_same_request_only() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    let first = ask(1, 1);
    keeper.claim(first).await;
    keeper.answered(first.key, first.fingerprint, Bytes::from("answer")).await;

    let same = keeper.claim(ask(1, 2)).await;
    let other = ClaimAsk { fingerprint: RequestFingerprint([2; 32]), ..ask(1, 3) };
    let other = keeper.claim(other).await;

    assert_eq!(same, ClaimReply::Kept(Bytes::from("answer")));
    assert_eq!(other, refused(ResultCode::DuplicateKey));
}

#[tokio::test(start_paused = true)]
async fn expired_claims_leave_the_store_and_their_keys_stay_refused() {
    let store = MemoryStore::new();
    let keeper = keeper(&store);
    let old = ask(1, 1);
    keeper.claim(old).await;

    time::sleep(Duration::from_secs(3_600 + 120)).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    let again = keeper.claim(ClaimAsk { request: RequestId(2), deadline, ..old }).await;

    assert_eq!(again, refused(ResultCode::KeyExpired));
    assert_eq!(store.list("claims/cz-central/0/log/").await.unwrap(), []);
}

#[test]
fn a_shard_keeps_its_owner_when_another_entry_leaves() {
    let entries = (0..5).map(|n| VmId::new(format!("entry-{n}")).unwrap()).collect::<Vec<_>>();

    for shard in ShardId::all() {
        let ranking = shard_ranking(shard, &entries);
        let left = entries.iter().filter(|entry| *entry != ranking[1]).cloned();
        assert_eq!(shard_ranking(shard, &left.collect::<Vec<_>>())[0], ranking[0]);
    }
}
