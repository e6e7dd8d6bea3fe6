//! Malformed answers of the platform give an error; they are neither misread nor cause a panic.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use object_api::{
    ObjectChange, ObjectKey, ObjectVersion, StoreError, StoredObject,
    http::{
        key_of_path,
        messages::{ObjectMessage, ObjectsMessage},
        object_path, read_changes, read_failure, read_objects, read_version, read_vms,
    },
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn runner() -> TestRunner {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn objects() -> impl Strategy<Value = Vec<StoredObject>> {
    let object = ("p/[a-z é%?#]{0,8}", any::<u64>(), vec(any::<u8>(), 0..40));
    let build = |(name, version, body): (String, u64, Vec<u8>)| StoredObject {
        key: ObjectKey::new(name),
        version: ObjectVersion(version),
        body: Bytes::from(body),
    };
    vec(object.prop_map(build), 0..6)
}

fn encoded(objects: &[StoredObject]) -> Vec<u8> {
    let objects = objects.iter().cloned().map(ObjectMessage::from).collect();
    serde_json::to_vec(&ObjectsMessage { objects }).unwrap()
}

#[test]
fn objects_round_trip() {
    let read = |objects: Vec<StoredObject>| {
        let body = encoded(&objects);

        prop_assert_eq!(read_objects(&body, "p/"), Ok(objects.clone()));
        let changes = objects.into_iter().map(ObjectChange::Written).collect();
        prop_assert_eq!(read_changes(&body, "p/"), Ok(changes));
        Ok(())
    };

    runner().run(&objects(), read).unwrap();
}

#[test]
fn truncated_answer_is_a_bad_answer() {
    let read = |(objects, cut): (Vec<StoredObject>, prop::sample::Index)| {
        let body = encoded(&objects);
        let cut = cut.index(body.len());

        prop_assert_eq!(read_objects(&body[..cut], "p/"), Err(StoreError::BadAnswer));
        prop_assert_eq!(read_changes(&body[..cut], "p/"), Err(StoreError::BadAnswer));
        Ok(())
    };

    runner().run(&(objects(), any::<prop::sample::Index>()), read).unwrap();
}

#[test]
fn name_outside_the_prefix_is_a_bad_answer() {
    let object =
        StoredObject { key: ObjectKey::new("q/a"), version: ObjectVersion(1), body: Bytes::new() };

    let read = read_objects(&encoded(&[object]), "p/");

    assert_eq!(read, Err(StoreError::BadAnswer));
}

#[test]
fn replaced_bytes_never_panic() {
    let flips = vec((any::<prop::sample::Index>(), any::<u8>()), 1..4);
    let read = |(objects, flips): (Vec<StoredObject>, Vec<(prop::sample::Index, u8)>)| {
        let mut body = encoded(&objects);
        for (index, byte) in flips {
            let index = index.index(body.len());
            body[index] = byte;
        }

        let _read = read_objects(&body, "p/");
        let _vms = read_vms(&body);
        Ok(())
    };

    runner().run(&(objects(), flips), read).unwrap();
}

#[test]
fn random_bytes_are_a_bad_answer() {
    let read = |body: Vec<u8>| {
        prop_assert_eq!(read_changes(&body, ""), Err(StoreError::BadAnswer));
        prop_assert_eq!(read_vms(&body), Err(StoreError::BadAnswer));
        Ok(())
    };

    runner().run(&vec(any::<u8>(), 0..200), read).unwrap();
}

#[test]
fn only_quoted_numbers_are_versions() {
    let read = |tag: Vec<u8>| {
        let Ok(value) = HeaderValue::from_bytes(&tag) else { return Ok(()) };
        let headers = HeaderMap::from_iter([(header::ETAG, value)]);

        let version = read_version(&headers);

        let expected = std::str::from_utf8(&tag).ok().and_then(|text| {
            text.strip_prefix('"')?.strip_suffix('"')?.parse().ok().map(ObjectVersion)
        });
        prop_assert_eq!(version.ok(), expected);
        Ok(())
    };

    runner().run(&vec(prop_oneof![Just(b'"'), b'0'..=b'9', any::<u8>()], 0..8), read).unwrap();
}

#[test]
fn paths_round_trip() {
    let read = |name: String| {
        let key = ObjectKey::new(name);
        let path = object_path(&key);

        prop_assert!(path.parse::<http::Uri>().is_ok());
        prop_assert_eq!(key_of_path(&path), Some(key));
        Ok(())
    };

    runner().run(&".{1,30}", read).unwrap();
}

#[test]
fn failed_write_is_certain_only_for_refusal_statuses() {
    for status in 100..600 {
        let status = StatusCode::from_u16(status).unwrap();

        let failure = read_failure(status, &HeaderMap::new(), true);

        let is_refusal = matches!(status.as_u16(), 409 | 412 | 413 | 429);
        assert_eq!(failure.is_uncertain(), !is_refusal, "{status}");
    }
}
