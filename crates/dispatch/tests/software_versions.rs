//! Streams in a service whose backend servers have two software versions.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, dispatcher, instance, model, server, stream_request};
use dispatch::{
    AttemptFailure, CallDispatcher, DispatchDecision, DispatchRequest, EngineUpdate,
    LoadInProgress, WaitReason,
};
use roster::{BackendServer, IncarnationStart, ServerState, SoftwareVersion};

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("any text")
}

fn engine(name: &str, software: &str, models: &[&str]) -> BackendServer {
    BackendServer { software: version(software), ..server(name, ENGINES, models) }
}

fn dispatcher_with(engines: &[BackendServer], now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    engines.iter().for_each(|engine| dispatcher.upsert_server(engine, now));
    dispatcher
}

fn resumable_request(now: Instant) -> DispatchRequest {
    DispatchRequest {
        kind: RouteKind::Streaming { is_resumable: true },
        max_attempts: 3,
        ..stream_request("m", 600, now)
    }
}

fn server_of(decision: &DispatchDecision) -> String {
    match decision {
        DispatchDecision::Send(assignment) => assignment.server.to_string(),
        other => panic!("expected an assignment, got {other:?}"),
    }
}

/// Begins a stream at the only engine, which then breaks it off while `others` are listed.
fn broken_stream(others: &[BackendServer], now: Instant) -> (CallDispatcher, DispatchDecision) {
    let mut dispatcher = dispatcher_with(&[engine("i-1", "v1", &["m"])], now);
    let (key, _) = dispatcher.submit(resumable_request(now), now);
    dispatcher.mark_sent(key, now);
    dispatcher.record_first_byte(key, now);
    others.iter().for_each(|engine| dispatcher.upsert_server(engine, now));
    let next = dispatcher.record_failure(key, AttemptFailure::Lost, now);
    (dispatcher, next)
}

#[test]
fn stream_goes_on_at_the_version_that_began_it() {
    let others = [engine("i-2", "v2", &["m"]), engine("i-3", "v1", &["m"])];

    let (_, next) = broken_stream(&others, Instant::now());

    assert_eq!(server_of(&next), "i-3");
}

#[test]
fn stream_does_not_go_on_at_another_version() {
    let (_, next) = broken_stream(&[engine("i-2", "v2", &["m"])], Instant::now());

    assert!(
        matches!(next, DispatchDecision::Wait(WaitReason::ModelMissing, _)),
        "i-1 may load the model again: {next:?}"
    );
}

#[test]
fn request_without_an_answer_is_sent_to_any_version() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&[engine("i-1", "v1", &["m"])], now);
    let (key, _) = dispatcher.submit(resumable_request(now), now);
    dispatcher.mark_sent(key, now);
    dispatcher.upsert_server(&engine("i-2", "v2", &["m"]), now);

    let next = dispatcher.record_failure(key, AttemptFailure::Severed, now);

    assert_eq!(server_of(&next), "i-2");
}

#[test]
fn stream_of_a_version_without_servers_is_refused_at_once() {
    let now = Instant::now();
    let leaving = ServerState::Draining { remaining: None };
    let leaving = BackendServer { state: leaving, ..engine("i-1", "v1", &["m"]) };
    let mut dispatcher = dispatcher_with(&[leaving, engine("i-2", "v2", &["m"])], now);
    let request = DispatchRequest { software: Some(version("v1")), ..resumable_request(now) };

    let (_, decision) = dispatcher.submit(request, now);

    let DispatchDecision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
}

#[test]
fn stream_waits_for_a_load_at_its_own_version_only() {
    let now = Instant::now();
    let ready_at = now + Duration::from_millis(900);
    let loading = EngineUpdate {
        loading: Some(LoadInProgress { model: model("m"), ready_at }),
        is_reachable: true,
        ..EngineUpdate::default()
    };
    let expected_end = |loads_at: &str| {
        let engines = [engine("i-1", "v1", &[]), engine("i-2", "v2", &[])];
        let mut dispatcher = dispatcher_with(&engines, now);
        dispatcher.apply_engine_update(&instance(loads_at), &loading, now);
        let request = DispatchRequest { software: Some(version("v1")), ..resumable_request(now) };
        match dispatcher.submit(request, now).1 {
            DispatchDecision::Wait(_, end) => end,
            other => panic!("expected a wait, got {other:?}"),
        }
    };

    assert_eq!(expected_end("i-1"), Some(ready_at));
    assert_eq!(expected_end("i-2"), None);
}

/// A server starts again under its name with another version while the stream waits for a permit.
#[test]
fn stream_is_not_sent_to_a_server_that_has_another_version_now() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&[engine("i-1", "v1", &["m"])], now);
    let request = DispatchRequest { software: Some(version("v1")), ..resumable_request(now) };
    let (key, decision) = dispatcher.submit(request, now);
    assert_eq!(server_of(&decision), "i-1");

    dispatcher.upsert_server(&engine("i-1", "v2", &["m"]), now);
    let next = dispatcher.confirm_send(key, now);

    assert!(matches!(next, Some(DispatchDecision::Refuse(_))), "{next:?}");
}

/// Its side process reports another incarnation than the roster lists.
#[test]
fn server_that_started_again_gets_nothing_until_the_roster_lists_it_anew() {
    let now = Instant::now();
    let listed = engine("i-1", "v1", &["m"]);
    let mut dispatcher = dispatcher_with(std::slice::from_ref(&listed), now);

    let is_new = dispatcher.mark_restarted(&instance("i-1"));
    let (_, before) = dispatcher.submit(resumable_request(now), now);
    let started = Some(IncarnationStart(2));
    dispatcher.upsert_server(&BackendServer { started, ..engine("i-1", "v2", &["m"]) }, now);
    let (_, after) = dispatcher.submit(resumable_request(now), now);

    assert!(is_new && !dispatcher.mark_restarted(&instance("i-2")));
    assert!(matches!(before, DispatchDecision::Wait(..)), "{before:?}");
    assert_eq!(server_of(&after), "i-1");
}

/// Guards against an entry that forgets the restart when the side process falls silent.
#[test]
fn server_that_started_again_gets_nothing_while_its_side_process_is_silent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&[engine("i-1", "v1", &["m"])], now);
    dispatcher.mark_restarted(&instance("i-1"));

    dispatcher.mark_side_unreachable(&instance("i-1"));
    let (_, decision) = dispatcher.submit(resumable_request(now), now);

    assert!(matches!(decision, DispatchDecision::Wait(..)), "{decision:?}");
}

/// An entry that has just started reads its configuration before its roster.
#[test]
fn stream_waits_before_the_first_server_is_known() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let request = DispatchRequest { software: Some(version("v1")), ..resumable_request(now) };

    let (_, decision) = dispatcher.submit(request, now);

    assert!(matches!(decision, DispatchDecision::Wait(..)), "{decision:?}");
}
