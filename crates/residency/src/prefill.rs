//! The order in which an engine gets prompts to read.
//!
//! Load pattern: a clump of requests at many entries for a model that few engines hold. An engine
//! reads prompts between the tokens of the streams that run there, at most about 2,000 tokens in a
//! step, and an event takes three or four steps. Prompts that come together stretch the pauses of
//! all streams beyond what their callers accept. The side process sees the requests of all entries
//! for its engine and lets them in one after the other, those first whose goal comes first.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use catalog::TokenCount;
use roster::IncarnationStart;

/// Tokens of prompts that an engine may have to read at a time.
pub const PREFILL_LIMIT: TokenCount = TokenCount(2_100);
/// A prompt that was let in counts as read after this time if nobody told so; a datagram can be
/// lost, and an entry can be.
const READ_SPAN: Duration = Duration::from_millis(1_500);
/// A request that its entry does not ask for again in this time is forgotten.
const ASK_SPAN: Duration = Duration::from_millis(900);

/// A request of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptId {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
    /// Number of the request there.
    pub key: u64,
}

/// A request that wants to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptRequest {
    /// Request.
    pub id: PromptId,
    /// Model.
    pub model: ModelId,
    /// Adapter.
    pub adapter: Option<AdapterId>,
    /// Length of the prompt.
    pub tokens: TokenCount,
    /// When its first event is late.
    pub due: Instant,
}

/// Whether an engine can run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunReadiness {
    /// It can.
    Ready,
    /// Its adapter is on the way.
    AdapterPending,
    /// The model is not there, or is about to go.
    ModelMissing,
}

/// What a request is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptDecision {
    /// It may be sent to the engine.
    Admitted(PromptId),
    /// The engine does not hold its model.
    ModelMissing(PromptId),
}

#[derive(Debug)]
struct Waiting {
    ask: PromptRequest,
    asked: Instant,
}

#[derive(Debug)]
struct Reading {
    tokens: TokenCount,
    since: Instant,
}

/// The requests that wait for an engine, and those whose prompts it reads.
#[derive(Debug, Default)]
pub struct PrefillLimiter {
    waiting: BTreeMap<PromptId, Waiting>,
    reading: BTreeMap<PromptId, Reading>,
    started: Option<IncarnationStart>,
}

impl PrefillLimiter {
    /// Takes in a request; one that is asked for again keeps its place.
    pub fn enqueue(&mut self, ask: PromptRequest, now: Instant) {
        if let Some(reading) = self.reading.get_mut(&ask.id) {
            // The answer was lost.
            reading.since = now;
            return;
        }
        self.waiting.insert(ask.id, Waiting { ask, asked: now });
    }

    /// Whether the request was let in and its prompt is not read yet.
    pub fn is_prefilling(&self, id: &PromptId) -> bool {
        self.reading.contains_key(id)
    }

    /// Whether the request was not let in yet.
    pub fn is_waiting(&self, id: &PromptId) -> bool {
        self.waiting.contains_key(id)
    }

    /// The first event of a request has come, or it was given up.
    pub fn finish(&mut self, id: &PromptId) {
        self.waiting.remove(id);
        self.reading.remove(id);
    }

    /// Takes in when the engine's incarnation started. One that has started anew has no prompt to
    /// read; requests that wait go on waiting for it.
    pub fn update_incarnation(&mut self, started: IncarnationStart) {
        if self.started.is_some_and(|before| before != started) {
            self.reading.clear();
        }
        self.started = Some(started);
    }

    /// Tokens that the engine has to read, let in or not.
    pub fn queued_tokens(&self) -> TokenCount {
        let waiting: u64 = self.waiting.values().map(|waiting| waiting.ask.tokens.0).sum();
        TokenCount(waiting + self.being_read())
    }

    /// Whether a request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn being_read(&self) -> u64 {
        self.reading.values().map(|reading| reading.tokens.0).sum()
    }

    /// Lets in the requests whose turn it is.
    pub fn admit(
        &mut self,
        readiness: impl Fn(&ModelId, Option<&AdapterId>) -> RunReadiness,
        now: Instant,
    ) -> Vec<PromptDecision> {
        self.expire(now);
        let mut answers = Vec::new();
        let mut order: Vec<(bool, Instant, PromptId)> = self
            .waiting
            .values()
            .map(|waiting| (waiting.ask.due < now, waiting.ask.due, waiting.ask.id))
            .collect();
        order.sort_unstable();
        for (_, _, id) in order {
            let ask = &self.waiting[&id].ask;
            match readiness(&ask.model, ask.adapter.as_ref()) {
                RunReadiness::ModelMissing => {
                    self.waiting.remove(&id);
                    answers.push(PromptDecision::ModelMissing(id));
                }
                RunReadiness::AdapterPending => {}
                RunReadiness::Ready => {
                    let read = self.being_read();
                    if read > 0 && read + ask.tokens.0 > PREFILL_LIMIT.0 {
                        break;
                    }
                    let tokens = ask.tokens;
                    self.waiting.remove(&id);
                    self.reading.insert(id, Reading { tokens, since: now });
                    answers.push(PromptDecision::Admitted(id));
                }
            }
        }
        answers
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |since: Instant, span| now.saturating_duration_since(since) >= span;
        self.reading.retain(|_, reading| !is_old(reading.since, READ_SPAN));
        self.waiting.retain(|_, waiting| !is_old(waiting.asked, ASK_SPAN));
    }
}
