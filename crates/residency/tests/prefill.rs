//! Admission of prompts of many entries to the prefill of one engine.

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

fn request(id: PromptId, tokens: u64, due: Instant) -> PromptRequest {
    PromptRequest { id, model: model("m"), adapter: None, tokens: TokenCount(tokens), due }
}

fn ready(_: &ModelId, _: Option<&AdapterId>) -> RunReadiness {
    RunReadiness::Ready
}

fn admitted(decisions: &[PromptDecision]) -> Vec<PromptId> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            PromptDecision::Admitted(id) => Some(*id),
            PromptDecision::ModelMissing(_) => None,
        })
        .collect()
}

/// Peak of the prompt tokens in prefill while requests of `entries` entries arrive at once.
fn peak_prefill_tokens(entries: u16, now: Instant) -> u64 {
    let mut limiter = PrefillLimiter::default();
    for entry in 1..=entries {
        limiter.enqueue(request(id(entry, 1), 1_460, now + Duration::from_millis(500)), now);
    }
    let mut active: Vec<PromptId> = Vec::new();
    let mut peak = 0;
    let mut served = 0;
    while served < entries {
        active.extend(admitted(&limiter.admit(ready, now)));
        peak = peak.max(active.len() as u64 * 1_460);
        limiter.finish(&active.remove(0));
        served += 1;
    }
    peak
}

#[test]
fn burst_is_admitted_one_prompt_at_a_time() {
    assert_eq!(peak_prefill_tokens(30, Instant::now()), 1_460);
}

#[test]
fn short_prompts_are_admitted_together() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    for key in 1..=6 {
        limiter.enqueue(request(id(1, key), 491, now + Duration::from_secs(1)), now);
    }

    assert_eq!(admitted(&limiter.admit(ready, now)).len(), 4);
}

#[test]
fn earliest_goal_is_admitted_first_and_late_ones_last() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    limiter.enqueue(request(id(1, 1), 2_000, now - Duration::from_millis(10)), now);
    limiter.enqueue(request(id(1, 2), 2_000, now + Duration::from_millis(4_000)), now);
    limiter.enqueue(request(id(1, 3), 2_000, now + Duration::from_millis(500)), now);

    let mut order = Vec::new();
    for _ in 0..3 {
        let next = admitted(&limiter.admit(ready, now));
        order.push(next[0].key);
        limiter.finish(&next[0]);
    }

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn pending_adapter_does_not_block_other_requests() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    let mut first = request(id(1, 1), 1_000, now + Duration::from_millis(100));
    first.adapter = Some(adapter("a1"));
    limiter.enqueue(first, now);
    limiter.enqueue(request(id(1, 2), 1_000, now + Duration::from_millis(500)), now);
    let readiness = |_: &ModelId, adapter: Option<&AdapterId>| match adapter {
        Some(_) => RunReadiness::AdapterPending,
        None => RunReadiness::Ready,
    };

    assert_eq!(admitted(&limiter.admit(readiness, now)), [id(1, 2)]);
}

#[test]
fn missing_model_is_reported_at_once() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    limiter.enqueue(request(id(1, 1), 1_000, now + Duration::from_millis(100)), now);

    let decisions = limiter.admit(|_, _| RunReadiness::ModelMissing, now);

    assert_eq!(decisions, [PromptDecision::ModelMissing(id(1, 1))]);
    assert!(!limiter.has_waiting());
}

#[test]
fn prompts_of_lost_entries_expire() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    limiter.enqueue(request(id(1, 1), 2_000, now + Duration::from_millis(100)), now);
    limiter.admit(ready, now);
    let later = now + Duration::from_secs(2);
    limiter.enqueue(request(id(2, 1), 2_000, later + Duration::from_millis(100)), later);

    assert_eq!(admitted(&limiter.admit(ready, later)), [id(2, 1)]);
}

#[test]
fn duplicate_request_stays_admitted() {
    let now = Instant::now();
    let mut limiter = PrefillLimiter::default();
    let first = request(id(1, 1), 2_000, now + Duration::from_millis(100));
    limiter.enqueue(first.clone(), now);
    limiter.admit(ready, now);

    limiter.enqueue(first, now);

    assert!(limiter.is_prefilling(&id(1, 1)));
    assert!(limiter.admit(ready, now).is_empty());
}

/// An engine that is killed during prefill is back within a second. Waiting requests must not wait
/// for prompts that the previous incarnation had in prefill.
#[test]
fn engine_restart_discards_active_prefill() {
    let now = Instant::now();
    let due = now + Duration::from_millis(500);
    let mut limiter = PrefillLimiter::default();
    limiter.update_incarnation(IncarnationStart(1));
    limiter.enqueue(request(id(1, 1), 1_900, due), now);
    limiter.enqueue(request(id(2, 1), 1_900, due), now);
    limiter.admit(ready, now);

    limiter.update_incarnation(IncarnationStart(1));
    let same = admitted(&limiter.admit(ready, now));
    limiter.update_incarnation(IncarnationStart(2));
    let restarted = admitted(&limiter.admit(ready, now));

    assert!(same.is_empty(), "{same:?}");
    assert_eq!(restarted, [id(2, 1)]);
}
