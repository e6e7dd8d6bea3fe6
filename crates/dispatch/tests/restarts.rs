//! Engines that have restarted while the store still lists their previous models.
//!
//! Many engines restart at the same moment without models, and the store lists the previous models
//! for some seconds more. Each request that an engine refuses meanwhile consumes retry budget.

mod common;

use base::prelude::*;
use common::{ENGINES, dispatcher, instance, model, server, stream_request};
use dispatch::{AttemptFailure, CallDispatcher, DispatchDecision, EngineUpdate, WaitReason};
use roster::ResidentModel;

fn record_misdirected_request(dispatcher: &mut CallDispatcher, now: Instant) {
    let (key, decision) = dispatcher.submit(stream_request("m", 1_460, now), now);
    assert!(matches!(decision, DispatchDecision::Send(_)), "{decision:?}");
    dispatcher.mark_sent(key, now);
    dispatcher.record_failure(key, AttemptFailure::Misdirected, now);
}

fn listed_dispatcher(now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.upsert_server(&server("i-1", ENGINES, &["m", "n"]), now);
    dispatcher
}

#[test]
fn miss_removes_all_models_of_engine_known_only_from_store() {
    let now = Instant::now();
    let mut dispatcher = listed_dispatcher(now);
    record_misdirected_request(&mut dispatcher, now);

    let (_, decision) = dispatcher.submit(stream_request("n", 1_460, now), now);

    assert!(
        matches!(decision, DispatchDecision::Wait(WaitReason::ModelMissing, _)),
        "{decision:?}"
    );
}

#[test]
fn miss_keeps_other_models_of_engine_with_side_process() {
    let now = Instant::now();
    let mut dispatcher = listed_dispatcher(now);
    let resident =
        |name| ResidentModel { model: model(name), weights_version: 1, adapters: Vec::new() };
    let residents = vec![resident("m"), resident("n")];
    let update = EngineUpdate { residents, is_reachable: true, ..EngineUpdate::default() };
    dispatcher.apply_engine_update(&instance("i-1"), &update, now);
    record_misdirected_request(&mut dispatcher, now);

    let (_, decision) = dispatcher.submit(stream_request("n", 1_460, now), now);

    assert!(matches!(decision, DispatchDecision::Send(_)), "{decision:?}");
}

#[test]
fn refusal_for_missing_model_has_long_retry_after() {
    let now = Instant::now();
    let mut dispatcher = listed_dispatcher(now);
    dispatcher.upsert_server(&server("i-2", ENGINES, &["m"]), now);
    dispatcher.set_retry_limits(dispatch::RetryLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: Duration::from_secs(10),
    });
    let (key, _) = dispatcher.submit(stream_request("m", 1_460, now), now);
    dispatcher.mark_sent(key, now);

    let decision = dispatcher.record_failure(key, AttemptFailure::Misdirected, now);

    let DispatchDecision::Refuse(refusal) = decision else {
        panic!("expected a refusal without retry budget, got {decision:?}")
    };
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)), "{refusal:?}");
}
