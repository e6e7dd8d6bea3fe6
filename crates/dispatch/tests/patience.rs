//! How long requests wait to be let in to an engine.
//!
//! Load pattern: a crest at a busy model. Its engine has more prompts to read than callers wait
//! for, and a refusal that leaves after its caller did helps nobody.

mod common;

use base::prelude::*;
use catalog::TokenCount;
use common::{ENGINES, desk, instance, server, stream_ask};
use dispatch::{Assignment, CallDispatcher, DispatchDecision, EngineUpdate};
use roster::ResidentModel;

fn assignment(verdict: DispatchDecision) -> Assignment {
    match verdict {
        DispatchDecision::Send(assignment) => assignment,
        other => panic!("an engine holds the model, yet: {other:?}"),
    }
}

/// A desk with one engine whose side process reports a long queue of prompts.
fn crowded_desk(now: Instant) -> CallDispatcher {
    let mut desk = desk();
    let engine = server("i-1", ENGINES, &["m"]);
    desk.upsert_server(&engine, now);
    let resident =
        ResidentModel { model: common::model("m"), weights_version: 1, adapters: Vec::new() };
    let news = EngineUpdate {
        residents: vec![resident],
        queued_prefill: TokenCount(20_000),
        is_reachable: true,
        ..EngineUpdate::default()
    };
    desk.apply_engine_update(&instance("i-1"), &news, now);
    desk
}

#[test]
fn a_request_is_refused_as_not_run_while_its_caller_still_waits() {
    let start = Instant::now();
    let mut desk = crowded_desk(start);
    let ask = stream_ask("m", 1_460, start);
    let first_by = ask.first_byte_deadline;

    let (key, verdict) = desk.submit(ask, start);
    let mut waits = assignment(verdict).permit_deadline;
    let refusal = loop {
        assert!(waits <= first_by, "it waits for an engine after its caller has left");
        match desk.handle_permit_refusal(key, false, waits) {
            DispatchDecision::Send(next) => waits = next.permit_deadline,
            DispatchDecision::Refuse(refusal) => break refusal,
            DispatchDecision::Wait(..) => panic!("an engine holds the model"),
        }
    };

    assert_eq!(waits, first_by);
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after.is_some(), "the caller is told when to come back");
}
