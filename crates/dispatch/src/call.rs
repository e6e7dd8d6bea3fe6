//! What a caller says of its request.

use std::{convert::Infallible, fmt, str::FromStr};

use base::prelude::*;
use catalog::TokenCount;

/// A caller's name for one try of its request; new with each try.
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

/// Name of one part of a prompt; requests that share a part use the same name.
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

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Name.
    pub id: PromptPartId,
    /// Length.
    pub tokens: TokenCount,
}

/// The model, and the adapter on top of it, that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// Model.
    pub model: ModelId,
    /// Adapter; none for the model itself.
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

/// What a caller says of the work that its request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Model and adapter.
    pub target: ModelTarget,
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Longest answer.
    pub output_limit: TokenCount,
    /// The caller's guess of the answer's length; often far off.
    pub output_estimate: Option<TokenCount>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallHead {
    /// The caller's name for this try.
    pub call: Option<CallId>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The work asked for; none for plain services.
    pub generation: Option<Generation>,
    /// Whether the caller goes on after an event that it has received.
    pub is_resumed: bool,
}

/// What a backend server says of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there now, relative to the usual time.
    pub slowdown: Option<f64>,
}

/// What the head of an answer says besides status and body.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerHead {
    /// The try that the answer belongs to.
    pub call: Option<CallId>,
    /// The backend server states that it did not run the request.
    pub is_not_run: bool,
    /// The answer comes from a backend server rather than from something in between.
    pub is_from_backend: bool,
    /// Load, where the service tells it.
    pub load: Option<ServerLoad>,
    /// How long the connection may rest, where the answer says so.
    pub max_idle: Option<Duration>,
    /// The connection ends after this answer.
    pub closes_connection: bool,
}
