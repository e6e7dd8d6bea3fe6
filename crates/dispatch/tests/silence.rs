//! Backend servers that accept requests and answer nothing.
//!
//! Load pattern: a VM freezes or its backend server hangs while it holds slots and connections.
//! Requests that are sent there in the meantime are lost to their callers.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, PLAIN, desk, instance, plain_ask, server, stream_ask};
use dispatch::{CallDispatcher, DispatchDecision, EngineUpdate};
use rstest::rstest;

fn target(verdict: &DispatchDecision) -> Option<String> {
    match verdict {
        DispatchDecision::Send(assignment) => Some(assignment.server.to_string()),
        DispatchDecision::Wait(..) | DispatchDecision::Refuse(_) => None,
    }
}

/// Offers a request each 100 ms; only s-1 answers. Returns where the requests went.
fn offer_for(
    desk: &mut CallDispatcher,
    span: Duration,
    began: Instant,
    is_stream: bool,
) -> Vec<String> {
    let mut sent = Vec::new();
    let mut now = began;
    while now < began + span {
        let ask = match is_stream {
            true => stream_ask("m", 600, now),
            false => plain_ask(RouteKind::NonIdempotent, 1, now),
        };
        let (key, verdict) = desk.submit(ask, now);
        if let Some(server) = target(&verdict) {
            desk.mark_sent(key, now);
            if server == "s-1" {
                desk.record_first_byte(key, now + Duration::from_millis(60));
                desk.finish(key, true, now + Duration::from_millis(80));
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
fn a_server_that_answers_nothing_gets_few_requests(
    #[case] is_stream: bool,
    #[case] service: &str,
    #[case] models: &[&str],
) {
    let began = Instant::now();
    let mut desk = desk();
    desk.upsert_server(&server("s-1", service, models), began);
    desk.upsert_server(&server("s-2", service, models), began);

    let sent = offer_for(&mut desk, Duration::from_secs(6), began, is_stream);

    let lost = sent.iter().filter(|server| *server == "s-2").count();
    assert!(lost <= 5, "{lost} of {} requests went to the silent server", sent.len());
    assert!(sent.len() >= 55, "{} were sent", sent.len());
}

#[test]
fn a_word_of_its_side_process_brings_a_server_back() {
    let began = Instant::now();
    let mut desk = desk();
    desk.upsert_server(&server("s-2", ENGINES, &["m"]), began);
    let (key, _) = desk.submit(stream_ask("m", 600, began), began);
    desk.mark_sent(key, began);
    let later = began + Duration::from_secs(2);
    let (_, silent) = desk.submit(stream_ask("m", 600, later), later);

    let news = EngineUpdate {
        residents: server("s-2", ENGINES, &["m"]).residents,
        is_reachable: true,
        ..EngineUpdate::default()
    };
    desk.apply_engine_update(&instance("s-2"), &news, later);
    desk.review_waiting(later);

    assert_eq!(target(&silent), None);
    let decided = desk.take_actions();
    assert_eq!(decided.len(), 1, "{decided:?}");
}
