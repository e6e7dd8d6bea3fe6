//! What backend servers announce in their answers counts whatever the roster says.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{PLAIN, dispatcher, instance, plain_request, server};
use dispatch::{CallDispatcher, DispatchDecision};
use roster::{BackendServer, IncarnationStart};

const STARTED: Option<IncarnationStart> = Some(IncarnationStart(1));

fn chosen(dispatcher: &mut CallDispatcher, now: Instant) -> Option<String> {
    let (_, decision) = dispatcher.submit(plain_request(RouteKind::Idempotent, 2, now), now);
    match decision {
        DispatchDecision::Send(assignment) => Some(assignment.server.to_string()),
        DispatchDecision::Wait(..) | DispatchDecision::Refuse(_) => None,
    }
}

fn dispatcher_with(names: &[&str], now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    for name in names {
        dispatcher.upsert_server(&server(name, PLAIN, &[]), now);
    }
    dispatcher
}

/// A release that drains one server after the other while requests come.
#[test]
fn servers_that_leave_one_after_the_other_get_nothing_after_their_answer() {
    let mut now = Instant::now();
    let names = ["s-0", "s-1", "s-2", "s-3", "s-4"];
    let mut dispatcher = dispatcher_with(&names, now);

    for (index, leaving) in names.iter().enumerate() {
        assert!(dispatcher.record_leaving(&instance(leaving), STARTED, now));
        assert!(!dispatcher.record_leaving(&instance(leaving), STARTED, now), "it is known");
        for _ in 0..50 {
            now += Duration::from_millis(20);
            let server = chosen(&mut dispatcher, now);
            let has_left = |name: &str| names[..=index].contains(&name);
            assert!(!server.as_deref().is_some_and(has_left), "{server:?} after {leaving}");
        }
    }
}

#[test]
fn roster_that_lists_a_leaving_server_again_does_not_bring_it_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.record_leaving(&instance("s-0"), STARTED, now);

    dispatcher.remove_server(&instance("s-0"));
    dispatcher.upsert_server(&server("s-0", PLAIN, &[]), now);

    assert_eq!(chosen(&mut dispatcher, now), None);
}

#[test]
fn new_incarnation_starts_without_announcements() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.record_leaving(&instance("s-0"), STARTED, now);

    let started = Some(IncarnationStart(2));
    let restarted = BackendServer { started, ..server("s-0", PLAIN, &[]) };
    dispatcher.upsert_server(&restarted, now);
    // The last answer of the earlier incarnation arrives after the roster lists the new one.
    dispatcher.record_leaving(&instance("s-0"), STARTED, now);

    assert_eq!(chosen(&mut dispatcher, now).as_deref(), Some("s-0"));
}

#[test]
fn request_that_is_not_sent_yet_goes_elsewhere() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0", "s-1"], now);
    let request = plain_request(RouteKind::NonIdempotent, 1, now);
    let (key, decision) = dispatcher.submit(request, now);
    let DispatchDecision::Send(first) = decision else { panic!("not assigned: {decision:?}") };

    dispatcher.record_leaving(&first.server, first.started, now);
    let next = dispatcher.confirm_send(key, now);

    let Some(DispatchDecision::Send(second)) = next else { panic!("not assigned: {next:?}") };
    assert_ne!(second.server, first.server);
}
