//! The load generator detects truncated, mismatched, missing and refused answers.

use std::{net::SocketAddr, time::Duration};

use base::prelude::{ResultCode, RunState};
use rstest::rstest;
use standin::{
    answers::{answer_text, answer_token},
    load::{
        CallKind, CallScript, CallVerdict, ChatCall, LoadOptions, RunSummary, ServiceCall,
        parse_refusal, run_script, verify_chat, verify_stream,
    },
    server::ServerHandle,
    service::{ServiceFault, ServiceOptions, ServiceServer, serve},
};
use tokio::net::TcpListener;

fn stream_call() -> ChatCall {
    ChatCall { model: "m".to_owned(), prompt: "p".to_owned(), tokens: 3, is_stream: true }
}

fn event(token: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

fn events(prompt: &str, count: u32, end: &str) -> String {
    let tokens = (0..count).map(|index| event(&answer_token("m", prompt, index)));
    tokens.chain([end.to_owned()]).collect()
}

fn completion(content: &str) -> String {
    format!("{{\"choices\":[{{\"message\":{{\"content\":\"{content}\"}}}}]}}")
}

async fn start_service() -> ServerHandle<ServiceServer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, ServiceOptions::default()).unwrap()
}

fn options(entry: SocketAddr) -> LoadOptions {
    LoadOptions { entries: vec![entry], timeout: Duration::from_millis(500) }
}

fn checkout_script(count: usize) -> CallScript {
    let mut script = CallScript::default();
    for index in 0..count {
        let call = ServiceCall {
            service: "circulation-desk".to_owned(),
            method: "POST".to_owned(),
            path: "/checkouts".to_owned(),
            key: Some(format!("key-{index}")),
            body: format!("item {index}"),
        };
        script.push(Duration::ZERO, "secret", CallKind::Service(call));
    }
    script
}

const REFUSAL: &str = "{\"error\":{\"code\":2001,\"state\":\"may have run\"}}";

fn backend_lost() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::BackendLost, run: RunState::MayHaveRun }
}

#[rstest]
#[case(events("p", 3, "data: [DONE]\n\n"), CallVerdict::Complete)]
#[case(events("p", 3, ""), CallVerdict::Truncated)]
#[case(events("p", 2, "data: [DONE]\n\n"), CallVerdict::Truncated)]
#[case(events("q", 3, "data: [DONE]\n\n"), CallVerdict::Mismatched)]
#[case(events("p", 2, &format!("data: {REFUSAL}\n\n")), backend_lost())]
#[case("data: [DONE]\n\n".to_owned(), CallVerdict::Truncated)]
fn stream_verdicts(#[case] body: String, #[case] expected: CallVerdict) {
    let verdict = verify_stream(&stream_call(), body.as_bytes());

    assert_eq!(verdict, expected);
}

#[rstest]
#[case(completion(&answer_text("m", "p", 3)), CallVerdict::Complete)]
#[case(completion(&answer_text("m", "p", 2)), CallVerdict::Truncated)]
#[case(completion(&answer_text("m", "q", 3)), CallVerdict::Mismatched)]
#[case(completion(&answer_text("n", "p", 3)), CallVerdict::Mismatched)]
#[case("{\"choices\":[{\"mess".to_owned(), CallVerdict::Truncated)]
fn complete_answer_verdicts(#[case] body: String, #[case] expected: CallVerdict) {
    let verdict = verify_chat(&stream_call(), body.as_bytes());

    assert_eq!(verdict, expected);
}

#[rstest]
#[case(REFUSAL, backend_lost())]
#[case("{\"code\":2001,\"state\":\"may have run\"}", backend_lost())]
#[case("{\"code\":2001}", CallVerdict::InvalidRefusal)]
#[case("oops", CallVerdict::InvalidRefusal)]
fn refusal_verdicts(#[case] body: &str, #[case] expected: CallVerdict) {
    let verdict = parse_refusal(body.as_bytes());

    assert_eq!(verdict, expected);
}

#[tokio::test]
async fn script_is_sent_once() {
    let server = start_service().await;

    let outcomes = run_script(&options(server.address), &checkout_script(20)).await;

    let summary = RunSummary::of(&outcomes);
    assert_eq!(summary.count(CallVerdict::Complete), 20);
    assert_eq!((summary.failed_count(), summary.refused_count()), (0, 0));
    assert_eq!(summary.total.count, 20);
    let calls = server.state.records().calls;
    assert_eq!(calls.len(), 20);
    assert!(calls.iter().all(|call| call.finished && call.key.is_some()));
}

#[tokio::test]
async fn call_with_dropped_answer_is_executed() {
    let server = start_service().await;
    server.state.set_fault(ServiceFault { lost_answers: 1, ..ServiceFault::default() });

    let outcomes = run_script(&options(server.address), &checkout_script(1)).await;

    assert_eq!(RunSummary::of(&outcomes).count(CallVerdict::NoAnswer), 1);
    assert_eq!(server.state.records().calls.len(), 1);
}

#[tokio::test]
async fn down_service_executes_nothing() {
    let server = start_service().await;
    server.state.set_fault(ServiceFault { down: true, ..ServiceFault::default() });

    let outcomes = run_script(&options(server.address), &checkout_script(1)).await;

    assert_eq!(outcomes[0].verdict, CallVerdict::NoAnswer);
    assert!(server.state.records().calls.is_empty());
}

#[test]
fn jitter_is_deterministic_by_seed() {
    let jitter = Duration::from_millis(100);

    let first = checkout_script(10).with_jitter(jitter, 7);
    let second = checkout_script(10).with_jitter(jitter, 7);

    assert_eq!(first, second);
    assert_ne!(first, checkout_script(10).with_jitter(jitter, 8));
}
