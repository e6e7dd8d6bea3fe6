//! The last checks of a request, after the wait for a connection to its backend server.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{PLAIN, dispatcher, instance, plain_request, server};
use dispatch::{
    AttemptFailure, CallDispatcher, DispatchDecision, DispatchRequest, HedgeDecision, HedgeLimits,
    HedgeSide, SendObstacle, StopStage, WaitReason,
};
use limits::LimitSighting;
use roster::{BackendServer, IncarnationStart, ServerState};
use rstest::rstest;
use suspects::{RequestBlock, SuspectKey, SuspectKeys};

const STARTED: Option<IncarnationStart> = Some(IncarnationStart(1));
const LARGE: ByteSize = ByteSize::mib(4);

/// Keys of a request: that of a prompt part, and that of its contents.
fn suspect_keys() -> SuspectKeys {
    [SuspectKey::of_prompt_part(7), SuspectKey(8)].into_iter().collect()
}

fn request(body: ByteSize, now: Instant) -> DispatchRequest {
    DispatchRequest {
        body,
        suspect_keys: suspect_keys(),
        ..plain_request(RouteKind::Idempotent, 2, now)
    }
}

fn dispatcher_with(names: &[&str], now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.set_server_bytes(ByteSize::mib(16));
    for name in names {
        dispatcher.upsert_server(&server(name, PLAIN, &[]), now);
    }
    dispatcher
}

/// Submits a request and confirms it for the server to which it is assigned.
fn confirm(dispatcher: &mut CallDispatcher, body: ByteSize, now: Instant) -> (u64, String) {
    let (key, decision) = dispatcher.submit(request(body, now), now);
    let DispatchDecision::Send(assignment) = decision else { panic!("{decision:?}") };
    assert_eq!(dispatcher.confirm_send(key, now), None);
    (key, assignment.server.to_string())
}

fn block(dispatcher: &mut CallDispatcher, keys: SuspectKeys, now: Instant) {
    dispatcher.suspects_mut().apply_block(&RequestBlock::new(keys, now, now), now);
}

fn pause(dispatcher: &mut CallDispatcher, now: Instant) {
    dispatcher.record_pause(&instance("a"), STARTED, Duration::from_secs(2), now);
}

fn limit(dispatcher: &mut CallDispatcher, now: Instant) {
    let limit = Some(EventRate(0.1));
    dispatcher.apply_limit(LimitSighting {
        server: instance("a"),
        started: STARTED,
        limit,
        seen: now,
    });
}

/// Guards against a request that reaches a server although it was ruled out while the connection to
/// the server was opened.
#[rstest]
#[case::stop(
    |dispatcher: &mut CallDispatcher, now| dispatcher.enter_stop_stage(StopStage::NoSends, now),
    SendObstacle::ProcessEnds
)]
#[case::drains(
    |dispatcher: &mut CallDispatcher, now| {
        let state = ServerState::Draining { remaining: None };
        dispatcher.upsert_server(&BackendServer { state, ..server("a", PLAIN, &[]) }, now)
    },
    SendObstacle::ServerDrains
)]
#[case::says_that_it_leaves(
    |dispatcher: &mut CallDispatcher, now| {
        dispatcher.record_leaving(&instance("a"), STARTED, now);
    },
    SendObstacle::ServerDrains
)]
#[case::left(
    |dispatcher: &mut CallDispatcher, _| dispatcher.remove_server(&instance("a")),
    SendObstacle::ServerLeft
)]
#[case::moved(
    |dispatcher: &mut CallDispatcher, now| {
        let address = "10.0.0.9:9".parse().expect("an address");
        dispatcher.upsert_server(&BackendServer { address, ..server("a", PLAIN, &[]) }, now)
    },
    SendObstacle::ServerLeft
)]
#[case::restarted(
    |dispatcher: &mut CallDispatcher, _| {
        dispatcher.mark_restarted(&instance("a"));
    },
    SendObstacle::ServerDown
)]
#[case::paused(pause, SendObstacle::ServerPaused)]
#[case::limited(limit, SendObstacle::ServerLimited)]
#[case::request_blocked(
    |dispatcher: &mut CallDispatcher, now| block(dispatcher, suspect_keys(), now),
    SendObstacle::Blocked
)]
#[case::prompt_part_blocked(
    |dispatcher: &mut CallDispatcher, now| {
        block(dispatcher, [SuspectKey::of_prompt_part(7)].into_iter().collect(), now)
    },
    SendObstacle::Blocked
)]
fn request_that_was_ruled_out_after_the_first_check_is_not_sent(
    #[case] rule_out: fn(&mut CallDispatcher, Instant),
    #[case] obstacle: SendObstacle,
) {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a"], now);
    let (key, _) = confirm(&mut dispatcher, ByteSize(0), now);

    rule_out(&mut dispatcher, now);
    let later = now + Duration::from_millis(100);
    let begun = dispatcher.begin_send(key, HedgeSide::First, later);

    assert_eq!(begun, Err(obstacle));
}

#[test]
fn request_is_not_sent_after_its_deadline() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a"], now);
    let (key, _) = confirm(&mut dispatcher, ByteSize(0), now);

    let begun = dispatcher.begin_send(key, HedgeSide::First, now + Duration::from_secs(1));

    assert_eq!(begun, Err(SendObstacle::DeadlinePassed));
}

/// Guards against a withdrawn attempt that counts as one at its server, or keeps its place there.
#[test]
fn withdrawn_request_goes_to_another_server_and_leaves_nothing_behind() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a", "b"], now);
    let (key, first) = confirm(&mut dispatcher, LARGE, now);
    dispatcher.record_leaving(&instance(&first), STARTED, now);

    let begun = dispatcher.begin_send(key, HedgeSide::First, now);
    let next = dispatcher.record_failure(key, AttemptFailure::Withdrawn, now);

    assert_eq!(begun, Err(SendObstacle::ServerDrains));
    let DispatchDecision::Send(second) = next else { panic!("{next:?}") };
    assert_ne!(second.server.to_string(), first);
    assert_eq!(second.attempt, 1, "nothing was sent before");
    let calls = dispatcher.server(&instance(&first)).map(|view| view.calls.len());
    assert_eq!(calls, Some(0));
    assert!(!dispatcher.may_have_run(key));
}

/// Guards against retries that are spent on attempts that nobody received.
#[test]
fn withdrawn_attempts_take_no_retries() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a"], now);
    let (key, _) = confirm(&mut dispatcher, ByteSize(0), now);

    for _ in 0..100 {
        let next = dispatcher.record_failure(key, AttemptFailure::Withdrawn, now);
        assert!(matches!(next, DispatchDecision::Send(_)), "{next:?}");
    }
}

/// Guards against retries that stay spent although their requests were refused before they were sent.
#[test]
fn retry_that_is_refused_before_it_is_sent_goes_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a", "b"], now);
    for _ in 0..200 {
        let (key, first) = confirm(&mut dispatcher, ByteSize(0), now);
        assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
        let next = dispatcher.record_failure(key, AttemptFailure::Full, now);
        assert!(matches!(next, DispatchDecision::Send(_)), "the retry of {first}: {next:?}");
        dispatcher.finish(key, false, now);
        dispatcher = restored(dispatcher, now);
    }
}

/// Ends the suspension of servers that had no capacity.
fn restored(mut dispatcher: CallDispatcher, now: Instant) -> CallDispatcher {
    for name in ["a", "b"] {
        dispatcher.remove_server(&instance(name));
        dispatcher.upsert_server(&server(name, PLAIN, &[]), now);
    }
    dispatcher
}

/// Guards against requests that wait for room at one server while another has some, and against room
/// that is charged twice or kept.
#[test]
fn large_bodies_use_the_room_of_all_servers_and_wait_once_there_is_none() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a", "b"], now);
    let sent: Vec<(u64, String)> = (0..8).map(|_| confirm(&mut dispatcher, LARGE, now)).collect();
    for (key, _) in &sent {
        assert_eq!(dispatcher.begin_send(*key, HedgeSide::First, now), Ok(()));
    }

    let (waiting, decision) = dispatcher.submit(request(LARGE, now), now);
    let (small_key, small) = dispatcher.submit(request(ByteSize(9_000), now), now);
    dispatcher.finish(small_key, true, now);
    dispatcher.take_actions();
    dispatcher.record_answer_head(sent[0].0, &instance(&sent[0].1), now);
    let woken = dispatcher.take_actions();
    dispatcher.finish(sent[0].0, true, now);
    let (_, next) = dispatcher.submit(request(LARGE, now), now);

    assert!(matches!(decision, DispatchDecision::Wait(WaitReason::ServersFull, _)), "{decision:?}");
    assert!(matches!(small, DispatchDecision::Send(_)), "{small:?}");
    assert!(
        matches!(&woken[..], [dispatch::DispatchAction::Decide(key, DispatchDecision::Send(to))]
            if *key == waiting && to.server == instance(&sent[0].1)),
        "{woken:?}"
    );
    assert!(matches!(next, DispatchDecision::Wait(WaitReason::ServersFull, _)), "{next:?}");
}

#[test]
fn request_whose_room_never_comes_is_refused_at_its_deadline() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a"], now);
    for _ in 0..4 {
        confirm(&mut dispatcher, LARGE, now);
    }
    let patient = DispatchRequest { deadline: now + Duration::from_secs(2), ..request(LARGE, now) };
    let (key, _) = dispatcher.submit(patient, now);
    dispatcher.take_actions();

    dispatcher.review_waiting(now + Duration::from_millis(1_999));
    let before = dispatcher.take_actions();
    dispatcher.review_waiting(now + Duration::from_secs(2));
    let after = dispatcher.take_actions();

    assert_eq!(before, []);
    let [dispatch::DispatchAction::Decide(decided, DispatchDecision::Refuse(refusal))] = &after[..]
    else {
        panic!("{after:?}")
    };
    assert_eq!((*decided, refusal.code.run_state()), (key, RunState::NotRun));
}

/// Guards against a second attempt that reaches a server that was ruled out after it was chosen.
#[test]
fn hedge_to_a_server_that_leaves_is_not_sent_and_gives_back_what_it_took() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a", "b"], now);
    dispatcher.set_hedge_limits(HedgeLimits { share: 0.5, ..HedgeLimits::default() });
    for _ in 0..100 {
        let (key, _) = confirm(&mut dispatcher, ByteSize(0), now);
        assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
        dispatcher.record_first_byte(key, now + Duration::from_millis(30));
        dispatcher.finish(key, true, now + Duration::from_millis(30));
    }
    for hedged in 0..100 {
        let (key, first) = confirm(&mut dispatcher, ByteSize(0), now);
        assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
        let decision = dispatcher.start_hedge(key, now + Duration::from_millis(40));
        let HedgeDecision::Send(hedge) = decision else { panic!("after {hedged}: {decision:?}") };
        dispatcher.remove_server(&hedge.server);
        let begun = dispatcher.begin_send(key, HedgeSide::Second, now);
        assert_eq!(begun, Err(SendObstacle::ServerLeft), "{first}");
        dispatcher.fail_hedged(key, HedgeSide::Second, AttemptFailure::Withdrawn, now);
        dispatcher.finish(key, false, now);
        dispatcher.upsert_server(&server(&hedge.server.to_string(), PLAIN, &[]), now);
    }
}

/// A request that waited for room was refused because the server, which was slow to answer the bodies
/// that it held, counted as unresponsive.
#[test]
fn request_waits_for_room_at_a_server_that_is_slow_to_answer() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["a"], now);
    let patient =
        |now| DispatchRequest { deadline: now + Duration::from_secs(30), ..request(LARGE, now) };
    let mut sent = Vec::new();
    for _ in 0..4 {
        let (key, _) = dispatcher.submit(patient(now), now);
        assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
        sent.push(key);
    }
    let (waiting, _) = dispatcher.submit(patient(now), now);
    dispatcher.take_actions();

    let later = now + Duration::from_secs(20);
    dispatcher.review_waiting(later);
    let meanwhile = dispatcher.take_actions();
    dispatcher.record_answer_head(sent[0], &instance("a"), later);
    let woken = dispatcher.take_actions();

    assert_eq!(meanwhile, []);
    assert!(
        matches!(&woken[..], [dispatch::DispatchAction::Decide(key, DispatchDecision::Send(_))]
            if *key == waiting),
        "{woken:?}"
    );
}
