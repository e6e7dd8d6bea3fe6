//! Requests that are blocked because requests like them crash backend servers.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{PLAIN, dispatcher, plain_request, server};
use dispatch::{
    AttemptFailure, CallDispatcher, DispatchAction, DispatchDecision, DispatchRequest, HedgeSide,
};
use suspects::{RequestBlock, SuspectKey, SuspectKeys};

fn suspect_keys() -> SuspectKeys {
    [SuspectKey(7)].into_iter().collect()
}

fn suspect_request(kind: RouteKind, max_attempts: u32, now: Instant) -> DispatchRequest {
    DispatchRequest { suspect_keys: suspect_keys(), ..plain_request(kind, max_attempts, now) }
}

fn dispatcher_with_servers(count: usize, now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    for number in 0..count {
        dispatcher.upsert_server(&server(&format!("s-{number}"), PLAIN, &[]), now);
    }
    dispatcher
}

/// Applies a block; returns when requests are refused.
fn apply_block(dispatcher: &mut CallDispatcher, now: Instant) -> Instant {
    let block = RequestBlock::new(suspect_keys(), now, now);
    assert!(dispatcher.suspects_mut().apply_block(&block, now).is_new);
    let refused_from = now + Duration::from_millis(50);
    dispatcher.review_waiting(refused_from);
    refused_from
}

fn refused_code(decision: &DispatchDecision) -> Option<ResultCode> {
    match decision {
        DispatchDecision::Refuse(refusal) => Some(refusal.code),
        DispatchDecision::Send(_) | DispatchDecision::Wait(..) => None,
    }
}

#[test]
fn blocked_request_is_refused_at_once_with_the_end_of_its_block() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(1, now);
    let later = apply_block(&mut dispatcher, now);

    let request = suspect_request(RouteKind::Idempotent, 2, later);
    let (_, decision) = dispatcher.submit(request, later);

    let DispatchDecision::Refuse(refusal) = decision else { panic!("not refused: {decision:?}") };
    assert_eq!(refusal.code, ResultCode::RequestQuarantined);
    assert_eq!(refusal.retry_after, Some(now + Duration::from_secs(60) - later));
}

#[test]
fn waiting_request_is_refused_when_it_is_blocked() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(0, now);
    let (key, _) = dispatcher.submit(suspect_request(RouteKind::Idempotent, 2, now), now);

    apply_block(&mut dispatcher, now);

    let actions = dispatcher.take_actions();
    let [DispatchAction::Decide(decided, decision)] = &actions[..] else {
        panic!("no decision: {actions:?}")
    };
    assert_eq!((*decided, refused_code(decision)), (key, Some(ResultCode::RequestQuarantined)));
}

#[test]
fn assigned_request_is_not_sent_once_it_is_blocked() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(1, now);
    let (key, assigned) = dispatcher.submit(suspect_request(RouteKind::Idempotent, 2, now), now);
    assert!(matches!(assigned, DispatchDecision::Send(_)));

    let later = apply_block(&mut dispatcher, now);
    let refusal = dispatcher.confirm_send(key, later).expect("a refusal");

    assert_eq!(refused_code(&refusal), Some(ResultCode::RequestQuarantined));
    assert!(dispatcher.servers().all(|view| view.calls.is_empty()), "it is not counted as load");
}

#[test]
fn blocked_request_that_may_have_run_is_not_said_not_to_have_run() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(2, now);
    let (key, _) = dispatcher.submit(suspect_request(RouteKind::Idempotent, 2, now), now);
    assert_eq!(dispatcher.confirm_send(key, now), None);
    assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));

    let later = apply_block(&mut dispatcher, now);
    let decision = dispatcher.record_failure(key, AttemptFailure::Severed, later);

    assert_eq!(refused_code(&decision), Some(ResultCode::BackendLost));
}

#[test]
fn servers_whose_connections_break_together_are_probed_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(1, now);
    let submit = |dispatcher: &mut CallDispatcher| {
        let request = suspect_request(RouteKind::NonIdempotent, 1, now);
        let (key, _) = dispatcher.submit(request, now);
        assert_eq!(dispatcher.confirm_send(key, now), None);
        assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
        key
    };
    let calls = [submit(&mut dispatcher), submit(&mut dispatcher)];

    for key in calls {
        dispatcher.record_failure(key, AttemptFailure::Severed, now);
    }

    let actions = dispatcher.take_actions();
    let [DispatchAction::Probe { server, .. }] = &actions[..] else {
        panic!("not one probe: {actions:?}")
    };
    let severed = dispatcher.suspects_mut().record_probe(server);
    assert_eq!(severed.len(), 2, "both requests are suspects");
}

#[test]
fn answer_that_narrows_a_block_is_shared() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_servers(1, now);
    let (key, _) = dispatcher.submit(suspect_request(RouteKind::Idempotent, 2, now), now);
    assert_eq!(dispatcher.confirm_send(key, now), None);
    assert_eq!(dispatcher.begin_send(key, HedgeSide::First, now), Ok(()));
    let later = apply_block(&mut dispatcher, now);

    dispatcher.record_answer_begun(key, later);

    let actions = dispatcher.take_actions();
    let [DispatchAction::ShareBlocks(blocks)] = &actions[..] else {
        panic!("nothing is shared: {actions:?}")
    };
    assert!(blocks[0].suspects().is_empty(), "it is void: {blocks:?}");
}
