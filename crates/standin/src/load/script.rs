//! Request scripts for the load generator.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatCall {
    /// Requested model or adapter.
    pub model: String,
    /// Prompt; model, prompt and number of tokens determine the right answer.
    pub prompt: String,
    /// Requested number of tokens.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub is_stream: bool,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Name of the called service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path within the service, with a leading slash.
    pub path: String,
    /// Value of the `Idempotency-Key` header, if it is sent.
    pub key: Option<String>,
    /// Request body.
    pub body: String,
}

/// Kind and content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion.
    Chat(ChatCall),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// One request of a script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptedCall {
    /// Send time, relative to the start of the run.
    pub at: Duration,
    /// Customer key, sent as the bearer token.
    pub customer_key: String,
    /// The request itself.
    pub kind: CallKind,
}

/// A list of requests to send at given times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallScript {
    /// Requests; their order determines to which entry process each is sent.
    pub calls: Vec<ScriptedCall>,
}

impl CallScript {
    /// Adds `count` chat completions with distinct prompts, evenly spaced over `spread` from
    /// `at` on.
    pub fn push_burst(
        &mut self,
        at: Duration,
        spread: Duration,
        count: u32,
        customer_key: &str,
        chat: &ChatCall,
    ) {
        for index in 0..count {
            let prompt = format!("{} {index} at {}", chat.prompt, at.as_millis());
            let call = ChatCall { prompt, ..chat.clone() };
            self.push(at + spread * index / count, customer_key, CallKind::Chat(call));
        }
    }

    /// Adds one request.
    pub fn push(&mut self, at: Duration, customer_key: &str, kind: CallKind) {
        self.calls.push(ScriptedCall { at, customer_key: customer_key.to_owned(), kind });
    }

    /// Delays each request by a random time below `jitter`; equal seeds give equal delays.
    pub fn with_jitter(mut self, jitter: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for call in &mut self.calls {
            call.at += jitter.mul_f64(rng.random::<f64>());
        }
        self
    }
}
