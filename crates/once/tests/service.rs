//! `ClaimService` gives the replies of `ObjectClaims`, also while store calls fail.

use std::{collections::BTreeMap, sync::Arc};

use base::{clock, prelude::*};
use bytes::Bytes;
use futures::future::join_all;
use object_api::{
    MemoryStore, ObjectKey, ObjectStore, StoreFault, WriteCondition,
    rate_limit::{CallLimits, RateLimitedStore},
};
use once::{
    ClaimKey, ClaimReply, ClaimRequest, ClaimSegment, ClaimService, CreationTime, KeyDigest,
    ObjectClaims, RequestFingerprint, ShardId, ShardLimits, shard_ranking,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time;

fn region() -> RegionName {
    RegionName::new("cz-central").unwrap()
}

fn service(store: &MemoryStore) -> ClaimService<MemoryStore> {
    let limits =
        ShardLimits { min_write_interval: Duration::from_millis(20), ..ShardLimits::default() };
    ClaimService::new(Arc::new(store.clone()), &region(), ProcessIncarnation::random(), limits)
}

fn key(number: u128) -> ClaimKey {
    let created = CreationTime::before(clock::since_epoch(), Duration::ZERO);
    ClaimKey { digest: KeyDigest(number.to_be_bytes()), created }
}

fn claim_request(number: u128, request: u128) -> ClaimRequest {
    ClaimRequest {
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
async fn random_calls_get_the_replies_of_object_claims() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store = MemoryStore::new();
        let reference = ObjectClaims::new(Arc::new(MemoryStore::new()));
        let mut services = [service(&store), service(&store)];

        let mut holders = BTreeMap::new();
        for request in 0..200 {
            let number = rng.random_range(0..20);
            let owner = usize::from(rng.random_ratio(1, 10));
            services[1 - owner].retain_shards(|_| false);
            if rng.random_ratio(1, 50) {
                services[0] = service(&store);
            }
            store.set_fault(StoreFault {
                lost_answers: rng.random_range(0..2),
                ..StoreFault::default()
            });

            let reply = services[owner].claim(claim_request(number, request)).await;
            let expected = reference.claim(key(number).digest, RequestId(request)).await;

            assert_eq!(reply, expected, "seed {seed}, request {request}");
            if reply == ClaimReply::Granted {
                holders.insert(number, request);
            }
            if rng.random_ratio(1, 3)
                && let Some(holder) = holders.remove(&number)
            {
                let reply = services[owner].release(claim_request(number, holder)).await;
                let expected = reference.release(key(number).digest, RequestId(holder)).await;
                assert_eq!(reply, expected, "seed {seed}, release of {holder}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_share_one_write() {
    let store = MemoryStore::new();
    let service = service(&store);
    service.claim(claim_request(1, 1)).await;
    let before = store.calls().writes;

    let claims = (2..102).map(|number| service.claim(claim_request(number, number)));
    let replies = join_all(claims).await;

    assert!(replies.iter().all(|reply| *reply == ClaimReply::Granted));
    assert_eq!(store.calls().writes - before, 1);
}

#[tokio::test(start_paused = true)]
async fn store_outage_refuses_and_claims_nothing() {
    let store = MemoryStore::new();
    let service = service(&store);
    service.claim(claim_request(1, 1)).await;

    store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    let down = service.claim(claim_request(2, 2)).await;
    store.set_fault(StoreFault::default());
    let again = service.claim(claim_request(2, 3)).await;

    assert_eq!(down, refused(ResultCode::StoreUnavailable));
    assert_eq!(again, ClaimReply::Granted);
}

#[tokio::test(start_paused = true)]
async fn claims_over_write_rate_limit_wait() {
    let limits = CallLimits { reads: EventRate(1e3), writes: EventRate(2.0) };
    let store = Arc::new(RateLimitedStore::new(MemoryStore::new(), limits));
    let shard_limits = ShardLimits { min_write_interval: Duration::ZERO, ..ShardLimits::default() };
    let writer = ProcessIncarnation::random();
    let service = ClaimService::new(store, &region(), writer, shard_limits);

    let mut replies = Vec::new();
    for number in 0..10 {
        replies.push(service.claim(claim_request(number, number)).await);
    }

    assert_eq!(replies, vec![ClaimReply::Granted; 10]);
}

#[tokio::test(start_paused = true)]
async fn slow_write_leaves_claim_uncertain_until_release() {
    let store = MemoryStore::new();
    let service = service(&store);
    service.claim(claim_request(1, 1)).await;

    store.set_fault(StoreFault { delay: Duration::from_secs(4), ..StoreFault::default() });
    let slow = service.claim(claim_request(2, 2)).await;
    store.set_fault(StoreFault::default());
    time::sleep(Duration::from_secs(10)).await;
    let held = service.claim(claim_request(2, 3)).await;
    let released = service.release(claim_request(2, 2)).await;
    let again = service.claim(claim_request(2, 4)).await;

    assert_eq!(slow, refused(ResultCode::ClaimUncertain));
    assert_eq!(held, refused(ResultCode::DuplicateKey));
    assert_eq!(released, ClaimReply::Released);
    assert_eq!(again, ClaimReply::Granted);
}

#[tokio::test(start_paused = true)]
async fn cached_answer_requires_same_fingerprint() {
    let store = MemoryStore::new();
    let service = service(&store);
    let first = claim_request(1, 1);
    service.claim(first).await;
    service.cache_answer(first.key, first.fingerprint, Bytes::from("answer")).await;

    let same = service.claim(claim_request(1, 2)).await;
    let other = ClaimRequest { fingerprint: RequestFingerprint([2; 32]), ..claim_request(1, 3) };
    let other = service.claim(other).await;

    assert_eq!(same, ClaimReply::Cached(Bytes::from("answer")));
    assert_eq!(other, refused(ResultCode::DuplicateKey));
}

#[tokio::test(start_paused = true)]
async fn expired_claims_are_deleted_and_refused() {
    let store = MemoryStore::new();
    let service = service(&store);
    let old = claim_request(1, 1);
    service.claim(old).await;

    time::sleep(Duration::from_secs(3_600 + 120)).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    let again = service.claim(ClaimRequest { request: RequestId(2), deadline, ..old }).await;

    assert_eq!(again, refused(ResultCode::KeyExpired));
    assert_eq!(store.list("claims/cz-central/0/log/").await.unwrap(), []);
}

async fn put(store: &MemoryStore, name: &str, body: &'static [u8]) {
    let key = ObjectKey::new(name);
    store.put(&key, Bytes::from(body), WriteCondition::Absent).await.unwrap();
}

/// Guards against a shard whose claims are all refused because of an object that is no segment.
#[rstest]
#[case::text("backup")]
#[case::not_padded("7")]
#[case::with_a_sign("+0000000000000000007")]
#[case::deeper("00000000000000000007/a")]
#[case::empty("")]
#[case::number_that_nobody_reaches("18446744073709551615")]
#[tokio::test(start_paused = true)]
async fn object_that_is_no_segment_leaves_the_shard_in_use(#[case] name: &str) {
    let store = MemoryStore::new();
    service(&store).claim(claim_request(1, 1)).await;
    put(&store, &format!("claims/cz-central/0/log/{name}"), b"\xff").await;
    let service = service(&store);

    let known = service.claim(claim_request(1, 2)).await;
    let fresh = service.claim(claim_request(2, 3)).await;

    assert_eq!(known, refused(ResultCode::DuplicateKey));
    assert_eq!(fresh, ClaimReply::Granted);
}

/// Guards against claims that are written behind the last number, where no reader finds them.
#[tokio::test(start_paused = true)]
async fn full_log_refuses_claims() {
    let store = MemoryStore::new();
    let key = ObjectKey::new(format!("claims/cz-central/0/log/{:020}", 1_u64 << 62));
    let segment = ClaimSegment { writer: ProcessIncarnation(1), nonce: 1, records: Vec::new() };
    store.put(&key, segment.encode(), WriteCondition::Absent).await.unwrap();

    let claimed = service(&store).claim(claim_request(1, 1)).await;

    assert_eq!(claimed, refused(ResultCode::StoreUnavailable));
}

/// Guards against a claim that is granted twice because its segment cannot be read, and against
/// other shards that are refused with it.
#[tokio::test(start_paused = true)]
async fn segment_that_cannot_be_read_refuses_its_shard_only() {
    let store = MemoryStore::new();
    put(&store, "claims/cz-central/0/log/00000000000000000000", b"\xff").await;
    let service = service(&store);
    let other = claim_request(u128::MAX, 2);

    let affected = service.claim(claim_request(1, 1)).await;
    let unaffected = service.claim(other).await;

    assert_ne!(other.key.digest.shard(), key(1).digest.shard());
    assert_eq!(affected, refused(ResultCode::StoreUnavailable));
    assert_eq!(unaffected, ClaimReply::Granted);
}

#[test]
fn shard_owner_is_stable_when_another_entry_leaves() {
    let entries = (0..5).map(|n| VmId::new(format!("entry-{n}")).unwrap()).collect::<Vec<_>>();

    for shard in ShardId::all() {
        let ranking = shard_ranking(shard, &entries);
        let left = entries.iter().filter(|entry| *entry != ranking[1]).cloned();
        assert_eq!(shard_ranking(shard, &left.collect::<Vec<_>>())[0], ranking[0]);
    }
}
