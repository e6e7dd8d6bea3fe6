//! How long requests wait to be let in to an engine.
//!
//! Load pattern: a crest at a busy model. Its engine has more prompts to read than callers wait
//! for, and a refusal that leaves after its caller did helps nobody.

mod common;

use base::prelude::*;
use catalog::TokenCount;
use common::{ENGINES, desk, instance, server, stream_ask};
use dispatch::{Assignment, Desk, EngineNews, Verdict};
use roster::ResidentModel;

fn assignment(verdict: Verdict) -> Assignment {
    match verdict {
        Verdict::Send(assignment) => assignment,
        other => panic!("an engine holds the model, yet: {other:?}"),
    }
}

/// A desk with one engine whose side process reports a long queue of prompts.
fn crowded_desk(now: Instant) -> Desk {
    let mut desk = desk();
    let engine = server("i-1", ENGINES, &["m"]);
    desk.list(&engine, now);
    let resident =
        ResidentModel { model: common::model("m"), weights_version: 1, adapters: Vec::new() };
    let news = EngineNews {
        residents: vec![resident],
        unread: TokenCount(20_000),
        is_reachable: true,
        ..EngineNews::default()
    };
    desk.hear(&instance("i-1"), &news, now);
    desk
}

#[test]
fn a_request_is_refused_as_not_run_while_its_caller_still_waits() {
    let start = Instant::now();
    let mut desk = crowded_desk(start);
    let ask = stream_ask("m", 1_460, start);
    let first_by = ask.first_by;

    let (key, verdict) = desk.offer(ask, start);
    let mut waits = assignment(verdict).let_in_by;
    let refusal = loop {
        assert!(waits <= first_by, "it waits for an engine after its caller has left");
        match desk.withdraw(key, false, waits) {
            Verdict::Send(next) => waits = next.let_in_by,
            Verdict::Refuse(refusal) => break refusal,
            Verdict::Wait(..) => panic!("an engine holds the model"),
        }
    };

    assert_eq!(waits, first_by);
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after.is_some(), "the caller is told when to come back");
}
