//! Backend servers that accept requests but answer none.
//!
//! A VM freezes or its backend server hangs with open connections. Requests that are sent there in
//! the meantime are lost to their callers.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, PLAIN, dispatcher, instance, plain_request, server, stream_request};
use dispatch::{CallDispatcher, DispatchDecision, EngineUpdate};
use rstest::rstest;

fn target(decision: &DispatchDecision) -> Option<String> {
    match decision {
        DispatchDecision::Send(assignment) => Some(assignment.server.to_string()),
        DispatchDecision::Wait(..) | DispatchDecision::Refuse(_) => None,
    }
}

/// Submits a request every 100 ms; s-1 answers the requests that it gets, s-2 does not. Returns the
/// servers to which the requests were sent.
fn submit_for(
    dispatcher: &mut CallDispatcher,
    span: Duration,
    began: Instant,
    is_stream: bool,
) -> Vec<String> {
    let mut sent = Vec::new();
    let mut now = began;
    while now < began + span {
        let request = match is_stream {
            true => stream_request("m", 600, now),
            false => plain_request(RouteKind::NonIdempotent, 1, now),
        };
        let (key, decision) = dispatcher.submit(request, now);
        if let Some(server) = target(&decision) {
            dispatcher.mark_sent(key, now);
            if server == "s-1" {
                dispatcher.record_first_byte(key, now + Duration::from_millis(60));
                dispatcher.finish(key, true, now + Duration::from_millis(80));
            }
            sent.push(server);
        }
        now += Duration::from_millis(100);
    }
    sent
}

#[rstest]
#[case::streams(true, ENGINES, &["m"])]
#[case::plain_requests(false, PLAIN, &[])]
fn unresponsive_server_gets_few_requests(
    #[case] is_stream: bool,
    #[case] service: &str,
    #[case] models: &[&str],
) {
    let began = Instant::now();
    let mut dispatcher = dispatcher();
    dispatcher.upsert_server(&server("s-1", service, models), began);
    dispatcher.upsert_server(&server("s-2", service, models), began);

    let sent = submit_for(&mut dispatcher, Duration::from_secs(6), began, is_stream);

    let lost = sent.iter().filter(|server| *server == "s-2").count();
    assert!(lost <= 5, "{lost} of {} requests went to the unresponsive server", sent.len());
    assert!(sent.len() >= 55, "{} were sent", sent.len());
}

#[test]
fn side_process_update_ends_unresponsive_state() {
    let began = Instant::now();
    let mut dispatcher = dispatcher();
    dispatcher.upsert_server(&server("s-2", ENGINES, &["m"]), began);
    let (key, _) = dispatcher.submit(stream_request("m", 600, began), began);
    dispatcher.mark_sent(key, began);
    let later = began + Duration::from_secs(2);
    let (_, unresponsive) = dispatcher.submit(stream_request("m", 600, later), later);

    let update = EngineUpdate {
        residents: server("s-2", ENGINES, &["m"]).residents,
        is_reachable: true,
        ..EngineUpdate::default()
    };
    dispatcher.apply_engine_update(&instance("s-2"), &update, later);
    dispatcher.review_waiting(later);

    assert_eq!(target(&unresponsive), None);
    let decided = dispatcher.take_actions();
    assert_eq!(decided.len(), 1, "{decided:?}");
}
