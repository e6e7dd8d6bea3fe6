//! Prompts of many entries at one engine.

mod common;

use std::net::SocketAddr;

use base::prelude::*;
use catalog::TokenCount;
use common::{adapter, model};
use residency::prompts::{PromptAnswer, PromptAsk, PromptGate, PromptId, RunReadiness};
use roster::IncarnationStart;

fn id(entry: u16, key: u64) -> PromptId {
    let entry = SocketAddr::from(([10, 0, 0, 1], entry));
    PromptId { entry, incarnation: ProcessIncarnation(1), key }
}

fn ask(id: PromptId, tokens: u64, due: Instant) -> PromptAsk {
    PromptAsk { id, model: model("m"), adapter: None, tokens: TokenCount(tokens), due }
}

fn ready(_: &ModelId, _: Option<&AdapterId>) -> RunReadiness {
    RunReadiness::Ready
}

fn let_in(answers: &[PromptAnswer]) -> Vec<PromptId> {
    answers
        .iter()
        .filter_map(|answer| match answer {
            PromptAnswer::LetIn(id) => Some(*id),
            PromptAnswer::Missing(_) => None,
        })
        .collect()
}

/// Most tokens that the engine has to read at once while a clump of `entries` is let in.
fn most_unread(entries: u16, now: Instant) -> u64 {
    let mut gate = PromptGate::default();
    for entry in 1..=entries {
        gate.ask(ask(id(entry, 1), 1_460, now + Duration::from_millis(500)), now);
    }
    let mut reading: Vec<PromptId> = Vec::new();
    let mut most = 0;
    let mut served = 0;
    while served < entries {
        reading.extend(let_in(&gate.step(ready, now)));
        most = most.max(reading.len() as u64 * 1_460);
        gate.end(&reading.remove(0));
        served += 1;
    }
    most
}

#[test]
fn a_clump_of_thirty_entries_is_read_one_prompt_after_the_other() {
    assert_eq!(most_unread(30, Instant::now()), 1_460);
}

#[test]
fn short_prompts_are_read_together() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    for key in 1..=6 {
        gate.ask(ask(id(1, key), 491, now + Duration::from_secs(1)), now);
    }

    assert_eq!(let_in(&gate.step(ready, now)).len(), 4);
}

#[test]
fn the_prompt_whose_goal_comes_first_goes_first_and_late_ones_last() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    gate.ask(ask(id(1, 1), 2_000, now - Duration::from_millis(10)), now);
    gate.ask(ask(id(1, 2), 2_000, now + Duration::from_millis(4_000)), now);
    gate.ask(ask(id(1, 3), 2_000, now + Duration::from_millis(500)), now);

    let mut order = Vec::new();
    for _ in 0..3 {
        let next = let_in(&gate.step(ready, now));
        order.push(next[0].key);
        gate.end(&next[0]);
    }

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_request_whose_adapter_is_on_the_way_does_not_hold_up_others() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    let mut first = ask(id(1, 1), 1_000, now + Duration::from_millis(100));
    first.adapter = Some(adapter("a1"));
    gate.ask(first, now);
    gate.ask(ask(id(1, 2), 1_000, now + Duration::from_millis(500)), now);
    let coming = |_: &ModelId, adapter: Option<&AdapterId>| match adapter {
        Some(_) => RunReadiness::Coming,
        None => RunReadiness::Ready,
    };

    assert_eq!(let_in(&gate.step(coming, now)), [id(1, 2)]);
}

#[test]
fn a_request_for_a_model_that_is_not_there_is_told_at_once() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    gate.ask(ask(id(1, 1), 1_000, now + Duration::from_millis(100)), now);

    let answers = gate.step(|_, _| RunReadiness::Missing, now);

    assert_eq!(answers, [PromptAnswer::Missing(id(1, 1))]);
    assert!(!gate.has_waiting());
}

#[test]
fn lost_entries_hold_up_nobody_for_long() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    gate.ask(ask(id(1, 1), 2_000, now + Duration::from_millis(100)), now);
    gate.step(ready, now);
    let later = now + Duration::from_secs(2);
    gate.ask(ask(id(2, 1), 2_000, later + Duration::from_millis(100)), later);

    assert_eq!(let_in(&gate.step(ready, later)), [id(2, 1)]);
}

#[test]
fn a_repeated_request_keeps_its_place_and_gets_its_answer_again() {
    let now = Instant::now();
    let mut gate = PromptGate::default();
    let first = ask(id(1, 1), 2_000, now + Duration::from_millis(100));
    gate.ask(first.clone(), now);
    gate.step(ready, now);

    gate.ask(first, now);

    assert!(gate.is_reading(&id(1, 1)));
    assert!(gate.step(ready, now).is_empty());
}

/// Load pattern: an engine is killed while it reads prompts, and is back within a second. Callers
/// who wait for it would wait for the prompts of requests that are gone.
#[test]
fn prompts_of_an_engine_that_started_anew_do_not_hold_up_those_that_wait() {
    let now = Instant::now();
    let due = now + Duration::from_millis(500);
    let mut gate = PromptGate::default();
    gate.hear_engine(IncarnationStart(1));
    gate.ask(ask(id(1, 1), 1_900, due), now);
    gate.ask(ask(id(2, 1), 1_900, due), now);
    gate.step(ready, now);

    gate.hear_engine(IncarnationStart(1));
    let same = let_in(&gate.step(ready, now));
    gate.hear_engine(IncarnationStart(2));
    let anew = let_in(&gate.step(ready, now));

    assert!(same.is_empty(), "{same:?}");
    assert_eq!(anew, [id(2, 1)]);
}
