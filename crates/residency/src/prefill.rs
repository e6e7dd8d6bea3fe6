//! Limits the prompt tokens that an engine has in prefill at a time, and orders waiting requests by
//! their latency goal.
//!
//! An engine interleaves prefill with the decoding of running streams, at most about 2,000 prompt
//! tokens in a step, and an event of a stream takes three or four steps. When many entries send
//! requests for a model that few engines hold, prompts that arrive together stretch the gaps
//! between the events of all streams beyond what their callers accept. The side process sees the
//! requests of all entries for its engine and admits them one after the other, earliest goal first.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use catalog::TokenCount;
use roster::IncarnationStart;

/// Prompt tokens that an engine may have in prefill at a time.
pub const PREFILL_LIMIT: TokenCount = TokenCount(2_100);
/// Prefill of an admitted prompt counts as done after this time without a report, because the
/// datagram that reports it may be lost, or the entry may have failed.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A waiting request is dropped if its entry does not send it again within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Identifies a request across all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptId {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Incarnation of the entry's process.
    pub incarnation: ProcessIncarnation,
    /// Number of the request in that incarnation.
    pub key: u64,
}

/// A request to be admitted to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptRequest {
    /// Identity of the request; stays the same when the entry sends it again.
    pub id: PromptId,
    /// Model that the prompt is for.
    pub model: ModelId,
    /// Adapter of the model; `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// Length of the prompt, in tokens.
    pub tokens: TokenCount,
    /// Latency goal: the first event is late after this time.
    pub due: Instant,
}

/// Whether an engine can run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunReadiness {
    /// The model and the adapter are loaded.
    Ready,
    /// The model is loaded, the adapter is not yet.
    AdapterPending,
    /// The model is not loaded, or is being unloaded.
    ModelMissing,
}

/// Decision on a waiting request, to be sent to its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptDecision {
    /// The request may be sent to the engine.
    Admitted(PromptId),
    /// The engine does not hold its model.
    ModelMissing(PromptId),
}

#[derive(Debug)]
struct WaitingPrompt {
    request: PromptRequest,
    requested_at: Instant,
}

#[derive(Debug)]
struct ActivePrefill {
    tokens: TokenCount,
    since: Instant,
}

/// Requests that wait for one engine, and admitted ones whose prefill is not done.
#[derive(Debug, Default)]
pub struct PrefillLimiter {
    waiting: BTreeMap<PromptId, WaitingPrompt>,
    active: BTreeMap<PromptId, ActivePrefill>,
    started: Option<IncarnationStart>,
}

impl PrefillLimiter {
    /// Adds a waiting request, or renews its timeout if its entry sends it again.
    pub fn enqueue(&mut self, request: PromptRequest, now: Instant) {
        if let Some(prefill) = self.active.get_mut(&request.id) {
            // The entry sends an admitted request again because the decision was lost.
            prefill.since = now;
            return;
        }
        self.waiting.insert(request.id, WaitingPrompt { request, requested_at: now });
    }

    /// Whether the request was admitted and its prefill is not done.
    pub fn is_prefilling(&self, id: &PromptId) -> bool {
        self.active.contains_key(id)
    }

    /// Whether the request waits to be admitted.
    pub fn is_waiting(&self, id: &PromptId) -> bool {
        self.waiting.contains_key(id)
    }

    /// Removes a request whose first event has arrived, or that was cancelled.
    pub fn finish(&mut self, id: &PromptId) {
        self.waiting.remove(id);
        self.active.remove(id);
    }

    /// Sets the start of the engine's incarnation. A restarted engine has no prompts in prefill;
    /// waiting requests stay.
    pub fn update_incarnation(&mut self, started: IncarnationStart) {
        if self.started.is_some_and(|before| before != started) {
            self.active.clear();
        }
        self.started = Some(started);
    }

    /// Prompt tokens of all requests, admitted or waiting, whose prefill is not done.
    pub fn queued_tokens(&self) -> TokenCount {
        let waiting: TokenCount = self.waiting.values().map(|waiting| waiting.request.tokens).sum();
        waiting.plus(self.active_tokens())
    }

    /// Whether any request waits to be admitted.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn active_tokens(&self) -> TokenCount {
        self.active.values().map(|prefill| prefill.tokens).sum()
    }

    /// Admits waiting requests up to the prefill limit, earliest goal first and late ones last, and
    /// removes those whose model is missing. A prompt above the limit is admitted alone.
    pub fn admit(
        &mut self,
        readiness: impl Fn(&ModelId, Option<&AdapterId>) -> RunReadiness,
        now: Instant,
    ) -> Vec<PromptDecision> {
        self.expire(now);
        let mut decisions = Vec::new();
        let mut order: Vec<(bool, Instant, PromptId)> = self
            .waiting
            .values()
            .map(|waiting| (waiting.request.due < now, waiting.request.due, waiting.request.id))
            .collect();
        order.sort_unstable();
        for (_, _, id) in order {
            let request = &self.waiting[&id].request;
            match readiness(&request.model, request.adapter.as_ref()) {
                RunReadiness::ModelMissing => {
                    self.waiting.remove(&id);
                    decisions.push(PromptDecision::ModelMissing(id));
                }
                RunReadiness::AdapterPending => {}
                RunReadiness::Ready => {
                    let active = self.active_tokens();
                    if active > TokenCount(0) && active.plus(request.tokens) > PREFILL_LIMIT {
                        break;
                    }
                    let tokens = request.tokens;
                    self.waiting.remove(&id);
                    self.active.insert(id, ActivePrefill { tokens, since: now });
                    decisions.push(PromptDecision::Admitted(id));
                }
            }
        }
        decisions
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |since: Instant, max_age| now.saturating_duration_since(since) >= max_age;
        self.active.retain(|_, prefill| !is_old(prefill.since, PREFILL_TIMEOUT));
        self.waiting.retain(|_, waiting| !is_old(waiting.requested_at, REQUEST_TIMEOUT));
    }
}
