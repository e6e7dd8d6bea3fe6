//! Requests that may run once, and requests that crash engines, over separate processes.

mod support;

use std::{net::SocketAddr, time::Duration};

use base::{clock, prelude::*};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use standin::load::{CallKind, CallVerdict, ChatCall, EntryClient, ScriptedCall, ServiceCall};
use support::{
    fleet::{Fleet, client, start_fleet},
    run,
};

const MARKER: &str = "divide the dam by zero";

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

fn timed_key(name: &str) -> String {
    format!("{}-{name}", clock::since_epoch().as_secs())
}

async fn send(entry: SocketAddr, call: &ScriptedCall) -> CallVerdict {
    EntryClient::new(Duration::from_secs(60)).send(entry, call).await.verdict
}

async fn admin(address: SocketAddr, method: &str, path: &str, body: Value) -> Value {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}/admin/{path}"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

async fn calls_with_key(fleet: &Fleet, key: &str) -> usize {
    let records = admin(fleet.standins[4].address("http"), "GET", "records", Value::Null).await;
    let calls = records["calls"].as_array().unwrap();
    calls.iter().filter(|call| call["key"] == key).count()
}

async fn crashes(fleet: &Fleet) -> usize {
    let mut crashes = 0;
    for engine in &fleet.standins[2..4] {
        let records = admin(engine.address("http"), "GET", "records", Value::Null).await;
        crashes += records["crashes"].as_array().unwrap().len();
    }
    crashes
}

fn refused(code: ResultCode, run: RunState) -> CallVerdict {
    CallVerdict::Refused { code, run }
}

#[tokio::test]
async fn a_key_sent_to_both_entries_runs_once_and_its_answer_is_kept() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    let key = timed_key("order");

    let verdicts = [send(first, &order(&key)).await, send(second, &order(&key)).await];

    assert_eq!(verdicts, [CallVerdict::Whole; 2]);
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
}

#[tokio::test]
async fn keys_sent_twice_at_once_run_once() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };

    for number in 0..10 {
        let keys = [timed_key(&format!("both-{number}")), format!("opaque-{number}")];
        for key in keys {
            let call = order(&key);
            let (a, b) = tokio::join!(send(first, &call), send(second, &call));
            assert!([a, b].contains(&CallVerdict::Whole), "{key}: {a:?} {b:?}");
            assert_eq!(calls_with_key(&fleet, &key).await, 1, "{key}");
        }
    }
}

#[tokio::test]
async fn an_expired_key_is_refused_as_not_run() {
    let fleet = start_fleet().await;

    let verdict = send(fleet.addresses()[0], &order("1500000000-order")).await;

    assert_eq!(verdict, refused(ResultCode::KeyExpired, RunState::NotRun));
    assert_eq!(calls_with_key(&fleet, "1500000000-order").await, 0);
}

#[tokio::test]
async fn a_key_refused_while_the_store_is_down_can_be_sent_again() {
    let fleet = start_fleet().await;
    let entry = fleet.addresses()[0];
    let platform = fleet.standins[0].address("http");
    send(entry, &order(&timed_key("first"))).await;
    let key = timed_key("order");

    admin(platform, "PUT", "fault", json!({ "down": true })).await;
    let down = send(entry, &order(&key)).await;
    admin(platform, "PUT", "fault", json!({})).await;
    let again = send(entry, &order(&key)).await;

    assert!(matches!(down, CallVerdict::Refused { run: RunState::NotRun, .. }), "{down:?}");
    assert_eq!(again, CallVerdict::Whole);
    assert_eq!(calls_with_key(&fleet, &key).await, 1);
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_stopped_after_two_and_can_be_lifted() {
    let fleet = start_fleet().await;
    let [first, second] = fleet.addresses()[..] else { panic!("two entries") };
    for engine in &fleet.standins[2..4] {
        let fault = json!({ "crash_marker": MARKER });
        admin(engine.address("http"), "PUT", "fault", fault).await;
    }
    let platform = fleet.standins[0].address("http").to_string();

    let crasher = send(first, &chat(MARKER)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = send(second, &chat(MARKER)).await;
    let innocent = send(first, &chat("how full is the dam")).await;
    let listed = run(&["quarantine", "list", &platform]);

    let quarantined = ResultCode::RequestQuarantined;
    assert_eq!(crasher, refused(quarantined, RunState::MayHaveRun));
    assert_eq!(again, refused(quarantined, RunState::NotRun));
    assert_eq!(innocent, CallVerdict::Whole);
    assert_eq!(crashes(&fleet).await, 2);
    let line = String::from_utf8(listed.stdout).unwrap();
    assert!(line.contains(" quarantined crashes 2 "), "{line}");
    let fingerprint = line.split(' ').next().unwrap();
    assert!(run(&["quarantine", "lift", &platform, fingerprint]).status.success());
    assert!(run(&["quarantine", "list", &platform]).stdout.is_empty());
}
