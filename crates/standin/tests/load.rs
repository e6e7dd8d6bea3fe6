//! The load tool tells whole, cut, crossed, lost and refused answers apart.

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

fn chat() -> ChatCall {
    ChatCall { model: "m".to_owned(), prompt: "p".to_owned(), tokens: 3, is_stream: true }
}

fn event(token: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

fn events(prompt: &str, count: u32, end: &str) -> String {
    let tokens = (0..count).map(|index| event(&answer_token("m", prompt, index)));
    tokens.chain([end.to_owned()]).collect()
}

fn plain(content: &str) -> String {
    format!("{{\"choices\":[{{\"message\":{{\"content\":\"{content}\"}}}}]}}")
}

async fn service() -> ServerHandle<ServiceServer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, ServiceOptions::default()).unwrap()
}

fn options(entry: SocketAddr) -> LoadOptions {
    LoadOptions { entries: vec![entry], timeout: Duration::from_millis(500) }
}

fn checkouts(count: usize) -> CallScript {
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

fn lost_backend() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::BackendLost, run: RunState::MayHaveRun }
}

#[rstest]
#[case(events("p", 3, "data: [DONE]\n\n"), CallVerdict::Complete)]
#[case(events("p", 3, ""), CallVerdict::Truncated)]
#[case(events("p", 2, "data: [DONE]\n\n"), CallVerdict::Truncated)]
#[case(events("q", 3, "data: [DONE]\n\n"), CallVerdict::Mismatched)]
#[case(events("p", 2, &format!("data: {REFUSAL}\n\n")), lost_backend())]
#[case("data: [DONE]\n\n".to_owned(), CallVerdict::Truncated)]
fn streams_are_judged(#[case] body: String, #[case] expected: CallVerdict) {
    let verdict = verify_stream(&chat(), body.as_bytes());

    assert_eq!(verdict, expected);
}

#[rstest]
#[case(plain(&answer_text("m", "p", 3)), CallVerdict::Complete)]
#[case(plain(&answer_text("m", "p", 2)), CallVerdict::Truncated)]
#[case(plain(&answer_text("m", "q", 3)), CallVerdict::Mismatched)]
#[case(plain(&answer_text("n", "p", 3)), CallVerdict::Mismatched)]
#[case("{\"choices\":[{\"mess".to_owned(), CallVerdict::Truncated)]
fn plain_answers_are_judged(#[case] body: String, #[case] expected: CallVerdict) {
    let verdict = verify_chat(&chat(), body.as_bytes());

    assert_eq!(verdict, expected);
}

#[rstest]
#[case(REFUSAL, lost_backend())]
#[case("{\"code\":2001,\"state\":\"may have run\"}", lost_backend())]
#[case("{\"code\":2001}", CallVerdict::InvalidRefusal)]
#[case("oops", CallVerdict::InvalidRefusal)]
fn refusals_are_read(#[case] body: &str, #[case] expected: CallVerdict) {
    let verdict = parse_refusal(body.as_bytes());

    assert_eq!(verdict, expected);
}

#[tokio::test]
async fn a_script_is_sent_once_and_summed_up() {
    let server = service().await;

    let outcomes = run_script(&options(server.address), &checkouts(20)).await;

    let summary = RunSummary::of(&outcomes);
    assert_eq!(summary.count(CallVerdict::Complete), 20);
    assert_eq!((summary.failed_count(), summary.refused_count()), (0, 0));
    assert_eq!(summary.total.count, 20);
    let calls = server.state.records().calls;
    assert_eq!(calls.len(), 20);
    assert!(calls.iter().all(|call| call.finished && call.key.is_some()));
}

#[tokio::test]
async fn a_lost_answer_is_counted_as_lost_and_was_executed() {
    let server = service().await;
    server.state.set_fault(ServiceFault { lost_answers: 1, ..ServiceFault::default() });

    let outcomes = run_script(&options(server.address), &checkouts(1)).await;

    assert_eq!(RunSummary::of(&outcomes).count(CallVerdict::NoAnswer), 1);
    assert_eq!(server.state.records().calls.len(), 1);
}

#[tokio::test]
async fn a_service_that_is_down_executes_nothing() {
    let server = service().await;
    server.state.set_fault(ServiceFault { down: true, ..ServiceFault::default() });

    let outcomes = run_script(&options(server.address), &checkouts(1)).await;

    assert_eq!(outcomes[0].verdict, CallVerdict::NoAnswer);
    assert!(server.state.records().calls.is_empty());
}

#[test]
fn a_jittered_script_is_the_same_for_the_same_seed() {
    let jitter = Duration::from_millis(100);

    let first = checkouts(10).with_jitter(jitter, 7);
    let second = checkouts(10).with_jitter(jitter, 7);

    assert_eq!(first, second);
    assert_ne!(first, checkouts(10).with_jitter(jitter, 8));
}
