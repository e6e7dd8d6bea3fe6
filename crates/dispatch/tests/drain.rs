//! Planned stop of the entry while requests wait for a model, a permit or an answer.
//!
//! A request that still waits when the process ends would lose its connection without an answer.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, dispatcher, server, stream_request};
use dispatch::{
    AttemptFailure, CallDispatcher, DispatchAction, DispatchDecision, DispatchRequest, Refusal,
    StopStage, WaitReason,
};

fn refusal(decision: DispatchDecision) -> Refusal {
    match decision {
        DispatchDecision::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// A dispatcher with two engines that hold the model.
fn dispatcher_with_engines(now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    for id in ["i-1", "i-2"] {
        dispatcher.upsert_server(&server(id, ENGINES, &["m"]), now);
    }
    dispatcher
}

#[test]
fn stop_refuses_waiting_requests_with_immediate_retry() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let (key, decision) = dispatcher.submit(stream_request("m", 600, now), now);

    dispatcher.enter_stop_stage(StopStage::NoWaits, now);
    let actions = dispatcher.take_actions();
    let (_, later) = dispatcher.submit(stream_request("m", 600, now), now);

    assert!(matches!(decision, DispatchDecision::Wait(WaitReason::ModelMissing, _)));
    let [DispatchAction::Decide(decided, DispatchDecision::Refuse(refusal))] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*decided, key);
    assert_eq!(refusal.code, ResultCode::ProcessStopping);
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));
    assert!(matches!(later, DispatchDecision::Refuse(_)));
}

#[test]
fn request_without_a_permit_is_refused_in_a_stop_instead_of_waiting_for_another() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_engines(now);
    let (key, decision) = dispatcher.submit(stream_request("m", 600, now), now);

    dispatcher.enter_stop_stage(StopStage::NoWaits, now);
    let next = refusal(dispatcher.handle_permit_refusal(key, false, now));

    assert!(matches!(decision, DispatchDecision::Send(_)));
    assert_eq!(next.code, ResultCode::ProcessStopping);
    assert_eq!(next.retry_after, Some(Duration::ZERO));
}

#[test]
fn request_with_a_permit_is_not_sent_any_more_at_the_end_of_a_stop() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_engines(now);
    let (key, _) = dispatcher.submit(stream_request("m", 600, now), now);

    dispatcher.enter_stop_stage(StopStage::NoSends, now);
    let next = dispatcher.confirm_send(key, now).map(refusal);

    assert_eq!(next.map(|refusal| refusal.code), Some(ResultCode::ProcessStopping));
}

#[test]
fn aborted_request_is_not_repeated_at_the_end_of_a_stop_and_may_have_run() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_engines(now);
    let request = DispatchRequest {
        kind: RouteKind::Streaming { is_resumable: true },
        max_attempts: 2,
        ..stream_request("m", 600, now)
    };
    let (key, _) = dispatcher.submit(request, now);
    dispatcher.mark_sent(key, now);

    dispatcher.enter_stop_stage(StopStage::NoSends, now);
    let next = refusal(dispatcher.record_failure(key, AttemptFailure::Lost, now));

    assert_eq!(next.code, ResultCode::BackendLost);
    assert_eq!(next.retry_after, None);
}
