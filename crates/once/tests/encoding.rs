//! Encoding and decoding of segments, claim messages, keys and fingerprints.

use base::prelude::*;
use bytes::Bytes;
use once::{
    ClaimExchange, ClaimKey, ClaimRecord, ClaimReply, ClaimSegment, CreationTime, ExchangeCall,
    KeyDigest, RecordKind, RequestFingerprint, ShardBase,
};
use proptest::{collection::vec, prelude::*, test_runner::TestRunner};
use rstest::rstest;

fn record() -> impl Strategy<Value = ClaimRecord> {
    let parts = (any::<[u8; 16]>(), any::<u64>(), any::<u128>(), any::<bool>());
    parts.prop_map(|(digest, created, request, released)| ClaimRecord {
        digest: KeyDigest(digest),
        created: CreationTime(created),
        request: RequestId(request),
        kind: if released { RecordKind::Release } else { RecordKind::Claim },
    })
}

fn segment() -> impl Strategy<Value = ClaimSegment> {
    let parts = (any::<u64>(), any::<u64>(), vec(record(), 0..20));
    parts.prop_map(|(writer, nonce, records)| ClaimSegment {
        writer: ProcessIncarnation(writer),
        nonce,
        records,
    })
}

#[test]
fn segment_round_trips_and_truncation_is_detected() {
    let strategy = (segment(), any::<prop::sample::Index>());

    TestRunner::deterministic()
        .run(&strategy, |(segment, cut)| {
            let body = segment.encode();
            prop_assert_eq!(&ClaimSegment::decode(body.clone()).unwrap(), &segment);
            let cut = body.slice(..cut.index(body.len()));
            let read = ClaimSegment::decode(cut);
            prop_assert!(read.map_or(true, |read| read != segment || segment.records.is_empty()));
            Ok(())
        })
        .unwrap();
}

#[test]
fn decoders_do_not_panic_on_random_input() {
    TestRunner::deterministic()
        .run(&(vec(any::<u8>(), 0..300), ".{0,60}"), |(bytes, text)| {
            let _ = ClaimSegment::decode(Bytes::from(bytes.clone()));
            let _ = ShardBase::decode(Bytes::from(bytes.clone()));
            if let Ok(message) = ClaimExchange::decode(Bytes::from(bytes)) {
                prop_assert_eq!(&ClaimExchange::decode(message.encode()).unwrap(), &message);
            }
            let _ = text.parse::<RequestFingerprint>();
            if let Ok(key) = IdempotencyKey::new(text) {
                let _ = CreationTime::of_key(&key);
            }
            Ok(())
        })
        .unwrap();
}

fn reply() -> impl Strategy<Value = ClaimReply> {
    prop_oneof![
        Just(ClaimReply::Granted),
        vec(any::<u8>(), 0..40).prop_map(|body| ClaimReply::Cached(Bytes::from(body))),
        prop::sample::select(ResultCode::ALL).prop_map(ClaimReply::Refused),
        Just(ClaimReply::Released),
        Just(ClaimReply::Unconfirmed),
    ]
}

#[test]
fn claim_messages_round_trip() {
    TestRunner::deterministic()
        .run(&(record(), any::<u64>(), reply()), |(record, number, reply)| {
            let key = ClaimKey { digest: record.digest, created: record.created };
            let fingerprint = RequestFingerprint([7; 32]);
            let call = ExchangeCall {
                serial: number,
                kind: record.kind,
                key,
                request: record.request,
                fingerprint,
                timeout: Duration::from_millis(number),
                region: "cz-central".parse().unwrap(),
            };
            let answer = Bytes::from("answer");
            for message in [
                ClaimExchange::Call(call),
                ClaimExchange::Reply { serial: number, reply },
                ClaimExchange::Answered { key, fingerprint, answer },
            ] {
                prop_assert_eq!(&ClaimExchange::decode(message.encode()).unwrap(), &message);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn largest_segment_fits_an_object() {
    let record = ClaimRecord {
        digest: KeyDigest([255; 16]),
        created: CreationTime(u64::MAX),
        request: RequestId(u128::MAX),
        kind: RecordKind::Release,
    };
    let records = vec![record; once::segment::MAX_SEGMENT_RECORDS];

    let body = ClaimSegment { writer: ProcessIncarnation(u64::MAX), nonce: u64::MAX, records };

    assert!(body.encode().len() <= object_api::object::MAX_OBJECT_BYTES);
}

#[rstest]
#[case::uuid("018f3a5c-0000-7abc-8def-0123456789ab", Some(0x018f_3a5c_0000))]
#[case::seconds("1764829410-order-7", Some(1_764_829_410_000))]
#[case::random_uuid("018f3a5c-0000-4abc-8def-0123456789ab", None)]
#[case::no_separator("17648294101", None)]
#[case::opaque("order-7", None)]
fn creation_time_is_parsed_from_key(#[case] text: &str, #[case] expected: Option<u64>) {
    let customer = CustomerId::new("toy-library").unwrap();
    let key = IdempotencyKey::new(text).unwrap();

    let created = ClaimKey::new(&customer, &key).map(|key| key.created.0).ok();

    assert_eq!(created, expected);
}

#[test]
fn customers_do_not_share_keys() {
    let key = IdempotencyKey::new("1764829410-order-7").unwrap();
    let customers = ["a", "b"].map(|name| CustomerId::new(name).unwrap());

    let [first, second] = customers.map(|customer| ClaimKey::new(&customer, &key).unwrap());

    assert_ne!(first.digest, second.digest);
}
