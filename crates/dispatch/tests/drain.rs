//! Planned stop of the entry while requests wait for a model.
//!
//! A request that still waits when the process ends would lose its connection without an answer.

mod common;

use base::prelude::*;
use common::{dispatcher, stream_request};
use dispatch::{DispatchAction, DispatchDecision, WaitReason};

#[test]
fn stop_refuses_waiting_requests_with_immediate_retry() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let (key, decision) = dispatcher.submit(stream_request("m", 600, now), now);

    dispatcher.stop(now);
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
