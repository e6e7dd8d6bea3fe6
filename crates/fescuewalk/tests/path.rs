//! Requests through entries, side processes and stand-ins that run as separate processes.

mod support;

use std::time::Duration;

use http_body_util::BodyExt;
use standin::load::{
    CallKind, CallOutcome, CallScript, CallVerdict, ChatCall, LoadOptions, ServiceCall, run_script,
};
use support::{
    Process,
    fleet::{Fleet, client, start_fleet},
};

fn chat(model: &str, is_stream: bool) -> ChatCall {
    ChatCall {
        model: model.to_owned(),
        prompt: "how full is the dam".to_owned(),
        tokens: 8,
        is_stream,
    }
}

fn order(key: &str) -> CallKind {
    CallKind::Service(ServiceCall {
        service: "vrbovka".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        key: Some(key.to_owned()),
        body: "open the sluice".to_owned(),
    })
}

async fn send(fleet: &Fleet, script: &CallScript) -> Vec<CallOutcome> {
    let options = LoadOptions { entries: fleet.addresses(), timeout: Duration::from_secs(60) };
    run_script(&options, script).await
}

fn count(outcomes: &[CallOutcome], verdict: CallVerdict) -> usize {
    outcomes.iter().filter(|outcome| outcome.verdict == verdict).count()
}

#[tokio::test]
async fn cold_models_return_complete_answers() {
    let fleet = start_fleet().await;
    let mut script = CallScript::default();
    let spread = Duration::from_millis(50);
    script.push_burst(Duration::ZERO, spread, 20, "crew-key", &chat("summary", false));
    script.push_burst(Duration::ZERO, spread, 20, "crew-key", &chat("dam-check", true));
    script.push(Duration::ZERO, "crew-key", order("order-1"));

    let outcomes = send(&fleet, &script).await;

    assert_eq!(count(&outcomes, CallVerdict::Complete), 41, "{outcomes:?}");
}

#[tokio::test]
async fn sigterm_completes_requests_in_flight() {
    let fleet = start_fleet().await;
    let mut script = CallScript::default();
    let long = ChatCall { tokens: 400, ..chat("summary", true) };
    script.push_burst(Duration::ZERO, Duration::from_millis(50), 6, "crew-key", &long);
    let addresses = fleet.addresses();
    let options = LoadOptions { entries: addresses, timeout: Duration::from_secs(60) };
    let sending = tokio::spawn(async move { run_script(&options, &script).await });
    tokio::time::sleep(Duration::from_millis(600)).await;

    let Fleet { dir: _dir, standins: _standins, sides, entries } = fleet;
    let stopped = tokio::task::spawn_blocking(move || {
        let entries = entries.into_iter().all(Process::stop);
        let sides = sides.into_iter().all(Process::stop);
        entries && sides
    });
    let outcomes = sending.await.unwrap();

    assert_eq!(count(&outcomes, CallVerdict::Complete), 6, "{outcomes:?}");
    assert!(stopped.await.unwrap());
}

#[tokio::test]
async fn unknown_customer_and_model_are_refused() {
    use base::prelude::{ResultCode, RunState};
    let fleet = start_fleet().await;
    let mut script = CallScript::default();
    script.push(Duration::ZERO, "wrong-key", CallKind::Chat(chat("summary", false)));
    script.push(Duration::ZERO, "crew-key", CallKind::Chat(chat("no-such-model", false)));

    let outcomes = send(&fleet, &script).await;

    let codes: Vec<_> = outcomes.iter().map(|outcome| outcome.verdict).collect();
    let refused = |code| CallVerdict::Refused { code, run: RunState::NotRun };
    assert_eq!(codes, [refused(ResultCode::UnknownCustomer), refused(ResultCode::UnknownModel)]);
}

#[tokio::test]
async fn platform_calls_are_counted() {
    let fleet = start_fleet().await;
    let request = http::Request::get(format!("http://{}/metrics", fleet.addresses()[0]))
        .body(http_body_util::Full::default())
        .unwrap();

    let answer = client().request(request).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();

    let text = String::from_utf8(body.to_vec()).unwrap();
    let prefix = "fescuewalk_platform_calls_total{kind=\"read\"} ";
    let count = text.lines().find_map(|line| line.strip_prefix(prefix));
    assert!(count.is_some_and(|count| count.parse::<u64>().unwrap() > 0), "{text}");
}
