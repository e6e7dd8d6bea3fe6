//! Objects of other writers beside those of a fleet, and paths that are awkward to pass on.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::{clock, prelude::*};
use bytes::Bytes;
use lists::store::objects::{HeadObject, head_key};
use object_api::{
    ObjectStore, WriteCondition,
    http::{ClientSettings, PlatformClient},
};
use rstest::rstest;
use serde_json::{Value, json};
use standin::load::{CallKind, CallVerdict, ChatCall, EntryClient, ScriptedCall, ServiceCall};
use support::{
    fleet::{Fleet, FleetSetup, start_fleet_with, wait_until_ready},
    run,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};

/// Prefixes under which the processes read objects.
const PREFIXES: [&str; 10] = [
    "lists/",
    "lists/head",
    "lists/history/",
    "lists/part/",
    "placement/",
    "quarantine/",
    "status/",
    "status-times/",
    "claims/keys/",
    "claims/cz-central/0/log/",
];

/// Names of other writers under `prefix`.
fn odd_names(prefix: &str) -> Vec<String> {
    let names = ["-old", "notes & more?#", "%41%2f../..", "+7", "é\u{0}", "a=b"];
    names.iter().map(|name| format!("{prefix}{name}")).collect()
}

fn odd_bodies() -> Vec<Bytes> {
    let head = HeadObject { version: ListVersion(1_000), ..HeadObject::default() };
    let texts = [serde_json::to_string(&head).unwrap(), "{}".into(), "[7]".into(), String::new()];
    let texts = texts.into_iter().map(Bytes::from);
    texts.chain([Bytes::from_static(b"\xff\x00")]).collect()
}

fn odd_objects() -> Vec<(String, Bytes)> {
    let names = PREFIXES.iter().flat_map(|prefix| odd_names(prefix));
    names.zip(odd_bodies().into_iter().cycle()).collect()
}

/// Entries that no writer of this system sends. None lacks a name, because claims are refused while
/// any object may be one of theirs.
fn odd_entries() -> Value {
    let objects = PREFIXES.iter().flat_map(|prefix| {
        let name = |end: &str| format!("{prefix}{end}");
        [
            json!({ "key": name("no-version"), "body": "" }),
            json!({ "key": name("odd-version"), "version": "2", "body": "" }),
            json!({ "key": name("no-body"), "version": 2 }),
            json!({ "key": name("odd-body"), "version": 2, "body": "%" }),
        ]
    });
    let vms = [
        json!({ "id": "vm-1", "role": "cache", "state": "live" }),
        json!({ "id": "vm-2", "role": "entry", "zone": "cz-central-1", "address": "nowhere",
                "state": "live" }),
        json!({ "id": "vm 3?", "role": "entry" }),
        json!(null),
    ];
    json!({ "objects": objects.collect::<Vec<_>>(), "vms": vms })
}

fn scripted(kind: CallKind) -> ScriptedCall {
    ScriptedCall { at: Duration::ZERO, customer_key: "crew-key".to_owned(), kind }
}

fn order(name: &str) -> ScriptedCall {
    scripted(CallKind::Service(ServiceCall {
        service: "vrbovka".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        key: Some(format!("{}-{name}", clock::since_epoch().as_secs())),
        body: "open the sluice".to_owned(),
    }))
}

fn chat(model: &str) -> ScriptedCall {
    let (model, prompt) = (model.to_owned(), "how full is the dam".to_owned());
    scripted(CallKind::Chat(ChatCall { model, prompt, tokens: 8, is_stream: false }))
}

/// Verdicts on a call of each kind at each entry.
async fn verdicts(fleet: &Fleet, name: &str) -> Vec<CallVerdict> {
    let mut verdicts = Vec::new();
    for entry in fleet.addresses() {
        let client = EntryClient::new(Duration::from_secs(60));
        for number in 0..8 {
            let call = order(&format!("{name}-{entry}-{number}"));
            verdicts.push(client.send(entry, &call).await.verdict);
        }
        for model in ["summary", "dam-check"] {
            verdicts.push(client.send(entry, &chat(model)).await.verdict);
        }
    }
    verdicts
}

/// Guards against entries and side processes that do not start or serve because of an object of
/// another writer.
#[tokio::test]
async fn fleet_starts_and_serves_beside_odd_objects() {
    let objects = odd_objects();
    let odd_entries = Some(odd_entries());
    let setup = FleetSetup { odd_entries, objects, ..FleetSetup::default() };

    let mut fleet = start_fleet_with(&setup).await;
    let at_start = verdicts(&fleet, "start").await;
    fleet.replace_side(0);
    for entry in fleet.addresses() {
        wait_until_ready(entry).await;
    }
    let after_restart = verdicts(&fleet, "restart").await;

    assert_eq!(at_start, vec![CallVerdict::Complete; 20]);
    assert_eq!(after_restart, vec![CallVerdict::Complete; 20]);
}

/// Guards against operators' commands that fail because of an object of another writer.
#[tokio::test]
async fn commands_work_beside_odd_objects() {
    let objects = odd_objects();
    let odd_entries = Some(odd_entries());
    let setup = FleetSetup { odd_entries, objects, ..FleetSetup::default() };
    let fleet = start_fleet_with(&setup).await;
    let platform = fleet.platform().to_string();
    let entry = fleet.addresses()[0].to_string();

    let quarantine = run(&["quarantine", "list", &platform]);
    let status = run(&["status", &entry]);
    let account = run(&["account", "--platform", &platform]);

    for output in [quarantine, status, account] {
        assert!(output.status.success(), "{output:?}");
    }
}

/// Guards against an entry that does not get its lists from another while their head cannot be read, and
/// against entries that never serve again because they started meanwhile.
#[rstest]
#[case::no_object("[7]")]
#[case::no_edit(r#"{"version":1,"digest":0,"plans":[],"rights":[]}"#)]
#[case::older(r#"{"version":0,"digest":0,"plans":[],"rights":[],"edit":""}"#)]
#[case::not_text("\u{0}")]
#[tokio::test]
async fn entries_serve_once_an_unreadable_head_is_whole_again(#[case] text: &'static str) {
    let mut fleet = start_fleet_with(&FleetSetup::default()).await;
    let store = PlatformClient::new(ClientSettings::new(fleet.platform()));
    let key = head_key();
    let head = store.get(&key).await.unwrap().unwrap();
    let odd = store.put(&key, text.into(), WriteCondition::Version(head.version)).await.unwrap();

    fleet.restart_entries(1);
    for entry in fleet.addresses() {
        wait_until_ready(entry).await;
    }
    let before = verdicts(&fleet, "before").await;
    fleet.restart_entries(0);
    time::sleep(Duration::from_secs(3)).await;
    store.put(&key, head.body, WriteCondition::Version(odd)).await.unwrap();
    for entry in fleet.addresses() {
        wait_until_ready(entry).await;
    }
    let after = verdicts(&fleet, "after").await;

    assert_eq!(before, vec![CallVerdict::Complete; 20]);
    assert_eq!(after, vec![CallVerdict::Complete; 20]);
}

/// A service that reports the request lines that reach it, at the returned address.
async fn recording_service() -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, lines) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { return };
                    head.push(byte);
                }
                let head = String::from_utf8(head).unwrap();
                sender.send(head.lines().next().unwrap().to_owned()).unwrap();
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            });
        }
    });
    (address, lines)
}

async fn get(entry: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer crew-key\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Guards against servers that get another path or query than the caller sent.
#[tokio::test]
async fn paths_of_callers_are_passed_on_byte_for_byte() {
    let (service, mut lines) = recording_service().await;
    let setup = FleetSetup { service: Some(service), ..FleetSetup::default() };
    let fleet = start_fleet_with(&setup).await;
    let entry = fleet.addresses()[0];

    for end in [
        "",
        "/",
        "//",
        "//host/a",
        "/a/../b/./c",
        "/%2e%2E/%2F%2f",
        "/%41%25%2541",
        "/a%20b+c;d=e,f",
        "/%C3%A9%FF%00",
        "?",
        "?q=a+b%20c&&=&e=%26%3D%23?/..",
        "/a?next=http://host/b?c=d&e",
        "/!$&'()*+,;=:@~-._",
    ] {
        let path = format!("/services/vrbovka{end}");

        let status = get(entry, &path).await;

        assert_eq!(status, "HTTP/1.1 200 OK", "{path}");
        assert_eq!(lines.recv().await.unwrap(), format!("GET {path} HTTP/1.1"));
    }
}
