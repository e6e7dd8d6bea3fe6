//! A planned stop of the entry while requests wait.
//!
//! Load pattern: models are missing when the entry is told to stop; a request that waits when the
//! process ends would lose its connection without an answer.

mod common;

use base::prelude::*;
use common::{desk, stream_ask};
use dispatch::{DispatchAction, DispatchDecision, WaitReason};

#[test]
fn requests_that_wait_are_refused_as_not_run_and_may_come_back_at_once() {
    let now = Instant::now();
    let mut desk = desk();
    let (key, waits) = desk.submit(stream_ask("m", 600, now), now);

    desk.stop(now);
    let actions = desk.take_actions();
    let (_, later) = desk.submit(stream_ask("m", 600, now), now);

    assert!(matches!(waits, DispatchDecision::Wait(WaitReason::ModelMissing, _)));
    let [DispatchAction::Decide(decided, DispatchDecision::Refuse(refusal))] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*decided, key);
    assert_eq!(refusal.code, ResultCode::ProcessStopping);
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));
    assert!(matches!(later, DispatchDecision::Refuse(_)));
}
