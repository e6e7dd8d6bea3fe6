//! Metadata in the heads of requests and answers.

use std::{convert::Infallible, fmt, str::FromStr};

use base::prelude::*;
use catalog::TokenCount;

/// Identifier of one try of a request, chosen by the caller; a caller's retry has a new one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub String);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CallId {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.to_owned()))
    }
}

/// Identifier of one part of a prompt; requests that share a part use the same identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One part of a prompt, such as a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier that is equal for equal parts.
    pub id: PromptPartId,
    /// Length in tokens.
    pub tokens: TokenCount,
}

/// The model, and optionally the adapter on top of it, that a request needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// Name of the base model.
    pub model: ModelId,
    /// Adapter; none for the base model itself.
    pub adapter: Option<AdapterId>,
}

impl fmt::Display for ModelTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// Generation parameters, as stated by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Model and adapter that have to be loaded.
    pub target: ModelTarget,
    /// Length of the prompt in tokens.
    pub prompt: TokenCount,
    /// Maximum length of the answer in tokens.
    pub output_limit: TokenCount,
    /// The caller's estimate of the answer's length; often far off. None if not stated.
    pub output_estimate: Option<TokenCount>,
    /// Parts of the prompt, in order; empty if not stated.
    pub parts: Vec<PromptPart>,
}

/// A stream that its caller takes up again after the last event that it has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// The try of the caller that brought the first event; none if the caller does not name it.
    pub first_call: Option<CallId>,
}

/// Metadata in the head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallHead {
    /// The caller's identifier of this try; none if the header is absent.
    pub call: Option<CallId>,
    /// Time that the caller waits for the answer; none if not stated.
    pub caller_timeout: Option<Duration>,
    /// Generation parameters; none for plain services.
    pub generation: Option<Generation>,
    /// The stream that the caller takes up again; none for a new request.
    pub resumed: Option<ResumedStream>,
    /// Hash of the key that the caller presents; none without one.
    pub api_key: Option<KeyHash>,
}

/// Load of a backend server, as reported in the head of its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Current duration of work relative to the usual one; 1.0 is normal. None if not reported.
    pub slowdown: Option<f64>,
}

/// Metadata in the head of an answer besides the status.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerHead {
    /// The try that is answered; none if the header is absent.
    pub call: Option<CallId>,
    /// Whether the backend server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether it bears the signature of a backend server, as all answers to requests that ran do.
    pub is_signed: bool,
    /// Whether its body is encoded, so that it is not the body that the backend server signed.
    pub is_encoded: bool,
    /// Load of the backend server; none if the service does not report it.
    pub load: Option<ServerLoad>,
    /// How long the connection may stay idle; none if the answer does not say.
    pub max_idle: Option<Duration>,
    /// Whether the connection is closed after this answer.
    pub closes_connection: bool,
    /// Whether the backend server leaves and is to get no further requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests, if it refuses this one; none if not stated.
    pub pause: Option<Duration>,
    /// Requests that it takes from all entries together for now; none if it names no limit.
    pub limit: Option<EventRate>,
}
