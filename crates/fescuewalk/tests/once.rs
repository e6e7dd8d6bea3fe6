//! Idempotency keys and the quarantine of requests that crash engines, over separate processes.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::{clock, prelude::*};
use http_body_util::{BodyExt, Full};
use object_api::{
    ObjectStore,
    http::{ClientSettings, PlatformClient},
};
use serde_json::{Value, json};
use standin::load::{CallKind, CallVerdict, ChatCall, EntryClient, ScriptedCall, ServiceCall};
use support::{
    Process, fescuewalk,
    fleet::{Fleet, admin, client, start_fleet, wait_until_ready},
    run,
};

/// Engines are set to crash on prompts that contain this text.
const CRASH_MARKER: &str = "divide the dam by zero";

fn order(key: &str) -> ScriptedCall {
    let call = ServiceCall {
        service: "vrbovka".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        key: Some(key.to_owned()),
        body: "open the sluice".to_owned(),
    };
    scripted(CallKind::Service(call))
}

fn chat(prompt: &str) -> ScriptedCall {
    let (model, prompt) = ("dam-check".to_owned(), prompt.to_owned());
    scripted(CallKind::Chat(ChatCall { model, prompt, tokens: 8, is_stream: false }))
}

fn scripted(kind: CallKind) -> ScriptedCall {
    ScriptedCall { at: Duration::ZERO, customer_key: "crew-key".to_owned(), kind }
}

/// An idempotency key that starts with its creation time in Unix seconds.
fn timed_key(name: &str) -> String {
    format!("{}-{name}", clock::since_epoch().as_secs())
}

async fn send(entry: SocketAddr, call: &ScriptedCall) -> CallVerdict {
    EntryClient::new(Duration::from_secs(60)).send(entry, call).await.verdict
}

async fn calls_with_key(fleet: &Fleet, key: &str) -> usize {
    let records = admin(fleet.service(), "GET", "records", Value::Null).await;
    let calls = records["calls"].as_array().unwrap();
    calls.iter().filter(|call| call["key"] == key).count()
}

async fn crashes(fleet: &Fleet) -> usize {
    let mut crashes = 0;
    for engine in fleet.engines() {
        let records = admin(engine, "GET", "records", Value::Null).await;
        crashes += records["crashes"].as_array().unwrap().len();
    }
    crashes
}

fn refused(code: ResultCode, run: RunState) -> CallVerdict {
    CallVerdict::Refused { code, run }
}

#[tokio::test]
async fn key_sent_to_both_entries_runs_once() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    let key = timed_key("order");

    let verdicts = [send(first, &order(&key)).await, send(second, &order(&key)).await];

    assert_eq!(verdicts, [CallVerdict::Complete; 2]);
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
}

#[tokio::test]
async fn concurrent_sends_of_a_key_run_once() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };

    for number in 0..10 {
        let keys = [timed_key(&format!("both-{number}")), format!("opaque-{number}")];
        for key in keys {
            let call = order(&key);
            let (a, b) = tokio::join!(send(first, &call), send(second, &call));
            assert!([a, b].contains(&CallVerdict::Complete), "{key}: {a:?} {b:?}");
            assert_eq!(calls_with_key(&fleet, &key).await, 1, "{key}");
        }
    }
}

#[tokio::test]
async fn expired_key_is_refused_as_not_run() {
    let fleet = start_fleet().await;

    let verdict = send(fleet.addresses()[0], &order("1500000000-order")).await;

    assert_eq!(verdict, refused(ResultCode::KeyExpired, RunState::NotRun));
    assert_eq!(calls_with_key(&fleet, "1500000000-order").await, 0);
}

#[tokio::test]
async fn key_refused_in_store_outage_can_be_retried() {
    let fleet = start_fleet().await;
    let entry = fleet.addresses()[0];
    let platform = fleet.platform();
    send(entry, &order(&timed_key("first"))).await;
    let key = timed_key("order");

    admin(platform, "PUT", "fault", json!({ "down": true })).await;
    let down = send(entry, &order(&key)).await;
    admin(platform, "PUT", "fault", json!({})).await;
    let again = send(entry, &order(&key)).await;

    assert!(matches!(down, CallVerdict::Refused { run: RunState::NotRun, .. }), "{down:?}");
    assert_eq!(again, CallVerdict::Complete);
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
}

#[tokio::test]
async fn request_is_quarantined_after_two_crashes() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    for engine in fleet.engines() {
        let fault = json!({ "crash_marker": CRASH_MARKER });
        admin(engine, "PUT", "fault", fault).await;
    }
    let platform = fleet.platform().to_string();

    let crashing = send(first, &chat(CRASH_MARKER)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = send(second, &chat(CRASH_MARKER)).await;
    let other_prompt = send(first, &chat("how full is the dam")).await;
    let listed = run(&["quarantine", "list", &platform]);

    let quarantined = ResultCode::RequestQuarantined;
    assert_eq!(crashing, refused(quarantined, RunState::MayHaveRun));
    assert_eq!(again, refused(quarantined, RunState::NotRun));
    assert_eq!(other_prompt, CallVerdict::Complete);
    assert_eq!(crashes(&fleet).await, 2);
    let line = String::from_utf8(listed.stdout).unwrap();
    assert!(line.contains(" quarantined crashes 2 "), "{line}");
    let fingerprint = line.split(' ').next().unwrap();
    assert!(run(&["quarantine", "lift", &platform, fingerprint]).status.success());
    assert!(run(&["quarantine", "list", &platform]).stdout.is_empty());
}

async fn edit_vms(platform: SocketAddr, edit: impl FnOnce(&mut Vec<Value>)) {
    let request = http::Request::get(format!("http://{platform}/vms"));
    let answer = client().request(request.body(Full::default()).unwrap()).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    let mut vms: Vec<Value> = serde_json::from_slice(&bytes).unwrap();
    edit(&mut vms);
    admin(platform, "PUT", "vms", json!(vms)).await;
}

/// Sets the state of a VM to `leaving`, as the VM list calls a VM that drains.
async fn mark_draining(platform: SocketAddr, vm: &str) {
    edit_vms(platform, |vms| {
        for entry in vms.iter_mut().filter(|entry| entry["id"] == vm) {
            entry["state"] = json!("leaving");
        }
    })
    .await;
}

/// Starts an entry in another region and adds it to the VM list.
async fn start_remote_entry(fleet: &Fleet) -> Process {
    let platform = fleet.platform();
    let text = format!(
        "[process]\nvm = entry-far\nzone = pnw-west-1\nregion = pnw-west\nsecret = test-secret\n\
         peer-address = 127.0.0.1:0\nhttp-address = 127.0.0.1:0\n[platform]\naddress = {platform}\n\
         vm-poll = 100ms\nreads = 200/s\nwrites = 200/s\n"
    );
    let mut command = fescuewalk();
    command.arg("entry").arg(fleet.dir.write("entry-far.ini", &text));
    let process = Process::start(command);
    let entry = json!({
        "id": "entry-far", "role": "entry", "service": null, "zone": "pnw-west-1",
        "address": process.address("peers"), "state": "live",
    });
    edit_vms(platform, |vms| vms.push(entry)).await;
    wait_until_ready(process.address("http")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    process
}

#[tokio::test]
async fn claims_stay_in_home_region() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    let far = start_remote_entry(&fleet).await;

    for number in 0..16 {
        let key = timed_key(&format!("home-{number}"));
        assert_eq!(send(first, &order(&key)).await, CallVerdict::Complete);
        assert_eq!(send(second, &order(&key)).await, CallVerdict::Complete);
        assert_eq!(calls_with_key(&fleet, &key).await, 1);
    }
    let from_far = send(far.address("http"), &order(&timed_key("far"))).await;

    let store = PlatformClient::new(ClientSettings::new(fleet.platform()));
    assert_eq!(from_far, refused(ResultCode::RegionUnreachable, RunState::NotRun));
    assert!(!store.list("claims/cz-central/").await.unwrap().is_empty());
    assert_eq!(store.list("claims/pnw-west/").await.unwrap(), []);
}

async fn executions_at(fleet: &Fleet, engine: usize) -> usize {
    let address = fleet.engine(engine);
    let records = admin(address, "GET", "records", Value::Null).await;
    records["executions"].as_array().unwrap().len()
}

#[tokio::test]
async fn draining_server_finishes_calls_and_gets_no_new_ones() {
    let fleet = start_fleet().await;
    let entry = fleet.addresses()[0];
    for number in 0..8 {
        assert_eq!(send(entry, &chat(&format!("before {number}"))).await, CallVerdict::Complete);
    }
    let long =
        ChatCall { model: "dam-check".into(), prompt: "long".into(), tokens: 400, is_stream: true };
    let long = scripted(CallKind::Chat(long));
    let streams = (0..4).map(|_| {
        let long = long.clone();
        tokio::spawn(async move { send(entry, &long).await })
    });
    let streams = streams.collect::<Vec<_>>();
    tokio::time::sleep(Duration::from_millis(200)).await;

    let draining = usize::from(executions_at(&fleet, 1).await > 0);
    let vm = format!("rosnatka-{draining}");
    mark_draining(fleet.platform(), &vm).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = executions_at(&fleet, draining).await;
    for number in 0..20 {
        assert_eq!(send(entry, &chat(&format!("after {number}"))).await, CallVerdict::Complete);
    }

    assert!(before > 0);
    assert_eq!(executions_at(&fleet, draining).await, before);
    for stream in streams {
        assert_eq!(stream.await.unwrap(), CallVerdict::Complete);
    }
}

/// Sends an order with a deadline of 2 s; returns the code and state of the refusal.
async fn refusal_of(entry: SocketAddr, key: &str) -> (u64, String) {
    let request = http::Request::post(format!("http://{entry}/services/vrbovka/orders"))
        .header("authorization", "Bearer crew-key")
        .header("idempotency-key", key)
        .header("x-deadline-ms", "2000")
        .body(Full::from("open the sluice"))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&bytes).unwrap();
    let state = body["error"]["state"].as_str().unwrap_or_default().to_owned();
    (body["error"]["code"].as_u64().unwrap_or_default(), state)
}

#[tokio::test]
async fn key_stays_claimed_when_side_process_is_killed() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    admin(fleet.service(), "PUT", "fault", json!({ "slow_factor": 200.0 })).await;
    let key = timed_key("lost");

    let sending = tokio::spawn({
        let key = key.clone();
        async move { refusal_of(first, &key).await }
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.sides[2].signal("KILL");
    let lost = sending.await.unwrap();
    let again = refusal_of(second, &key).await;

    let may_have_run = RunState::MayHaveRun.to_string();
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
    assert_eq!(lost, (u64::from(ResultCode::BackendLost.number()), may_have_run.clone()));
    assert_eq!(again, (u64::from(ResultCode::DuplicateKey.number()), may_have_run));
}

#[tokio::test]
async fn reconnected_caller_gets_cached_answer() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    admin(fleet.service(), "PUT", "fault", json!({ "slow_factor": 200.0 })).await;
    let key = timed_key("impatient");

    let short_client = EntryClient::new(Duration::from_millis(300));
    let lost = short_client.send(first, &order(&key)).await.verdict;
    let meanwhile = send(second, &order(&key)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let again = send(second, &order(&key)).await;

    assert_eq!(lost, CallVerdict::NoAnswer);
    assert_eq!(meanwhile, refused(ResultCode::DuplicateKey, RunState::MayHaveRun));
    assert_eq!(again, CallVerdict::Complete);
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
}
