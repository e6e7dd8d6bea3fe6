//! Engines that started anew while the store still lists what they were.
//!
//! Load pattern: many engines start anew at the same moment, empty, and the store lists them as they
//! were for some seconds more. Requests for all their models arrive meanwhile, and each one that an
//! engine turns away takes a part of the budget of repeats.

mod common;

use base::prelude::*;
use common::{ENGINES, desk, instance, model, server, stream_ask};
use dispatch::{AttemptFailure, CallDispatcher, DispatchDecision, EngineUpdate, WaitReason};
use roster::ResidentModel;

fn misdirect(desk: &mut CallDispatcher, now: Instant) {
    let (key, verdict) = desk.submit(stream_ask("m", 1_460, now), now);
    assert!(matches!(verdict, DispatchDecision::Send(_)), "{verdict:?}");
    desk.mark_sent(key, now);
    desk.record_failure(key, AttemptFailure::Misdirected, now);
}

fn listed_desk(now: Instant) -> CallDispatcher {
    let mut desk = desk();
    desk.upsert_server(&server("i-1", ENGINES, &["m", "n"]), now);
    desk
}

#[test]
fn an_engine_known_only_from_the_store_that_misses_one_model_has_none() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    misdirect(&mut desk, now);

    let (_, verdict) = desk.submit(stream_ask("n", 1_460, now), now);

    assert!(matches!(verdict, DispatchDecision::Wait(WaitReason::ModelMissing, _)), "{verdict:?}");
}

#[test]
fn an_engine_whose_side_process_is_heard_keeps_its_other_models() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    let resident =
        |name| ResidentModel { model: model(name), weights_version: 1, adapters: Vec::new() };
    let residents = vec![resident("m"), resident("n")];
    let news = EngineUpdate { residents, is_reachable: true, ..EngineUpdate::default() };
    desk.apply_engine_update(&instance("i-1"), &news, now);
    misdirect(&mut desk, now);

    let (_, verdict) = desk.submit(stream_ask("n", 1_460, now), now);

    assert!(matches!(verdict, DispatchDecision::Send(_)), "{verdict:?}");
}

#[test]
fn a_request_that_cannot_be_repeated_is_told_to_come_back_after_a_load() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    desk.upsert_server(&server("i-2", ENGINES, &["m"]), now);
    desk.set_retry_limits(dispatch::RetryLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: Duration::from_secs(10),
    });
    let (key, _) = desk.submit(stream_ask("m", 1_460, now), now);
    desk.mark_sent(key, now);

    let verdict = desk.record_failure(key, AttemptFailure::Misdirected, now);

    let DispatchDecision::Refuse(refusal) = verdict else {
        panic!("there is no budget: {verdict:?}")
    };
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)), "{refusal:?}");
}
