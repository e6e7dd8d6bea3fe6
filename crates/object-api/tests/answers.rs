//! Malformed answers of the platform give an error; they are neither misread nor cause a panic.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use object_api::{
    ObjectChange, ObjectKey, ObjectList, ObjectVersion, StoreError, StoredObject,
    http::{
        ReadAnswer, key_of_path,
        messages::{ObjectMessage, ObjectsMessage},
        object_path, read_changes, read_failure, read_objects, read_version, read_vms,
    },
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rstest::rstest;

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

fn without_faults<T>(entries: T) -> ReadAnswer<T> {
    ReadAnswer { entries, faults: Vec::new() }
}

#[test]
fn objects_round_trip() {
    let read = |objects: Vec<StoredObject>| {
        let body = encoded(&objects);

        let list = ObjectList { objects: objects.clone(), ..ObjectList::default() };
        prop_assert_eq!(read_objects(&body, "p/"), Ok(without_faults(list)));
        let changes = objects.into_iter().map(ObjectChange::Written).collect();
        prop_assert_eq!(read_changes(&body, "p/"), Ok(without_faults(changes)));
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

/// An answer with `odd` between two sound objects.
fn answer_around(odd: &[u8]) -> Vec<u8> {
    let first = br#"{"objects":[{"key":"p/a","version":1,"body":"YQ=="},"#;
    let last = br#",{"key":"p/z","version":9,"body":""}]}"#;
    [&first[..], odd, &last[..]].concat()
}

/// Guards against readers of a list or watch that get nothing because of one object of another
/// writer, and against lists that hide that such an object is there.
#[rstest]
#[case::no_object(b"7", None)]
#[case::no_name(br#"{"version":2,"body":""}"#, None)]
#[case::mistyped_name(br#"{"key":7,"version":2,"body":""}"#, None)]
#[case::other_prefix(br#"{"key":"q/a","version":2,"body":""}"#, None)]
#[case::invalid_utf8(b"{\"key\":\"p/\xff\",\"version\":2,\"body\":\"\"}", None)]
#[case::lone_surrogate(br#"{"key":"p/\udc80","version":2,"body":""}"#, None)]
#[case::no_version(br#"{"key":"p/b","body":""}"#, Some("p/b"))]
#[case::mistyped_version(br#"{"key":"p/b","version":"2","body":""}"#, Some("p/b"))]
#[case::negative_version(br#"{"key":"p/b","version":-2,"body":""}"#, Some("p/b"))]
#[case::huge_number(br#"{"key":"p/b","version":1e999,"body":""}"#, Some("p/b"))]
#[case::mistyped_body(br#"{"key":"p/b","version":2,"body":[]}"#, Some("p/b"))]
#[case::bad_base64(br#"{"key":"p/b","version":2,"body":"%"}"#, Some("p/b"))]
#[case::invalid_utf8_in_body(b"{\"key\":\"p/b\",\"version\":2,\"body\":\"\xff\"}", Some("p/b"))]
fn odd_object_leaves_the_others_in_use(#[case] odd: &[u8], #[case] name: Option<&str>) {
    let body = answer_around(odd);

    let listed = read_objects(&body, "p/").unwrap();
    let watched = read_changes(&body, "p/").unwrap();

    let names = listed.entries.objects.iter().map(|object| object.key.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["p/a", "p/z"]);
    let unreadable = listed.entries.unreadable.iter().map(ObjectKey::as_str);
    assert_eq!(unreadable.collect::<Vec<_>>(), Vec::from_iter(name));
    assert_eq!(listed.entries.unnamed, usize::from(name.is_none()));
    assert_eq!(listed.faults.len(), 1);
    let versions = watched.entries.iter().map(|change| change.version().0);
    assert_eq!(versions.collect::<Vec<_>>(), [1, 9]);
    assert_eq!(watched.faults.len(), 1);
}

/// Guards against a listing of objects that takes a deletion for the absence of the object.
#[test]
fn deletion_in_a_list_is_unreadable() {
    let body = answer_around(br#"{"key":"p/b","version":2}"#);

    let listed = read_objects(&body, "p/").unwrap();

    assert_eq!(listed.entries.objects.len(), 2);
    assert_eq!(listed.entries.unreadable, [ObjectKey::new("p/b")]);
}

/// Guards against a VM list that is refused as a whole for one entry, and against VMs that count as
/// gone because their entries cannot be read.
#[rstest]
#[case::new_role(r#"{"id":"vm-2","role":"cache","service":null,"zone":"a","address":"10.0.0.2:1","state":"live"}"#, &["vm-2"], 0)]
#[case::new_state(r#"{"id":"vm-2","role":"entry","service":null,"zone":"a","address":"10.0.0.2:1","state":"asleep"}"#, &["vm-2"], 0)]
#[case::no_address(r#"{"id":"vm-2","role":"entry","zone":"a","state":"live"}"#, &["vm-2"], 0)]
#[case::bad_service(r#"{"id":"vm-2","role":"entry","service":"a b","zone":"a","address":"10.0.0.2:1","state":"live"}"#, &["vm-2"], 0)]
#[case::foreign_name(r#"{"id":"vm 2?","role":"entry","zone":"a","address":"10.0.0.2:1","state":"live"}"#, &[], 0)]
#[case::mistyped_name(r#"{"id":2,"role":"entry","zone":"a","address":"10.0.0.2:1","state":"live"}"#, &[], 1)]
#[case::no_entry("null", &[], 1)]
fn odd_vm_leaves_the_others_in_use(
    #[case] odd: &str,
    #[case] unreadable: &[&str],
    #[case] unnamed: usize,
) {
    let sound = |name: &str| {
        format!(
            r#"{{"id":"{name}","role":"entry","service":null,"zone":"a","address":"10.0.0.1:1","state":"live"}}"#
        )
    };
    let body = format!("[{},{odd},{}]", sound("vm-1"), sound("vm-3"));

    let listing = read_vms(body.as_bytes()).unwrap();

    let names = listing.entries.vms.iter().map(|vm| vm.id.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["vm-1", "vm-3"]);
    let found = listing.entries.unreadable.iter().map(|id| id.as_str());
    assert_eq!(found.collect::<Vec<_>>(), unreadable);
    assert_eq!(listing.entries.unnamed, unnamed);
    assert_eq!(listing.faults.len(), 1);
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
