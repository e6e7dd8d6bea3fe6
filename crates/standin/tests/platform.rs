//! The platform stand-in and the HTTP client together meet the guarantees of the Object API.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::prelude::ByteSize;
use bytes::Bytes;
use object_api::{
    ClientSettings, MemoryStore, ObjectChange, ObjectKey, ObjectStore, ObjectVersion,
    PlatformClient, StoreError, StoreFault, VmEntry, VmList, VmState, WriteCondition, vms::VmRole,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rstest::rstest;
use standin::{
    platform::{PlatformOptions, serve},
    server::ServerHandle,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const UNCONDITIONAL_PUT: &[u8] =
    b"PUT /objects/a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nconnection: close\r\n\r\na";

async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

async fn start_platform() -> (ServerHandle<MemoryStore>, PlatformClient) {
    let server = serve(bind_listener().await, PlatformOptions::default()).unwrap();
    let client = PlatformClient::new(ClientSettings::new(server.address));
    (server, client)
}

fn key() -> ObjectKey {
    ObjectKey::new("placement/llama-7b@a b/ü")
}

fn store_fault(down: bool, lost_answers: u32) -> StoreFault {
    StoreFault { down, lost_answers, ..StoreFault::default() }
}

/// Client of a server that answers every connection with `answer` and closes it.
async fn client_of_malformed_server(answer: &'static [u8]) -> PlatformClient {
    let listener = bind_listener().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _bytes = stream.read(&mut request).await.unwrap();
            stream.write_all(answer).await.unwrap();
        }
    });
    let settings = ClientSettings { max_answer: ByteSize(64), ..ClientSettings::new(address) };
    PlatformClient::new(settings)
}

#[tokio::test]
async fn conditional_writes_check_version() {
    let (_server, client) = start_platform().await;

    let created = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await.unwrap();
    let again = client.put(&key(), Bytes::from("b"), WriteCondition::Absent).await;
    let second = client.put(&key(), Bytes::from("b"), WriteCondition::Version(created)).await;
    let stale = client.put(&key(), Bytes::from("c"), WriteCondition::Version(created)).await;
    let read = client.get(&key()).await.unwrap().unwrap();
    client.delete(&key(), read.version).await.unwrap();

    assert_eq!(again, Err(StoreError::ConditionFailed));
    assert_eq!(second, Ok(read.version));
    assert_eq!(stale, Err(StoreError::ConditionFailed));
    assert_eq!(read.body, Bytes::from("b"));
    assert_eq!(client.get(&key()).await, Ok(None));
    assert_eq!(client.delete(&key(), read.version).await, Err(StoreError::ConditionFailed));
}

#[tokio::test]
async fn list_and_watch_return_writes() {
    let (_server, client) = start_platform().await;
    let version = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await.unwrap();
    let watcher = client.clone();
    let watch = tokio::spawn(async move {
        watcher.watch("placement/", version, Duration::from_secs(20)).await.unwrap()
    });

    client.delete(&key(), version).await.unwrap();
    client.put(&ObjectKey::new("other"), Bytes::new(), WriteCondition::Absent).await.unwrap();

    let changes = watch.await.unwrap();
    let deleted = ObjectChange::Deleted { key: key(), version: changes[0].version() };
    assert_eq!(changes, vec![deleted]);
    let listed = client.list("o").await.unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].key, ObjectKey::new("other"));
    let none = client.watch("x", version, Duration::from_millis(10)).await;
    assert_eq!(none, Ok(Vec::new()));
}

#[tokio::test]
async fn down_platform_writes_nothing() {
    let (server, client) = start_platform().await;
    server.state.set_fault(store_fault(true, 0));

    let put = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await;
    let listed = client.vms().await;

    assert_eq!(put, Err(StoreError::Unavailable));
    assert_eq!(listed, Err(StoreError::Unavailable));
    server.state.set_fault(StoreFault::default());
    assert_eq!(client.get(&key()).await, Ok(None));
}

#[tokio::test]
async fn lost_write_answer_is_uncertain() {
    let (server, client) = start_platform().await;
    server.state.set_fault(store_fault(false, 1));

    let put = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await;

    assert_eq!(put, Err(StoreError::AnswerLost));
    assert_eq!(client.get(&key()).await.unwrap().unwrap().body, Bytes::from("a"));
}

#[tokio::test]
async fn timed_out_write_is_uncertain() {
    let (server, _) = start_platform().await;
    let call_timeout = Duration::from_millis(50);
    let settings = ClientSettings { call_timeout, ..ClientSettings::new(server.address) };
    let client = PlatformClient::new(settings);
    let delay = Duration::from_millis(500);
    server.state.set_fault(StoreFault { delay, ..StoreFault::default() });

    let put = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await;

    assert_eq!(put, Err(StoreError::AnswerLost));
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let address = bind_listener().await.local_addr().unwrap();
    let client = PlatformClient::new(ClientSettings::new(address));

    let put = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await;

    assert_eq!(put, Err(StoreError::Unavailable));
}

#[tokio::test]
async fn vm_list_is_served() {
    let (server, client) = start_platform().await;
    let entry = VmEntry {
        id: "vm-1".parse().unwrap(),
        role: VmRole::Backend,
        service: Some("rosnatka".parse().unwrap()),
        zone: "cz-central-a".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        state: VmState::Leaving,
    };

    server.state.set_vms(vec![entry.clone()]);

    assert_eq!(client.vms().await, Ok(vec![entry]));
}

async fn set_odd_entries(address: SocketAddr, entries: &str) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "PUT /admin/odd HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        entries.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(entries.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
}

/// Guards against readers that get nothing because of one entry of another writer.
#[tokio::test]
async fn odd_entries_leave_the_others_in_use() {
    let (server, client) = start_platform().await;
    let version = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await.unwrap();
    let odd = r#"{"objects":[{"key":"placement/x","body":7},{"key":"other/x"}],"vms":[{"id":"vm-9","role":"cache"}]}"#;
    set_odd_entries(server.address, odd).await;

    let list = client.list_all("placement/").await.unwrap();
    let changes = client.watch("placement/", ObjectVersion(0), Duration::ZERO).await.unwrap();
    let listing = client.listing().await.unwrap();

    assert_eq!(list.objects.len(), 1);
    assert_eq!(list.unreadable, [ObjectKey::new("placement/x")]);
    assert_eq!(changes.iter().map(ObjectChange::version).collect::<Vec<_>>(), [version]);
    assert!(listing.names().contains(&"vm-9".parse().unwrap()));
}

/// Guards against a watch that is repeated without a pause, because its answer leaves the reader
/// without a version to go on from.
#[tokio::test]
async fn watch_of_unreadable_changes_only_is_a_bad_answer() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n{\"objects\":[{\"key\":\"a\"}]}";
    let client = client_of_malformed_server(answer).await;

    let changes = client.watch("", ObjectVersion(0), Duration::from_secs(20)).await;

    assert_eq!(changes, Err(StoreError::BadAnswer));
}

/// Names and prefixes that mean something in a path or a query.
fn awkward_text() -> impl Strategy<Value = String> {
    let special = prop::sample::select(vec![
        "&", "+", "#", "%", "%41", "%2F", "%25", "?", "/", "//", "=", " ", ".", "..", "/../",
        "/./", ";", "\\", "\"", "\u{0}", "\n", "\u{7f}", "é", "\u{fffd}", "🌾", "prefix=",
        "&since=0", "a", "-", "_", ":", "@", "<", "{", "|", "^", "`", "~", "!", "*", "'", "(", ",",
    ]);
    let parts = prop::collection::vec(prop_oneof![special.prop_map(str::to_owned), ".{1,3}"], 1..6);
    parts.prop_map(|parts| parts.concat())
}

/// Guards against names that reach the store as others, or select others in a list or a watch.
#[test]
fn any_name_reaches_the_store_and_comes_back_unchanged() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let strategy = prop::collection::btree_set(awkward_text(), 2..5);
    let (server, client) = runtime.block_on(start_platform());

    let check = |names: BTreeSet<String>| {
        runtime.block_on(async {
            let mut versions = Vec::new();
            for name in &names {
                let key = ObjectKey::new(name);
                let body = Bytes::from(name.clone());
                let version = client.put(&key, body, WriteCondition::Absent).await;
                prop_assert!(version.is_ok(), "{name:?}: {version:?}");
                versions.push((key, version.unwrap()));
            }
            for (key, version) in &versions {
                let stored = server.state.get(key).await.unwrap();
                prop_assert!(stored.is_some(), "{key:?} is not stored under its name");
                prop_assert_eq!(stored, client.get(key).await.unwrap());
                let prefix = key.as_str();
                let expected = server.state.list(prefix).await.unwrap();
                prop_assert_eq!(client.list(prefix).await.unwrap(), expected);
                let since = ObjectVersion(version.0 - 1);
                let changes = client.watch(prefix, since, Duration::ZERO).await.unwrap();
                let expected = server.state.watch(prefix, since, Duration::ZERO).await.unwrap();
                prop_assert_eq!(changes, expected);
            }
            for (key, version) in &versions {
                prop_assert_eq!(client.delete(key, *version).await, Ok(()));
                prop_assert_eq!(server.state.get(key).await.unwrap(), None);
            }
            Ok(())
        })
    };

    TestRunner::new_with_rng(config, rng).run(&strategy, check).unwrap();
}

/// Guards against a write without a name that reaches another object, or the list of all.
#[tokio::test]
async fn empty_name_writes_nothing() {
    let (_server, client) = start_platform().await;
    client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await.unwrap();
    let empty = ObjectKey::new("");

    let put = client.put(&empty, Bytes::from("b"), WriteCondition::Absent).await;
    let read = client.get(&empty).await;

    assert!(put.is_err());
    assert!(read.is_err());
    assert_eq!(client.list("").await.unwrap().len(), 1);
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", StoreError::BadAnswer)]
#[case(b"HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 2\r\n\r\nhi", StoreError::BadAnswer)]
#[case(b"HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 9\r\n\r\nhi", StoreError::AnswerLost)]
#[case(b"HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n", StoreError::BadAnswer)]
#[case(b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n", StoreError::AnswerLost)]
#[case(b"HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 100\r\n\r\n", StoreError::AnswerLost)]
#[case(b"\x00\x01garbage\r\n\r\n", StoreError::AnswerLost)]
#[case(b"", StoreError::AnswerLost)]
#[tokio::test]
async fn malformed_write_answer_is_uncertain(
    #[case] answer: &'static [u8],
    #[case] expected: StoreError,
) {
    let client = client_of_malformed_server(answer).await;

    let put = client.put(&key(), Bytes::from("a"), WriteCondition::Absent).await;

    assert_eq!(put, Err(expected.clone()));
    assert!(expected.is_uncertain());
}

#[tokio::test]
async fn oversized_answer_is_bad() {
    let (server, client) = start_platform().await;
    let body = Bytes::from(vec![b'a'; 200]);
    client.put(&key(), body, WriteCondition::Absent).await.unwrap();
    let settings =
        ClientSettings { max_answer: ByteSize(64), ..ClientSettings::new(server.address) };

    let read = PlatformClient::new(settings).get(&key()).await;

    assert_eq!(read, Err(StoreError::BadAnswer));
}

#[tokio::test]
async fn unconditional_write_is_refused() {
    let (server, client) = start_platform().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();

    stream.write_all(UNCONDITIONAL_PUT).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();

    assert!(answer.starts_with("HTTP/1.1 428"), "{answer}");
    assert_eq!(client.list("").await, Ok(Vec::new()));
}
