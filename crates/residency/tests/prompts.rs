//! Prompts of many entries at one engine.

mod common;

use std::net::SocketAddr;

use base::prelude::*;
use catalog::TokenCount;
use common::{adapter, model};
use residency::prefill::{PrefillLimiter, PromptDecision, PromptId, PromptRequest, RunReadiness};
use roster::IncarnationStart;

fn id(entry: u16, key: u64) -> PromptId {
    let entry = SocketAddr::from(([10, 0, 0, 1], entry));
    PromptId { entry, incarnation: ProcessIncarnation(1), key }
}

fn ask(id: PromptId, tokens: u64, due: Instant) -> PromptRequest {
    PromptRequest { id, model: model("m"), adapter: None, tokens: TokenCount(tokens), due }
}

fn ready(_: &ModelId, _: Option<&AdapterId>) -> RunReadiness {
    RunReadiness::Ready
}

fn let_in(answers: &[PromptDecision]) -> Vec<PromptId> {
    answers
        .iter()
        .filter_map(|answer| match answer {
            PromptDecision::Admitted(id) => Some(*id),
            PromptDecision::ModelMissing(_) => None,
        })
        .collect()
}

/// Most tokens that the engine has to read at once while a clump of `entries` is let in.
fn most_unread(entries: u16, now: Instant) -> u64 {
    let mut gate = PrefillLimiter::default();
    for entry in 1..=entries {
        gate.enqueue(ask(id(entry, 1), 1_460, now + Duration::from_millis(500)), now);
    }
    let mut reading: Vec<PromptId> = Vec::new();
    let mut most = 0;
    let mut served = 0;
    while served < entries {
        reading.extend(let_in(&gate.admit(ready, now)));
        most = most.max(reading.len() as u64 * 1_460);
        gate.finish(&reading.remove(0));
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
    let mut gate = PrefillLimiter::default();
    for key in 1..=6 {
        gate.enqueue(ask(id(1, key), 491, now + Duration::from_secs(1)), now);
    }

    assert_eq!(let_in(&gate.admit(ready, now)).len(), 4);
}

#[test]
fn the_prompt_whose_goal_comes_first_goes_first_and_late_ones_last() {
    let now = Instant::now();
    let mut gate = PrefillLimiter::default();
    gate.enqueue(ask(id(1, 1), 2_000, now - Duration::from_millis(10)), now);
    gate.enqueue(ask(id(1, 2), 2_000, now + Duration::from_millis(4_000)), now);
    gate.enqueue(ask(id(1, 3), 2_000, now + Duration::from_millis(500)), now);

    let mut order = Vec::new();
    for _ in 0..3 {
        let next = let_in(&gate.admit(ready, now));
        order.push(next[0].key);
        gate.finish(&next[0]);
    }

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_request_whose_adapter_is_on_the_way_does_not_hold_up_others() {
    let now = Instant::now();
    let mut gate = PrefillLimiter::default();
    let mut first = ask(id(1, 1), 1_000, now + Duration::from_millis(100));
    first.adapter = Some(adapter("a1"));
    gate.enqueue(first, now);
    gate.enqueue(ask(id(1, 2), 1_000, now + Duration::from_millis(500)), now);
    let coming = |_: &ModelId, adapter: Option<&AdapterId>| match adapter {
        Some(_) => RunReadiness::AdapterPending,
        None => RunReadiness::Ready,
    };

    assert_eq!(let_in(&gate.admit(coming, now)), [id(1, 2)]);
}

#[test]
fn a_request_for_a_model_that_is_not_there_is_told_at_once() {
    let now = Instant::now();
    let mut gate = PrefillLimiter::default();
    gate.enqueue(ask(id(1, 1), 1_000, now + Duration::from_millis(100)), now);

    let answers = gate.admit(|_, _| RunReadiness::ModelMissing, now);

    assert_eq!(answers, [PromptDecision::ModelMissing(id(1, 1))]);
    assert!(!gate.has_waiting());
}

#[test]
fn lost_entries_hold_up_nobody_for_long() {
    let now = Instant::now();
    let mut gate = PrefillLimiter::default();
    gate.enqueue(ask(id(1, 1), 2_000, now + Duration::from_millis(100)), now);
    gate.admit(ready, now);
    let later = now + Duration::from_secs(2);
    gate.enqueue(ask(id(2, 1), 2_000, later + Duration::from_millis(100)), later);

    assert_eq!(let_in(&gate.admit(ready, later)), [id(2, 1)]);
}

#[test]
fn a_repeated_request_keeps_its_place_and_gets_its_answer_again() {
    let now = Instant::now();
    let mut gate = PrefillLimiter::default();
    let first = ask(id(1, 1), 2_000, now + Duration::from_millis(100));
    gate.enqueue(first.clone(), now);
    gate.admit(ready, now);

    gate.enqueue(first, now);

    assert!(gate.is_prefilling(&id(1, 1)));
    assert!(gate.admit(ready, now).is_empty());
}

/// Load pattern: an engine is killed while it reads prompts, and is back within a second. Callers
/// who wait for it would wait for the prompts of requests that are gone.
#[test]
fn prompts_of_an_engine_that_started_anew_do_not_hold_up_those_that_wait() {
    let now = Instant::now();
    let due = now + Duration::from_millis(500);
    let mut gate = PrefillLimiter::default();
    gate.update_incarnation(IncarnationStart(1));
    gate.enqueue(ask(id(1, 1), 1_900, due), now);
    gate.enqueue(ask(id(2, 1), 1_900, due), now);
    gate.admit(ready, now);

    gate.update_incarnation(IncarnationStart(1));
    let same = let_in(&gate.admit(ready, now));
    gate.update_incarnation(IncarnationStart(2));
    let anew = let_in(&gate.admit(ready, now));

    assert!(same.is_empty(), "{same:?}");
    assert_eq!(anew, [id(2, 1)]);
}
