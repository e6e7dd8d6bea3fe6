//! What backend servers announce in their answers counts whatever the roster says.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, PLAIN, dispatcher, instance, plain_request, server, stream_request};
use dispatch::{AttemptFailure, CallDispatcher, DispatchDecision, HedgeSide, WaitReason};
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

const PAUSE: Duration = Duration::from_secs(2);

fn pause(dispatcher: &mut CallDispatcher, name: &str, span: Duration, now: Instant) {
    dispatcher.record_pause(&instance(name), STARTED, span, now);
}

/// All servers of a service pause for 1 to 5 s, in turn, while requests come.
#[test]
fn servers_that_pause_in_turn_get_nothing_meanwhile() {
    let start = Instant::now();
    let names = ["s-0", "s-1", "s-2"];
    let mut dispatcher = dispatcher_with(&names, start);
    let mut paused_until = [start; 3];

    for step in 0..1_500_u32 {
        let now = start + Duration::from_millis(20) * step;
        if step % 75 == 0 {
            let index = (step / 75 % 3) as usize;
            let span = Duration::from_secs(u64::from(1 + step / 75 % 5));
            pause(&mut dispatcher, names[index], span, now);
            paused_until[index] = paused_until[index].max(now + span);
        }
        if let Some(server) = chosen(&mut dispatcher, now) {
            let index = names.iter().position(|name| *name == server).expect("a known name");
            assert!(paused_until[index] <= now, "{server} at step {step}");
        }
    }
}

#[test]
fn latest_end_of_several_pauses_counts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);

    pause(&mut dispatcher, "s-0", PAUSE, now);
    pause(&mut dispatcher, "s-0", PAUSE / 4, now + PAUSE / 2);

    let before_end = now + PAUSE - Duration::from_millis(1);
    assert_eq!(chosen(&mut dispatcher, before_end), None);
    assert_eq!(chosen(&mut dispatcher, now + PAUSE).as_deref(), Some("s-0"));
}

#[test]
fn request_is_refused_at_once_while_all_servers_pause() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0", "s-1"], now);
    pause(&mut dispatcher, "s-0", PAUSE, now);
    pause(&mut dispatcher, "s-1", PAUSE * 2, now);

    let returns: Vec<Duration> = (0..20)
        .map(|_| {
            let request = plain_request(RouteKind::Idempotent, 2, now);
            match dispatcher.submit(request, now).1 {
                DispatchDecision::Refuse(refusal) => refusal.retry_after.expect("a time"),
                decision => panic!("not refused: {decision:?}"),
            }
        })
        .collect();

    let (first, last) = (returns.iter().min(), returns.iter().max());
    assert!(first >= Some(&PAUSE), "not before the first pause ends: {first:?}");
    assert!(last <= Some(&PAUSE.mul_f64(1.25)), "{last:?}");
    assert!(last.zip(first).is_some_and(|(last, first)| *last - *first > PAUSE / 8), "spread");
}

#[test]
fn request_refused_by_all_servers_with_a_time_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    let (key, _) = dispatcher.submit(plain_request(RouteKind::NonIdempotent, 1, now), now);
    assert_eq!(dispatcher.confirm_send(key, now), None);
    assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));

    pause(&mut dispatcher, "s-0", PAUSE, now);
    let decision = dispatcher.record_failure(key, AttemptFailure::Full, now);

    let DispatchDecision::Refuse(refusal) = decision else { panic!("not refused: {decision:?}") };
    assert!(refusal.retry_after >= Some(PAUSE), "{refusal:?}");
    assert_eq!(refusal.code, ResultCode::NoReplica, "it has not run");
}

#[test]
fn request_waits_for_a_pause_that_ends_within_moments() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    pause(&mut dispatcher, "s-0", Duration::from_millis(100), now);

    let (_, decision) = dispatcher.submit(plain_request(RouteKind::Idempotent, 2, now), now);

    assert_eq!(decision, DispatchDecision::Wait(WaitReason::ServersPaused, None));
}

/// The planner loads models that requests wait for because no engine holds them.
#[test]
fn pause_of_an_engine_does_not_count_as_a_missing_model() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    dispatcher.upsert_server(&server("e-0", ENGINES, &["m1"]), now);
    pause(&mut dispatcher, "e-0", PAUSE, now);

    let (_, decision) = dispatcher.submit(stream_request("m1", 600, now), now);

    assert!(matches!(decision, DispatchDecision::Refuse(_)), "{decision:?}");
    assert!(!dispatcher.has_call_missing_model());
    let waiting: u32 = dispatcher.model_usage(now).values().map(|usage| usage.waiting).sum();
    assert_eq!(waiting, 0);
}
