//! How long requests wait for the permit of an engine.
//!
//! At peak load an engine has more prompts queued for prefill than it can process while callers
//! wait. A refusal has to be sent before its caller gives up.

mod common;

use base::prelude::*;
use catalog::TokenCount;
use common::{ENGINES, dispatcher, instance, server, stream_request};
use dispatch::{Assignment, CallDispatcher, DispatchDecision, EngineUpdate};
use roster::ResidentModel;

fn assignment(decision: DispatchDecision) -> Assignment {
    match decision {
        DispatchDecision::Send(assignment) => assignment,
        other => panic!("expected an assignment to the engine, got {other:?}"),
    }
}

/// A dispatcher with one engine whose side process reports a long prefill queue.
fn busy_dispatcher(now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    let engine = server("i-1", ENGINES, &["m"]);
    dispatcher.upsert_server(&engine, now);
    let resident =
        ResidentModel { model: common::model("m"), weights_version: 1, adapters: Vec::new() };
    let update = EngineUpdate {
        residents: vec![resident],
        queued_prefill: TokenCount(20_000),
        is_reachable: true,
        ..EngineUpdate::default()
    };
    dispatcher.apply_engine_update(&instance("i-1"), &update, now);
    dispatcher
}

#[test]
fn refusal_precedes_caller_timeout() {
    let start = Instant::now();
    let mut dispatcher = busy_dispatcher(start);
    let request = stream_request("m", 1_460, start);
    let first_byte_deadline = request.first_byte_deadline;

    let (key, decision) = dispatcher.submit(request, start);
    let mut permit_deadline = assignment(decision).permit_deadline;
    let refusal = loop {
        assert!(
            permit_deadline <= first_byte_deadline,
            "the permit deadline is after the caller timeout"
        );
        match dispatcher.handle_permit_refusal(key, false, permit_deadline) {
            DispatchDecision::Send(next) => permit_deadline = next.permit_deadline,
            DispatchDecision::Refuse(refusal) => break refusal,
            DispatchDecision::Wait(..) => panic!("waits although an engine holds the model"),
        }
    };

    assert_eq!(permit_deadline, first_byte_deadline);
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after.is_some(), "the refusal has no retry-after");
}
