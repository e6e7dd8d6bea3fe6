//! Engines that started anew while the store still lists what they were.
//!
//! Load pattern: many engines start anew at the same moment, empty, and the store lists them as they
//! were for some seconds more. Requests for all their models arrive meanwhile, and each one that an
//! engine turns away takes a part of the budget of repeats.

mod common;

use base::prelude::*;
use common::{ENGINES, desk, instance, model, server, stream_ask};
use dispatch::{AttemptFailure, Desk, EngineNews, Verdict, WaitReason};
use roster::ResidentModel;

fn misdirect(desk: &mut Desk, now: Instant) {
    let (key, verdict) = desk.offer(stream_ask("m", 1_460, now), now);
    assert!(matches!(verdict, Verdict::Send(_)), "{verdict:?}");
    desk.send(key, now);
    desk.fail(key, AttemptFailure::Misdirected, now);
}

fn listed_desk(now: Instant) -> Desk {
    let mut desk = desk();
    desk.list(&server("i-1", ENGINES, &["m", "n"]), now);
    desk
}

#[test]
fn an_engine_known_only_from_the_store_that_misses_one_model_has_none() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    misdirect(&mut desk, now);

    let (_, verdict) = desk.offer(stream_ask("n", 1_460, now), now);

    assert!(matches!(verdict, Verdict::Wait(WaitReason::ModelMissing, _)), "{verdict:?}");
}

#[test]
fn an_engine_whose_side_process_is_heard_keeps_its_other_models() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    let resident =
        |name| ResidentModel { model: model(name), weights_version: 1, adapters: Vec::new() };
    let residents = vec![resident("m"), resident("n")];
    let news = EngineNews { residents, is_reachable: true, ..EngineNews::default() };
    desk.hear(&instance("i-1"), &news, now);
    misdirect(&mut desk, now);

    let (_, verdict) = desk.offer(stream_ask("n", 1_460, now), now);

    assert!(matches!(verdict, Verdict::Send(_)), "{verdict:?}");
}

#[test]
fn a_request_that_cannot_be_repeated_is_told_to_come_back_after_a_load() {
    let now = Instant::now();
    let mut desk = listed_desk(now);
    desk.list(&server("i-2", ENGINES, &["m"]), now);
    desk.set_repeats(dispatch::RepeatLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: Duration::from_secs(10),
    });
    let (key, _) = desk.offer(stream_ask("m", 1_460, now), now);
    desk.send(key, now);

    let verdict = desk.fail(key, AttemptFailure::Misdirected, now);

    let Verdict::Refuse(refusal) = verdict else { panic!("there is no budget: {verdict:?}") };
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)), "{refusal:?}");
}
