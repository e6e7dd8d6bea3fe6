//! Scripts of requests.

use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatCall {
    /// Model or adapter asked.
    pub model: String,
    /// Prompt; the answer is a function of it.
    pub prompt: String,
    /// Tokens asked.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub is_stream: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Service called.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, beginning with a slash.
    pub path: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Body.
    pub body: String,
}

/// What is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion.
    Chat(ChatCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// One request of a script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptedCall {
    /// Time after the begin of the script.
    pub at: Duration,
    /// Key that the caller shows.
    pub customer_key: String,
    /// What is sent.
    pub kind: CallKind,
}

/// Requests in the order of their times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallScript {
    /// The requests.
    pub calls: Vec<ScriptedCall>,
}

impl CallScript {
    /// Adds `count` chat completions with distinct prompts, spread over `spread` from `at` on.
    pub fn burst(
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

    /// Moves each request by up to `jitter`, the same way for the same seed.
    pub fn jittered(mut self, jitter: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for call in &mut self.calls {
            call.at += jitter.mul_f64(rng.random::<f64>());
        }
        self
    }
}
